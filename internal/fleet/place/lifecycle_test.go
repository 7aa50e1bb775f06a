package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUrgentFlood guards against urgent jobs that starve all others: for a minute, urgent
// jobs with three times the fleet's capacity are submitted.
func TestUrgentFlood(t *testing.T) {
	r := newSim(10, cores(32))
	for i := range 1000 {
		assert.NilError(t, r.submit(Job{Name: fmt.Sprint(i), Team: "0", Need: cores(4), Urgency: Normal, Idempotent: true}, 2*time.Second))
	}
	n, normal := 0, 0
	r.run(time.Minute, func() {
		for range 12 {
			n++
			assert.NilError(t, r.submit(Job{Name: fmt.Sprintf("u%d", n), Team: "1", Need: cores(4), Urgency: Urgent}, 2*time.Second))
		}
	})
	for i := range 1000 {
		if _, ok := r.startedAt[fmt.Sprint(i)]; ok {
			normal++
		}
	}
	t.Logf("%d normal and %d urgent jobs started on 80 places in 60 s of 2 s jobs", normal, r.starts-normal)
	assert.Assert(t, normal >= 2400/5*9/10)
}

// TestLifecycle guards against late results that count, a new planner that starts running
// jobs a second time, Deferrable jobs that miss their deadline and endless quarantines.
func TestLifecycle(t *testing.T) {
	r := newSim(2, cores(8))
	p := r.p
	job := Job{Name: "j", Team: "0", Need: cores(8), Length: time.Second, Urgency: Normal, Idempotent: true}
	assert.NilError(t, p.Adopt(0, job, "w0000", 5))
	assert.Assert(t, p.Next(0) == nil)
	p.ReportLost(0, "w0000")
	s := p.Next(0).(*Start)
	assert.Assert(t, s.PrevToken == 5 && s.Worker == "w0001")
	assert.ErrorType(t, p.Confirm(0, "j", 5), &StaleTokenError{})
	assert.NilError(t, p.Confirm(0, "j", 6))
	assert.ErrorType(t, p.ReportResult(0, "j", 5, Done), &StaleTokenError{})
	assert.ErrorType(t, p.ReportUsage(Usage{Job: "j", Token: 5}), &StaleTokenError{})
	assert.NilError(t, p.ReportResult(0, "j", 6, Done))

	// A worker that will drain before the end of the urgent job does not get it, although
	// jobs were preempted there.
	low, high := job, job
	low.Name, low.CanCheckpoint = "low", true
	high.Name, high.Urgency, high.Length = "high", Urgent, time.Minute
	assert.NilError(t, p.Submit(low))
	assert.Equal(t, p.Next(0).(*Start).Worker, "w0001")
	assert.NilError(t, p.Confirm(0, "low", 10))
	assert.NilError(t, p.Submit(high))
	assert.Equal(t, p.Next(0).(*Command).Kind, Checkpoint)
	p.PutWorker(Worker{Name: "w0001", Size: cores(8), DrainsAt: time.Second})
	assert.NilError(t, p.ReportResult(0, "low", 10, Paused))
	assert.Equal(t, p.Next(0).(*Start).Job, "low")
	p.Cancel("high", "low")
	p.Reject("low")
	assert.Assert(t, p.Next(0).(*Ended).Reason != nil)
	p.PutWorker(Worker{Name: "w0001", Size: cores(8)})

	// Two classes compete for one worker: the Deferrable job is placed first once it has to
	// start for its deadline.
	first, late := job, job
	first.Name, late.Name = "first", "late"
	late.Urgency, late.Deadline = Deferrable, 10*time.Second
	assert.NilError(t, p.Submit(late))
	assert.NilError(t, p.Submit(first))
	assert.Equal(t, p.Next(0).(*Start).Job, "first")
	p.Reject("first")
	at, ok := p.NextWakeup()
	assert.Assert(t, ok && at == 8*time.Second)
	assert.Equal(t, p.Next(at).(*Start).Job, "late")
	assert.NilError(t, p.Confirm(at, "late", 11))

	// When a worker is dropped, the jobs that only it could run end.
	p.PutWorker(Worker{Name: "big", Size: cores(16)})
	big := job
	big.Name, big.Need = "big", cores(16)
	assert.NilError(t, p.Submit(big))
	p.Cancel("first")
	assert.Equal(t, p.Next(at).(*Start).Job, "big")
	p.DropWorker(at, "big")
	_, ok = p.Next(at).(*Ended).Reason.(*NeverFits)
	assert.Assert(t, ok)

	// After its quarantine, a worker gets one job at a time until one succeeds.
	p.DropWorker(at, "w0001")
	p.PutWorker(Worker{Name: "bad", Size: cores(8)})
	p.PutWorker(Worker{Name: "w0000", Size: cores(8)})
	r.broken["bad"] = true
	r.now, r.token = at, 100
	for i := range 200 {
		k := Job{Name: fmt.Sprint(i), Team: "1", Need: cores(1), Length: time.Second, Urgency: Normal, Idempotent: true}
		assert.NilError(t, r.submit(k, time.Second))
	}
	r.run(time.Minute, nil)
	assert.DeepEqual(t, r.quarantined, []string{"bad"})
	r.broken["bad"] = false
	r.run(quarantineTime, nil)
	for i := range 20 {
		k := Job{Name: fmt.Sprintf("x%d", i), Team: "1", Need: cores(1), Length: time.Second, Urgency: Normal, Idempotent: true}
		assert.NilError(t, r.submit(k, time.Second))
	}
	before := len(r.runs)
	r.run(100*time.Millisecond, nil)
	assert.Equal(t, len(r.runs)-before, 9)
	r.run(3*time.Second, nil)
	assert.Assert(t, !p.workers["bad"].onProbation && len(r.quarantined) == 1)
}
