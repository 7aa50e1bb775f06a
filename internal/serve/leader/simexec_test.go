package leader

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	simTick     = 100 * time.Millisecond
	simCapacity = 8000 // of each executor, in thousandths of a core
	simMaxLease = 10 * time.Second
)

var errNoAnswer = errors.New("no answer")

// simCall is a call to an executor.
type simCall struct {
	fence          uint64
	deadline, wait time.Duration
	acked          int64
	saved          string
	run            model.TaskID
	attempt        int
}

// simCalls records the calls of a leader by kind, executor and run. The simulation decides on their outcomes.
type simCalls struct {
	unresponsiveExecs
	mu   sync.Mutex
	made map[string]simCall
}

func (c *simCalls) record(kind string, to platform.Target, s simCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.fence = to.Fence
	c.made[callKey(kind, to.ID, s.run, s.attempt)] = s
}

func callKey(kind, executor string, id model.TaskID, attempt int) string {
	return fmt.Sprintf("%s %s %s %06d", kind, executor, id, attempt)
}

func (c *simCalls) Start(_ context.Context, to platform.Target, s platform.Start) (time.Duration, error) {
	c.record("start", to, simCall{run: s.Task, attempt: s.Attempt, deadline: s.Deadline, saved: s.Checkpoint})
	return 0, nil
}

func (c *simCalls) Stop(_ context.Context, to platform.Target, id model.TaskID, attempt int) error {
	c.record("stop", to, simCall{run: id, attempt: attempt})
	return nil
}

func (c *simCalls) Poll(_ context.Context, to platform.Target, deadline time.Duration, acked int64, wait time.Duration) (platform.PollResult, error) {
	c.record("poll", to, simCall{deadline: deadline, acked: acked, wait: wait})
	return platform.PollResult{}, nil
}

// simRun is a run, or an order that may be carried out yet.
type simRun struct {
	simCall
	job     *simJob
	step    *model.Step
	sent    time.Duration
	percent float64
	apart   time.Duration // how long members of its gang have been missing
}

// simExec is an executor.
type simExec struct {
	id, service  string
	born         time.Duration
	fence        uint64
	runs, orders []*simRun
	ends         []model.End
	seq, offset  int64
	highest      map[model.TaskID]int // attempts that have ended
	// fault is cut (it can't be reached), mute (its answers are lost), late (it carries orders out late), sick (it
	// refuses starts), grey (some of its runs fail), stalled, slow, or empty.
	fault    string
	draining bool
}

func (x *simExec) delay() time.Duration {
	if x.fault == "late" {
		return 2 * time.Second
	}
	return simTick
}

// restart starts the executor again, without its runs and the orders that have arrived.
func (x *simExec) restart(now time.Duration) {
	x.orders = slices.DeleteFunc(x.orders, func(r *simRun) bool { return now > r.sent+startTimeout })
	x.born, x.fence, x.runs, x.ends, x.seq, x.highest, x.draining = now, 0, nil, nil, 0, map[model.TaskID]int{}, false
}

// admits returns nil if an order can be carried out.
func (x *simExec) admits(r *simRun, now time.Duration) error {
	switch {
	case r.fence < x.fence:
		return &platform.OrderError{Reason: platform.ReasonFence}
	case r.deadline <= now-x.born:
		return &platform.OrderError{Reason: platform.ReasonLate}
	case r.attempt <= x.highest[r.run]:
		return &platform.OrderError{Reason: platform.ReasonOld}
	case x.fault == "sick":
		return &platform.OrderError{Reason: platform.ReasonUnhealthy}
	}
	return nil
}

func (x *simExec) end(r *simRun, how model.Ending) {
	x.seq++
	x.runs = slices.DeleteFunc(x.runs, func(o *simRun) bool { return o == r })
	x.highest[r.run] = max(x.highest[r.run], r.attempt)
	x.ends = append(x.ends, model.End{Seq: x.seq, Task: r.run, Attempt: r.attempt, Ending: how, Checkpoint: r.saved})
}

// advance lets the runs make progress for a tick. members counts the members of gangs that can.
func (x *simExec) advance(now time.Duration, members map[string]int) {
	for _, r := range slices.Clone(x.runs) {
		slow := 1.0
		switch {
		case now-x.born > r.deadline:
			x.end(r, model.EndedLapsed)
			continue
		case r.step.LongRunning:
			r.percent = 100
			continue
		case r.step.Gang && members[r.gang()] < r.step.Count:
			if r.apart += simTick; r.apart > 2*time.Second {
				x.end(r, model.EndedAlone)
			}
			continue
		case x.fault == "stalled":
			continue
		case x.fault == "slow" && !r.step.Gang:
			slow = 6
		}
		r.percent = min(r.percent+100*simTick.Seconds()/r.step.Estimate.Seconds()/slow, 100)
		if r.step.WritesCheckpoints {
			r.saved = fmt.Sprint(int(r.percent/10) * 10)
		}
		switch {
		case r.job.isPoison && r.percent > 20, x.fault == "grey" && !r.step.Gang && (r.run.Index+r.attempt)%2 == 0 && r.percent > 50:
			x.end(r, model.EndedFailed)
		case r.percent >= 100:
			x.end(r, model.EndedDone)
		}
	}
}

func (r *simRun) gang() string { return fmt.Sprint(r.run.Job, r.run.Step, r.attempt) }

// poll carries out a poll and returns the tasks that are done and that it makes the executor forget.
func (x *simExec) poll(c simCall, now time.Duration) (forgotten []model.TaskID, err error) {
	if c.fence < x.fence {
		return nil, &platform.OrderError{Reason: platform.ReasonFence}
	}
	x.fence = c.fence
	// They are refused also after a restart, which forgets the fencing token. That is an assumption: the leader gives up
	// an order that such a poll has voided, and can't know that it reaches the next incarnation.
	x.orders = slices.DeleteFunc(x.orders, func(r *simRun) bool { return r.fence < x.fence })
	x.ends = slices.DeleteFunc(x.ends, func(e model.End) bool {
		if e.Seq <= c.acked && e.Ending == model.EndedDone {
			forgotten = append(forgotten, e.Task)
		}
		return e.Seq <= c.acked
	})
	for _, r := range x.runs {
		r.deadline = max(r.deadline, min(c.deadline, now-x.born+simMaxLease))
	}
	return forgotten, nil
}

// list returns what a poll lists.
func (x *simExec) list(now time.Duration) platform.PollResult {
	out := platform.PollResult{Clock: now - x.born, Born: int64(x.born/time.Millisecond) + 1, Ended: slices.Clone(x.ends)}
	for _, r := range x.runs {
		out.Running = append(out.Running, model.Run{Task: r.run, Attempt: r.attempt, Checkpoint: r.saved, Percent: math.Floor(r.percent), Metric: 1000})
	}
	return out
}

// report returns the executor's report in the store.
func (x *simExec) report() platform.Record {
	x.offset++
	state := map[bool]string{false: "ready", true: "draining"}[x.draining]
	return platform.Record{Key: x.id, Offset: x.offset, Value: fmt.Appendf(nil,
		`{"service":%q,"addr":"127.0.0.1:1","zone":"z","state":%q,"born":%d,"capacity":{"cpu":%d,"mem_mb":64000,"gpu":8},"labels":["a","r"]}`,
		x.service, state, int64(x.born/time.Millisecond)+1, simCapacity)}
}
