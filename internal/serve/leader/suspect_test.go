package leader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// failRun ends a run of the first task of a job on an executor as failed.
func failRun(l *Leader, m *member, j *track.Job) {
	task := j.Open[0].Steps[0].Tasks[0]
	r := l.tracker.BeginRun(task, m.Key, 0, l.now)
	l.now += 100 * time.Millisecond
	l.applyEnds(m, []model.End{{Seq: m.appliedSeq + 1, Task: task.ID, Attempt: r.Attempt, Ending: model.EndedFailed}}, false)
}

// Guards against sound executors that are suspected or quarantined for the failures of jobs that fail
// everywhere, and against an executor that escapes suspicion because its failures count for the jobs.
func TestFailuresCountForTheExecutorOrTheJob(t *testing.T) {
	l, x, _ := newStoringLeader(t)
	y := &member{Member: execs.Member{Executor: model.Executor{ID: "y", Service: "s"}, Key: "y@1", Contact: execs.Live}, adopted: true}
	l.members[y.Key] = y
	accept := func(id string) *track.Job {
		return l.tracker.Accept(id, model.Queue{Service: "s", Attempts: 4}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 1}}}, 0, 0)
	}
	for i := range 10 {
		j := accept(fmt.Sprint("poison", i))
		x.RecordSuccess(l.now)
		y.RecordSuccess(l.now)
		failRun(l, x, j)
		failRun(l, y, j)
		assert.Assert(t, j.FailsEverywhere())
		failRun(l, x, j)
	}
	assert.Assert(t, !x.IsSuspect() && !y.IsSuspect() && x.QuarantinedUntil+y.QuarantinedUntil == 0)
	x.RecordSuccess(l.now)
	y.RecordSuccess(l.now)
	var jobs []*track.Job
	for i := range 3 {
		jobs = append(jobs, accept(fmt.Sprint("job", i)))
		failRun(l, x, jobs[i])
	}
	assert.Assert(t, x.IsSuspect() && !y.IsSuspect())
	for _, j := range jobs {
		failRun(l, y, j)
		assert.Assert(t, !j.FailsEverywhere(), "a failure on a suspect is no evidence against the job")
	}
}

// Guards against a fault that all executors have in common, and that counts for the jobs so that no
// executor is quarantined and all jobs use up their attempts.
func TestCommonFaultQuarantinesAllExecutors(t *testing.T) {
	l, _, _ := newStoringLeader(t)
	var ms []*member
	for i := range 6 {
		m := &member{Member: execs.Member{Key: fmt.Sprint(i), Contact: execs.Live}, adopted: true}
		m.RecordSuccess(l.now)
		l.members[m.Key] = m
		ms = append(ms, m)
	}
	for i := range 15 {
		j := l.tracker.Accept(fmt.Sprint(i), model.Queue{Service: "s", Attempts: 3}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 1}}}, 0, 0)
		failRun(l, ms[i%6], j)
		failRun(l, ms[(i+1)%6], j)
	}
	for _, m := range ms {
		assert.Assert(t, m.QuarantinedUntil > 0, m.Key)
	}
}

// Guards against an executor whose leases keep expiring and that gets a full load each time it
// answers again.
func TestRepeatedLapsesMakeASuspect(t *testing.T) {
	l, m, _, _ := newRunningLeader(t)
	lapse := func(contact execs.Contact) {
		l.startRun(assign.Start{Task: l.tracker.Job("job").Open[0].Steps[0].Tasks[0], Member: &m.Member})
		m.Contact, l.now = contact, l.now+time.Minute
		l.expireLeases()
		assert.Equal(t, len(l.tracker.RunsOn(m.Key)), 0)
	}
	for range 3 {
		lapse(execs.Live) // the leader sent no poll in time
	}
	lapse(execs.Unresponsive)
	assert.Assert(t, !m.IsSuspect())
	lapse(execs.Unresponsive)
	assert.Assert(t, m.IsSuspect())
	next := &member{}
	next.Inherit(&m.Member)
	assert.Assert(t, next.IsSuspect(), "a restart ends no probation")
}
