package place

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func cores(n int64) Amount { return Amount{Cores: n * 1000, Memory: n * 2 * gb} }

// TestUrgentStarts guards against urgent jobs that wait for a full fleet: 50 workers are
// full of Deferrable jobs, then urgent jobs arrive for a minute. Some workers never react
// to preemption commands.
func TestUrgentStarts(t *testing.T) {
	baseWaits := baselineWaits(50, 2000)
	for _, unresponsive := range []int{0, 1, 4} {
		r := newSim(50, cores(32))
		for w := range unresponsive {
			r.unresponsive[fmt.Sprintf("w%04d", w)] = true
		}
		for i := range 2000 {
			j := Job{Name: fmt.Sprintf("m%d", i), Team: fmt.Sprint(i % 4), Kind: "study", Need: cores(4), Length: time.Minute,
				Urgency: Deferrable, Idempotent: i%3 != 0, CanCheckpoint: i%2 == 0}
			assert.NilError(t, r.submit(j, time.Minute))
		}
		r.run(10*time.Second, nil)
		n := 0
		r.run(time.Minute, func() {
			for range 2 {
				n++
				j := Job{Name: fmt.Sprintf("u%d", n), Team: fmt.Sprint(n % 4), Kind: "plan", Need: cores(8), Length: 2 * time.Second, Urgency: Urgent}
				assert.NilError(t, r.submit(j, 2*time.Second))
			}
		})
		r.run(4*time.Second, nil)
		var waits []time.Duration
		for i := range n {
			u := fmt.Sprintf("u%d", i+1)
			at, ok := r.startedAt[u]
			assert.Assert(t, ok, u)
			waits = append(waits, at-r.submittedAt[u])
		}
		slices.Sort(waits)
		t.Logf("%d unresponsive workers, %d urgent jobs: wait p50 %v p99 %v max %v; baseline: p50 %v p99 %v max %v",
			unresponsive, n, waits[n/2], waits[n*99/100], waits[n-1], baseWaits[n/2], baseWaits[n*99/100], baseWaits[n-1])
		assert.Assert(t, waits[n-1] <= 3100*time.Millisecond)
	}
}

// TestLearnedUse guards against unused capacity when jobs declare far more than they use,
// and against overload when they declare less.
func TestLearnedUse(t *testing.T) {
	for _, use := range []float64{0.2, 0.5, 1, 2} {
		r := newSim(10, cores(32))
		r.useFactor = use
		for i := range 3000 {
			assert.NilError(t, r.submit(Job{Name: fmt.Sprint(i), Team: "0", Kind: "k", Need: cores(4), Length: 10 * time.Second, Idempotent: true, Urgency: Normal}, 10*time.Second))
		}
		over := 0
		r.run(3*time.Minute, func() {
			used := map[string]float64{}
			for _, x := range r.runs {
				used[x.worker] += 4 * use
			}
			for _, u := range used {
				if r.now > 30*time.Second && u > 32 {
					over++
				}
			}
		})
		t.Logf("use %.1f of the declared: %d started, %.0f core-seconds used; by declaration alone at most %d and %.0f; worker-steps over capacity after 30 s: %d",
			use, r.starts, r.coreSeconds, 18*80, use*4*80*180, over)
		assert.Assert(t, over == 0)
	}
}

// TestFailureAttribution guards against failures that are attributed to the worker instead
// of a faulty job, or the reverse, with both in the same fleet.
func TestFailureAttribution(t *testing.T) {
	r := newSim(20, cores(32))
	for _, w := range []string{"w0003", "w0011"} {
		r.broken[w] = true
	}
	for i := range 3000 {
		n := fmt.Sprint(i)
		r.alwaysFails[n] = i%37 == 5
		// Kind 3 consists only of jobs that always fail.
		r.alwaysFails[n] = r.alwaysFails[n] || i%10 == 3 && i < 300
		kind := i % 3
		if i%10 == 3 && i < 300 {
			kind = 3
		}
		assert.NilError(t, r.submit(Job{Name: n, Team: fmt.Sprint(i % 4), Kind: fmt.Sprint(kind), Need: cores(2), Length: 3 * time.Second, Idempotent: true, Urgency: Normal}, 3*time.Second))
	}
	r.run(5*time.Minute, nil)
	slices.Sort(r.quarantined)
	exhausted, wrong, unrunnable := 0, 0, 0
	for n, e := range r.ends {
		if _, ok := e.(*RetriesExhausted); ok {
			exhausted++
			if !r.alwaysFails[n] {
				wrong++
			}
		}
	}
	for _, is := range r.alwaysFails {
		if is {
			unrunnable++
		}
	}
	t.Logf("quarantined %v, gave up %d of %d jobs that always fail, and %d others; %d starts for 3000 jobs", r.quarantined, exhausted-wrong, unrunnable, wrong, r.starts)
	assert.DeepEqual(t, slices.Compact(r.quarantined), []string{"w0003", "w0011"})
	assert.Equal(t, wrong, 0)
	assert.Equal(t, exhausted, unrunnable)
}

// TestRefusals guards against untyped or wrong errors and against a job that runs on two
// workers.
func TestRefusals(t *testing.T) {
	r := newSim(1, cores(32))
	job := Job{Name: "j", Team: "0", Need: cores(4), Length: time.Second, Urgency: Normal}
	large := job
	large.Need = cores(33)
	var fits *NeverFits
	assert.Assert(t, errors.As(r.p.Submit(large), &fits) && fits.Largest == cores(32))
	assert.NilError(t, r.p.Submit(job))
	assert.ErrorType(t, r.p.Submit(job), &DuplicateError{})
	_, ok := r.p.Next(0).(*Start)
	assert.Assert(t, ok)
	assert.NilError(t, r.p.Confirm(0, "j", 7))
	assert.ErrorType(t, r.p.Confirm(0, "j", 8), &StaleTokenError{})
	assert.ErrorType(t, r.p.ReportResult(0, "j", 6, Done), &StaleTokenError{})
	r.p.ReportLost(0, "w0000")
	_, ok = r.p.Next(0).(*Ended).Reason.(*OutcomeUnknown)
	assert.Assert(t, ok)
	r.p.PutWorker(Worker{Name: "w0000", Size: cores(32), DrainsAt: 5 * time.Second})
	assert.ErrorType(t, r.p.Submit(job), &DuplicateError{})
	long, saved := job, job
	long.Name, long.Length, long.Deadline = "long", time.Minute, time.Second
	saved.Name, saved.Length, saved.CanCheckpoint = "saved", time.Minute, true
	assert.NilError(t, r.p.Submit(long))
	assert.NilError(t, r.p.Submit(saved))
	assert.Equal(t, r.p.Next(0).(*Start).Job, "saved")
	assert.Assert(t, r.p.Next(0) == nil)
	_, ok = r.p.Next(time.Second).(*Ended).Reason.(*DeadlinePassed)
	assert.Assert(t, ok)
}

// TestInvariants runs random reports, losses, cancellations and late results. It guards
// against a second worker for a non-idempotent job, against allocations above the size of a
// worker or a quota, and against queued jobs that a full scan would place.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := New()
		quota := cores(int64(rapid.IntRange(8, 64).Draw(rt, "quota")))
		p.PutTeam(Team{"a", 1, quota})
		p.PutTeam(Team{"b", 2, cores(64)})
		for w := range 4 {
			p.PutWorker(Worker{Name: fmt.Sprint(w), Size: cores(16)})
		}
		holders, tokens, now := map[string]int{}, map[string]uint64{}, time.Duration(0)
		token, n := uint64(0), 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += 300 * time.Millisecond
			some := fmt.Sprint(rapid.IntRange(0, n).Draw(rt, "job"))
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0, 1, 2:
				size := int64(1) << rapid.IntRange(0, 4).Draw(rt, "size")
				_ = p.Submit(Job{Name: fmt.Sprint(n), Team: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team"), Need: cores(size),
					Urgency: Urgency(rapid.IntRange(0, 2).Draw(rt, "class")), Idempotent: n%2 == 0, CanCheckpoint: n%3 == 0})
				n++
			case 3:
				p.Cancel(some)
			case 4:
				w := fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "worker"))
				p.ReportLost(now, w)
				p.PutWorker(Worker{Name: w, Size: cores(16)})
			case 5:
				o := Outcome(rapid.IntRange(0, 4).Draw(rt, "outcome"))
				// With these outcomes the worker certainly does not run the job any more.
				if p.ReportResult(now, some, tokens[some], o) == nil && (o == NotRun || o == Paused) {
					holders[some]--
				}
			case 6:
				assert.Assert(rt, p.ReportResult(now, some, tokens[some]+1000, Done) != nil)
			case 7:
				_ = p.ReportThrottled(some, tokens[some])
			}
			for a := p.Next(now); a != nil; a = p.Next(now) {
				s, ok := a.(*Start)
				if !ok {
					continue
				}
				if rapid.IntRange(0, 4).Draw(rt, "reject") == 0 {
					p.Reject(s.Job)
					break
				}
				token++
				assert.NilError(rt, p.Confirm(now, s.Job, token))
				tokens[s.Job] = token
				holders[s.Job]++
				assert.Assert(rt, p.jobs[s.Job].Idempotent || holders[s.Job] == 1, "two holders of %s", s.Job)
			}
			for p.Next(now) != nil {
				continue
			}
			checkInvariants(rt, p, now)
		}
	})
}

// checkInvariants compares the allocations with a recount and looks for a queued job that
// fits.
func checkInvariants(t *rapid.T, p *Placer, now time.Duration) {
	teams := map[*team]Amount{}
	for _, w := range p.workers {
		var held Amount
		for j := range w.jobs {
			held = held.plus(j.allocated)
			teams[j.team] = teams[j.team].plus(j.allocated)
		}
		assert.Equal(t, held, w.allocated)
		assert.Assert(t, held.fitsIn(w.Size) || w.waiting > 0)
	}
	for _, x := range p.teamList {
		assert.Equal(t, teams[x], x.allocated)
		assert.Assert(t, x.allocated.fitsIn(x.Quota))
	}
	for _, j := range p.jobs {
		if j.status != queued || j.cancelled || !j.team.allocated.plus(p.expectedNeed(j)).fitsIn(j.team.Quota) {
			continue
		}
		for _, w := range p.workers {
			fits := p.expectedNeed(j).fitsIn(w.free()) && j.Need.fitsIn(w.declarable())
			assert.Assert(t, !fits || w.quarantinedUntil > 0 || w.onProbation || j.failedOn[w], "%s fits on %s at %v", j.Name, w.Name, now)
		}
	}
}
