// Package rules holds tests of the rules that the source tree follows.
package rules
