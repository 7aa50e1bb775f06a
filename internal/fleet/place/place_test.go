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

// TestUrgentStarts guards against urgent jobs that wait behind a full fleet: 50 workers
// are full of jobs that may wait, then urgent jobs arrive for a minute. Some workers
// never answer when they are asked to make room.
func TestUrgentStarts(t *testing.T) {
	slow := naiveWaits(50, 2000)
	for _, deaf := range []int{0, 1, 4} {
		r := newRig(50, cores(32))
		for w := range deaf {
			r.deaf[fmt.Sprintf("w%04d", w)] = true
		}
		for i := range 2000 {
			j := Job{Name: fmt.Sprintf("m%d", i), Team: fmt.Sprint(i % 4), Kind: "study", Need: cores(4), Length: time.Minute,
				Urgency: Morning, Idempotent: i%3 != 0, Checkpoint: i%2 == 0}
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
			at, ok := r.start[u]
			assert.Assert(t, ok, u)
			waits = append(waits, at-r.sent[u])
		}
		slices.Sort(waits)
		t.Logf("%d deaf workers, %d urgent jobs: wait p50 %v p99 %v max %v; naive: p50 %v p99 %v max %v",
			deaf, n, waits[n/2], waits[n*99/100], waits[n-1], slow[n/2], slow[n*99/100], slow[n-1])
		assert.Assert(t, waits[n-1] <= 3100*time.Millisecond)
	}
}

// TestLearnedUse guards against capacity lost to declarations that are far too high, and
// against overload when they are too low.
func TestLearnedUse(t *testing.T) {
	for _, use := range []float64{0.2, 0.5, 1, 2} {
		r := newRig(10, cores(32))
		r.use = use
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
			use, r.starts, r.work, 18*80, use*4*80*180, over)
		assert.Assert(t, over == 0)
	}
}

// TestBlame guards against taking a job that can never run for a broken worker or the
// reverse, with both in the same fleet.
func TestBlame(t *testing.T) {
	r := newRig(20, cores(32))
	for _, w := range []string{"w0003", "w0011"} {
		r.broken[w] = true
	}
	for i := range 3000 {
		n := fmt.Sprint(i)
		r.poison[n] = i%37 == 5
		// Kind 3 holds nothing but jobs that can never run.
		r.poison[n] = r.poison[n] || i%10 == 3 && i < 300
		kind := i % 3
		if i%10 == 3 && i < 300 {
			kind = 3
		}
		assert.NilError(t, r.submit(Job{Name: n, Team: fmt.Sprint(i % 4), Kind: fmt.Sprint(kind), Need: cores(2), Length: 3 * time.Second, Idempotent: true, Urgency: Normal}, 3*time.Second))
	}
	r.run(5*time.Minute, nil)
	slices.Sort(r.locked)
	aside, wrong, poison := 0, 0, 0
	for n, e := range r.ends {
		if _, ok := e.(*SetAside); ok {
			aside++
			if !r.poison[n] {
				wrong++
			}
		}
	}
	for _, is := range r.poison {
		if is {
			poison++
		}
	}
	t.Logf("quarantined %v, set aside %d of %d jobs that never run, and %d others; %d starts for 3000 jobs", r.locked, aside-wrong, poison, wrong, r.starts)
	assert.DeepEqual(t, slices.Compact(r.locked), []string{"w0003", "w0011"})
	assert.Equal(t, wrong, 0)
	assert.Equal(t, aside, poison)
}

// TestRefusals guards against untyped or wrong refusals and against two holders.
func TestRefusals(t *testing.T) {
	r := newRig(1, cores(32))
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
	assert.ErrorType(t, r.p.Result(0, "j", 6, Done), &StaleTokenError{})
	r.p.Lost(0, "w0000")
	_, ok = r.p.Next(0).(*Ended).Reason.(*Unknown)
	assert.Assert(t, ok)
	r.p.PutWorker(Worker{Name: "w0000", Size: cores(32), Drains: 5 * time.Second})
	assert.ErrorType(t, r.p.Submit(job), &DuplicateError{})
	long, saved := job, job
	long.Name, long.Length, long.Deadline = "long", time.Minute, time.Second
	saved.Name, saved.Length, saved.Checkpoint = "saved", time.Minute, true
	assert.NilError(t, r.p.Submit(long))
	assert.NilError(t, r.p.Submit(saved))
	assert.Equal(t, r.p.Next(0).(*Start).Job, "saved")
	assert.Assert(t, r.p.Next(0) == nil)
	_, ok = r.p.Next(time.Second).(*Ended).Reason.(*TooLate)
	assert.Assert(t, ok)
}

// TestInvariants guards, under random reports, losses, cancellations and late results,
// against a second holder of a non-idempotent job, against more than a worker or quota
// holds, and against jobs that are left although the naive full scan would place them.
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
					Urgency: Urgency(rapid.IntRange(0, 2).Draw(rt, "class")), Idempotent: n%2 == 0, Checkpoint: n%3 == 0})
				n++
			case 3:
				p.Cancel(some)
			case 4:
				w := fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "worker"))
				p.Lost(now, w)
				p.PutWorker(Worker{Name: w, Size: cores(16)})
			case 5:
				o := Outcome(rapid.IntRange(0, 4).Draw(rt, "outcome"))
				// A released holder is certain not to run the job any more.
				if p.Result(now, some, tokens[some], o) == nil && (o == NotRun || o == Paused) {
					holders[some]--
				}
			case 6:
				assert.Assert(rt, p.Result(now, some, tokens[some]+1000, Done) != nil)
			case 7:
				_ = p.Throttled(some, tokens[some])
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
			check(rt, p, now)
		}
	})
}

// check compares the bookkeeping with a recount and looks for a job that fits.
func check(t *rapid.T, p *Placer, now time.Duration) {
	teams := map[*team]Amount{}
	for _, w := range p.workers {
		var held Amount
		for j := range w.jobs {
			held = held.plus(j.held)
			teams[j.team] = teams[j.team].plus(j.held)
		}
		assert.Equal(t, held, w.held)
		assert.Assert(t, held.within(w.Size) || w.waiting > 0)
	}
	for _, x := range p.list {
		assert.Equal(t, teams[x], x.held)
		assert.Assert(t, x.held.within(x.Quota))
	}
	for _, j := range p.jobs {
		if j.status != queued || j.cancelled || !j.team.held.plus(p.need(j)).within(j.team.Quota) {
			continue
		}
		for _, w := range p.workers {
			fits := p.need(j).within(w.free()) && j.Need.within(w.bound())
			assert.Assert(t, !fits || w.until > 0 || w.parole || j.failed[w], "%s fits on %s at %v", j.Name, w.Name, now)
		}
	}
}
