package naive

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

// Fair is the slow reference of the discipline of admit.Queue. It keeps all tickets in lists
// and computes every count, order and limit anew for each decision.
type Fair struct {
	// Slots is the number of tickets that may run at once.
	Slots int
	// Reserve is the part of the slots not used within guaranteed shares that borrowers
	// leave free on average, 0 to 1.
	Reserve float64
	// Prior is the run time assumed for a service before any of its requests ended.
	Prior time.Duration
	// Weights are the weights by urgency.
	Weights [3]float64

	services map[string]admit.Share
	teams    map[string]admit.Share
	waiting  []*Entry
	running  []*Entry
	nodes    map[path]*node
}

// Entry is one request of a Fair queue.
type Entry struct {
	// Class is the class that the entry is accounted to.
	Class admit.Class

	expiry  time.Duration
	started time.Duration
	cost    float64
}

// path names a service, a team within a service, or a class. The empty path is the root.
type path struct {
	level int
	class admit.Class
}

// node is the history of a path.
type node struct {
	vt, base float64
	mean, n  float64
	credit   float64
	changed  time.Duration
	ready    bool
}

const (
	root = iota
	service
	team
	class
)

func at(level int, c admit.Class) path {
	switch level {
	case root:
		return path{}
	case service:
		return path{level, admit.Class{Service: c.Service}}
	case team:
		return path{level, admit.Class{Service: c.Service, Team: c.Team}}
	default:
		return path{level, c}
	}
}

// Configure sets the shares and forgets the history of what is idle and no longer listed.
func (f *Fair) Configure(services, teams map[string]admit.Share) {
	f.services = services
	f.teams = teams
	for p := range f.nodes {
		_, okService := services[p.class.Service]
		_, okTeam := teams[p.class.Team]
		kept := p.level == root || p.level == service && (okService || p.class.Service == "")
		kept = kept || p.level > service && okService && okTeam
		if !kept && f.count(f.waiting, at(min(p.level, team), p.class))+f.count(f.running, at(min(p.level, team), p.class)) == 0 {
			delete(f.nodes, p)
		}
	}
	f.settle()
}

// SetSlots sets the number of tickets that may run at once.
func (f *Fair) SetSlots(n int) {
	f.Slots = n
	f.settle()
}

// Push adds a request that is dropped if it still waits at expiry.
func (f *Fair) Push(c admit.Class, expiry time.Duration) *Entry {
	if _, ok := f.services[c.Service]; !ok {
		c.Service = ""
	}
	if _, ok := f.teams[c.Team]; !ok {
		c.Team = ""
	}
	e := &Entry{Class: c, expiry: expiry}
	f.waiting = append(f.waiting, e)
	f.settle()
	return e
}

// Cancel removes a waiting entry. It returns false if the entry does not wait.
func (f *Fair) Cancel(e *Entry) bool {
	i := slices.Index(f.waiting, e)
	if i < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.settle()
	return true
}

// Drop removes and returns the entries that waited too long, in order of expiry.
func (f *Fair) Drop(now time.Duration) []*Entry {
	var dropped []*Entry
	for _, e := range f.waiting {
		if e.expiry <= now {
			dropped = append(dropped, e)
		}
	}
	slices.SortStableFunc(dropped, func(a, b *Entry) int { return cmp.Compare(a.expiry, b.expiry) })
	for _, e := range dropped {
		f.Cancel(e)
	}
	return dropped
}

// Pop returns the next entry to run, or nil, and the entries that waited too long.
func (f *Fair) Pop(now time.Duration) (*Entry, []*Entry) {
	dropped := f.Drop(now)
	c := admit.Class{}
	var chosen [class + 1]*node
	for level := root; level < class; level++ {
		parent := f.node(at(level, c))
		next, ok := f.choose(level, c)
		if !ok || level == root && !f.free(next) {
			return nil, dropped
		}
		chosen[level] = parent
		c = next
	}
	for level := root; level < class; level++ {
		chosen[level].base = max(chosen[level].base, f.least(level, c))
	}
	i := slices.IndexFunc(f.waiting, func(e *Entry) bool { return e.Class == c })
	e := f.waiting[i]
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.use(now, c)
	f.running = append(f.running, e)
	e.started = now
	e.cost = f.node(at(service, c)).mean
	f.charge(c, e.cost)
	f.settle()
	return e, dropped
}

// Done frees the slot of a running entry and learns the run time of its service.
func (f *Fair) Done(now time.Duration, e *Entry) {
	d := max((now - e.started).Seconds(), 0.0005)
	s := f.node(at(service, e.Class))
	s.n = min(s.n+1, 256)
	s.mean = max(s.mean+(d-s.mean)/s.n, 0.0005)
	f.use(now, e.Class)
	i := slices.Index(f.running, e)
	f.running = slices.Delete(f.running, i, i+1)
	f.charge(e.Class, d-e.cost)
	f.settle()
}

func (f *Fair) node(p path) *node {
	if f.nodes == nil {
		f.nodes = map[path]*node{}
	}
	n := f.nodes[p]
	if n == nil {
		n = &node{mean: f.Prior.Seconds(), n: 4}
		f.nodes[p] = n
	}
	return n
}

// charge adds cost seconds of slot time to the class, its team and its service.
func (f *Fair) charge(c admit.Class, cost float64) {
	for level := service; level <= class; level++ {
		f.node(at(level, c)).vt += cost / f.weight(at(level, c))
	}
}

// use brings the credit of the service and the team of c up to date.
func (f *Fair) use(now time.Duration, c admit.Class) {
	for level := service; level <= team; level++ {
		n := f.node(at(level, c))
		share := f.slots(at(level, c))
		most := 5 * math.Sqrt(share) * f.node(at(service, c)).mean
		n.credit += (share - float64(f.count(f.running, at(level, c)))) * (now - n.changed).Seconds()
		n.credit = max(-most, min(n.credit, most))
		n.changed = now
	}
}

func (f *Fair) weight(p path) float64 {
	switch p.level {
	case service:
		return float64(max(f.services[p.class.Service].Weight, 1))
	case team:
		return float64(max(f.teams[p.class.Team].Weight, 1))
	default:
		return max(f.Weights[p.class.Urgency], 1)
	}
}

func (f *Fair) count(entries []*Entry, p path) int {
	n := 0
	for _, e := range entries {
		if at(p.level, e.Class) == p {
			n++
		}
	}
	return n
}
