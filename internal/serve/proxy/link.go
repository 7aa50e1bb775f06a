package proxy

import (
	"context"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/fanout"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// maxMisses is how many consecutive orders without an outcome show that an entry no longer
	// makes calls, if it has been silent for silenceLimit. Orders of one message end at the same time,
	// so that their number alone says nothing about a slow entry.
	maxMisses    = 3
	silenceLimit = 350 * time.Millisecond
	// clockTimeout is how long the first reading of an entry's clock may take. Orders wait for it.
	clockTimeout = 500 * time.Millisecond
	// retireTimeout is how long an unused link waits for its outcomes. The longest call, a poll
	// that waits for an end, takes less. retireCheckInterval is the time between checks whether
	// they have arrived.
	retireTimeout       = 2 * time.Second
	retireCheckInterval = 100 * time.Millisecond
)

// ClientStream is the leader's end of a stream.
type ClientStream interface {
	Send(*workpb.Orders) error
	Recv() (*workpb.Outcomes, error)
	Close() error
}

// link is the stream to one entry that makes calls.
type link struct {
	clk    clock.Clock
	open   func(ctx context.Context) (ClientStream, error)
	out    *batcher[*pendingOrder]
	cancel context.CancelFunc
	done   chan struct{}
	closed chan struct{} // closed when the stream has ended

	mu      sync.Mutex
	seq     uint64
	pending map[uint64]*pendingOrder
	// entryClock estimates the clock of the entry, and clockRead is closed once there is an estimate.
	entryClock fanout.EntryClock
	clockRead  chan struct{}
	// misses counts the consecutive orders without an outcome, and silentSince is when the first of
	// them was sent.
	misses      int
	silentSince time.Duration
	// specsSent is when the specification of each job was last sent.
	specsSent map[string]time.Duration
}

// pendingOrder is an order whose outcome has not arrived.
type pendingOrder struct {
	order   *workpb.Order
	job     string
	spec    string
	expires time.Duration
	reply   chan *workpb.Outcome
	// sent reports whether the order may have left this process, and sentAt when.
	sent   bool
	sentAt time.Duration
}

func newLink(ctx context.Context, clk clock.Clock, open func(ctx context.Context) (ClientStream, error)) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		clk: clk, open: open, out: newBatcher[*pendingOrder](clk), cancel: cancel, done: make(chan struct{}), closed: make(chan struct{}), clockRead: make(chan struct{}),
		pending: map[uint64]*pendingOrder{}, specsSent: map[string]time.Duration{},
	}
	go l.run(ctx)
	return l
}

// close ends the stream and waits for its goroutine.
func (l *link) close() {
	l.cancel()
	<-l.done
}

// retire closes the link once all its orders have an outcome, the stream has ended or retireTimeout
// has passed.
func (l *link) retire() {
	end := l.clk.Now() + retireTimeout
	for l.clk.Now() < end && l.isBusy() {
		p := l.clk.After(retireCheckInterval)
		select {
		case <-p.C:
		case <-l.closed:
			end = 0
		}
		p.Close()
	}
	l.close()
}

func (l *link) isBusy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

func (l *link) run(ctx context.Context) {
	defer close(l.done)
	defer close(l.closed)
	stream, err := l.open(ctx)
	if err != nil {
		return
	}
	received := make(chan struct{})
	go func() {
		defer close(received)
		defer l.cancel()
		for {
			in, err := stream.Recv()
			if err != nil {
				return
			}
			l.deliver(in)
		}
	}()
	if l.awaitClock(ctx) {
		// An error of Send needs no handling: the stream ends, and its orders count as unanswered.
		_ = l.out.run(ctx, func(orders []*pendingOrder) error {
			m := l.message(orders)
			if len(m.GetOrders()) == 0 {
				return nil
			}
			return stream.Send(m)
		})
	}
	_ = stream.Close()
	<-received
}

// awaitClock waits for the first reading of the entry's clock, without which no order can be sent. It
// returns false if there is none for clockTimeout.
func (l *link) awaitClock(ctx context.Context) bool {
	p := l.clk.After(clockTimeout)
	defer p.Close()
	select {
	case <-l.clockRead:
		return true
	case <-p.C:
	case <-ctx.Done():
	}
	return false
}

// message returns a message with the orders whose callers still wait for an outcome.
func (l *link) message(orders []*pendingOrder) *workpb.Orders {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	out := &workpb.Orders{}
	for _, po := range orders {
		limit := fanout.SendLimit(po.expires, now)
		if limit <= 0 || l.pending[po.order.GetSeq()] != po {
			continue
		}
		po.sent, po.sentAt = true, now
		po.order.Limit = uint32(limit.Milliseconds()) + 1
		po.order.Until = l.entryClock.At(now + limit).Microseconds()
		if at, ok := l.specsSent[po.job]; po.job != "" && (!ok || now > at+specResend) {
			l.specsSent[po.job] = now
			out.Specs = append(out.Specs, &workpb.Spec{Job: po.job, Text: po.spec})
		}
		out.Orders = append(out.Orders, po.order)
	}
	if len(out.GetSpecs()) > 0 {
		for job, at := range l.specsSent {
			if now > at+specResend {
				delete(l.specsSent, job)
			}
		}
	}
	return out
}

func (l *link) deliver(in *workpb.Outcomes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if in.GetClock() > 0 {
		if !l.entryClock.IsKnown() {
			close(l.clockRead)
		}
		l.entryClock = l.entryClock.With(time.Duration(in.GetClock())*time.Microsecond, l.clk.Now())
	}
	for _, o := range in.GetOutcomes() {
		l.misses = 0
		if po := l.pending[o.GetSeq()]; po != nil {
			delete(l.pending, o.GetSeq())
			po.reply <- o
		}
	}
}

// call sends an order and waits for its outcome. If there is none, sent reports whether the order
// may have been carried out, and failed whether the entry seems to be unresponsive.
func (l *link) call(ctx context.Context, po *pendingOrder) (o *workpb.Outcome, sent, failed bool) {
	l.mu.Lock()
	l.seq++
	po.order.Seq = l.seq
	l.pending[l.seq] = po
	l.mu.Unlock()
	l.out.add(po)
	timedOut := false
	select {
	case o := <-po.reply:
		return o, true, false
	case <-ctx.Done():
		timedOut = ctx.Err() == context.DeadlineExceeded
	case <-l.closed:
		failed = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, po.order.GetSeq())
	select {
	case o := <-po.reply:
		return o, true, false
	default:
	}
	if timedOut && po.sent {
		if l.misses == 0 || po.sentAt < l.silentSince {
			l.silentSince = po.sentAt
		}
		l.misses++
	}
	return nil, po.sent, failed || l.misses >= maxMisses && l.clk.Now() >= l.silentSince+silenceLimit
}

// errUnanswered returns the error of an order without an outcome, an ErrUnknown of platform.
func errUnanswered(name string) error {
	return platform.ErrUnknown.New("entry %s gave no answer", name)
}
