package refq

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

// Fair is the reference implementation of the discipline of admit.Queue. It keeps all tickets in
// lists and recomputes every count, order and limit for each decision.
type Fair struct {
	// Slots is the number of tickets that may run at once.
	Slots int
	// Reserve limits the slots that borrowers leave free on average, as a fraction (0 to 1) of the
	// slots not used within guaranteed shares.
	Reserve float64
	// Prior is the run time assumed for a service until its first request ends.
	Prior time.Duration
	// Weights are the weights by urgency.
	Weights [3]float64

	services map[string]admit.Share
	teams    map[string]admit.Share
	waiting  []*Entry
	running  []*Entry
	nodes    map[treePath]*node
}

// Entry is one request of a Fair queue.
type Entry struct {
	// Class is the class that the entry is accounted to.
	Class admit.Class

	expiry  time.Duration
	started time.Duration
	cost    float64
}

// treePath identifies a service, a team within a service, or a class. The zero value is the root.
type treePath struct {
	level int
	class admit.Class
}

// node holds the state of a path that depends on earlier decisions.
type node struct {
	vt, systemVT float64
	mean, weight float64
	credit       float64
	changed      time.Duration
	ready        bool
}

const (
	root = iota
	service
	team
	class
)

func pathAt(level int, c admit.Class) treePath {
	switch level {
	case root:
		return treePath{}
	case service:
		return treePath{level, admit.Class{Service: c.Service}}
	case team:
		return treePath{level, admit.Class{Service: c.Service, Team: c.Team}}
	default:
		return treePath{level, c}
	}
}

// Configure sets the shares and deletes the state of paths that are idle and no longer listed.
func (f *Fair) Configure(services, teams map[string]admit.Share) {
	f.services = services
	f.teams = teams
	for p := range f.nodes {
		_, okService := services[p.class.Service]
		_, okTeam := teams[p.class.Team]
		kept := p.level == root || p.level == service && (okService || p.class.Service == "")
		kept = kept || p.level > service && okService && okTeam
		if !kept && f.count(f.waiting, pathAt(min(p.level, team), p.class))+f.count(f.running, pathAt(min(p.level, team), p.class)) == 0 {
			delete(f.nodes, p)
		}
	}
	f.updateReady()
}

// SetSlots sets the number of tickets that may run at once.
func (f *Fair) SetSlots(n int) {
	f.Slots = n
	f.updateReady()
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
	f.updateReady()
	return e
}

// Cancel removes a waiting entry. It returns false if the entry is not waiting.
func (f *Fair) Cancel(e *Entry) bool {
	i := slices.Index(f.waiting, e)
	if i < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.updateReady()
	return true
}

// Drop removes and returns the expired entries, in order of expiry.
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

// Pop returns the next entry to run, or nil, and the expired entries.
func (f *Fair) Pop(now time.Duration) (*Entry, []*Entry) {
	dropped := f.Drop(now)
	c := admit.Class{}
	var chosen [class + 1]*node
	for level := root; level < class; level++ {
		parent := f.node(pathAt(level, c))
		next, ok := f.choose(level, c)
		if !ok || level == root && !f.canStart(next) {
			return nil, dropped
		}
		chosen[level] = parent
		c = next
	}
	for level := root; level < class; level++ {
		chosen[level].systemVT = max(chosen[level].systemVT, f.smallestVT(level, c))
	}
	i := slices.IndexFunc(f.waiting, func(e *Entry) bool { return e.Class == c })
	e := f.waiting[i]
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.updateCredit(now, c)
	f.running = append(f.running, e)
	e.started = now
	e.cost = f.node(pathAt(service, c)).mean
	f.charge(c, e.cost)
	f.updateReady()
	return e, dropped
}

// Done frees the slot of a running entry and updates the run time estimate of its service.
func (f *Fair) Done(now time.Duration, e *Entry) {
	d := max((now - e.started).Seconds(), 0.0005)
	s := f.node(pathAt(service, e.Class))
	s.weight = min(s.weight+1, 256)
	s.mean = max(s.mean+(d-s.mean)/s.weight, 0.0005)
	f.updateCredit(now, e.Class)
	i := slices.Index(f.running, e)
	f.running = slices.Delete(f.running, i, i+1)
	f.charge(e.Class, d-e.cost)
	f.updateReady()
}

func (f *Fair) node(p treePath) *node {
	if f.nodes == nil {
		f.nodes = map[treePath]*node{}
	}
	n := f.nodes[p]
	if n == nil {
		n = &node{mean: f.Prior.Seconds(), weight: 4}
		f.nodes[p] = n
	}
	return n
}

// charge adds a cost, in seconds of slot time, to the class, its team and its service.
func (f *Fair) charge(c admit.Class, cost float64) {
	for level := service; level <= class; level++ {
		f.node(pathAt(level, c)).vt += cost / f.weight(pathAt(level, c))
	}
}

// updateCredit updates the credit of the service and the team of c up to now.
func (f *Fair) updateCredit(now time.Duration, c admit.Class) {
	for level := service; level <= team; level++ {
		n := f.node(pathAt(level, c))
		share := f.guaranteedShare(pathAt(level, c))
		most := 5 * math.Sqrt(share) * f.node(pathAt(service, c)).mean
		n.credit += (share - float64(f.count(f.running, pathAt(level, c)))) * (now - n.changed).Seconds()
		n.credit = max(-most, min(n.credit, most))
		n.changed = now
	}
}

func (f *Fair) weight(p treePath) float64 {
	switch p.level {
	case service:
		return float64(max(f.services[p.class.Service].Weight, 1))
	case team:
		return float64(max(f.teams[p.class.Team].Weight, 1))
	default:
		return max(f.Weights[p.class.Urgency], 1)
	}
}

func (f *Fair) count(entries []*Entry, p treePath) int {
	n := 0
	for _, e := range entries {
		if pathAt(p.level, e.Class) == p {
			n++
		}
	}
	return n
}
