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
	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/tenure"
	"chervilgauge.example/chervilgauge/platform"
)

// silentExecs never answer until their calls end.
type silentExecs struct{}

func (silentExecs) Start(ctx context.Context, _ platform.To, _ platform.Start) (time.Duration, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (silentExecs) Stop(ctx context.Context, _ platform.To, _ model.TaskID, _ int) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentExecs) Hold(ctx context.Context, _ platform.To, _ time.Duration, _ int64, _ time.Duration) (platform.Held, error) {
	<-ctx.Done()
	return platform.Held{}, ctx.Err()
}

func (silentExecs) Size(map[string]int) {}

// dueNow returns the executors that a look at the whole fleet would call, as leaders did
// before they kept those that were touched.
func dueNow(l *Leader) map[string]bool {
	out := map[string]bool{}
	for key, m := range l.members {
		if !m.holding && m.Contact != crew.Dead && l.now >= m.due && l.needsHold(m) && !(m.seen > m.acked && l.now < m.due+holdLate) {
			out[key] = true
		}
	}
	return out
}

// Guards against an executor that is never looked at again: its runs would lapse. The
// executors that are called must be those that a look at all of them finds, whatever
// happened before.
func TestTouchedExecutorsAreAllThatAreDue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l, _, _ := bare(t)
		clear(l.members)
		ctx, cancel := context.WithCancel(context.Background())
		l.ctx, l.Execs, l.events = ctx, silentExecs{}, make(chan event, 4096)
		l.Meters = NewMeters(tally.NoopScope)
		l.byID, l.usual = map[string]*member{}, map[string]*ratio{}
		l.Renewed = func() time.Duration { return l.now }
		defer func() {
			cancel()
			for ; l.calls > 0; l.calls-- {
				<-l.events
			}
		}()
		report := func(n int, born int64, state string) {
			l.takeExecutor(platform.Record{Key: fmt.Sprint("x", n), Value: fmt.Appendf(nil,
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
			case 0, 1: // an answer to a look, with an end now and then
				if !m.holding {
					break
				}
				ev := held{m: m, sent: l.now, fence: tenure.Fence(l.token, m.voided), acked: m.acked, list: platform.Held{Clock: l.now, Born: m.Born}}
				for r := range l.book.On(m.Key) {
					if rapid.Bool().Draw(rt, "ends") {
						ev.list.Ended = append(ev.list.Ended, model.End{Seq: m.seen + int64(len(ev.list.Ended)) + 1, Task: r.Task.ID, Attempt: r.Attempt, How: model.EndedDone})
					} else {
						ev.list.Running = append(ev.list.Running, model.Run{Task: r.Task.ID, Attempt: r.Attempt})
					}
				}
				l.onHeld(ev)
			case 2:
				if m.holding {
					l.onHeld(held{m: m, sent: l.now, fence: tenure.Fence(l.token, m.voided), err: platform.ErrUnknown.New("lost")})
				}
			case 3:
				job++
				j := l.book.Accept(fmt.Sprint("j", job), model.Queue{Service: "s"}, model.Work{Repeats: 1, Steps: []model.Step{{Count: 1}}}, 0, 0)
				if m.Contact == crew.Live {
					l.startRun(assign.Start{Task: j.Open[0].Steps[0].Tasks[0], Member: &m.Member})
				}
			case 4:
				for r := range l.book.On(m.Key) {
					if r.Phase == book.Starting {
						l.onStarted(startedRun{m: m, run: r, err: platform.ErrUnknown.New("lost")})
						break
					}
				}
			case 5:
				l.book.Take()
				if rapid.Bool().Draw(rt, "alone") {
					l.onAppended(appended{seen: map[*member]int64{m: m.seen}})
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
			want := dueNow(l)
			l.holdAll()
			for key := range want {
				assert.Assert(rt, l.members[key].holding, "%s is due and was not called", key)
			}
			assert.Equal(rt, len(dueNow(l)), 0)
		}
	})
}
