package alloc

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
	service  = 200  // mean service time in ms
	deadline = 2000 // ms
)

// simulation is a fleet of entries with queues, in steps of 1 ms. Messages are delivered at once;
// the asks of the entries are spread over the interval.
type simulation struct {
	mode     string
	interval int
	rnd      *rand.Rand
	names    []string
	targets  map[string]int
	nodes    []*simEntry
	// busy is the number of requests at each endpoint; seen is the value that entries last
	// received, which the mode without division uses.
	busy, seen                  map[string]int
	weights                     []float64
	waits                       []int
	offered, lost               int
	refused, attempts, rawBytes int
}

// simEntry is one entry. last is the time of its last exchange in ms, and ends lists the endpoints
// of its requests in flight by the time in ms at which they end.
type simEntry struct {
	holder    *Holder
	allocator *Allocator
	queue     []int
	inFlight  map[string]int
	total     int
	last      int
	ends      map[int][]string
}

func newSimulation(mode string, entries, endpoints, every int) *simulation {
	s := &simulation{
		mode: mode, interval: every, rnd: rand.New(rand.NewPCG(1, 2)),
		targets: map[string]int{}, busy: map[string]int{}, seen: map[string]int{},
	}
	for i := range endpoints {
		s.names = append(s.names, fmt.Sprintf("i-%04d", i))
		s.targets[s.names[i]] = 8
	}
	v := View{Epoch: 1000}
	for i := range entries {
		v.Active = append(v.Active, Member{fmt.Sprintf("e%d", i), uint64(i)})
		s.weights = append(s.weights, 1/float64(entries))
	}
	for _, m := range v.Active {
		n := &simEntry{
			holder: NewHolder(m.Name, m.Incarnation), allocator: NewAllocator(m.Name, maxRun),
			inFlight: map[string]int{}, ends: map[int][]string{},
		}
		n.holder.SetView(v, s.targets)
		n.allocator.SetView(0, v, s.targets)
		s.nodes = append(s.nodes, n)
	}
	return s
}

// limit returns the number of slots that an entry may use at the endpoint.
func (s *simulation) limit(i int, k int) int {
	n := s.nodes[i]
	switch s.mode {
	case "static":
		return 8 / len(s.nodes)
	case "shares":
		return n.holder.Limit(s.names[k])
	case "pooled":
		return 8 - s.busy[s.names[k]] + n.inFlight[s.names[k]]
	}
	return 8 - s.seen[s.names[k]] + n.inFlight[s.names[k]]
}

// pick returns the endpoint with the most free slots for the entry, "" for none.
func (s *simulation) pick(i int) string {
	best, room := "", 0
	at := s.rnd.IntN(len(s.names))
	for j := range s.names {
		k := (at + j) % len(s.names)
		if r := s.limit(i, k) - s.nodes[i].inFlight[s.names[k]]; r > room {
			best, room = s.names[k], r
		}
	}
	return best
}

func (s *simulation) step(now int, load float64) {
	for i, n := range s.nodes {
		for _, name := range n.ends[now] {
			n.inFlight[name]--
			n.total--
			s.busy[name]--
		}
		delete(n.ends, now)
		for mean := load * float64(8*len(s.names)) / service * s.weights[i]; s.rnd.Float64() < 1-1/(1+mean); {
			n.queue = append(n.queue, now)
			s.offered++
		}
		for len(n.queue) > 0 && now-n.queue[0] > deadline {
			n.queue = n.queue[1:]
			s.lost++
		}
		s.start(now, i)
		if (now+i*s.interval/len(s.nodes))%s.interval == 0 || len(n.queue) > 0 && now-n.last >= 50 {
			n.last = now
			s.exchange(n)
		}
	}
	if now%s.interval == 0 {
		for k, n := range s.busy {
			s.seen[k] = n
		}
	}
}

func (s *simulation) start(now, i int) {
	n := s.nodes[i]
	for len(n.queue) > 0 {
		name := s.pick(i)
		if name == "" {
			return
		}
		s.attempts++
		if s.busy[name] >= 8 {
			s.refused++
			s.seen[name] = 8
			return
		}
		s.waits = append(s.waits, now-n.queue[0])
		n.queue = n.queue[1:]
		n.inFlight[name]++
		n.total++
		s.busy[name]++
		end := now + 1 + int(s.rnd.ExpFloat64()*service)
		n.ends[end] = append(n.ends[end], name)
	}
}

func (s *simulation) exchange(n *simEntry) {
	s.enforce(n)
	n.holder.SetPoolDemand(s.names, n.total+len(n.queue))
	if s.deliver(n, n.holder.Asks()) {
		s.enforce(n)
		s.deliver(n, n.holder.ChangedAsks())
		s.enforce(n)
	}
}

func (s *simulation) enforce(n *simEntry) {
	for _, name := range s.names {
		n.holder.SetInFlight(name, n.inFlight[name])
	}
}

func (s *simulation) deliver(n *simEntry, asks map[string]*peerpb.SlotAsk) bool {
	changed := false
	for _, to := range s.nodes {
		ask := asks[to.allocator.name]
		if ask == nil || s.mode != "shares" {
			continue
		}
		r := to.allocator.HandleAsk(0, ask)
		if to != n {
			s.rawBytes += proto.Size(ask) + proto.Size(r)
		}
		changed = len(n.holder.ApplyReply(to.allocator.name, r)) > 0 || changed
	}
	return changed
}

func (s *simulation) run(from, to int, load float64) result {
	s.waits, s.offered, s.lost, s.refused, s.attempts, s.rawBytes = nil, 0, 0, 0, 0, 0
	for now := from; now < to; now++ {
		s.step(now, load)
	}
	slices.Sort(s.waits)
	sum := 0
	for _, w := range s.waits {
		sum += w
	}
	n := max(len(s.waits), 1)
	return result{
		goodput: 1 - float64(s.lost)/float64(max(s.offered, 1)),
		mean:    float64(sum) / float64(n),
		p99:     s.waits[n*99/100],
		refused: float64(s.refused) / float64(max(s.attempts, 1)),
		bytes:   s.rawBytes * 1000 / (to - from) / len(s.nodes),
	}
}

// result holds the goodput and the refused attempts as fractions, the waits in ms, and the bytes
// per second of the asks and replies of one entry.
type result struct {
	goodput, mean float64
	p99           int
	refused       float64
	bytes         int
}

// runMode runs one mode with an even demand of 70%, then with half of the demand at one entry, and
// logs the figures for docs/routing.md.
func runMode(t testing.TB, mode string, endpoints, every int) (even, second, later result) {
	s := newSimulation(mode, 8, endpoints, every)
	s.run(0, 5000, 0.7)
	even = s.run(5000, 25000, 0.7)
	t.Logf("%s, asks every %d ms, %d endpoints, even: %+v", mode, every, endpoints, even)
	for i := range s.weights {
		s.weights[i] = 0.5 / 7
	}
	s.weights[3] = 0.5
	t.Logf("first second of skew: %+v", s.run(25000, 26000, 0.7))
	second = s.run(26000, 27000, 0.7)
	t.Logf("second second of skew: %+v", second)
	later = s.run(27000, 47000, 0.7)
	t.Logf("skew: %+v", later)
	return even, second, later
}

// Guards against limits that follow a change of demand after more than 1 s, and against longer
// waits than with a static division.
func TestFollows(t *testing.T) {
	even, second, later := runMode(t, "shares", 10, 250)
	assert.Assert(t, second.p99 <= 250 && later.p99 <= 250, "p99 waits %d and %d ms", second.p99, later.p99)
	assert.Equal(t, later.goodput, 1.0)
	fixed, _, _ := runMode(t, "static", 10, 250)
	assert.Assert(t, even.mean < fixed.mean && even.p99 < fixed.p99, "%v, static %v", even, fixed)
}

// BenchmarkModes compares the ways to divide slots: one common pool as the upper bound, a static
// division, division by demand, and choices by reported load without division.
func BenchmarkModes(b *testing.B) {
	for _, mode := range []string{"pooled", "static", "shares", "choices"} {
		for _, every := range []int{250, 50} {
			b.Run(fmt.Sprintf("%s/%dms", mode, every), func(b *testing.B) {
				for b.Loop() {
					even, second, later := runMode(b, mode, 10, every)
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

// BenchmarkFlood measures the slots in use while one entry is offered 5 times half of the demand,
// and while all entries are offered 5 times theirs.
func BenchmarkFlood(b *testing.B) {
	for b.Loop() {
		s := newSimulation("shares", 8, 10, 250)
		s.run(0, 5000, 0.7)
		for i := range s.weights {
			s.weights[i] = 0.5 / 7
		}
		s.weights[3] = 2.5
		s.run(5000, 8000, 0.7)
		s.run(8000, 28000, 0.7)
		b.ReportMetric(float64(len(s.waits)*service)/20000/80, "one-use")
		for i := range s.weights {
			s.weights[i] = 0.125
		}
		s.run(28000, 30000, 3.5)
		s.run(30000, 40000, 3.5)
		b.ReportMetric(float64(len(s.waits)*service)/10000/80, "all-use")
	}
}

// BenchmarkExchange measures the asks of one entry to 8 allocators, and the bytes per second that
// it sends and receives.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{50, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSimulation("shares", 8, n, 250)
			s.run(0, 2000, 0.7)
			even := s.run(2000, 4000, 0.7)
			for i := range s.weights {
				s.weights[i] = 0.5 / 7
			}
			s.weights[3] = 0.5
			skew := s.run(4000, 6000, 0.7)
			b.ResetTimer()
			for i := range b.N {
				s.exchange(s.nodes[i%8])
			}
			b.ReportMetric(float64(even.bytes), "even-bytes/s")
			b.ReportMetric(float64(skew.bytes), "skew-bytes/s")
		})
	}
}
