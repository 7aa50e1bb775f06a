package leader

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against an estimate of a job's memory that is below what the job takes, or far above it, so that
// ordinary jobs would be refused.
func TestJobMemoryEstimate(t *testing.T) {
	manySteps := []byte(`{"phases":[{"count":1}`)
	for range 19_999 {
		manySteps = append(manySteps, `,{"count":1}`...)
	}
	for name, c := range map[string]struct {
		body []byte
		jobs int
	}{
		"ordinary": {[]byte(`{"spec":"x","phases":[{"count":32,"cpu":100},{"count":4,"after":[0]}]}`), 500},
		"tasks":    {[]byte(`{"phases":[{"count":100000,"cpu":10}]}`), 2},
		"steps":    {append(manySteps, "]}"...), 2},
	} {
		t.Run(name, func(t *testing.T) {
			tr := track.New(0)
			before := heap()
			for i := range c.jobs {
				spec, err := platform.DecodeJob(c.body)
				assert.NilError(t, err)
				j := tr.Accept(fmt.Sprint(i), model.Queue{Name: "q"}, spec, 0, 0)
				for _, step := range j.Open[0].Steps {
					for n := range min(len(step.Tasks), 8) {
						tr.BeginRun(step.Tasks[n], "e", 0, 0)
					}
				}
			}
			took := (heap() - before) / int64(c.jobs)
			estimate := bodyBytes(c.body)
			t.Logf("%d bytes a job, estimate %d", took, estimate)
			assert.Assert(t, took <= estimate*5/4 && estimate <= took*4)
			runtime.KeepAlive(tr)
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against large jobs that keep ordinary ones out for ever, and against a sum of jobs above the limit and
// a single large job.
func TestMemoryOfJobsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := guard.NewLimits(rapid.Int64Range(0, 4096).Draw(t, "memory"), 0).Jobs
		largest := estimateBytes(1, 100_000, 0)
		var u usage
		for range rapid.IntRange(1, 300).Draw(t, "jobs") {
			n := rapid.OneOf(rapid.Int64Range(jobBytes, largeJobBytes), rapid.Int64Range(largeJobBytes, largest)).Draw(t, "bytes")
			if u.fits(n, limit) {
				u.add(n)
			}
		}
		assert.Assert(t, u.large+u.others <= limit+largest)
		ordinary := estimateBytes(8, 64, 4000)
		assert.Assert(t, u.others+ordinary > int64(othersShare*float64(limit)) || u.fits(ordinary, limit))
	})
}

// Guards against a single job of the largest legal size that is refused in calm on the smallest instance.
func TestLargestJobIsAcceptedInCalm(t *testing.T) {
	limit := guard.NewLimits(guard.DefaultMemory, 0).Jobs
	for _, n := range []int64{estimateBytes(1, 100_000, 12_000), estimateBytes(20_000, 20_000, 262_144)} {
		assert.Assert(t, usage{}.fits(n, limit))
		assert.Assert(t, usage{others: limit / 8}.fits(n, limit))
	}
	// Some 1,000 ordinary jobs of 64 tasks, ten seconds of the page's load, fit beside the largest one.
	assert.Assert(t, usage{large: estimateBytes(1, 100_000, 0)}.fits(estimateBytes(4, 64, 4000), limit))
}

// Guards against a leader that runs out of memory, while it loads its state, by submissions whose connections were
// closed: it keeps their bodies, and the guard does not count them any more. Guards also against sound ones that are
// refused because of them, and against a refusal of one that is kept.
func TestDeferredSubmissionsAreBounded(t *testing.T) {
	l, _, _ := newTestLeader(t)
	limit := int(guard.NewLimits(0, 0).Held)
	submit := func(ctx context.Context) *submitRequest {
		ev := &submitRequest{Submission: relay.Submission{ID: "a", Body: make([]byte, 256<<10)}, ctx: ctx, reply: make(chan relay.Answer, 1)}
		l.onSubmit(ev)
		return ev
	}
	kept := func() int {
		n := 0
		for _, ev := range l.deferred {
			n += len(ev.(*submitRequest).Body)
		}
		return n
	}
	sound := submit(context.Background())
	gone, cancel := context.WithCancel(context.Background())
	for range 20 {
		submit(gone)
	}
	cancel()
	for range 500 {
		submit(gone)
		assert.Assert(t, kept() <= limit)
	}
	for range 20 {
		assert.Equal(t, len(submit(context.Background()).reply), 0, "refused although the others have ended")
	}
	for range 100 {
		submit(context.Background())
	}
	assert.Assert(t, kept() <= limit && kept() > limit-(256<<10))
	refused := submit(context.Background())
	assert.Equal(t, (<-refused.reply).Verdict, relay.Refused)
	assert.Equal(t, l.deferred[0], event(sound))
}

// Guards against a leader that runs out of memory by repeats of a submission while the store is down.
func TestRepeatsHoldNoBodies(t *testing.T) {
	l, _, _ := newTestLeader(t)
	l.ready = true
	first := &submitRequest{Submission: relay.Submission{ID: "a", Body: []byte("first")}, reply: make(chan relay.Answer, 1)}
	l.store.inFlight = map[string]*submitRequest{"a": first}
	var all []*submitRequest
	for range 2 * maxHeld {
		ev := &submitRequest{Submission: relay.Submission{ID: "a", Body: make([]byte, 1<<10)}, reply: make(chan relay.Answer, 1)}
		l.onSubmit(ev)
		all = append(all, ev)
	}
	assert.Equal(t, len(first.repeats), maxHeld)
	for _, r := range first.repeats {
		assert.Equal(t, len(r.Body), 0)
	}
	first.answer(relay.Answer{Verdict: relay.Stored})
	for i, ev := range all {
		want := relay.Stored
		if i >= maxHeld {
			want = relay.Unknown
		}
		assert.Equal(t, (<-ev.reply).Verdict, want)
	}
}
