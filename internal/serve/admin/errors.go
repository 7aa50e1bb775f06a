package admin

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
)

// unsettledChange returns the error for a change that was not read back: it is not accepted now,
// and may be later. Repeating it with the same change id is safe.
func unsettledChange(change string, err error) error {
	return withDetails(status.New(codes.Unavailable, "not accepted; repeat with the same change id: "+err.Error()),
		&opspb.Conflict{Change: change, Reason: "unsettled"})
}

// refusedChange returns the error for a change that the log did not accept.
func refusedChange(change string, v state.Verdict) error {
	code := codes.FailedPrecondition
	kind := v.Kind
	if kind == state.Duplicate {
		kind = v.FirstKind
	}
	if kind == state.Conflict {
		code = codes.Aborted
	}
	if v.Reason == state.Malformed {
		code = codes.InvalidArgument
	}
	return withDetails(status.New(code, v.Error()),
		&opspb.Conflict{Change: change, Current: v.Current, Reason: v.Reason.String()})
}

func withDetails(s *status.Status, d *opspb.Conflict) error {
	with, err := s.WithDetails(d)
	if err != nil {
		return s.Err()
	}
	return with.Err()
}
