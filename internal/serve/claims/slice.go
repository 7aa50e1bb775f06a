package claims

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/serve/follow"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

const (
	// batchWindow is the least time between the starts of two appends to a slice. With
	// 8 slices and a full load it keeps the system under 400 appends a second.
	batchWindow = 20 * time.Millisecond
	// tidyInterval is how often old ids are forgotten.
	tidyInterval = time.Second
	// maxBatch bounds the claims of one append.
	maxBatch = 512
	// readWait is the longest wait of a read for new records.
	readWait = time.Second
	// markInterval is how often a claimer appends an empty batch, so that the age of
	// the first retained record of an idle stream shows how long records are retained.
	markInterval = 2 * time.Minute
	// failurePause delays the next append after a failed one.
	failurePause = 80 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
)

// ask is one claim that waits for its verdict.
type ask struct {
	claim *recpb.Claim
	reply chan result
	// span is the span of the request that asks.
	span trace.SpanContext
}

// result is the verdict of a slice.
type result struct {
	head    claim.Head
	verdict claim.Verdict
}

// slice claims ids of one stream. Its goroutine owns the index and the waiting asks.
type slice struct {
	name string
	log  ports.Log
	clk  clock.Clock
	// tracer writes a span for each append of claims.
	tracer trace.Tracer

	asks   chan *ask
	gone   chan *ask
	read   chan ports.Batch
	posted chan posted
	cancel context.CancelFunc
	done   chan struct{}

	index   *claim.Index
	caught  bool
	waiting map[uint64][]*ask
	batch   []*recpb.Claim
	posting bool
	timer   *clock.Subscription
	last    time.Duration
	marked  time.Duration
}

func openSlice(ctx context.Context, n int, log ports.Log, clk clock.Clock, tracer trace.Tracer) *slice {
	ctx, cancel := context.WithCancel(ctx)
	s := &slice{
		name:    claim.Stream(n),
		log:     log,
		clk:     clk,
		tracer:  tracer,
		asks:    make(chan *ask),
		gone:    make(chan *ask),
		read:    make(chan ports.Batch),
		posted:  make(chan posted, 1),
		cancel:  cancel,
		done:    make(chan struct{}),
		index:   claim.NewIndex(),
		waiting: map[uint64][]*ask{},
	}
	var tail sync.WaitGroup
	tail.Add(1)
	go func() {
		defer tail.Done()
		follow.Run(ctx, follow.Stream{
			Log: log, Clock: clk, Name: s.name, Wait: readWait,
			Next: func() uint64 { return 1 },
			Give: func(b ports.Batch, _ time.Duration) { s.hand(ctx, b) },
		})
	}()
	go s.run(ctx, &tail)
	return s
}

// close ends the slice and waits for its goroutines.
func (s *slice) close() {
	s.cancel()
	<-s.done
}

// claim asks for a verdict and waits for it.
func (s *slice) claim(ctx context.Context, c *recpb.Claim) (result, bool) {
	a := &ask{claim: c, reply: make(chan result, 1), span: trace.SpanContextFromContext(ctx)}
	select {
	case s.asks <- a:
	case <-ctx.Done():
		return result{}, false
	case <-s.done:
		return result{}, false
	}
	select {
	case r := <-a.reply:
		return r, true
	case <-s.done:
		return result{}, false
	case <-ctx.Done():
	}
	select {
	case s.gone <- a:
	case <-s.done:
	}
	return result{}, false
}

// run owns the index until the context ends.
func (s *slice) run(ctx context.Context, tail *sync.WaitGroup) {
	defer close(s.done)
	defer tail.Wait()
	sub := s.clk.Subscribe(tidyInterval)
	defer sub.Close()
	defer s.disarm()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-s.asks:
			s.ask(a)
		case a := <-s.gone:
			s.drop(a)
		case b := <-s.read:
			s.fold(b)
		case p := <-s.posted:
			s.ended(p)
		case <-sub.C:
			s.index.Forget(s.wall())
			s.mark()
		case <-s.window():
			s.disarm()
		}
		s.flush(ctx)
	}
}

func (s *slice) wall() int64 { return s.clk.Wall().UnixMilli() }

// ask decides at once what the index knows, and puts the rest into the next batch.
func (s *slice) ask(a *ask) {
	id := claim.ID(a.claim.GetId())
	if s.caught && s.decide(id, a) {
		return
	}
	token := a.claim.GetToken()
	if s.waiting[token] == nil {
		s.batch = append(s.batch, a.claim)
	}
	s.waiting[token] = append(s.waiting[token], a)
}

// decide answers an ask if the id is held by another claim than the one to be
// replaced, or forgotten.
func (s *slice) decide(id claim.ID, a *ask) bool {
	head, v := s.index.Look(id, s.wall())
	if v == claim.Free || (v == claim.Held && head.Token == a.claim.GetPrev()) {
		return false
	}
	a.reply <- result{head, v}
	return true
}

func (s *slice) drop(a *ask) {
	token := a.claim.GetToken()
	rest := s.waiting[token][:0]
	for _, o := range s.waiting[token] {
		if o != a {
			rest = append(rest, o)
		}
	}
	if len(rest) == 0 {
		delete(s.waiting, token)
		return
	}
	s.waiting[token] = rest
}

// hand gives a batch to the slice's goroutine.
func (s *slice) hand(ctx context.Context, b ports.Batch) {
	select {
	case s.read <- b:
	case <-ctx.Done():
	}
}

// fold applies records that were read and answers the asks that they decide. If there
// are none, and records before the read are no longer retained, nothing shows for how
// long records are retained.
func (s *slice) fold(b ports.Batch) {
	if len(b.Items) == 0 {
		s.index.Cut(b.First, 0, s.wall())
	}
	for _, item := range b.Items {
		r := &recpb.Claims{}
		// A record that can't be decoded claims nothing, for every reader alike.
		if proto.Unmarshal(item.Data, r) != nil {
			r = &recpb.Claims{At: s.wall()}
		}
		s.index.Apply(item.Offset, r, s.wall())
		for _, c := range r.GetClaims() {
			s.settle(c)
		}
	}
	if s.index.Next() < b.Next {
		return
	}
	if !s.caught {
		s.caught = true
		s.recheck()
	}
}

// settle answers the asks of a claim that was read back.
func (s *slice) settle(c *recpb.Claim) {
	list := s.waiting[c.GetToken()]
	if len(list) == 0 || len(c.GetId()) != len(claim.ID{}) {
		return
	}
	delete(s.waiting, c.GetToken())
	head, v := s.index.Look(claim.ID(c.GetId()), s.wall())
	for _, a := range list {
		a.reply <- result{head, v}
	}
}

// recheck decides the asks that came before the index had caught up.
func (s *slice) recheck() {
	for token, list := range s.waiting {
		rest := list[:0]
		for _, a := range list {
			if !s.decide(claim.ID(a.claim.GetId()), a) {
				rest = append(rest, a)
			}
		}
		if len(rest) == 0 {
			delete(s.waiting, token)
		}
	}
}

// flush appends the batch unless an append is under way or the window is not over.
func (s *slice) flush(ctx context.Context) {
	now := s.clk.Now()
	if s.posting || !s.caught || len(s.batch) == 0 {
		return
	}
	if rest := s.last + batchWindow - now; rest > 0 {
		s.arm(rest)
		return
	}
	batch := s.take()
	if len(batch) == 0 {
		return
	}
	s.post(ctx, now, batch)
}

// arm wakes the slice when the window is over.
func (s *slice) arm(rest time.Duration) {
	if s.timer == nil {
		s.timer = s.clk.After(rest)
	}
}

// disarm ends the timer of the window.
func (s *slice) disarm() {
	if s.timer != nil {
		s.timer.Close()
		s.timer = nil
	}
}

// window delivers the end of the window, or nothing if no batch waits for it.
func (s *slice) window() <-chan time.Duration {
	if s.timer == nil {
		return nil
	}
	return s.timer.C
}

// take returns the claims of the next batch whose askers still wait.
func (s *slice) take() []*recpb.Claim {
	var out []*recpb.Claim
	for len(s.batch) > 0 && len(out) < maxBatch {
		c := s.batch[0]
		s.batch = s.batch[1:]
		if len(s.waiting[c.GetToken()]) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// mark appends an empty batch if the stream has been idle.
func (s *slice) mark() {
	now := s.clk.Now()
	if s.posting || !s.caught || (s.marked != 0 && now-s.marked < markInterval) {
		return
	}
	s.post(context.Background(), now, nil)
}

// span starts the span of an append. It belongs to the first request of the batch that is
// traced, and is linked to the others.
func (s *slice) span(ctx context.Context, batch []*recpb.Claim) (context.Context, trace.Span) {
	var links []trace.Link
	for _, c := range batch {
		for _, a := range s.waiting[c.GetToken()] {
			if a.span.IsValid() {
				links = append(links, trace.Link{SpanContext: a.span})
			}
		}
	}
	if len(links) == 0 {
		return ctx, trace.SpanFromContext(context.Background())
	}
	ctx = trace.ContextWithRemoteSpanContext(ctx, links[0].SpanContext)
	return s.tracer.Start(ctx, "log append", trace.WithLinks(links[1:]...),
		trace.WithAttributes(attribute.String("stream", s.name), attribute.Int("claims", len(batch))))
}

// posted is the end of an append.
type posted struct {
	batch []*recpb.Claim
	err   error
}

// ended notes the end of an append. Whether it took effect shows when the stream is
// read; after a failure it is repeated, because a doubled claim is the same claim.
func (s *slice) ended(p posted) {
	s.posting = false
	if p.err == nil {
		return
	}
	s.last = s.clk.Now() + failurePause
	s.batch = append(p.batch, s.batch...)
}

// post appends a batch in the background.
func (s *slice) post(ctx context.Context, now time.Duration, batch []*recpb.Claim) {
	data, err := proto.Marshal(&recpb.Claims{Claims: batch, At: s.wall()})
	if err != nil {
		return
	}
	s.posting = true
	s.last = now
	s.marked = now
	ctx, span := s.span(ctx, batch)
	go func() {
		defer span.End()
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err := s.log.Append(ctx, s.name, data)
		s.posted <- posted{batch, err}
	}()
}
