package admin

import (
	"net/netip"
	"regexp"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// violations collects every invalid field of a change.
type violations []*errdetails.BadRequest_FieldViolation

func (vs *violations) check(ok bool, field, text string) {
	if !ok {
		*vs = append(*vs, &errdetails.BadRequest_FieldViolation{Field: field, Description: text})
	}
}

func (vs *violations) checkName(field, value string) {
	vs.check(validName.MatchString(value), field, "expected lower-case letters, digits and hyphens, at most 63")
}

// err returns an InvalidArgument status that lists every violation, nil if there is none.
func (vs violations) err() error {
	if len(vs) == 0 {
		return nil
	}
	text := "invalid change"
	for _, v := range vs {
		text += "; " + v.GetField() + ": " + v.GetDescription()
	}
	s, err := status.New(codes.InvalidArgument, text).WithDetails(&errdetails.BadRequest{FieldViolations: vs})
	if err != nil {
		return status.Error(codes.InvalidArgument, text)
	}
	return s.Err()
}

func checkPool(r *recpb.Pool) error {
	var vs violations
	vs.checkName("name", r.GetName())
	b := r.GetBudget()
	vs.check(r.GetEdit().GetRemove() || b.GetTotal() > 0, "budget.total", "must be at least 1, or no instance can ever be drained")
	vs.check(b.GetRack() <= b.GetTotal(), "budget.rack", "must not be above budget.total")
	vs.check(b.GetCentre() <= b.GetTotal(), "budget.centre", "must not be above budget.total")
	return vs.err()
}

func checkService(r *recpb.Service) error {
	var vs violations
	vs.checkName("name", r.GetName())
	if !r.GetEdit().GetRemove() {
		vs.checkName("pool", r.GetPool())
		vs.check(r.GetWeight() > 0, "weight", "must be at least 1")
	}
	return vs.err()
}

func checkTeam(r *recpb.Team) error {
	var vs violations
	vs.checkName("name", r.GetName())
	vs.check(r.GetEdit().GetRemove() || r.GetWeight() > 0, "weight", "must be at least 1")
	return vs.err()
}

func checkInstance(r *recpb.Instance) error {
	var vs violations
	vs.checkName("name", r.GetName())
	if r.GetEdit().GetRemove() {
		return vs.err()
	}
	_, err := netip.ParseAddrPort(r.GetAddr())
	vs.check(err == nil, "addr", "expected an IP address with a port")
	vs.checkName("pool", r.GetPool())
	vs.checkName("rack", r.GetRack())
	vs.checkName("centre", r.GetCentre())
	vs.check(r.GetSlots() > 0, "slots", "must be at least 1")
	vs.check(r.GetConns() >= r.GetSlots(), "conns", "must not be below slots")
	return vs.err()
}
