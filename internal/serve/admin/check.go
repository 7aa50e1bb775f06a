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

// problems collects every fault of a change.
type problems []*errdetails.BadRequest_FieldViolation

func (p *problems) add(ok bool, field, text string) {
	if !ok {
		*p = append(*p, &errdetails.BadRequest_FieldViolation{Field: field, Description: text})
	}
}

func (p *problems) name(field, value string) {
	p.add(validName.MatchString(value), field, "expected lower-case letters, digits and hyphens, at most 63")
}

// err returns an InvalidArgument status that lists every fault, or nil.
func (p problems) err() error {
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
	var p problems
	p.name("name", r.GetName())
	b := r.GetBudget()
	p.add(r.GetEdit().GetRemove() || b.GetTotal() > 0, "budget.total", "must be at least 1, or no instance can ever be drained")
	p.add(b.GetRack() <= b.GetTotal(), "budget.rack", "must not be above budget.total")
	p.add(b.GetCentre() <= b.GetTotal(), "budget.centre", "must not be above budget.total")
	return p.err()
}

func checkService(r *recpb.Service) error {
	var p problems
	p.name("name", r.GetName())
	if !r.GetEdit().GetRemove() {
		p.name("pool", r.GetPool())
		p.add(r.GetWeight() > 0, "weight", "must be at least 1")
	}
	return p.err()
}

func checkTeam(r *recpb.Team) error {
	var p problems
	p.name("name", r.GetName())
	p.add(r.GetEdit().GetRemove() || r.GetWeight() > 0, "weight", "must be at least 1")
	return p.err()
}

func checkInstance(r *recpb.Instance) error {
	var p problems
	p.name("name", r.GetName())
	if r.GetEdit().GetRemove() {
		return p.err()
	}
	_, err := netip.ParseAddrPort(r.GetAddr())
	p.add(err == nil, "addr", "expected an IP address with a port")
	p.name("pool", r.GetPool())
	p.name("rack", r.GetRack())
	p.name("centre", r.GetCentre())
	p.add(r.GetSlots() > 0, "slots", "must be at least 1")
	p.add(r.GetConns() >= r.GetSlots(), "conns", "must not be below slots")
	return p.err()
}
