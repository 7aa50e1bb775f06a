package share

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

// run is one run of an entry in the random histories.
type run struct {
	Member
	h       *Holder
	c       *Custodian
	applied int
	// stopped is set when the run sends no new work: it was paused, cut off or died.
	stopped bool
	left    bool
	// force is the limit in force at the traffic side and starts the start times
	// of the requests in flight, by instance.
	force  map[string]int
	starts map[string][]time.Duration
}

// packet is an ask or a reply on its way.
type packet struct {
	from, to *run
	ask      *peerpb.SlotAsk
	reply    *peerpb.SlotReply
}

// world is a fleet of entries with a log of member records and a lossy network.
type world struct {
	now     time.Duration
	log     []View
	runs    []*run
	net     []packet
	targets map[string]int
	next    uint64
}

func newWorld(n int) *world {
	w := &world{targets: map[string]int{"i0": 6, "i1": 3}, log: []View{{}}}
	for i := range n {
		w.join(fmt.Sprintf("e%d", i))
	}
	return w
}

// change appends a member record.
func (w *world) change(f func(v *View)) {
	v := w.log[len(w.log)-1]
	v.Epoch++
	v.Active = slices.Clone(v.Active)
	v.Evicted = slices.Clone(v.Evicted)
	v.Fenced = slices.Clone(v.Fenced)
	f(&v)
	w.log = append(w.log, v)
}

func (w *world) join(name string) {
	w.next++
	r := &run{
		Member: Member{name, w.next},
		h:      NewHolder(name, w.next),
		c:      NewCustodian(name, maxRun),
		force:  map[string]int{},
		starts: map[string][]time.Duration{},
	}
	w.runs = append(w.runs, r)
	w.change(func(v *View) { v.Active = append(v.Active, r.Member) })
}

// find returns the run that is reached under the name.
func (w *world) find(name string) *run {
	for _, r := range slices.Backward(w.runs) {
		if r.Name == name {
			return r
		}
	}
	return nil
}

func (w *world) apply(r *run) {
	if r.left {
		return
	}
	r.applied = min(r.applied+1, len(w.log)-1)
	v := w.log[r.applied]
	r.h.Epoch(v, w.targets)
	r.c.Epoch(w.now, v, w.targets)
}

// enforce puts the limits in force and confirms them with the requests in flight.
func (w *world) enforce(r *run) {
	for name := range w.targets {
		r.force[name] = r.h.Limit(name)
		r.h.InFlight(name, len(r.starts[name]))
	}
}

func (w *world) catchUp(r *run) {
	for w.apply(r); r.applied+1 < len(w.log); {
		w.apply(r)
	}
	w.enforce(r)
}

func (w *world) send(r *run) {
	asks := r.h.Asks()
	for _, name := range slices.Sorted(maps.Keys(asks)) {
		if to := w.find(name); to != nil {
			w.net = append(w.net, packet{from: r, to: to, ask: asks[name]})
		}
	}
}

func (w *world) deliver(i int, keep bool) {
	p := w.net[i]
	if !keep {
		w.net = slices.Delete(w.net, i, i+1)
	}
	if p.ask != nil {
		w.net = append(w.net, packet{from: p.to, to: p.from, reply: p.to.c.Answer(w.now, p.ask)})
		return
	}
	p.to.h.Take(p.from.Name, p.reply)
}

// leave ends a run gracefully: its last request has ended before the record.
func (w *world) leave(r *run) {
	r.left = true
	clear(r.force)
	clear(r.starts)
	w.change(func(v *View) { v.remove(r.Member) })
}

func (v *View) remove(m Member) {
	v.Active = slices.DeleteFunc(v.Active, func(x Member) bool { return x == m })
}

func (w *world) evict(m Member) {
	w.change(func(v *View) {
		v.remove(m)
		v.Evicted = append(v.Evicted, m)
	})
}

// fence fences the first member in eviction. Its view lease has ended by then.
func (w *world) fence() {
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
func (w *world) check(t *rapid.T, step string) {
	for name, slots := range w.targets {
		sum := 0
		var who []string
		for _, r := range w.runs {
			n := len(r.starts[name])
			if !r.stopped && !r.left {
				n = max(n, r.force[name], r.h.Limit(name))
			}
			sum += n
			who = append(who, fmt.Sprintf("%s.%d:%d", r.Name, r.Incarnation, n))
		}
		assert.Assert(t, sum <= slots, "after %s at %v: %d of %d slots of %s: %v", step, w.now, sum, slots, name, who)
	}
}

func (w *world) work(r *run, name string, n int) {
	if n == 0 && len(r.starts[name]) > 0 {
		r.starts[name] = r.starts[name][1:]
		return
	}
	for range n {
		if !r.stopped && !r.left && len(r.starts[name]) < r.force[name] {
			r.starts[name] = append(r.starts[name], w.now)
		}
	}
}

func (w *world) pass(d time.Duration) {
	w.now += d
	for _, r := range w.runs {
		for name, s := range r.starts {
			r.starts[name] = slices.DeleteFunc(s, func(at time.Duration) bool { return w.now >= at+maxRun })
		}
	}
}

// Guards against more slots in use than an endpoint has, under lost, delayed,
// reordered and doubled messages, entries that die, pause, leave, join and are
// fenced, and custodians that change or lag behind the members' records; and against
// slots that stay lost after that.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 3).Draw(t, "entries"))
		w.round(t)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			w.check(t, w.step(t))
		}
		w.settle(t)
	})
}

// round lets most runs catch up and exchange messages; some messages are late.
func (w *world) round(t *rapid.T) {
	for _, r := range w.runs {
		if r.left || r.stopped || rapid.IntRange(0, 5).Draw(t, "skip") == 0 {
			continue
		}
		w.catchUp(r)
		at := len(w.net)
		w.send(r)
		for i := at; i < len(w.net); {
			fate := rapid.IntRange(0, 9).Draw(t, "fate")
			if fate == 0 {
				i++ // The message is late.
				continue
			}
			w.deliver(i, fate == 1)
			if fate == 1 {
				i++ // The message will arrive again.
			}
		}
	}
}

func (w *world) step(t *rapid.T) string {
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
		r.h.Want(name, rapid.IntRange(0, 7).Draw(t, "want"))
	case "send":
		w.send(r)
	case "deliver":
		if len(w.net) > 0 {
			i := rapid.IntRange(max(0, len(w.net)-12), len(w.net)-1).Draw(t, "packet")
			w.deliver(i, rapid.IntRange(0, 4).Draw(t, "keep") == 0)
		}
	case "work":
		w.work(r, name, rapid.IntRange(0, 6).Draw(t, "work"))
	case "pass":
		w.pass(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
	case "join":
		w.join(fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "name")))
	case "leave":
		if !r.left && !r.stopped && w.active(r) > 1 {
			w.leave(r)
		}
	case "evict":
		if w.active(r) > 1 {
			w.evict(r.Member)
		}
	case "fence":
		w.fence()
	case "slots":
		w.targets[name] = max(w.targets[name], rapid.IntRange(1, 7).Draw(t, "slots"))
	}
	return fmt.Sprintf("%s of %s.%d", kind, r.Name, r.Incarnation)
}

// settle ends the faults and fails if slots were lost for good.
func (w *world) settle(t *rapid.T) {
	v := w.log[len(w.log)-1]
	for _, m := range v.Active {
		if r := w.find(m.Name); r.Member != m || r.stopped {
			w.evict(m)
		}
	}
	for range len(w.log[len(w.log)-1].Evicted) {
		w.fence()
	}
	if len(w.log[len(w.log)-1].Active) == 0 {
		w.join("e0")
	}
	live := slices.DeleteFunc(slices.Clone(w.runs), func(r *run) bool { return w.active(r) == 0 })
	w.pass(maxRun)
	for range 6 {
		w.net = nil
		for _, r := range live {
			w.catchUp(r)
			w.send(r)
			for len(w.net) > 0 {
				w.deliver(0, false)
			}
		}
		w.check(t, "settling")
		w.pass(maxRun)
	}
	for name, slots := range w.targets {
		sum := 0
		for _, r := range live {
			sum += r.h.Limit(name)
		}
		assert.Equal(t, sum, slots, "of %s after settling", name)
	}
}

// steps lists the kinds of steps; a kind is as frequent as it is listed.
var steps = strings.Fields("round round round round apply apply enforce enforce want want want want" +
	" send send send deliver deliver deliver deliver deliver deliver work work work work pass" +
	" join leave evict fence fence slots")

// active returns the number of active members, 0 if the run is none of them.
func (w *world) active(r *run) int {
	l := w.log[len(w.log)-1].Active
	if !slices.Contains(l, r.Member) {
		return 0
	}
	return len(l)
}
