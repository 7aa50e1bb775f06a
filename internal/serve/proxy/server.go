package proxy

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/fanout"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// specKeep is how long an entry keeps a job's specification after the leader sent it, and
	// specResend the age at which the leader sends it again. An entry that drops it too early would
	// start tasks with an empty specification.
	specKeep   = 12 * time.Second
	specResend = 8 * time.Second
)

// ServerStream is the end of the stream at the entry that makes the calls.
type ServerStream interface {
	Context() context.Context
	Send(*workpb.Outcomes) error
	Recv() (*workpb.Orders, error)
}

// callServer makes the calls of one stream.
type callServer struct {
	execs    Executors
	clk      clock.Clock
	limits   *Limits
	specs    map[string]cachedSpec
	outcomes *batcher[*workpb.Outcome]
	// late counts orders that had expired, and are not in the log yet.
	late atomic.Int64
}

type cachedSpec struct {
	text       string
	receivedAt time.Duration
}

// Serve makes the calls that a leader sends on a stream, until the stream ends. It returns the
// stream's error.
func Serve(s ServerStream, execs Executors, limits *Limits, clk clock.Clock, log zerolog.Logger) error {
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	c := &callServer{execs: execs, clk: clk, limits: limits, specs: map[string]cachedSpec{}, outcomes: newBatcher[*workpb.Outcome](clk)}
	defer c.releaseSpecs()
	sent := make(chan error, 1)
	go func() {
		send := func(os []*workpb.Outcome) error {
			return s.Send(&workpb.Outcomes{Outcomes: os, Clock: max(clk.Now().Microseconds(), 1)})
		}
		err := send(nil)
		if err == nil {
			err = c.outcomes.run(ctx, send)
		}
		cancel()
		sent <- err
	}()
	var calls sync.WaitGroup
	var err error
	for ctx.Err() == nil {
		var in *workpb.Orders
		if in, err = s.Recv(); err != nil {
			break
		}
		arrived := clk.Now()
		if n := c.late.Swap(0); n > 0 {
			log.Warn().Int64("orders", n).Msg("orders of the leader had expired and were not carried out")
		}
		c.storeSpecs(in.GetSpecs(), arrived)
		for _, o := range in.GetOrders() {
			spec, ok := c.specs[jobOf(o)]
			if !ok && kind(o.GetKind()) == kindStart {
				// The executor would start the task with an empty specification.
				c.outcomes.add(&workpb.Outcome{Seq: o.GetSeq(), Verdict: uint32(verdictRefused), Reason: uint32(platform.ReasonOther)})
				continue
			}
			if limits.calls.Acquire(ctx, 1) != nil {
				break // the stream has ended
			}
			calls.Go(func() {
				defer limits.calls.Release(1)
				c.outcomes.add(c.execute(ctx, o, spec.text, arrived))
			})
		}
		// Outcomes of a leader that does not read them must not pile up.
		for ctx.Err() == nil && c.outcomes.len() > maxUnsent {
			clock.Pause(ctx, clk, unsentPause)
		}
	}
	cancel()
	calls.Wait()
	return errors.Join(err, <-sent)
}

// storeSpecs stores specifications, and deletes those that the leader will send again before their
// next use. Without memory for one, starts of its job are refused until the leader sends it again.
func (c *callServer) storeSpecs(specs []*workpb.Spec, now time.Duration) {
	if len(specs) == 0 {
		return
	}
	for job, s := range c.specs {
		if now > s.receivedAt+specKeep {
			c.dropSpec(job)
		}
	}
	for _, s := range specs {
		c.dropSpec(s.GetJob())
		if c.limits.specs.TryAcquire(specSize(s.GetJob(), s.GetText())) {
			c.specs[s.GetJob()] = cachedSpec{s.GetText(), now}
		}
	}
}

func (c *callServer) dropSpec(job string) {
	if s, ok := c.specs[job]; ok {
		delete(c.specs, job)
		c.limits.specs.Release(specSize(job, s.text))
	}
}

func (c *callServer) releaseSpecs() {
	for job := range c.specs {
		c.dropSpec(job)
	}
}

func jobOf(o *workpb.Order) string {
	t, _ := model.ParseTaskID(o.GetTask())
	return t.Job
}

// execute makes one call. It refuses an order that has expired, or whose time limit has passed since it
// arrived: the leader no longer waits for it, and may have started the task elsewhere. The outcome of a
// call that panics is not known.
func (c *callServer) execute(ctx context.Context, o *workpb.Order, text string, arrived time.Duration) (out *workpb.Outcome) {
	out = &workpb.Outcome{Seq: o.GetSeq()}
	defer func() {
		if cause := recover(); cause != nil {
			out = &workpb.Outcome{Seq: o.GetSeq()}
			setError(out, Err.New("call panicked: %v", cause))
		}
	}()
	now := c.clk.Now()
	limit, until := min(time.Duration(o.GetLimit())*time.Millisecond, maxCallTime), time.Duration(o.GetUntil())*time.Microsecond
	expires := fanout.Expiry(limit, arrived, until)
	if now >= expires {
		c.late.Add(1)
		out.Verdict, out.Reason = uint32(verdictRefused), uint32(platform.ReasonLate)
		return out
	}
	call, cancel := context.WithTimeout(ctx, arrived+limit-now)
	defer cancel()
	to := platform.Target{Addr: o.GetAddr(), ID: o.GetId(), Fence: o.GetFence(), Expires: expires}
	t, ok := model.ParseTaskID(o.GetTask())
	var err error
	switch kind(o.GetKind()) {
	case kindStart:
		if !ok {
			err = &platform.OrderError{Reason: platform.ReasonInvalid}
			break
		}
		var execClock time.Duration
		execClock, err = c.execs.Start(call, to, platform.Start{
			Task: t, Attempt: int(o.GetAttempt()), Spec: text, Deadline: time.Duration(o.GetDeadline()) * time.Millisecond,
			Checkpoint: o.GetSaved(), Ticket: o.GetTicket(),
		})
		out.Clock = execClock.Microseconds()
	case kindStop:
		err = c.execs.Stop(call, to, t, int(o.GetAttempt()))
	case kindPoll:
		var res platform.PollResult
		res, err = c.execs.Poll(call, to, time.Duration(o.GetDeadline())*time.Millisecond, o.GetAcked(), time.Duration(o.GetWait())*time.Millisecond)
		encodeLists(out, res)
	default:
		err = &platform.OrderError{Reason: platform.ReasonInvalid}
	}
	setError(out, err)
	return out
}

func setError(out *workpb.Outcome, err error) {
	if err == nil {
		return
	}
	other, refused := (*platform.IncarnationError)(nil), (*platform.OrderError)(nil)
	switch {
	case errors.As(err, &other):
		out.Verdict = uint32(verdictOtherIncarnation)
	case errors.As(err, &refused):
		out.Verdict, out.Reason = uint32(verdictRefused), uint32(refused.Reason)
	default:
		out.Verdict, out.Cause = uint32(verdictUnknown), err.Error()
	}
}

// batcher collects values that are added within a short time into batches.
type batcher[T any] struct {
	clk     clock.Clock
	mu      sync.Mutex
	pending []T
	wake    chan struct{}
}

func newBatcher[T any](clk clock.Clock) *batcher[T] {
	return &batcher[T]{clk: clk, wake: make(chan struct{}, 1)}
}

func (b *batcher[T]) add(x T) {
	b.mu.Lock()
	b.pending = append(b.pending, x)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take removes and returns the values added so far, at most maxBatch.
func (b *batcher[T]) take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), maxBatch)
	out := b.pending[:n:n]
	if b.pending = b.pending[n:]; len(b.pending) == 0 {
		b.pending = nil
	}
	return out
}

// len returns the number of values that were not taken yet.
func (b *batcher[T]) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// run sends batches until the context ends or sending fails, and returns the error of sending.
func (b *batcher[T]) run(ctx context.Context, send func([]T) error) error {
	pause := batchDelay
	for {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return nil
		}
		clock.Pause(ctx, b.clk, pause)
		pause = batchDelay
		for batch := b.take(); len(batch) > 0; batch = b.take() {
			if len(batch) >= busyBatchSize {
				pause = busyBatchDelay
			}
			if err := send(batch); err != nil {
				return Err.Wrap(err)
			}
		}
	}
}
