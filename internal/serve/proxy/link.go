package proxy

import (
	"context"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// answerSlack is how much sooner than the leader an entry gives a call up, so that its
	// answer arrives in time.
	answerSlack = 50 * time.Millisecond
	// missesMost is how many orders without an answer, one after the other, show that an
	// entry does not make calls any more.
	missesMost = 3
	// retireFor is how long a link that is not used any more waits for its answers: the
	// longest call, a look that waits for an end, takes less. retirePoll is the time between
	// looks whether they have come.
	retireFor  = 2 * time.Second
	retirePoll = 100 * time.Millisecond
)

// Way is the leader's end of a stream.
type Way interface {
	Send(*workpb.Orders) error
	Recv() (*workpb.Outcomes, error)
	Close() error
}

// link is the stream to one entry that makes calls.
type link struct {
	clk    clock.Clock
	open   func(ctx context.Context) (Way, error)
	out    *batcher[*waiting]
	cancel context.CancelFunc
	done   chan struct{}
	broken chan struct{} // closed when the stream has ended

	mu      sync.Mutex
	seq     uint64
	pending map[uint64]*waiting
	misses  int
	// specs is when the specification of a job was sent.
	specs map[string]time.Duration
}

// waiting is an order that waits for its answer.
type waiting struct {
	order *workpb.Order
	job   string
	spec  string
	until time.Duration
	reply chan *workpb.Outcome
	// sent says that the order may have left this process.
	sent bool
}

func newLink(ctx context.Context, clk clock.Clock, open func(ctx context.Context) (Way, error)) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := &link{
		clk: clk, open: open, out: newBatcher[*waiting](clk), cancel: cancel, done: make(chan struct{}), broken: make(chan struct{}),
		pending: map[uint64]*waiting{}, specs: map[string]time.Duration{},
	}
	go l.run(ctx)
	return l
}

// close ends the stream and waits.
func (l *link) close() {
	l.cancel()
	<-l.done
}

// retire closes the link once its orders are answered, or can't be any more.
func (l *link) retire() {
	end := l.clk.Now() + retireFor
	for l.clk.Now() < end && l.isBusy() {
		p := l.clk.After(retirePoll)
		select {
		case <-p.C:
		case <-l.broken:
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
	defer close(l.broken)
	w, err := l.open(ctx)
	if err != nil {
		return
	}
	received := make(chan struct{})
	go func() {
		defer close(received)
		defer l.cancel()
		for {
			in, err := w.Recv()
			if err != nil {
				return
			}
			l.answer(in.GetOutcomes())
		}
	}()
	// A stream that can't be written is broken; its orders are answered as not known.
	_ = l.out.run(ctx, func(ws []*waiting) error {
		m := l.message(ws)
		if len(m.GetOrders()) == 0 {
			return nil
		}
		return w.Send(m)
	})
	_ = w.Close()
	<-received
}

// message returns the orders that are still worth being sent.
func (l *link) message(ws []*waiting) *workpb.Orders {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clk.Now()
	out := &workpb.Orders{}
	for _, w := range ws {
		limit := w.until - now - answerSlack
		if limit <= 0 || l.pending[w.order.GetSeq()] != w {
			continue
		}
		w.sent = true
		w.order.Limit = uint32(limit.Milliseconds()) + 1
		if at, ok := l.specs[w.job]; w.job != "" && (!ok || now > at+specAgain) {
			l.specs[w.job] = now
			out.Specs = append(out.Specs, &workpb.Spec{Job: w.job, Text: w.spec})
		}
		out.Orders = append(out.Orders, w.order)
	}
	if len(out.GetSpecs()) > 0 {
		for job, at := range l.specs {
			if now > at+specAgain {
				delete(l.specs, job)
			}
		}
	}
	return out
}

func (l *link) answer(os []*workpb.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range os {
		l.misses = 0
		if w := l.pending[o.GetSeq()]; w != nil {
			delete(l.pending, o.GetSeq())
			w.reply <- o
		}
	}
}

// call sends an order and waits for its answer. If there is none, sent says whether the
// order may have been carried out, and bad whether the entry seems not to answer at all.
func (l *link) call(ctx context.Context, w *waiting) (o *workpb.Outcome, sent, bad bool) {
	l.mu.Lock()
	l.seq++
	w.order.Seq = l.seq
	l.pending[l.seq] = w
	l.mu.Unlock()
	l.out.add(w)
	missed := false
	select {
	case o := <-w.reply:
		return o, true, false
	case <-ctx.Done():
		missed = ctx.Err() == context.DeadlineExceeded
	case <-l.broken:
		bad = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, w.order.GetSeq())
	select {
	case o := <-w.reply:
		return o, true, false
	default:
	}
	if missed && w.sent {
		l.misses++
	}
	return nil, w.sent, bad || l.misses >= missesMost
}

// unanswered is the error of an order without an answer.
func unanswered(name string) error { return platform.ErrUnknown.New("entry %s gave no answer", name) }
