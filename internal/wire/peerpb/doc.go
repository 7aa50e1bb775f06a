// Package peerpb holds the drpc messages between entries, generated from proto/peer.proto.
package peerpb
