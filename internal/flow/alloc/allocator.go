package share

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// Custodian lends the slots of the endpoints that one entry looks after.
type Custodian struct {
	name   string
	maxRun time.Duration
	view   View
	// whole is set when the stock of each endpoint is all of its slots.
	whole     bool
	parties   map[Member]*party
	endpoints map[string]*endpoint
	parts     []part
}

// party is one active member as a holder.
type party struct {
	reported bool
	// serial is the largest serial processed.
	serial uint64
	// seed is the hash of the member, from which ranks are made.
	seed uint64
	// pending holds the endpoints for which the party is not known to have its limit.
	pending map[*endpoint]struct{}
}

// endpoint is the division of one endpoint's slots.
type endpoint struct {
	instance string
	hash     uint64
	slots    int
	// stock is the sum of the first reports under the epoch.
	stock int
	loans map[*party]*loan
	// lent is the sum of the bounds.
	lent int
}

// loan is what one party has of one endpoint.
type loan struct {
	held, want int
	serial     uint64
	// bound is the most that the party can hold: the larger of its latest report
	// and the grants made since.
	bound int
}

// NewCustodian returns the Custodian of an entry. Slots of a fenced member are held
// back for maxRun, the longest run time of a request.
func NewCustodian(name string, maxRun time.Duration) *Custodian {
	return &Custodian{
		name:      name,
		maxRun:    maxRun,
		parties:   map[Member]*party{},
		endpoints: map[string]*endpoint{},
	}
}

// Epoch sets the members and the slots of all endpoints by instance. A view of an
// older epoch is ignored. A newer one starts the collection of reports again.
func (c *Custodian) Epoch(now time.Duration, v View, targets map[string]int) {
	if v.Epoch < c.view.Epoch {
		return
	}
	if v.Epoch > c.view.Epoch {
		c.restart(v)
	}
	for name, n := range targets {
		if CustodianOf(v, name) == c.name {
			c.endpoint(name).slots = n
		}
	}
	for name, e := range c.endpoints {
		if _, ok := targets[name]; !ok {
			e.slots = 0
		}
	}
	c.collect(now)
	c.divideAll()
}

// restart forgets everything that was reported under the last epoch.
func (c *Custodian) restart(v View) {
	c.view = v
	c.whole = false
	clear(c.parties)
	clear(c.endpoints)
	for _, m := range v.Active {
		c.parties[m] = &party{
			seed:    mix(xxhash.Sum64String(m.Name) ^ m.Incarnation),
			pending: map[*endpoint]struct{}{},
		}
	}
}

// collect checks whether the slots of each endpoint are all accounted for.
func (c *Custodian) collect(now time.Duration) {
	if c.whole || len(c.view.Evicted) > 0 {
		return
	}
	for _, f := range c.view.Fenced {
		if now < f.At+c.maxRun {
			return
		}
	}
	for _, p := range c.parties {
		if !p.reported {
			return
		}
	}
	c.whole = true
	c.divideAll()
}

// Whole reports whether all slots can be lent: each active member has reported
// under the epoch and no slots are held back.
func (c *Custodian) Whole() bool { return c.whole }

// Pending returns the names of the active members that have a grant to learn of.
func (c *Custodian) Pending() []string {
	var names []string
	for m, p := range c.parties {
		if len(p.pending) > 0 {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Answer processes an ask and returns the limits that the asking entry needs to
// know. Asks of another epoch and of entries that are not active are answered with
// the epoch alone.
func (c *Custodian) Answer(now time.Duration, a *peerpb.SlotAsk) *peerpb.SlotReply {
	r := &peerpb.SlotReply{Epoch: c.view.Epoch}
	p := c.parties[Member{a.GetName(), a.GetIncarnation()}]
	if p == nil || a.GetEpoch() != c.view.Epoch {
		return r
	}
	first := !p.reported
	p.reported = true
	var asked []*endpoint
	for _, s := range a.GetSlots() {
		e := c.endpoint(s.GetInstance())
		if s.GetSerial() < p.serial || !e.report(p, s) {
			continue
		}
		p.serial = s.GetSerial()
		if first {
			e.stock += int(s.GetHeld())
		}
		asked = append(asked, e)
	}
	c.collect(now)
	for _, e := range asked {
		c.divide(e)
		p.pending[e] = struct{}{}
	}
	for e := range p.pending {
		r.Grants = append(r.Grants, c.grant(p, e))
	}
	slices.SortFunc(r.Grants, func(a, b *peerpb.Grant) int {
		return strings.Compare(a.GetInstance(), b.GetInstance())
	})
	return r
}

// report records what a party said and reports whether it was new.
func (e *endpoint) report(p *party, s *peerpb.Slot) bool {
	l := e.loan(p)
	if s.GetSerial() <= l.serial {
		return false
	}
	l.serial = s.GetSerial()
	l.held = int(s.GetHeld())
	l.want = int(s.GetWant())
	e.lent += l.held - l.bound
	l.bound = l.held
	return true
}

// grant returns the party's present limit and counts it as lent.
func (c *Custodian) grant(p *party, e *endpoint) *peerpb.Grant {
	l := e.loan(p)
	n := c.limit(p, e)
	if n > l.bound {
		e.lent += n - l.bound
		l.bound = n
	}
	if l.settled(n) {
		delete(p.pending, e)
	}
	return &peerpb.Grant{
		Instance: e.instance,
		Limit:    uint32(n),
		Serial:   l.serial,
	}
}

// limit returns the limit that the party may be told now: its share, as far as it is
// not lent to others.
func (c *Custodian) limit(p *party, e *endpoint) int {
	c.share(e)
	for i := range c.parts {
		if c.parts[i].key == p {
			return c.reach(e, &c.parts[i])
		}
	}
	return 0
}

// reach returns the share of the part, as far as it is not lent to others.
func (c *Custodian) reach(e *endpoint, x *part) int {
	if x.give <= x.held {
		return x.give
	}
	free := max(c.stock(e)-e.lent, 0)
	return min(x.give, x.held+free)
}

// share computes the parts of the endpoint's division.
func (c *Custodian) share(e *endpoint) {
	c.parts = c.parts[:0]
	for _, p := range c.parties {
		if !p.reported {
			continue
		}
		x := part{key: p, rank: mix(p.seed ^ e.hash)}
		if l := e.loans[p]; l != nil {
			x.want = l.want
			x.held = l.bound
		}
		c.parts = append(c.parts, x)
	}
	divide(c.stock(e), c.parts)
}

// divide notes to which parties the endpoint's division is news.
func (c *Custodian) divide(e *endpoint) {
	c.share(e)
	for i := range c.parts {
		x := &c.parts[i]
		if e.loan(x.key).settled(c.reach(e, x)) {
			delete(x.key.pending, e)
			continue
		}
		x.key.pending[e] = struct{}{}
	}
}

// divideAll divides all endpoints and drops those of which nothing is known.
func (c *Custodian) divideAll() {
	for name, e := range c.endpoints {
		c.divide(e)
		if e.slots == 0 && e.idle() {
			c.drop(name, e)
		}
	}
}

// drop forgets an endpoint.
func (c *Custodian) drop(name string, e *endpoint) {
	delete(c.endpoints, name)
	for _, p := range c.parties {
		delete(p.pending, e)
	}
}

// stock returns the number of slots that may be lent in total.
func (c *Custodian) stock(e *endpoint) int {
	if c.whole {
		return e.slots
	}
	return min(e.stock, e.slots)
}

// endpoint returns the endpoint on the instance and creates it if needed. One that
// is not listed has no slots.
func (c *Custodian) endpoint(instance string) *endpoint {
	e, ok := c.endpoints[instance]
	if !ok {
		e = &endpoint{
			instance: instance,
			hash:     xxhash.Sum64String(instance),
			loans:    map[*party]*loan{},
		}
		c.endpoints[instance] = e
	}
	return e
}

// loan returns the party's loan and creates it if needed.
func (e *endpoint) loan(p *party) *loan {
	l, ok := e.loans[p]
	if !ok {
		l = &loan{}
		e.loans[p] = l
	}
	return l
}

// settled reports whether the party is known to have exactly n slots.
func (l *loan) settled(n int) bool {
	return n == l.held && n == l.bound
}

// idle reports whether nobody holds or wants any of the endpoint.
func (e *endpoint) idle() bool {
	for _, l := range e.loans {
		if l.bound > 0 || l.want > 0 {
			return false
		}
	}
	return true
}

// mix spreads the bits of a rank; it is the finalizer of the splitmix64 generator.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
