// Package recpb holds the records of the platform's log, generated from proto/record.proto.
package recpb
