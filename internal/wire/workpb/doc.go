// Package workpb holds the records of jobs and the calls between entries, generated
// from proto/work.proto.
package workpb
