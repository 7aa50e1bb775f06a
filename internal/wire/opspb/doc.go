// Package opspb holds the operators' gRPC interface, generated from proto/operator.proto.
package opspb
