package admit_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

// figures are what a discipline reached, the worst case of all pairs of a flooded service and
// another one. Ratios are to the same demand without floods.
type figures struct {
	goodput  float64       // of another service
	teams    float64       // goodput of the teams that do not flood in the flooded service
	p99      time.Duration // queueing time of another service
	p99Quiet time.Duration // of the same service in the same seconds without flood
	flooded  float64       // goodput of the flooded service to what the others leave of the slots
	use      float64       // slot use while requests wait
	normal   time.Duration // time after a flood until no request waits, at most 3 s
}

const header = "      goodput     teams  p99 wait      quiet    flooded      use    normal"

func (f figures) String() string {
	ms := func(d time.Duration) float64 { return d.Seconds() * 1e3 }
	return fmt.Sprintf("%8.2f%% %8.2f%% %7.1fms %7.1fms %8.1f%% %8.1f%% %8.2fs",
		f.goodput*100, f.teams*100, ms(f.p99), ms(f.p99Quiet), f.flooded*100, f.use*100, f.normal.Seconds())
}

// part selects the requests of service s that arrive while another one floods.
func part(jobs []*job, s, flood int) (w []time.Duration, good, others float64) {
	for _, j := range jobs {
		if inFlood(j.at) != flood || j.class.Service != serviceName(s) {
			continue
		}
		wait := time.Duration(math.MaxInt64)
		if j.start >= 0 {
			wait = j.start - j.at
		}
		w = append(w, wait)
		if j.good() {
			good++
		}
		if j.good() && j.class.Team != "a" {
			others++
		}
	}
	slices.Sort(w)
	return w, good, others
}

// slotTime returns the slot time that the selected jobs use between from and to.
func slotTime(jobs []*job, from, to time.Duration, ok func(*job) bool) (d time.Duration) {
	for _, j := range jobs {
		if j.start >= 0 && ok(j) {
			d += max(min(j.end, to)-max(j.start, from), 0)
		}
	}
	return d
}

// compare compares a run with floods to one without.
func compare(quiet, jobs []*job, slots int, u use) figures {
	f := figures{goodput: 1, teams: 1, flooded: 1, use: float64(u.used) / float64(u.possible)}
	for flood := range services {
		end := time.Duration(flood)*phase + floodEnd
		for s := range services {
			w, good, others := part(jobs, s, flood)
			w0, good0, others0 := part(quiet, s, flood)
			if s == flood {
				f.teams = min(f.teams, others/others0)
				continue
			}
			f.goodput = min(f.goodput, good/good0)
			if p := w[len(w)*99/100]; p >= f.p99 {
				f.p99, f.p99Quiet = p, w0[len(w0)*99/100]
			}
		}
		// In the first half second the flood fills the slots that were idle before it.
		from := end - (floodEnd - floodStart) + 500*time.Millisecond
		left := time.Duration(slots)*(end-from) - slotTime(quiet, from, end, func(j *job) bool {
			return j.class.Service != serviceName(flood)
		})
		got := slotTime(jobs, from, end, func(j *job) bool {
			return j.class.Service == serviceName(flood) && j.good()
		})
		f.flooded = min(f.flooded, got.Seconds()/left.Seconds())
		for _, j := range jobs {
			if j.start > j.at && j.at < end+2500*time.Millisecond {
				f.normal = max(f.normal, min(j.start-end, 3*time.Second))
			}
		}
	}
	return f
}

// seeds gives 8,400 requests for each pair of a flooded service and another one, so that the
// p99 of a pair does not depend on a few bursts.
const seeds = 5

// measure returns the requests and the slot use of the runs of all seeds together.
func measure(entries int, flood bool, u admit.Urgency, queues func(entries, slots int) []queue) ([]*job, use) {
	var all []*job
	var sum use
	for seed := range uint64(seeds) {
		jobs := demand(seed, entries, flood, u)
		part := simulate(jobs, queues(entries, 400/entries), 400/entries)
		sum.used += part.used
		sum.possible += part.possible
		all = append(all, jobs...)
	}
	return all, sum
}

// flood measures a flood under fair and naive queues and prints the figures of both.
func flood(t *testing.T, entries int, u admit.Urgency) figures {
	t.Helper()
	quiet, _ := measure(entries, false, u, fairQueues)
	jobs, used := measure(entries, true, u, fairQueues)
	fair := compare(quiet, jobs, seeds*400, used)
	jobs, used = measure(entries, true, u, fifoQueues)
	fifo := compare(quiet, jobs, seeds*400, used)
	t.Logf("entries: %d, flood: %v\n%s\nfair%v\nfifo%v", entries, u, header, fair, fifo)
	return fair
}

// Guards against a flood that takes goodput from other services or teams, wastes slots, gets
// less than its share, or outlasts its demand, with one entry and with eight.
func TestFlood(t *testing.T) {
	for _, entries := range []int{1, 8} {
		for _, u := range []admit.Urgency{admit.Deferrable, admit.Urgent} {
			t.Run(fmt.Sprintf("%d/%v", entries, u), func(t *testing.T) {
				t.Parallel()
				f := flood(t, entries, u)
				assert.Check(t, f.goodput >= 0.99)
				assert.Check(t, f.teams >= 0.99)
				assert.Check(t, f.flooded >= 0.95)
				assert.Check(t, f.use >= 0.95)
				assert.Check(t, f.normal <= 2*time.Second)
				if entries == 1 {
					assert.Check(t, float64(f.p99) <= 1.25*float64(f.p99Quiet))
				}
			})
		}
	}
}
