package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// specKeep is how long an entry keeps the specification of a job after it was sent, and
	// specAgain after which time a leader sends it again.
	specKeep  = 12 * time.Second
	specAgain = 8 * time.Second
)

// Stream is the leader's stream as the entry sees it that makes the calls.
type Stream interface {
	Context() context.Context
	Send(*workpb.Outcomes) error
	Recv() (*workpb.Orders, error)
}

// carrier makes the calls of one stream.
type carrier struct {
	execs Executors
	clk   clock.Clock
	specs map[string]spec
	out   *batcher[*workpb.Outcome]
}

type spec struct {
	text string
	at   time.Duration
}

// Carry makes the calls that a leader sends on a stream, until the stream ends. It returns
// the stream's error.
func Carry(s Stream, execs Executors, clk clock.Clock) error {
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	c := &carrier{execs: execs, clk: clk, specs: map[string]spec{}, out: newBatcher[*workpb.Outcome](clk)}
	sent := make(chan error, 1)
	go func() {
		err := c.out.run(ctx, func(os []*workpb.Outcome) error { return s.Send(&workpb.Outcomes{Outcomes: os}) })
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
		c.learn(in.GetSpecs(), arrived)
		for _, o := range in.GetOrders() {
			text := c.specs[jobOf(o)].text
			calls.Go(func() { c.out.add(c.carry(ctx, o, text, arrived)) })
		}
	}
	cancel()
	calls.Wait()
	return errors.Join(err, <-sent)
}

// learn keeps specifications, and drops those that the leader will send again.
func (c *carrier) learn(specs []*workpb.Spec, now time.Duration) {
	for _, s := range specs {
		c.specs[s.GetJob()] = spec{s.GetText(), now}
	}
	if len(specs) == 0 {
		return
	}
	for job, s := range c.specs {
		if now > s.at+specKeep {
			delete(c.specs, job)
		}
	}
}

func jobOf(o *workpb.Order) string {
	t, _ := model.ParseTask(o.GetTask())
	return t.Job
}

// carry makes one call. An order that has waited here for longer than its call may take is
// not carried out: the leader has given it up, and may have lost its permission since.
func (c *carrier) carry(ctx context.Context, o *workpb.Order, text string, arrived time.Duration) *workpb.Outcome {
	out := &workpb.Outcome{Seq: o.GetSeq()}
	left := time.Duration(o.GetLimit())*time.Millisecond - (c.clk.Now() - arrived)
	if left <= 0 {
		out.Verdict, out.Reason = uint32(verdictRefused), uint32(platform.ReasonLate)
		return out
	}
	call, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	to := platform.To{Addr: o.GetAddr(), ID: o.GetId(), Fence: o.GetFence()}
	t, ok := model.ParseTask(o.GetTask())
	var err error
	switch kind(o.GetKind()) {
	case kindStart:
		if !ok {
			err = &platform.OrderError{Reason: platform.ReasonBad}
			break
		}
		var clk time.Duration
		clk, err = c.execs.Start(call, to, platform.Start{
			Task: t, Attempt: int(o.GetAttempt()), Spec: text, Deadline: time.Duration(o.GetDeadline()) * time.Millisecond,
			Saved: o.GetSaved(), Ticket: o.GetTicket(),
		})
		out.Clock = clk.Microseconds()
	case kindStop:
		err = c.execs.Stop(call, to, t, int(o.GetAttempt()))
	case kindHold:
		var h platform.Held
		h, err = c.execs.Hold(call, to, time.Duration(o.GetDeadline())*time.Millisecond, o.GetAcked(), time.Duration(o.GetWait())*time.Millisecond)
		setHeld(out, h)
	default:
		err = &platform.OrderError{Reason: platform.ReasonBad}
	}
	setError(out, err)
	return out
}

func setError(out *workpb.Outcome, err error) {
	if err == nil {
		return
	}
	other, refused := (*platform.OtherLifeError)(nil), (*platform.OrderError)(nil)
	switch {
	case errors.As(err, &other):
		out.Verdict = uint32(verdictOther)
	case errors.As(err, &refused):
		out.Verdict, out.Reason = uint32(verdictRefused), uint32(refused.Reason)
	default:
		out.Verdict, out.Cause = uint32(verdictUnknown), err.Error()
	}
}

// batcher hands what is added within a short time on together.
type batcher[T any] struct {
	clk  clock.Clock
	mu   sync.Mutex
	list []T
	wake chan struct{}
}

func newBatcher[T any](clk clock.Clock) *batcher[T] {
	return &batcher[T]{clk: clk, wake: make(chan struct{}, 1)}
}

func (b *batcher[T]) add(x T) {
	b.mu.Lock()
	b.list = append(b.list, x)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns what was added, at most so much as a message holds.
func (b *batcher[T]) take() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.list), mostInMessage)
	out := b.list[:n:n]
	if b.list = b.list[n:]; len(b.list) == 0 {
		b.list = nil
	}
	return out
}

// run sends what is added until the context ends or sending fails, and returns that error.
func (b *batcher[T]) run(ctx context.Context, send func([]T) error) error {
	pause := gather
	for {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return nil
		}
		clock.Pause(ctx, b.clk, pause)
		pause = gather
		for list := b.take(); len(list) > 0; list = b.take() {
			if len(list) >= busyFrom {
				pause = gatherBusy
			}
			if err := send(list); err != nil {
				return Err.Wrap(err)
			}
		}
	}
}
