package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// pageOfEnds returns the ends of other jobs that fill an answer.
func pageOfEnds() []model.End {
	var out []model.End
	for n := range platform.EndsPerPage {
		out = append(out, model.End{Seq: int64(n + 1), Task: model.TaskID{Job: "other", Index: n}, Attempt: 1, Ending: model.EndedDone})
	}
	return out
}

// Guards against a second run of a task whose end does not fit into the answers of its executor.
func TestRunWhoseEndIsOnALaterPageIsKept(t *testing.T) {
	for _, started := range []bool{true, false} {
		l, m, r, _ := newRunningLeader(t)
		if started {
			l.onStarted(startedRun{m: m, run: r})
		} else {
			l.onStarted(startedRun{m: m, run: r, err: platform.ErrUnknown.New("lost")})
			m.fenceRaises++
		}
		for range 2 * maxMissedLists {
			l.now += 100 * time.Millisecond
			answerPoll(l, m, 1, platform.PollResult{Ended: pageOfEnds()})
			assert.Assert(t, !r.Task.IsWaiting(), "the task would be started a second time")
		}
		m.storedSeq = platform.EndsPerPage
		answerPoll(l, m, 1, platform.PollResult{Ended: []model.End{{Seq: platform.EndsPerPage + 1, Task: r.Task.ID, Attempt: r.Attempt, Ending: model.EndedDone}}})
		assert.Assert(t, r.Task.Done)
	}
}

// Guards against a second run of a task that was done under the former leader, and whose end does not
// fit into the first answer of its executor.
func TestFormerEndOnALaterPageIsAwaited(t *testing.T) {
	l, m, _ := newTestLeader(t)
	task := newFormerTask(t, l, "s")
	m.adopted, m.Contact, m.StartMillis = false, execs.Uncontacted, 1
	answerPoll(l, m, 1, platform.PollResult{Ended: pageOfEnds()})
	l.resolveFormerRuns()
	assert.Assert(t, !task.IsWaiting(), "the task would be started a second time")
	m.storedSeq = platform.EndsPerPage
	assert.Assert(t, l.needsPoll(m))
	answerPoll(l, m, 1, platform.PollResult{Ended: []model.End{{Seq: platform.EndsPerPage + 1, Task: task.ID, Attempt: 1, Ending: model.EndedDone}}})
	assert.Assert(t, task.Done)
}

// Guards against a task that is started again because its executor listed its run in a row that
// can't be read.
func TestFormerRunInAnUnreadableRowIsAwaited(t *testing.T) {
	l, m, _ := newTestLeader(t)
	task := newFormerTask(t, l, "s")
	m.adopted, m.Contact, m.StartMillis = false, execs.Uncontacted, 1
	answerPoll(l, m, 1, platform.PollResult{Unreadable: 1})
	l.resolveFormerRuns()
	assert.Assert(t, !task.IsWaiting(), "the task would be started a second time")
	answerPoll(l, m, 1, platform.PollResult{Running: []model.Run{{Task: task.ID, Attempt: 1}}})
	assert.Equal(t, len(task.Runs), 1)
}

// Guards against a page of ends of another size than that of the executors.
func TestExecutorsReturnEndsInPages(t *testing.T) {
	t.Parallel()
	w := fake.NewPlatform(map[string]int{"s": 1})
	t.Cleanup(w.Close)
	w.Plan = func(string, string) fake.RunPlan { return fake.RunPlan{Result: "done"} }
	l := newLinkedLeader(t, w, 1<<30)
	var to platform.Target
	_, err := l.readNewest(context.Background(), platform.ExecutorTopic, 0, func(r platform.Record) {
		e, err := platform.DecodeExecutor(r.Key, r.Value)
		assert.NilError(t, err)
		to = platform.Target{Addr: e.Addr, ID: e.ID, Fence: elect.FencingToken(l.token, 0)}
	})
	assert.NilError(t, err)
	for n := range platform.EndsPerPage + 1 {
		_, err := l.Client.Start(context.Background(), to, platform.Start{Task: model.TaskID{Job: fmt.Sprint("j", n)}, Attempt: 1, Spec: "x", Deadline: time.Minute})
		assert.NilError(t, err)
	}
	var list platform.PollResult
	for len(list.Running) > 0 || len(list.Ended) == 0 {
		list, err = l.Client.Poll(context.Background(), to, 0, 0, 0)
		assert.NilError(t, err)
	}
	assert.Assert(t, list.HasMoreEnds())
	assert.Equal(t, len(list.Ended), platform.EndsPerPage)
	list, err = l.Client.Poll(context.Background(), to, 0, platform.EndsPerPage, 0)
	assert.NilError(t, err)
	assert.Assert(t, !list.IsPartial())
	assert.Equal(t, len(list.Ended), 1)
}

// Guards against a second run of a task that is done: before its start was answered, a poll of the former
// incarnation acknowledged the end that the next one had given it.
func TestEndsAreNotAcknowledgedWhileAStartIsUnconfirmed(t *testing.T) {
	l, m, r, p := newRunningLeader(t)
	poll := func() int64 {
		m.polling = false
		l.poll(m)
		return <-p.acked
	}
	m.appliedSeq, m.storedSeq = 3, 3
	assert.Equal(t, poll(), int64(0))
	m.polling, m.storedSeq = false, maxUnacked
	m.appliedSeq = m.storedSeq
	assert.Equal(t, poll(), int64(maxUnacked), "an executor with very short tasks always has a start in flight")
	m.appliedSeq, m.storedSeq = 3, 3
	l.confirmRun(r)
	assert.Equal(t, poll(), int64(3))
}

// Guards against the same after the late answer of a poll that was sent before the clock of the next
// incarnation showed the restart.
func TestAnswersBeforeARestartDoNotDenyIt(t *testing.T) {
	l, m, r, _ := newRunningLeader(t)
	m.appliedSeq, m.storedSeq = 3, 3
	sent := l.now
	l.now += time.Second
	l.onStarted(startedRun{m: m, run: r, clock: time.Second, least: time.Minute})
	list := platform.PollResult{Clock: time.Minute, Born: 1}
	l.onPolled(polled{m: m, sent: sent, list: list})
	assert.Equal(t, m.ackSeq(), int64(0))
	l.onPolled(polled{m: m, sent: l.now, list: list})
	assert.Equal(t, m.ackSeq(), int64(3))
}

// Guards against a task that uses its last attempt on an executor that fails all it starts, because a run
// that was ordered before the fault has succeeded there since.
func TestOnlyLaterRunsShowThatAnExecutorIsSound(t *testing.T) {
	l, m, _ := newStoringLeader(t)
	spec := model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 3}}}
	tasks := l.tracker.Accept("fails", model.Queue{Service: "s", Attempts: 2}, spec, 0, 0).Open[0].Steps[0].Tasks
	seq := int64(0)
	end := func(r *track.Run, how model.Ending) {
		l.now += 100 * time.Millisecond
		seq++
		l.applyEnds(m, []model.End{{Seq: seq, Task: r.Task.ID, Attempt: r.Attempt, Ending: how}}, false)
	}
	earlier, fails := l.tracker.BeginRun(tasks[0], m.Key, 0, l.now), l.tracker.BeginRun(tasks[1], m.Key, 0, l.now)
	end(fails, model.EndedFailed)
	later := l.tracker.BeginRun(tasks[2], m.Key, 0, l.now+time.Millisecond)
	end(earlier, model.EndedDone)
	assert.Assert(t, m.LastGoodStart < tasks[1].LastFailure)
	end(later, model.EndedDone)
	assert.Assert(t, m.LastGoodStart > tasks[1].LastFailure)
}
