package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// checkInterval is the time between checks of what the stand-ins saw.
	checkInterval = 200 * time.Millisecond
	// stabilityWindow is how long an entry is undisturbed before it counts as in touch.
	stabilityWindow = 3 * time.Second
	// visible is the time after which an accepted job is known to all entries.
	visible = 3 * time.Second
	// finish is how long after the last fault all accepted jobs have ended.
	finish = stabilityWindow + 14*time.Second
	// cancelTime is how long after its cancel a job still starts tasks, and stopTimeout how long the
	// stop of a run takes.
	cancelTime, stopTimeout = 3 * time.Second, 900 * time.Millisecond
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// maxMore is the largest number of further findings of a rule and job that are recorded.
	maxMore = 20
	// idDigits is the length of a job's id.
	idDigits = 16
)

// Finding is a broken promise.
type Finding struct {
	At time.Duration
	// Rule is the name of the rule, and Job the id of the job, empty for none.
	Rule, Job, Text string
	// More holds the texts of further findings of the same rule and job.
	More []string
}

// String returns a line about the finding, and one about each further finding.
func (f Finding) String() string {
	return fmt.Sprintf("%7.3fs %s %s", f.At.Seconds(), f.Rule, strings.Join(append([]string{f.Text}, f.More...), "\n      also "))
}

// found records a finding. Those of the same rule and job are recorded together, and each text once.
func (r *run) found(rule, job, format string, args ...any) {
	f := Finding{At: r.clk.Now(), Rule: rule, Job: job, Text: fmt.Sprintf(format, args...)}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.findings {
		old := &r.findings[i]
		if old.Rule != rule || old.Job != job || job == "" && old.Text != f.Text {
			continue
		}
		if old.Text != f.Text && len(old.More) < maxMore && !slices.Contains(old.More, f.Text) {
			old.More = append(old.More, f.Text)
		}
		return
	}
	r.findings = append(r.findings, f)
}

// checkState checks a state that an entry has shown.
func (r *run) checkState(j *job, state string, entry int) {
	v := j.view()
	switch state {
	case model.Complete.String():
		if n := r.platform.Done(j.id); n < j.tasks {
			r.found("MIXED", j.id, "%s is shown as complete by entry-%d, and %d of %d tasks are done", j.id, entry, n, j.tasks)
		}
	case model.Failed.String():
		if r.platform.Exhausted(j.id, maxAttempts) == 0 {
			r.found("LOST", j.id, "%s is shown as failed by entry-%d, and no task has failed %d times", j.id, entry, maxAttempts)
		}
	case model.Cancelled.String():
		if !v.cancelSent {
			r.found("LOST", j.id, "%s is shown as cancelled by entry-%d, and nobody has cancelled it", j.id, entry)
		}
	default:
		return
	}
	j.recordFinal(state)
}

// watch checks what the stand-ins see until the context ends.
func (r *run) watch(ctx context.Context) {
	for seen := 0; ctx.Err() == nil; {
		seen = r.checkPlatform(seen)
		r.checkWaves()
		r.shares.add(r.clk.Now(), r.platform.CoresByAccount)
		clock.Pause(ctx, r.clk, checkInterval)
	}
}

// checkPlatform records the violations after the first seen ones, and the jobs that were refused and
// run. It returns the number of violations.
func (r *run) checkPlatform(seen int) int {
	all := r.platform.Violations()
	for _, v := range all[seen:] {
		rule, text, _ := strings.Cut(v, " ")
		r.found(rule, jobIn(text), "%s", text)
	}
	for _, j := range r.jobs.list() {
		if j.view().refused && r.platform.Starts(j.id) > 0 {
			r.found("REFUSED", j.id, "%s was refused by all entries that were asked, and runs", j.id)
		}
	}
	return len(all)
}

// jobIn returns the id of the job whose task a text begins with, empty for none.
func jobIn(text string) string {
	if id, _, ok := strings.Cut(text, "."); ok && len(id) == idDigits {
		return id
	}
	return ""
}

// settle waits until all accepted jobs have ended and all their long-running tasks run, and records
// those for which that takes too long after the last fault.
func (r *run) settle(c *caller) {
	end := r.clk.Now() + finish
	open := r.jobs.list()
	for {
		open = r.unsettled(c, open)
		if len(open) == 0 || r.clk.Now() > end {
			break
		}
		clock.Pause(context.Background(), r.clk, checkInterval)
	}
	for _, j := range open {
		v := j.view()
		r.found("LOST", j.id, "%s, accepted at %s, is not complete %s after the last fault: last state %q, %d of %d tasks done, %d running, %d starts",
			j.id, v.accepted, finish, v.final, r.platform.Done(j.id), j.tasks, r.platform.Running(j.id), r.platform.Starts(j.id))
	}
}

// unsettled returns those accepted jobs that have not yet ended as they should.
func (r *run) unsettled(c *caller, jobs []*job) []*job {
	var out []*job
	for i, j := range jobs {
		v := j.view()
		if v.accepted == 0 || v.cancelSent {
			continue
		}
		state := c.query(j, i%len(r.entries))
		isOver := state == model.Complete.String() || state == model.Failed.String()
		if j.long && r.platform.Running(j.id) == j.tasks || !j.long && isOver {
			continue
		}
		out = append(out, j)
	}
	return out
}

// checkWaves records the waves that are shown as complete although a machine had no maintenance.
func (r *run) checkWaves() {
	store := r.platform.Store
	for n := int64(1); n <= r.waves.Load(); n++ {
		if !bytes.Equal(store.Value(platform.StatusTopic, waveKey(n)), platform.EncodeWaveStatus(n, true)) {
			continue
		}
		w, err := platform.DecodeWave(store.Value(platform.OperatorTopic, waveKey(n)))
		done := r.platform.MaintainedMachines(n)
		for _, m := range w.Instances {
			if err == nil && !slices.Contains(done, m) {
				r.found("WAVE", "", "wave %d is shown as complete, and %s had no maintenance", n, m)
			}
		}
	}
}

// cancelLong cancels all long-running jobs, and records those cancelled jobs of which a task still
// runs when none may.
func (r *run) cancelLong(c *caller) {
	for i, j := range r.jobs.list() {
		if v := j.view(); !j.long || v.accepted == 0 || v.cancelled > 0 {
			continue
		}
		j.recordCancel(false, 0)
		status, _ := c.call(i%len(r.entries), http.MethodDelete, j.path, nil, callTimeout)
		j.recordCancel(status/100 == 2, r.clk.Now())
		if status/100 != 2 {
			r.found("LOST", j.id, "the cancel of %s, accepted at %s, is answered with status %d", j.id, j.view().accepted, status)
		}
	}
	clock.Pause(context.Background(), r.clk, cancelTime+stopTimeout+checkInterval)
	for _, j := range r.jobs.list() {
		if n := r.platform.Running(j.id); n > 0 && j.view().cancelled > 0 {
			r.found("UNASKED", j.id, "%s was cancelled at %s, and %d of its tasks run", j.id, j.view().cancelled, n)
		}
	}
}
