package share

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

const (
	service  = 200 // mean service time in ms
	deadline = 2000
)

// driver is a fleet of entries with queues, in steps of 1 ms. Messages take no time,
// but the entries' asks are spread over the interval.
type driver struct {
	mode    string
	every   int
	rnd     *rand.Rand
	names   []string
	targets map[string]int
	nodes   []*entry
	// busy counts the requests at each endpoint and seen is what entries know of it
	// without division.
	busy, seen         map[string]int
	weights            []float64
	waits              []int
	offered, lost      int
	refused, sent, raw int
}

type entry struct {
	h     *Holder
	c     *Custodian
	queue []int
	in    map[string]int
	total int
	last  int
	ends  map[int][]string
}

func newDriver(mode string, entries, endpoints, every int) *driver {
	d := &driver{
		mode: mode, every: every, rnd: rand.New(rand.NewPCG(1, 2)),
		targets: map[string]int{}, busy: map[string]int{}, seen: map[string]int{},
	}
	for i := range endpoints {
		d.names = append(d.names, fmt.Sprintf("i-%04d", i))
		d.targets[d.names[i]] = 8
	}
	v := View{Epoch: 1000}
	for i := range entries {
		v.Active = append(v.Active, Member{fmt.Sprintf("e%d", i), uint64(i)})
		d.weights = append(d.weights, 1/float64(entries))
	}
	for _, m := range v.Active {
		n := &entry{
			h: NewHolder(m.Name, m.Incarnation), c: NewCustodian(m.Name, maxRun),
			in: map[string]int{}, ends: map[int][]string{},
		}
		n.h.Epoch(v, d.targets)
		n.c.Epoch(0, v, d.targets)
		d.nodes = append(d.nodes, n)
	}
	return d
}

// limit returns what an entry may have at the endpoint.
func (d *driver) limit(i int, k int) int {
	n := d.nodes[i]
	switch d.mode {
	case "static":
		return 8 / len(d.nodes)
	case "shares":
		return n.h.Limit(d.names[k])
	case "pooled":
		return 8 - d.busy[d.names[k]] + n.in[d.names[k]]
	}
	return 8 - d.seen[d.names[k]] + n.in[d.names[k]]
}

// pick returns the endpoint with the most free slots of the entry, "" for none.
func (d *driver) pick(i int) string {
	best, room := "", 0
	at := d.rnd.IntN(len(d.names))
	for j := range d.names {
		k := (at + j) % len(d.names)
		if r := d.limit(i, k) - d.nodes[i].in[d.names[k]]; r > room {
			best, room = d.names[k], r
		}
	}
	return best
}

func (d *driver) step(now int, load float64) {
	for i, n := range d.nodes {
		for _, name := range n.ends[now] {
			n.in[name]--
			n.total--
			d.busy[name]--
		}
		delete(n.ends, now)
		for mean := load * float64(8*len(d.names)) / service * d.weights[i]; d.rnd.Float64() < 1-1/(1+mean); {
			n.queue = append(n.queue, now)
			d.offered++
		}
		for len(n.queue) > 0 && now-n.queue[0] > deadline {
			n.queue = n.queue[1:]
			d.lost++
		}
		d.start(now, i)
		if (now+i*d.every/len(d.nodes))%d.every == 0 || len(n.queue) > 0 && now-n.last >= 50 {
			n.last = now
			d.exchange(n)
		}
	}
	if now%d.every == 0 {
		for k, n := range d.busy {
			d.seen[k] = n
		}
	}
}

func (d *driver) start(now, i int) {
	n := d.nodes[i]
	for len(n.queue) > 0 {
		name := d.pick(i)
		if name == "" {
			return
		}
		d.sent++
		if d.busy[name] >= 8 {
			d.refused++
			d.seen[name] = 8
			return
		}
		d.waits = append(d.waits, now-n.queue[0])
		n.queue = n.queue[1:]
		n.in[name]++
		n.total++
		d.busy[name]++
		end := now + 1 + int(d.rnd.ExpFloat64()*service)
		n.ends[end] = append(n.ends[end], name)
	}
}

func (d *driver) exchange(n *entry) {
	d.enforce(n)
	n.h.Demand(d.names, n.total+len(n.queue))
	if d.deliver(n, n.h.Asks()) {
		d.enforce(n)
		d.deliver(n, n.h.Reports())
		d.enforce(n)
	}
}

func (d *driver) enforce(n *entry) {
	for _, name := range d.names {
		n.h.InFlight(name, n.in[name])
	}
}

func (d *driver) deliver(n *entry, asks map[string]*peerpb.SlotAsk) bool {
	changed := false
	for _, to := range d.nodes {
		ask := asks[to.c.name]
		if ask == nil || d.mode != "shares" {
			continue
		}
		r := to.c.Answer(0, ask)
		if to != n {
			d.raw += proto.Size(ask) + proto.Size(r)
		}
		changed = len(n.h.Take(to.c.name, r)) > 0 || changed
	}
	return changed
}

func (d *driver) run(from, to int, load float64) result {
	d.waits, d.offered, d.lost, d.refused, d.sent, d.raw = nil, 0, 0, 0, 0, 0
	for now := from; now < to; now++ {
		d.step(now, load)
	}
	slices.Sort(d.waits)
	sum := 0
	for _, w := range d.waits {
		sum += w
	}
	n := max(len(d.waits), 1)
	return result{
		goodput: 1 - float64(d.lost)/float64(max(d.offered, 1)),
		mean:    float64(sum) / float64(n),
		p99:     d.waits[n*99/100],
		refused: float64(d.refused) / float64(max(d.sent, 1)),
		bytes:   d.raw * 1000 / (to - from) / len(d.nodes),
	}
}

// result holds the goodput and refused attempts as shares of all, the waits in ms and
// the bytes a second of one entry's asks and their replies.
type result struct {
	goodput, mean float64
	p99           int
	refused       float64
	bytes         int
}

// weigh runs one mode with an even demand of 70%, then with half of the demand at one
// entry, and logs the figures of docs/routing.md.
func weigh(t testing.TB, mode string, endpoints, every int) (even, second, later result) {
	d := newDriver(mode, 8, endpoints, every)
	d.run(0, 5000, 0.7)
	even = d.run(5000, 25000, 0.7)
	t.Logf("%s, asks every %d ms, %d endpoints, even: %+v", mode, every, endpoints, even)
	for i := range d.weights {
		d.weights[i] = 0.5 / 7
	}
	d.weights[3] = 0.5
	t.Logf("first second of skew: %+v", d.run(25000, 26000, 0.7))
	second = d.run(26000, 27000, 0.7)
	t.Logf("second second of skew: %+v", second)
	later = d.run(27000, 47000, 0.7)
	t.Logf("skew: %+v", later)
	return even, second, later
}

// Guards against shares that follow a change of demand later than after 1 s, or that
// wait longer than a static division would make requests wait.
func TestFollows(t *testing.T) {
	even, second, later := weigh(t, "shares", 10, 250)
	assert.Assert(t, second.p99 <= 250 && later.p99 <= 250, "p99 waits %d and %d ms", second.p99, later.p99)
	assert.Equal(t, later.goodput, 1.0)
	fixed, _, _ := weigh(t, "static", 10, 250)
	assert.Assert(t, even.mean < fixed.mean && even.p99 < fixed.p99, "%v, static %v", even, fixed)
}

// BenchmarkModes measures the divisions that were weighed: one common pool as the
// bound, static division, shares, and choices by reported load without division.
func BenchmarkModes(b *testing.B) {
	for _, mode := range []string{"pooled", "static", "shares", "choices"} {
		for _, every := range []int{250, 50} {
			b.Run(fmt.Sprintf("%s/%dms", mode, every), func(b *testing.B) {
				for b.Loop() {
					even, second, later := weigh(b, mode, 10, every)
					for name, r := range map[string]result{"even": even, "second": second, "skew": later} {
						b.ReportMetric(r.goodput, name+"-goodput")
						b.ReportMetric(r.mean, name+"-ms")
						b.ReportMetric(float64(r.p99), name+"-p99ms")
						b.ReportMetric(r.refused, name+"-refused")
					}
				}
			})
		}
	}
}

// BenchmarkFlood measures the slots in use while one entry is offered 5 times half of
// the demand, and while all are offered 5 times theirs.
func BenchmarkFlood(b *testing.B) {
	for b.Loop() {
		d := newDriver("shares", 8, 10, 250)
		d.run(0, 5000, 0.7)
		for i := range d.weights {
			d.weights[i] = 0.5 / 7
		}
		d.weights[3] = 2.5
		d.run(5000, 8000, 0.7)
		d.run(8000, 28000, 0.7)
		b.ReportMetric(float64(len(d.waits)*service)/20000/80, "one-use")
		for i := range d.weights {
			d.weights[i] = 0.125
		}
		d.run(28000, 30000, 3.5)
		d.run(30000, 40000, 3.5)
		b.ReportMetric(float64(len(d.waits)*service)/10000/80, "all-use")
	}
}

// BenchmarkExchange measures one entry's round of asks to 8 custodians, and the bytes
// a second that it sends and receives.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{50, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := newDriver("shares", 8, n, 250)
			d.run(0, 2000, 0.7)
			even := d.run(2000, 4000, 0.7)
			for i := range d.weights {
				d.weights[i] = 0.5 / 7
			}
			d.weights[3] = 0.5
			skew := d.run(4000, 6000, 0.7)
			b.ResetTimer()
			for i := range b.N {
				d.exchange(d.nodes[i%8])
			}
			b.ReportMetric(float64(even.bytes), "even-bytes/s")
			b.ReportMetric(float64(skew.bytes), "skew-bytes/s")
		})
	}
}
