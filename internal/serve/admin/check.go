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

func (p *violations) check(ok bool, field, text string) {
	if !ok {
		*p = append(*p, &errdetails.BadRequest_FieldViolation{Field: field, Description: text})
	}
}

func (p *violations) checkName(field, value string) {
	p.check(validName.MatchString(value), field, "expected lower-case letters, digits and hyphens, at most 63")
}

// err returns an InvalidArgument status that lists every violation, nil if there is none.
func (p violations) err() error {
	if len(p) == 0 {
		return nil
	}
	text := "invalid change"
	for _, v := range p {
		text += "; " + v.GetField() + ": " + v.GetDescription()
	}
	s, err := status.New(codes.InvalidArgument, text).WithDetails(&errdetails.BadRequest{FieldViolations: p})
	if err != nil {
		return status.Error(codes.InvalidArgument, text)
	}
	return s.Err()
}

func checkPool(r *recpb.Pool) error {
	var p violations
	p.checkName("name", r.GetName())
	b := r.GetBudget()
	p.check(r.GetEdit().GetRemove() || b.GetTotal() > 0, "budget.total", "must be at least 1, or no instance can ever be drained")
	p.check(b.GetRack() <= b.GetTotal(), "budget.rack", "must not be above budget.total")
	p.check(b.GetCentre() <= b.GetTotal(), "budget.centre", "must not be above budget.total")
	return p.err()
}

func checkService(r *recpb.Service) error {
	var p violations
	p.checkName("name", r.GetName())
	if !r.GetEdit().GetRemove() {
		p.checkName("pool", r.GetPool())
		p.check(r.GetWeight() > 0, "weight", "must be at least 1")
	}
	return p.err()
}

func checkTeam(r *recpb.Team) error {
	var p violations
	p.checkName("name", r.GetName())
	p.check(r.GetEdit().GetRemove() || r.GetWeight() > 0, "weight", "must be at least 1")
	return p.err()
}

func checkInstance(r *recpb.Instance) error {
	var p violations
	p.checkName("name", r.GetName())
	if r.GetEdit().GetRemove() {
		return p.err()
	}
	_, err := netip.ParseAddrPort(r.GetAddr())
	p.check(err == nil, "addr", "expected an IP address with a port")
	p.checkName("pool", r.GetPool())
	p.checkName("rack", r.GetRack())
	p.checkName("centre", r.GetCentre())
	p.check(r.GetSlots() > 0, "slots", "must be at least 1")
	p.check(r.GetConns() >= r.GetSlots(), "conns", "must not be below slots")
	return p.err()
}
