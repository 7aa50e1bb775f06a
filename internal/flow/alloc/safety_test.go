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
	holder    *Holder
	allocator *Allocator
	applied   int
	// stopped is set when the run sends no new work because it is paused, cut off or dead.
	stopped bool
	left    bool
	// enforced is the limit in force where requests are started, and starts holds the start times
	// of the requests in flight, both by instance.
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
	f := &simFleet{targets: map[string]int{"i0": 6, "i1": 3}, log: []View{{}}}
	for i := range n {
		f.join(fmt.Sprintf("e%d", i))
	}
	return f
}

// change appends a member record.
func (f *simFleet) change(edit func(v *View)) {
	v := f.log[len(f.log)-1]
	v.Epoch++
	v.Active = slices.Clone(v.Active)
	v.Evicted = slices.Clone(v.Evicted)
	v.Fenced = slices.Clone(v.Fenced)
	edit(&v)
	f.log = append(f.log, v)
}

func (f *simFleet) join(name string) {
	f.next++
	r := &entryRun{
		Member:    Member{name, f.next},
		holder:    NewHolder(name, f.next),
		allocator: NewAllocator(name, maxRun),
		enforced:  map[string]int{},
		starts:    map[string][]time.Duration{},
	}
	f.runs = append(f.runs, r)
	f.change(func(v *View) { v.Active = append(v.Active, r.Member) })
}

// runByName returns the latest run with the name, which receives the messages to that name.
func (f *simFleet) runByName(name string) *entryRun {
	for _, r := range slices.Backward(f.runs) {
		if r.Name == name {
			return r
		}
	}
	return nil
}

func (f *simFleet) apply(r *entryRun) {
	if r.left {
		return
	}
	r.applied = min(r.applied+1, len(f.log)-1)
	v := f.log[r.applied]
	r.holder.SetView(v, f.targets)
	r.allocator.SetView(f.now, v, f.targets)
}

// enforce puts the current limits in force and confirms them with the requests in flight.
func (f *simFleet) enforce(r *entryRun) {
	for name := range f.targets {
		r.enforced[name] = r.holder.Limit(name)
		r.holder.SetInFlight(name, len(r.starts[name]))
	}
}

func (f *simFleet) catchUp(r *entryRun) {
	for f.apply(r); r.applied+1 < len(f.log); {
		f.apply(r)
	}
	f.enforce(r)
}

func (f *simFleet) send(r *entryRun) {
	asks := r.holder.Asks()
	for _, name := range slices.Sorted(maps.Keys(asks)) {
		if to := f.runByName(name); to != nil {
			f.messages = append(f.messages, message{from: r, to: to, ask: asks[name]})
		}
	}
}

func (f *simFleet) deliver(i int, keep bool) {
	m := f.messages[i]
	if !keep {
		f.messages = slices.Delete(f.messages, i, i+1)
	}
	if m.ask != nil {
		f.messages = append(f.messages, message{from: m.to, to: m.from, reply: m.to.allocator.HandleAsk(f.now, m.ask)})
		return
	}
	m.to.holder.ApplyReply(m.from.Name, m.reply)
}

// leave ends a run gracefully: its last request ends before the record is appended.
func (f *simFleet) leave(r *entryRun) {
	r.left = true
	clear(r.enforced)
	clear(r.starts)
	f.change(func(v *View) { v.remove(r.Member) })
}

func (v *View) remove(m Member) {
	v.Active = slices.DeleteFunc(v.Active, func(x Member) bool { return x == m })
}

func (f *simFleet) evict(m Member) {
	f.change(func(v *View) {
		v.remove(m)
		v.Evicted = append(v.Evicted, m)
	})
}

// fence fences the first evicted member, whose view lease has ended by then.
func (f *simFleet) fence() {
	if len(f.log[len(f.log)-1].Evicted) == 0 {
		return
	}
	f.change(func(v *View) {
		m := v.Evicted[0]
		v.Evicted = v.Evicted[1:]
		v.Fenced = append(v.Fenced, Fence{m, f.now})
		for _, r := range f.runs {
			r.stopped = r.stopped || r.Member == m
		}
	})
}

// check fails if more slots of an endpoint are usable or in use than it has.
func (f *simFleet) check(t *rapid.T, step string) {
	for name, slots := range f.targets {
		sum := 0
		var who []string
		for _, r := range f.runs {
			n := len(r.starts[name])
			if !r.stopped && !r.left {
				n = max(n, r.enforced[name], r.holder.Limit(name))
			}
			sum += n
			who = append(who, fmt.Sprintf("%s.%d:%d", r.Name, r.Incarnation, n))
		}
		assert.Assert(t, sum <= slots, "after %s at %v: %d of %d slots of %s: %v", step, f.now, sum, slots, name, who)
	}
}

func (f *simFleet) setWork(r *entryRun, name string, n int) {
	if n == 0 && len(r.starts[name]) > 0 {
		r.starts[name] = r.starts[name][1:]
		return
	}
	for range n {
		if !r.stopped && !r.left && len(r.starts[name]) < r.enforced[name] {
			r.starts[name] = append(r.starts[name], f.now)
		}
	}
}

func (f *simFleet) advance(d time.Duration) {
	f.now += d
	for _, r := range f.runs {
		for name, s := range r.starts {
			r.starts[name] = slices.DeleteFunc(s, func(at time.Duration) bool { return f.now >= at+maxRun })
		}
	}
}

// Guards against more slots in use than an endpoint has, and against slots that are never allocated
// again. Covers lost, delayed, reordered and duplicated messages, entries that die, pause, leave,
// join and are fenced, and allocators that change or lag behind the member records.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimFleet(rapid.IntRange(2, 3).Draw(t, "entries"))
		f.round(t)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			f.check(t, f.step(t))
		}
		f.checkRecovery(t)
	})
}

// round lets most runs apply all records and exchange messages; some messages are delayed.
func (f *simFleet) round(t *rapid.T) {
	for _, r := range f.runs {
		if r.left || r.stopped || rapid.IntRange(0, 5).Draw(t, "skip") == 0 {
			continue
		}
		f.catchUp(r)
		at := len(f.messages)
		f.send(r)
		for i := at; i < len(f.messages); {
			fate := rapid.IntRange(0, 9).Draw(t, "fate")
			if fate == 0 {
				i++ // The message is delayed.
				continue
			}
			f.deliver(i, fate == 1)
			if fate == 1 {
				i++ // The message is delivered again later.
			}
		}
	}
}

func (f *simFleet) step(t *rapid.T) string {
	r := f.runs[rapid.IntRange(max(0, len(f.runs)-4), len(f.runs)-1).Draw(t, "run")]
	name := fmt.Sprintf("i%d", rapid.IntRange(0, 1).Draw(t, "instance"))
	kind := rapid.SampledFrom(steps).Draw(t, "step")
	switch kind {
	case "round":
		f.round(t)
	case "apply":
		f.apply(r)
	case "enforce":
		f.enforce(r)
	case "want":
		r.holder.SetWant(name, rapid.IntRange(0, 7).Draw(t, "want"))
	case "send":
		f.send(r)
	case "deliver":
		if len(f.messages) > 0 {
			i := rapid.IntRange(max(0, len(f.messages)-12), len(f.messages)-1).Draw(t, "packet")
			f.deliver(i, rapid.IntRange(0, 4).Draw(t, "keep") == 0)
		}
	case "work":
		f.setWork(r, name, rapid.IntRange(0, 6).Draw(t, "work"))
	case "pass":
		f.advance(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
	case "join":
		f.join(fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "name")))
	case "leave":
		if !r.left && !r.stopped && f.activeMembers(r) > 1 {
			f.leave(r)
		}
	case "evict":
		if f.activeMembers(r) > 1 {
			f.evict(r.Member)
		}
	case "fence":
		f.fence()
	case "slots":
		f.targets[name] = max(f.targets[name], rapid.IntRange(1, 7).Draw(t, "slots"))
	}
	return fmt.Sprintf("%s of %s.%d", kind, r.Name, r.Incarnation)
}

// checkRecovery ends the faults and fails if slots are not allocated again.
func (f *simFleet) checkRecovery(t *rapid.T) {
	v := f.log[len(f.log)-1]
	for _, m := range v.Active {
		if r := f.runByName(m.Name); r.Member != m || r.stopped {
			f.evict(m)
		}
	}
	for range len(f.log[len(f.log)-1].Evicted) {
		f.fence()
	}
	if len(f.log[len(f.log)-1].Active) == 0 {
		f.join("e0")
	}
	live := slices.DeleteFunc(slices.Clone(f.runs), func(r *entryRun) bool { return f.activeMembers(r) == 0 })
	f.advance(maxRun)
	for range 6 {
		f.messages = nil
		for _, r := range live {
			f.catchUp(r)
			f.send(r)
			for len(f.messages) > 0 {
				f.deliver(0, false)
			}
		}
		f.check(t, "settling")
		f.advance(maxRun)
	}
	for name, slots := range f.targets {
		sum := 0
		for _, r := range live {
			sum += r.holder.Limit(name)
		}
		assert.Equal(t, sum, slots, "of %s after settling", name)
	}
}

// steps lists the kinds of steps; the number of times that a kind is listed is its weight.
var steps = strings.Fields("round round round round apply apply enforce enforce want want want want" +
	" send send send deliver deliver deliver deliver deliver deliver work work work work pass" +
	" join leave evict fence fence slots")

// activeMembers returns the number of active members, 0 if the run is not one of them.
func (f *simFleet) activeMembers(r *entryRun) int {
	l := f.log[len(f.log)-1].Active
	if !slices.Contains(l, r.Member) {
		return 0
	}
	return len(l)
}
