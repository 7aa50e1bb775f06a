package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUrgentFlood guards against urgent work that starves everything else: it offers
// three times what the fleet holds for a minute.
func TestUrgentFlood(t *testing.T) {
	r := newRig(10, cores(32))
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
		if _, ok := r.start[fmt.Sprint(i)]; ok {
			normal++
		}
	}
	t.Logf("%d normal and %d urgent jobs started on 80 places in 60 s of 2 s jobs", normal, r.starts-normal)
	assert.Assert(t, normal >= 2400/5*9/10)
}

// TestLife guards against a late result that counts, a new planner that starts running
// jobs again, Morning jobs that miss their deadline and a quarantine without end.
func TestLife(t *testing.T) {
	r := newRig(2, cores(8))
	p := r.p
	job := Job{Name: "j", Team: "0", Need: cores(8), Length: time.Second, Urgency: Normal, Idempotent: true}
	assert.NilError(t, p.Adopt(0, job, "w0000", 5))
	assert.Assert(t, p.Next(0) == nil)
	p.Lost(0, "w0000")
	s := p.Next(0).(*Start)
	assert.Assert(t, s.Prev == 5 && s.Worker == "w0001")
	assert.ErrorType(t, p.Confirm(0, "j", 5), &StaleTokenError{})
	assert.NilError(t, p.Confirm(0, "j", 6))
	assert.ErrorType(t, p.Result(0, "j", 5, Done), &StaleTokenError{})
	assert.ErrorType(t, p.Report(Usage{Job: "j", Token: 5}), &StaleTokenError{})
	assert.NilError(t, p.Result(0, "j", 6, Done))

	// A worker that will drain before the job's end does not get it after it made room.
	low, high := job, job
	low.Name, low.Checkpoint = "low", true
	high.Name, high.Urgency, high.Length = "high", Urgent, time.Minute
	assert.NilError(t, p.Submit(low))
	assert.Equal(t, p.Next(0).(*Start).Worker, "w0001")
	assert.NilError(t, p.Confirm(0, "low", 10))
	assert.NilError(t, p.Submit(high))
	assert.Equal(t, p.Next(0).(*Ask).Means, Checkpoint)
	p.PutWorker(Worker{Name: "w0001", Size: cores(8), Drains: time.Second})
	assert.NilError(t, p.Result(0, "low", 10, Paused))
	assert.Equal(t, p.Next(0).(*Start).Job, "low")
	p.Cancel("high", "low")
	p.Reject("low")
	assert.Assert(t, p.Next(0).(*Ended).Reason != nil)
	p.PutWorker(Worker{Name: "w0001", Size: cores(8)})

	// Two classes compete for one place: the Morning job goes first once it has to.
	first, late := job, job
	first.Name, late.Name = "first", "late"
	late.Urgency, late.Deadline = Morning, 10*time.Second
	assert.NilError(t, p.Submit(late))
	assert.NilError(t, p.Submit(first))
	assert.Equal(t, p.Next(0).(*Start).Job, "first")
	p.Reject("first")
	at, ok := p.Wake()
	assert.Assert(t, ok && at == 8*time.Second)
	assert.Equal(t, p.Next(at).(*Start).Job, "late")
	assert.NilError(t, p.Confirm(at, "late", 11))

	// A worker that is dropped ends the jobs that only it could run.
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
	assert.DeepEqual(t, r.locked, []string{"bad"})
	r.broken["bad"] = false
	r.run(sentence, nil)
	for i := range 20 {
		k := Job{Name: fmt.Sprintf("x%d", i), Team: "1", Need: cores(1), Length: time.Second, Urgency: Normal, Idempotent: true}
		assert.NilError(t, r.submit(k, time.Second))
	}
	before := len(r.runs)
	r.run(100*time.Millisecond, nil)
	assert.Equal(t, len(r.runs)-before, 9)
	r.run(3*time.Second, nil)
	assert.Assert(t, !p.workers["bad"].parole && len(r.locked) == 1)
}
