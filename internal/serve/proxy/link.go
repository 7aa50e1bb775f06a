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
	// sendLimit is how long a message may take to leave this entry, without any outcome meanwhile,
	// until the entry that it is for counts as unresponsive. Before, this entry's own link may be full.
	sendLimit = 2 * time.Second
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
	synced chan struct{} // closed when the clock of the entry is known

	mu      sync.Mutex
	remote  remoteClock
	seq     uint64
	pending map[uint64]*pendingOrder
	// misses counts the consecutive orders without an outcome, and silentSince is when the first of
	// them had left this entry.
	misses      int
	silentSince time.Duration
	// sending is set while a message is sent, and blockedSince is when that began or when the last
	// outcome arrived since.
	sending      bool
	blockedSince time.Duration
	// specsSent is when the specification of each job was last sent.
	specsSent map[string]time.Duration
}

// pendingOrder is an order whose outcome has not arrived.
type pendingOrder struct {
	order *workpb.Order
	job   string
	spec  string
	// expires is the end of the wait for the outcome, and until when the call may be begun.
	expires, until time.Duration
	reply          chan *workpb.Outcome
	// sent reports whether the order may have left this entry, and left whether it has, at leftAt.
	sent   bool
	left   bool
	leftAt time.Duration
}

func newLink(ctx context.Context, clk clock.Clock, open func(ctx context.Context) (ClientStream, error)) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		clk: clk, open: open, out: newBatcher[*pendingOrder](clk), cancel: cancel, done: make(chan struct{}), closed: make(chan struct{}),
		synced: make(chan struct{}), pending: map[uint64]*pendingOrder{}, specsSent: map[string]time.Duration{},
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
			defer l.recordSent(orders)
			return stream.Send(m)
		})
	} else {
		l.cancel()
	}
	_ = stream.Close()
	<-received
}

// awaitClock waits for the first message of the entry, which has its clock. It returns false if there is none
// in silenceLimit.
func (l *link) awaitClock(ctx context.Context) bool {
	limit := l.clk.After(silenceLimit)
	defer limit.Close()
	select {
	case <-l.synced:
		return true
	case <-ctx.Done():
	case <-limit.C:
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
		limit := fanout.SendLimit(po.expires, po.until, now)
		if limit <= 0 || l.pending[po.order.GetSeq()] != po {
			continue
		}
		po.sent = true
		po.order.Limit = uint32(limit.Milliseconds()) + 1
		po.order.Until = max(l.remote.at(po.until, now).Microseconds(), 1)
		if at, ok := l.specsSent[po.job]; po.job != "" && (!ok || now > at+specResend) {
			l.specsSent[po.job] = now
			out.Specs = append(out.Specs, &workpb.Spec{Job: po.job, Text: po.spec})
		}
		out.Orders = append(out.Orders, po.order)
	}
	if len(out.GetOrders()) > 0 {
		l.sending, l.blockedSince = true, now
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

// recordSent records that a message with those of the orders that are sent has left this entry.
func (l *link) recordSent(orders []*pendingOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sending = false
	for _, po := range orders {
		if po.sent {
			po.left, po.leftAt = true, l.clk.Now()
		}
	}
}

func (l *link) deliver(in *workpb.Outcomes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	l.blockedSince = now
	if l.remote.sync(in.GetClock(), now) {
		close(l.synced)
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
	return nil, po.sent, failed || timedOut && l.recordMiss(po)
}

// recordMiss records an order without an outcome, and reports whether the entry seems to be
// unresponsive. The caller holds mu.
func (l *link) recordMiss(po *pendingOrder) bool {
	now := l.clk.Now()
	if l.sending && now >= l.blockedSince+sendLimit {
		return true
	}
	if po.left {
		if l.misses == 0 || po.leftAt < l.silentSince {
			l.silentSince = po.leftAt
		}
		l.misses++
	}
	return l.misses >= maxMisses && now >= l.silentSince+silenceLimit
}

// errUnanswered returns the error of an order without an outcome, an ErrUnknown of platform.
func errUnanswered(name string) error {
	return platform.ErrUnknown.New("entry %s gave no answer", name)
}
