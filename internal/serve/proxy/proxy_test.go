package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
)

// recorder notes the calls that it is asked to make.
type recorder struct {
	mu     sync.Mutex
	starts []platform.Start
	tos    []platform.To
	err    error
	held   platform.Held
}

func (r *recorder) Start(_ context.Context, to platform.To, s platform.Start) (time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts, r.tos = append(r.starts, s), append(r.tos, to)
	return 7 * time.Second, r.err
}

func (r *recorder) Stop(context.Context, platform.To, model.TaskID, int) error { return r.err }

func (r *recorder) Hold(context.Context, platform.To, time.Duration, int64, time.Duration) (platform.Held, error) {
	return r.held, r.err
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.starts)
}

// pipe is a stream between a leader and an entry in this process.
type pipe struct {
	ctx      context.Context
	cancel   context.CancelFunc
	orders   chan *workpb.Orders
	outcomes chan *workpb.Outcomes
	mu       sync.Mutex
	sent     []*workpb.Orders
}

func newPipe(ctx context.Context) *pipe {
	ctx, cancel := context.WithCancel(ctx)
	return &pipe{ctx: ctx, cancel: cancel, orders: make(chan *workpb.Orders, 100), outcomes: make(chan *workpb.Outcomes, 100)}
}

func hand[T any](ctx context.Context, to chan T, m T) error {
	select {
	case to <- m:
		return nil
	case <-ctx.Done():
		return io.EOF
	}
}

func receive[T any](ctx context.Context, from chan T) (T, error) {
	select {
	case m := <-from:
		return m, nil
	case <-ctx.Done():
		var none T
		return none, io.EOF
	}
}

// near and far are the ends of a pipe at the leader and at the entry.
type near struct{ *pipe }
type far struct{ *pipe }

func (p near) Send(m *workpb.Orders) error {
	p.mu.Lock()
	p.sent = append(p.sent, m)
	p.mu.Unlock()
	return hand(p.ctx, p.orders, m)
}
func (p near) Recv() (*workpb.Outcomes, error) { return receive(p.ctx, p.outcomes) }
func (p near) Close() error                    { p.cancel(); return nil }
func (p far) Context() context.Context         { return p.ctx }
func (p far) Send(m *workpb.Outcomes) error    { return hand(p.ctx, p.outcomes, m) }
func (p far) Recv() (*workpb.Orders, error)    { return receive(p.ctx, p.orders) }

// pair is a leader's pool and the entry "deputy" that makes its calls.
type pair struct {
	pool           *Pool
	direct, remote *recorder
	mu             sync.Mutex
	pipes          []*pipe
}

// newPair returns a pair; with mute, the entry reads and never answers.
func newPair(t *testing.T, mute bool) *pair {
	t.Helper()
	p := &pair{direct: &recorder{}, remote: &recorder{}}
	clk := clock.NewSystem()
	var served sync.WaitGroup
	p.pool = New(context.Background(), p.direct, clk, zerolog.Nop(), "leader", func(ctx context.Context, addr string) (Way, error) {
		if addr != "at" {
			return nil, errors.New("nobody is there")
		}
		w := newPipe(ctx)
		p.mu.Lock()
		p.pipes = append(p.pipes, w)
		p.mu.Unlock()
		if !mute {
			served.Go(func() { _ = Carry(far{w}, p.remote, clk) })
		}
		return near{w}, nil
	})
	t.Cleanup(func() {
		p.pool.Close()
		served.Wait()
	})
	p.pool.Size(map[string]int{"z": 500})
	return p
}

func (p *pair) start(n int, spec string, limit time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return p.pool.Start(ctx, platform.To{Addr: "e", ID: fmt.Sprint("x", n), Zone: "z", Fence: 9}, platform.Start{
		Task: model.TaskID{Job: "j", Index: n}, Attempt: 2, Spec: spec, Deadline: time.Second, Saved: "c", Ticket: "t",
	})
}

// Guards against orders that lose a field on the way, against a specification that is sent
// with each of a job's starts, and against a message for each order.
func TestOrdersGoThroughTheEntry(t *testing.T) {
	p := newPair(t, false)
	p.pool.Heard("deputy", "at", "z", 0)
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() {
			clk, err := p.start(i, "spec of j", 5*time.Second)
			assert.Check(t, err)
			assert.Check(t, clk == 7*time.Second)
		})
	}
	all.Wait()
	assert.Equal(t, p.direct.count(), 0)
	assert.Equal(t, p.remote.count(), 40)
	for i, s := range p.remote.starts {
		assert.DeepEqual(t, s, platform.Start{Task: s.Task, Attempt: 2, Spec: "spec of j", Deadline: time.Second, Saved: "c", Ticket: "t"})
		assert.Equal(t, p.remote.tos[i].Fence, uint64(9))
	}
	specs := 0
	for _, m := range p.pipes[0].sent {
		specs += len(m.GetSpecs())
	}
	assert.Equal(t, specs, 1)
	assert.Assert(t, len(p.pipes[0].sent) < 20, "%d messages", len(p.pipes[0].sent))
}

// Guards against lists and refusals that change on the way.
func TestAnswersArriveWhole(t *testing.T) {
	p := newPair(t, false)
	p.pool.Heard("deputy", "at", "z", 0)
	task := model.TaskID{Job: "j", Step: 1, Index: 3}
	p.remote.held = platform.Held{
		Clock: 1500 * time.Microsecond, Born: 77, Unreadable: 1,
		Running: []model.Run{{Task: task, Attempt: 4, Checkpoint: "s", Percent: 12.5, Metric: 90}},
		Ended:   []model.End{{Seq: 5, Task: task, Attempt: 3, Ending: model.EndedFailed, Checkpoint: "q"}, {Seq: 6, Ending: model.EndedDone}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	to := platform.To{Addr: "e", ID: "x", Zone: "z"}
	h, err := p.pool.Hold(ctx, to, 0, 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, h, p.remote.held)
	p.remote.err = &platform.OrderError{Reason: platform.ReasonRoom}
	refused := (*platform.OrderError)(nil)
	assert.Assert(t, errors.As(p.pool.Stop(ctx, to, task, 1), &refused) && refused.Reason == platform.ReasonRoom)
	p.remote.err = &platform.OtherLifeError{}
	other := (*platform.OtherLifeError)(nil)
	assert.Assert(t, errors.As(p.pool.Stop(ctx, to, task, 1), &other))
	p.remote.err = platform.ErrUnknown.New("lost")
	assert.Assert(t, platform.ErrUnknown.Has(p.pool.Stop(ctx, to, task, 1)))
}

// Guards against a start that is made twice, or taken not to have run, because the entry
// that was to make it went silent: its fate is not known. After some such orders the leader
// makes its calls itself.
func TestOrdersToASilentEntryAreUnknown(t *testing.T) {
	p := newPair(t, true)
	p.pool.Heard("deputy", "at", "z", 0)
	for i := range missesMost {
		_, err := p.start(i, "s", 120*time.Millisecond)
		assert.Assert(t, platform.ErrUnknown.Has(err))
	}
	assert.Equal(t, p.direct.count(), 0)
	_, err := p.start(9, "s", 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, p.direct.count(), 1)
}

// Guards against an order that fails because nobody is at an entry's address: it was not
// sent, so the leader makes the call.
func TestUnsentOrdersAreMadeDirectly(t *testing.T) {
	p := newPair(t, false)
	p.pool.Heard("deputy", "elsewhere", "z", 0)
	_, err := p.start(0, "s", 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, p.direct.count(), 1)
}

// Guards against an entry that stops and takes orders with it.
func TestAnEntryThatLeavesGetsNoOrders(t *testing.T) {
	p := newPair(t, false)
	p.pool.Heard("deputy", "at", "z", 0)
	_, err := p.start(0, "s", 5*time.Second)
	assert.NilError(t, err)
	p.pool.Left("deputy")
	_, err = p.start(1, "s", 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, p.remote.count(), 1)
	assert.Equal(t, p.direct.count(), 1)
}

// Guards against an entry that was suspended and carries out what it received before: the
// leader gave that up, and its permission may have run out. Orders that nobody can read must
// not end the entry either.
func TestOldAndMalformedOrdersAreNotCarriedOut(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	r := &recorder{}
	c := &carrier{execs: r, clk: clk, specs: map[string]spec{}}
	o := &workpb.Order{Kind: uint32(kindStart), Task: "j.0.0.1", Limit: 300}
	clk.Advance(301 * time.Millisecond)
	out := c.carry(context.Background(), o, "s", 0)
	assert.Equal(t, verdict(out.GetVerdict()), verdictRefused)
	assert.Equal(t, platform.Reason(out.GetReason()), platform.ReasonLate)
	for _, bad := range []*workpb.Order{{Kind: uint32(kindStart), Task: "??", Limit: 300}, {Kind: 99, Limit: 300}, {Limit: 300}} {
		out := c.carry(context.Background(), bad, "", clk.Now())
		assert.Equal(t, verdict(out.GetVerdict()), verdictRefused)
	}
	assert.Equal(t, r.count(), 0)
}

// Guards against a leader that was suspended and sends what it had decided before: the
// order is not sent, and is known not to have been.
func TestOrdersOfASuspendedLeaderAreNotSent(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	l := &link{clk: clk, pending: map[uint64]*waiting{}, specs: map[string]time.Duration{}}
	w := &waiting{order: &workpb.Order{Seq: 1}, job: "j", spec: "s", until: 350 * time.Millisecond}
	l.pending[1] = w
	clk.Advance(4 * time.Second)
	assert.Equal(t, len(l.message([]*waiting{w}).GetOrders()), 0)
	assert.Assert(t, !w.sent)
}

// Guards against a start with an empty specification, because the entry has dropped what
// the leader takes it to know.
func TestSpecificationsAreSentAgainBeforeTheyAreDropped(t *testing.T) {
	assert.Assert(t, specKeep > specAgain+time.Second)
	clk := clock.NewFake(time.Unix(0, 0))
	l := &link{clk: clk, pending: map[uint64]*waiting{}, specs: map[string]time.Duration{}}
	c := &carrier{clk: clk, specs: map[string]spec{}}
	for i := range 200 {
		job := fmt.Sprint("j", i%7)
		w := &waiting{order: &workpb.Order{Seq: uint64(i)}, job: job, spec: "text", until: clk.Now() + time.Second}
		l.pending[uint64(i)] = w
		m := l.message([]*waiting{w})
		c.learn(m.GetSpecs(), clk.Now())
		assert.Equal(t, c.specs[job].text, "text")
		clk.Advance(time.Duration(i%11) * 300 * time.Millisecond)
	}
}

// Guards against an executor that is taken to be silent, and its running work started again
// elsewhere, because only its way to the entry that makes the calls is cut.
func TestExecutorsThatDoNotAnswerTheEntryAreAskedDirectly(t *testing.T) {
	p := newPair(t, false)
	p.pool.Heard("deputy", "at", "z", 0)
	p.remote.err = platform.ErrUnknown.New("no route")
	p.direct.held = platform.Held{Clock: time.Second, Running: []model.Run{}, Ended: []model.End{}}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	to := platform.To{Addr: "e", ID: "x", Zone: "z"}
	_, err := p.pool.Hold(ctx, to, 0, 0, 0)
	assert.Assert(t, platform.ErrUnknown.Has(err))
	h, err := p.pool.Hold(ctx, to, 0, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, h.Clock, time.Second)
}
