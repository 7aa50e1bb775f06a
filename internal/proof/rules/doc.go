// Package rules tests the rules that the source tree must follow.
package rules
