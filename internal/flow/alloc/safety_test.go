package alloc

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

const maxRun = 3 * time.Second

// entryRun is one run (incarnation) of an entry.
type entryRun struct {
	Member
	h       *Holder
	c       *Allocator
	applied int
	// stopped is set when the run sends no new work because it is paused, cut off or dead.
	stopped bool
	left    bool
	// force is the limit in force at the traffic side and starts the start times
	// of the requests in flight, by instance.
	enforced map[string]int
	starts   map[string][]time.Duration
}

// message is an ask or a reply in transit.
type message struct {
	from, to *entryRun
	ask      *peerpb.SlotAsk
	reply    *peerpb.SlotReply
}

// simFleet is a fleet of entries with a log of member records and an unreliable network.
type simFleet struct {
	now      time.Duration
	log      []View
	runs     []*entryRun
	messages []message
	targets  map[string]int
	next     uint64
}

func newSimFleet(n int) *simFleet {
	w := &simFleet{targets: map[string]int{"i0": 6, "i1": 3}, log: []View{{}}}
	for i := range n {
		w.join(fmt.Sprintf("e%d", i))
	}
	return w
}

// change appends a member record.
func (w *simFleet) change(f func(v *View)) {
	v := w.log[len(w.log)-1]
	v.Epoch++
	v.Active = slices.Clone(v.Active)
	v.Evicted = slices.Clone(v.Evicted)
	v.Fenced = slices.Clone(v.Fenced)
	f(&v)
	w.log = append(w.log, v)
}

func (w *simFleet) join(name string) {
	w.next++
	r := &entryRun{
		Member:   Member{name, w.next},
		h:        NewHolder(name, w.next),
		c:        NewAllocator(name, maxRun),
		enforced: map[string]int{},
		starts:   map[string][]time.Duration{},
	}
	w.runs = append(w.runs, r)
	w.change(func(v *View) { v.Active = append(v.Active, r.Member) })
}

// runByName returns the latest run with the name, which receives the messages to that name.
func (w *simFleet) runByName(name string) *entryRun {
	for _, r := range slices.Backward(w.runs) {
		if r.Name == name {
			return r
		}
	}
	return nil
}

func (w *simFleet) apply(r *entryRun) {
	if r.left {
		return
	}
	r.applied = min(r.applied+1, len(w.log)-1)
	v := w.log[r.applied]
	r.h.SetView(v, w.targets)
	r.c.SetView(w.now, v, w.targets)
}

// enforce puts the current limits in force and confirms them with the requests in flight.
func (w *simFleet) enforce(r *entryRun) {
	for name := range w.targets {
		r.enforced[name] = r.h.Limit(name)
		r.h.SetInFlight(name, len(r.starts[name]))
	}
}

func (w *simFleet) catchUp(r *entryRun) {
	for w.apply(r); r.applied+1 < len(w.log); {
		w.apply(r)
	}
	w.enforce(r)
}

func (w *simFleet) send(r *entryRun) {
	asks := r.h.Asks()
	for _, name := range slices.Sorted(maps.Keys(asks)) {
		if to := w.runByName(name); to != nil {
			w.messages = append(w.messages, message{from: r, to: to, ask: asks[name]})
		}
	}
}

func (w *simFleet) deliver(i int, keep bool) {
	p := w.messages[i]
	if !keep {
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	if p.ask != nil {
		w.messages = append(w.messages, message{from: p.to, to: p.from, reply: p.to.c.HandleAsk(w.now, p.ask)})
		return
	}
	p.to.h.ApplyReply(p.from.Name, p.reply)
}

// leave ends a run gracefully: its last request ends before the record is appended.
func (w *simFleet) leave(r *entryRun) {
	r.left = true
	clear(r.enforced)
	clear(r.starts)
	w.change(func(v *View) { v.remove(r.Member) })
}

func (v *View) remove(m Member) {
	v.Active = slices.DeleteFunc(v.Active, func(x Member) bool { return x == m })
}

func (w *simFleet) evict(m Member) {
	w.change(func(v *View) {
		v.remove(m)
		v.Evicted = append(v.Evicted, m)
	})
}

// fence fences the first evicted member, whose view lease has ended by then.
func (w *simFleet) fence() {
	if len(w.log[len(w.log)-1].Evicted) == 0 {
		return
	}
	w.change(func(v *View) {
		m := v.Evicted[0]
		v.Evicted = v.Evicted[1:]
		v.Fenced = append(v.Fenced, Fence{m, w.now})
		for _, r := range w.runs {
			r.stopped = r.stopped || r.Member == m
		}
	})
}

// check fails if more slots of an endpoint are usable or in use than it has.
func (w *simFleet) check(t *rapid.T, step string) {
	for name, slots := range w.targets {
		sum := 0
		var who []string
		for _, r := range w.runs {
			n := len(r.starts[name])
			if !r.stopped && !r.left {
				n = max(n, r.enforced[name], r.h.Limit(name))
			}
			sum += n
			who = append(who, fmt.Sprintf("%s.%d:%d", r.Name, r.Incarnation, n))
		}
		assert.Assert(t, sum <= slots, "after %s at %v: %d of %d slots of %s: %v", step, w.now, sum, slots, name, who)
	}
}

func (w *simFleet) setWork(r *entryRun, name string, n int) {
	if n == 0 && len(r.starts[name]) > 0 {
		r.starts[name] = r.starts[name][1:]
		return
	}
	for range n {
		if !r.stopped && !r.left && len(r.starts[name]) < r.enforced[name] {
			r.starts[name] = append(r.starts[name], w.now)
		}
	}
}

func (w *simFleet) advance(d time.Duration) {
	w.now += d
	for _, r := range w.runs {
		for name, s := range r.starts {
			r.starts[name] = slices.DeleteFunc(s, func(at time.Duration) bool { return w.now >= at+maxRun })
		}
	}
}

// Guards against more slots in use than an endpoint has, and against slots that are never allocated
// again. Covers lost, delayed, reordered and duplicated messages, entries that die, pause, leave,
// join and are fenced, and allocators that change or lag behind the member records.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimFleet(rapid.IntRange(2, 3).Draw(t, "entries"))
		w.round(t)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			w.check(t, w.step(t))
		}
		w.checkRecovery(t)
	})
}

// round lets most runs apply all records and exchange messages; some messages are delayed.
func (w *simFleet) round(t *rapid.T) {
	for _, r := range w.runs {
		if r.left || r.stopped || rapid.IntRange(0, 5).Draw(t, "skip") == 0 {
			continue
		}
		w.catchUp(r)
		at := len(w.messages)
		w.send(r)
		for i := at; i < len(w.messages); {
			fate := rapid.IntRange(0, 9).Draw(t, "fate")
			if fate == 0 {
				i++ // The message is delayed.
				continue
			}
			w.deliver(i, fate == 1)
			if fate == 1 {
				i++ // The message is delivered again later.
			}
		}
	}
}

func (w *simFleet) step(t *rapid.T) string {
	r := w.runs[rapid.IntRange(max(0, len(w.runs)-4), len(w.runs)-1).Draw(t, "run")]
	name := fmt.Sprintf("i%d", rapid.IntRange(0, 1).Draw(t, "instance"))
	kind := rapid.SampledFrom(steps).Draw(t, "step")
	switch kind {
	case "round":
		w.round(t)
	case "apply":
		w.apply(r)
	case "enforce":
		w.enforce(r)
	case "want":
		r.h.SetWant(name, rapid.IntRange(0, 7).Draw(t, "want"))
	case "send":
		w.send(r)
	case "deliver":
		if len(w.messages) > 0 {
			i := rapid.IntRange(max(0, len(w.messages)-12), len(w.messages)-1).Draw(t, "packet")
			w.deliver(i, rapid.IntRange(0, 4).Draw(t, "keep") == 0)
		}
	case "work":
		w.setWork(r, name, rapid.IntRange(0, 6).Draw(t, "work"))
	case "pass":
		w.advance(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
	case "join":
		w.join(fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "name")))
	case "leave":
		if !r.left && !r.stopped && w.activeMembers(r) > 1 {
			w.leave(r)
		}
	case "evict":
		if w.activeMembers(r) > 1 {
			w.evict(r.Member)
		}
	case "fence":
		w.fence()
	case "slots":
		w.targets[name] = max(w.targets[name], rapid.IntRange(1, 7).Draw(t, "slots"))
	}
	return fmt.Sprintf("%s of %s.%d", kind, r.Name, r.Incarnation)
}

// checkRecovery ends the faults and fails if slots are not allocated again.
func (w *simFleet) checkRecovery(t *rapid.T) {
	v := w.log[len(w.log)-1]
	for _, m := range v.Active {
		if r := w.runByName(m.Name); r.Member != m || r.stopped {
			w.evict(m)
		}
	}
	for range len(w.log[len(w.log)-1].Evicted) {
		w.fence()
	}
	if len(w.log[len(w.log)-1].Active) == 0 {
		w.join("e0")
	}
	live := slices.DeleteFunc(slices.Clone(w.runs), func(r *entryRun) bool { return w.activeMembers(r) == 0 })
	w.advance(maxRun)
	for range 6 {
		w.messages = nil
		for _, r := range live {
			w.catchUp(r)
			w.send(r)
			for len(w.messages) > 0 {
				w.deliver(0, false)
			}
		}
		w.check(t, "settling")
		w.advance(maxRun)
	}
	for name, slots := range w.targets {
		sum := 0
		for _, r := range live {
			sum += r.h.Limit(name)
		}
		assert.Equal(t, sum, slots, "of %s after settling", name)
	}
}

// steps lists the kinds of steps; the number of times that a kind is listed is its weight.
var steps = strings.Fields("round round round round apply apply enforce enforce want want want want" +
	" send send send deliver deliver deliver deliver deliver deliver work work work work pass" +
	" join leave evict fence fence slots")

// activeMembers returns the number of active members, 0 if the run is not one of them.
func (w *simFleet) activeMembers(r *entryRun) int {
	l := w.log[len(w.log)-1].Active
	if !slices.Contains(l, r.Member) {
		return 0
	}
	return len(l)
}
