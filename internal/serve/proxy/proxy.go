// Package proxy makes a leader's calls to executors through other entries. The leader sends orders
// on one stream to each of a few entries. They make the calls and send back the outcomes, many in a
// message. The orders carry the leader's fencing tokens and leases, so that they take effect
// exactly as calls of the leader itself would: an order that arrives late is refused by its
// executor, or its lease has expired.
package proxy

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

// Err is the class of failures of the stream to an entry that makes calls.
var Err = errs.Class("proxy")

// Executors makes calls to executors. Its methods return the errors of platform.Client.
type Executors interface {
	Start(ctx context.Context, to platform.Target, s platform.Start) (time.Duration, error)
	Stop(ctx context.Context, to platform.Target, t model.TaskID, attempt int) error
	Poll(ctx context.Context, to platform.Target, deadline time.Duration, acked int64, wait time.Duration) (platform.PollResult, error)
}

// kind is the kind of an order.
type kind uint32

const (
	kindStart kind = iota + 1
	kindStop
	kindPoll
)

// verdict is the outcome of an order.
type verdict uint32

const (
	verdictDone verdict = iota
	// verdictOtherIncarnation means that another incarnation of the executor answered.
	verdictOtherIncarnation
	// verdictRefused means that the order had no effect.
	verdictRefused
	// verdictUnknown means that the order may have been carried out, or may be later.
	verdictUnknown
)

const (
	// batchDelay is how long the first order or outcome waits for others to share a message with.
	// busyBatchDelay replaces it after a message of at least busyBatchSize: under load the cost of
	// each message is higher than that of the delay, which is small beside the run time of a task.
	batchDelay     = 3 * time.Millisecond
	busyBatchDelay = 10 * time.Millisecond
	busyBatchSize  = 12
)

// maxBatch bounds the orders or outcomes of a message. It keeps messages far below the size limit
// of the drpc library.
const maxBatch = 256

// newOrder returns an order without its sequence number and time limit.
func newOrder(k kind, to platform.Target) *workpb.Order {
	return &workpb.Order{Kind: uint32(k), Addr: to.Addr, Id: to.ID, Fence: to.Fence}
}

// outcomeError returns the error of an outcome, or nil if the order was carried out.
func outcomeError(o *workpb.Outcome) error {
	switch verdict(o.GetVerdict()) {
	case verdictDone:
		return nil
	case verdictOtherIncarnation:
		return &platform.IncarnationError{}
	case verdictRefused:
		return &platform.OrderError{Reason: platform.Reason(o.GetReason())}
	case verdictUnknown:
	}
	return platform.ErrUnknown.New("%s", o.GetCause())
}

// maxClockMicros bounds the clocks of executors in outcomes, in microseconds. It is 71 years.
const maxClockMicros = 1 << 51

// clockOf returns the reading of the executor's clock in an outcome.
func clockOf(o *workpb.Outcome) time.Duration {
	return time.Duration(min(max(o.GetClock(), 0), maxClockMicros)) * time.Microsecond
}

// decodeLists returns the lists of runs and ends of an outcome.
func decodeLists(o *workpb.Outcome) platform.PollResult {
	res := platform.PollResult{
		Clock: clockOf(o), Born: o.GetBorn(), Unreadable: int(o.GetUnreadable()),
		Running: make([]model.Run, 0, len(o.GetRunning())), Ended: make([]model.End, 0, len(o.GetEnded())),
	}
	for _, r := range o.GetRunning() {
		t, ok := model.ParseTaskID(r.GetTask())
		if !ok {
			res.Unreadable++
			continue
		}
		res.Running = append(res.Running, model.Run{
			Task: t, Attempt: int(r.GetAttempt()), Checkpoint: r.GetSaved(), Percent: r.GetPercent(), Metric: r.GetTail(),
		})
	}
	for _, e := range o.GetEnded() {
		t, ok := model.ParseTaskID(e.GetTask())
		if !ok && e.GetTask() != "" {
			res.Unreadable++
		}
		res.Ended = append(res.Ended, model.End{
			Seq: e.GetSeq(), Task: t, Attempt: int(e.GetAttempt()), Ending: decodeEnding(e.GetHow()), Checkpoint: e.GetSaved(),
		})
	}
	return res
}

// encodeLists writes the lists of runs and ends into an outcome.
func encodeLists(o *workpb.Outcome, res platform.PollResult) {
	o.Clock, o.Born, o.Unreadable = res.Clock.Microseconds(), res.Born, uint32(res.Unreadable)
	for _, r := range res.Running {
		o.Running = append(o.Running, &workpb.Running{
			Task: r.Task.String(), Attempt: uint32(r.Attempt), Saved: r.Checkpoint, Percent: r.Percent, Tail: r.Metric,
		})
	}
	for _, e := range res.Ended {
		f := &workpb.Finish{Seq: e.Seq, Attempt: uint32(e.Attempt), How: uint32(e.Ending), Saved: e.Checkpoint}
		if e.Task.Job != "" { // an end without a task still has a sequence number
			f.Task = e.Task.String()
		}
		o.Ended = append(o.Ended, f)
	}
}

// decodeEnding decodes how a run ended. An ending that this version does not know is another one.
func decodeEnding(n uint32) model.Ending {
	if n > uint32(model.EndedAlone) {
		return model.EndedOther
	}
	return model.Ending(n)
}
