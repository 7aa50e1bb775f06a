package leader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

// unresponsiveExecs never answers a call; calls return when their context ends.
type unresponsiveExecs struct{}

func (unresponsiveExecs) Start(ctx context.Context, _ platform.Target, _ platform.Start) (time.Duration, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (unresponsiveExecs) Stop(ctx context.Context, _ platform.Target, _ model.TaskID, _ int) error {
	<-ctx.Done()
	return ctx.Err()
}

func (unresponsiveExecs) Poll(ctx context.Context, _ platform.Target, _ time.Duration, _ int64, _ time.Duration) (platform.PollResult, error) {
	<-ctx.Done()
	return platform.PollResult{}, ctx.Err()
}

func (unresponsiveExecs) SetCentreSizes(map[string]int) {}

func (unresponsiveExecs) Caller(platform.Target) string { return "self" }

// dueExecutors returns the keys of the executors that are due for a poll, found by a scan of all of
// them.
func dueExecutors(l *Leader) map[string]bool {
	out := map[string]bool{}
	for key, m := range l.members {
		if !m.polling && m.Contact != execs.Dead && l.now >= m.due && l.needsPoll(m) && !(m.appliedSeq > m.storedSeq && l.now < m.due+maxPollDelay) {
			out[key] = true
		}
	}
	return out
}

// Guards against an executor that is never polled again, so that the leases of its runs expire. The
// executors that are polled must be those that a scan of all of them finds, after any sequence of
// events.
func TestQueuedPollsCoverAllDueExecutors(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, _, _ := newTestLeader(t)
		clear(l.members)
		ctx, cancel := context.WithCancel(context.Background())
		l.ctx, l.Execs, l.events = ctx, unresponsiveExecs{}, make(chan event, 4096)
		l.Meters = NewMeters(tally.NoopScope)
		l.byID, l.runtimeRatios = map[string]*member{}, map[string]*runtimeRatio{}
		l.LastRenewal = func() time.Duration { return l.now }
		defer func() {
			cancel()
			for ; l.calls > 0; l.calls-- {
				<-l.events
			}
		}()
		report := func(n int, born int64, state string) {
			l.applyReport(platform.Record{Key: fmt.Sprint("x", n), Value: fmt.Appendf(nil,
				`{"service":"s","addr":"127.0.0.1:1","zone":"z","slots":8,"state":"%s","seq":1,"born":%d,"capacity":{"cpu":8000,"mem_mb":64}}`, state, born)})
		}
		born := int64(1)
		for n := range 4 {
			report(n, born, "ready")
		}
		job := 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			n := rapid.IntRange(0, 3).Draw(rt, "executor")
			m := l.byID[fmt.Sprint("x", n)]
			switch rapid.IntRange(0, 7).Draw(rt, "what") {
			case 0, 1: // an answer to a poll, with or without ends
				if !m.polling {
					break
				}
				ev := polled{m: m, sent: l.now, fence: elect.FencingToken(l.token, m.fenceRaises), ackedSeq: m.storedSeq, list: platform.PollResult{Clock: l.now, Born: m.StartMillis}}
				for r := range l.tracker.RunsOn(m.Key) {
					if rapid.Bool().Draw(rt, "ends") {
						ev.list.Ended = append(ev.list.Ended, model.End{Seq: m.appliedSeq + int64(len(ev.list.Ended)) + 1, Task: r.Task.ID, Attempt: r.Attempt, Ending: model.EndedDone})
					} else {
						ev.list.Running = append(ev.list.Running, model.Run{Task: r.Task.ID, Attempt: r.Attempt})
					}
				}
				l.onPolled(ev)
			case 2:
				if m.polling {
					l.onPolled(polled{m: m, sent: l.now, fence: elect.FencingToken(l.token, m.fenceRaises), err: platform.ErrUnknown.New("lost")})
				}
			case 3:
				job++
				j := l.tracker.Accept(fmt.Sprint("j", job), model.Queue{Service: "s"}, model.JobSpec{Repeats: 1, Steps: []model.Step{{Count: 1}}}, 0, 0)
				if m.Contact == execs.Live {
					l.startRun(assign.Start{Task: j.Open[0].Steps[0].Tasks[0], Member: &m.Member})
				}
			case 4:
				for r := range l.tracker.RunsOn(m.Key) {
					if r.Phase == track.Starting {
						l.onStarted(startedRun{m: m, run: r, err: platform.ErrUnknown.New("lost")})
						break
					}
				}
			case 5:
				l.tracker.TakeChanges()
				if rapid.Bool().Draw(rt, "alone") {
					l.onAppended(appended{appliedSeqs: map[*member]int64{m: m.appliedSeq}})
				} else {
					l.flush()
				}
			case 6:
				born++
				report(n, born, "ready")
			case 7:
				l.expireLeases()
			}
			l.now += time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond
			want := dueExecutors(l)
			l.pollDue()
			for key := range want {
				assert.Assert(rt, l.members[key].polling, "%s is due and was not polled", key)
			}
			assert.Equal(rt, len(dueExecutors(l)), 0)
		}
	})
}
