// Package proxy has other entries make a leader's calls to executors. The leader sends
// orders on one stream to each of a few entries, which make the calls and send back the
// answers, many in a message. The orders carry the leader's fencing tokens and leases, so
// that they end as they would if the leader had made the calls itself: one that arrives
// late is refused by its executor, or its lease is over.
package proxy

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

// Err is the class of failures of the way to an entry that makes calls.
var Err = errs.Class("proxy")

// Executors makes calls to executors. The calls return the errors of platform.Client.
type Executors interface {
	Start(ctx context.Context, to platform.To, s platform.Start) (time.Duration, error)
	Stop(ctx context.Context, to platform.To, t model.TaskID, attempt int) error
	Hold(ctx context.Context, to platform.To, deadline time.Duration, acked int64, wait time.Duration) (platform.Held, error)
}

// kind is what an order asks for.
type kind uint32

const (
	kindStart kind = iota + 1
	kindStop
	kindHold
)

// verdict is what became of an order.
type verdict uint32

const (
	verdictDone verdict = iota
	// verdictOther says that another incarnation of the executor answered.
	verdictOther
	// verdictRefused says that the order did nothing.
	verdictRefused
	// verdictUnknown says that it may have been carried out, or may be later.
	verdictUnknown
)

const (
	// gather is how long the first order or answer waits for others, to share a message with
	// them, and gatherBusy that after a message of busyFrom or more: under load each message
	// costs more than the wait, which is small beside the run time of a task.
	gather     = 3 * time.Millisecond
	gatherBusy = 10 * time.Millisecond
	busyFrom   = 12
)

// mostInMessage bounds the orders or answers of a message, far below the largest one of
// the library.
const mostInMessage = 256

// newOrder returns the message of an order, without its number and limit.
func newOrder(k kind, to platform.To) *workpb.Order {
	return &workpb.Order{Kind: uint32(k), Addr: to.Addr, Id: to.ID, Fence: to.Fence}
}

// outcomeError returns the error of an outcome, nil if the order was carried out.
func outcomeError(o *workpb.Outcome) error {
	switch verdict(o.GetVerdict()) {
	case verdictDone:
		return nil
	case verdictOther:
		return &platform.OtherLifeError{}
	case verdictRefused:
		return &platform.OrderError{Reason: platform.Reason(o.GetReason())}
	case verdictUnknown:
	}
	return platform.ErrUnknown.New("%s", o.GetCause())
}

// heldOf returns the lists of an outcome.
func heldOf(o *workpb.Outcome) platform.Held {
	h := platform.Held{
		Clock: time.Duration(o.GetClock()) * time.Microsecond, Born: o.GetBorn(), Unreadable: int(o.GetUnreadable()),
		Running: make([]model.Run, 0, len(o.GetRunning())), Ended: make([]model.End, 0, len(o.GetEnded())),
	}
	for _, r := range o.GetRunning() {
		t, ok := model.ParseTaskID(r.GetTask())
		if !ok {
			h.Unreadable++
			continue
		}
		h.Running = append(h.Running, model.Run{
			Task: t, Attempt: int(r.GetAttempt()), Checkpoint: r.GetSaved(), Percent: r.GetPercent(), Metric: r.GetTail(),
		})
	}
	for _, e := range o.GetEnded() {
		t, ok := model.ParseTaskID(e.GetTask())
		if !ok && e.GetTask() != "" {
			h.Unreadable++
		}
		h.Ended = append(h.Ended, model.End{
			Seq: e.GetSeq(), Task: t, Attempt: int(e.GetAttempt()), Ending: model.Ending(e.GetHow()), Checkpoint: e.GetSaved(),
		})
	}
	return h
}

// setHeld writes lists into an outcome.
func setHeld(o *workpb.Outcome, h platform.Held) {
	o.Clock, o.Born, o.Unreadable = h.Clock.Microseconds(), h.Born, uint32(h.Unreadable)
	for _, r := range h.Running {
		o.Running = append(o.Running, &workpb.Running{
			Task: r.Task.String(), Attempt: uint32(r.Attempt), Saved: r.Checkpoint, Percent: r.Percent, Tail: r.Metric,
		})
	}
	for _, e := range h.Ended {
		f := &workpb.Finish{Seq: e.Seq, Attempt: uint32(e.Attempt), How: uint32(e.Ending), Saved: e.Checkpoint}
		if e.Task.Job != "" { // an end that names no task still has a number
			f.Task = e.Task.String()
		}
		o.Ended = append(o.Ended, f)
	}
}
