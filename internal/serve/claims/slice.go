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
	// minAppendInterval is the least time between the starts of two appends to a slice. With 8
	// slices under full load it keeps the system below 400 appends/s.
	minAppendInterval = 20 * time.Millisecond
	// forgetInterval is the time between two removals of old ids.
	forgetInterval = time.Second
	// maxBatch bounds the claims of one append.
	maxBatch = 512
	// readWait is the longest time that a read waits for new records.
	readWait = time.Second
	// idleAppendInterval is the time without an append after which a claim coordinator appends an
	// empty batch, so that the age of the first retained record of an idle stream shows how long
	// records are retained.
	idleAppendInterval = 2 * time.Minute
	// retryDelay is added to minAppendInterval after a failed append.
	retryDelay = 80 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
)

// pendingClaim is a claim that waits for its verdict.
type pendingClaim struct {
	claim *recpb.Claim
	reply chan result
	// span is the span of the claiming request.
	span trace.SpanContext
}

// result is the verdict on a claim, with the id's current holder.
type result struct {
	winner  claim.Winner
	verdict claim.Verdict
}

// slice claims the ids of one stream. Its goroutine owns the index and the waiting claims.
type slice struct {
	name string
	log  ports.Log
	clk  clock.Clock
	// tracer creates a span for each append of claims.
	tracer trace.Tracer

	claims    chan *pendingClaim
	cancelled chan *pendingClaim
	batches   chan ports.Batch
	appended  chan appendResult
	cancel    context.CancelFunc
	done      chan struct{}

	index    *claim.Index
	caughtUp bool
	// waiting holds the claims without a verdict by token, and batch those to append next.
	waiting   map[uint64][]*pendingClaim
	batch     []*recpb.Claim
	appending bool
	timer     *clock.Subscription
	// windowStart is the time from which minAppendInterval is counted. It is the start of the last
	// append, or a time in the future after a failed one.
	windowStart time.Duration
	lastAppend  time.Duration
}

func openSlice(ctx context.Context, n int, log ports.Log, clk clock.Clock, tracer trace.Tracer) *slice {
	ctx, cancel := context.WithCancel(ctx)
	s := &slice{
		name:      claim.Stream(n),
		log:       log,
		clk:       clk,
		tracer:    tracer,
		claims:    make(chan *pendingClaim),
		cancelled: make(chan *pendingClaim),
		batches:   make(chan ports.Batch),
		appended:  make(chan appendResult, 1),
		cancel:    cancel,
		done:      make(chan struct{}),
		index:     claim.NewIndex(),
		waiting:   map[uint64][]*pendingClaim{},
	}
	var reader sync.WaitGroup
	reader.Add(1)
	go func() {
		defer reader.Done()
		follow.Run(ctx, follow.Stream{
			Log: log, Clock: clk, Name: s.name, Wait: readWait,
			NextOffset: func() uint64 { return 1 },
			Deliver:    func(b ports.Batch, _ time.Duration) { s.deliver(ctx, b) },
		})
	}()
	go s.run(ctx, &reader)
	return s
}

// close stops the slice and waits for its goroutines, except for an append under way, which ends
// within appendTimeout.
func (s *slice) close() {
	s.cancel()
	<-s.done
}

// claim submits a claim and waits for its verdict. It returns false if there is none.
func (s *slice) claim(ctx context.Context, c *recpb.Claim) (result, bool) {
	a := &pendingClaim{claim: c, reply: make(chan result, 1), span: trace.SpanContextFromContext(ctx)}
	select {
	case s.claims <- a:
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
	case s.cancelled <- a:
	case <-s.done:
	}
	return result{}, false
}

// run owns the index and the waiting claims until the context ends.
func (s *slice) run(ctx context.Context, reader *sync.WaitGroup) {
	defer close(s.done)
	defer reader.Wait()
	sub := s.clk.Subscribe(forgetInterval)
	defer sub.Close()
	defer s.stopTimer()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-s.claims:
			s.accept(a)
		case a := <-s.cancelled:
			s.remove(a)
		case b := <-s.batches:
			s.applyBatch(b)
		case p := <-s.appended:
			s.handleAppendResult(p)
		case <-sub.C:
			s.index.Forget(s.wall())
			s.appendIfIdle()
		case <-s.timerChan():
			s.stopTimer()
		}
		s.flush(ctx)
	}
}

func (s *slice) wall() int64 { return s.clk.Wall().UnixMilli() }

// accept decides a claim from the index if possible, and otherwise adds it to the next batch.
func (s *slice) accept(a *pendingClaim) {
	id := claim.ID(a.claim.GetId())
	if s.caughtUp && s.decide(id, a) {
		return
	}
	token := a.claim.GetToken()
	if s.waiting[token] == nil {
		s.batch = append(s.batch, a.claim)
	}
	s.waiting[token] = append(s.waiting[token], a)
}

// decide answers a claim if the index shows the id as forgotten, or as held by a claim other than
// the one to be replaced. It returns false if the claim must be appended.
func (s *slice) decide(id claim.ID, a *pendingClaim) bool {
	head, v := s.index.Lookup(id, s.wall())
	if v == claim.Free || (v == claim.Held && head.Token == a.claim.GetPrev()) {
		return false
	}
	a.reply <- result{head, v}
	return true
}

func (s *slice) remove(a *pendingClaim) {
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

// deliver passes a batch of records to the slice's goroutine.
func (s *slice) deliver(ctx context.Context, b ports.Batch) {
	select {
	case s.batches <- b:
	case <-ctx.Done():
	}
}

// applyBatch applies records that were read and answers the claims that they decide. If there are
// none, no record shows for how long the log retains records, so the index is truncated with time
// 0: if records are missing, any id issued up to now may have had a claim.
func (s *slice) applyBatch(b ports.Batch) {
	if len(b.Items) == 0 {
		s.index.TruncateBefore(b.First, 0, s.wall())
	}
	for _, item := range b.Items {
		r := &recpb.Claims{}
		// A record that can't be decoded claims nothing, for every reader alike.
		if proto.Unmarshal(item.Data, r) != nil {
			r = &recpb.Claims{At: s.wall()}
		}
		s.index.Apply(item.Offset, r, s.wall())
		for _, c := range r.GetClaims() {
			s.answerWaiting(c)
		}
	}
	if s.index.NextOffset() < b.Next {
		return
	}
	if !s.caughtUp {
		s.caughtUp = true
		s.decideWaiting()
	}
}

// answerWaiting answers all waiting requests of a claim that was read back.
func (s *slice) answerWaiting(c *recpb.Claim) {
	list := s.waiting[c.GetToken()]
	if len(list) == 0 || len(c.GetId()) != len(claim.ID{}) {
		return
	}
	delete(s.waiting, c.GetToken())
	head, v := s.index.Lookup(claim.ID(c.GetId()), s.wall())
	for _, a := range list {
		a.reply <- result{head, v}
	}
}

// decideWaiting decides the claims that arrived before the index had caught up.
func (s *slice) decideWaiting() {
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

// flush appends the next batch unless an append is under way or minAppendInterval is not over.
func (s *slice) flush(ctx context.Context) {
	now := s.clk.Now()
	if s.appending || !s.caughtUp || len(s.batch) == 0 {
		return
	}
	if rest := s.windowStart + minAppendInterval - now; rest > 0 {
		s.startTimer(rest)
		return
	}
	batch := s.takeBatch()
	if len(batch) == 0 {
		return
	}
	s.appendBatch(ctx, now, batch)
}

// startTimer wakes the slice after the rest of minAppendInterval.
func (s *slice) startTimer(rest time.Duration) {
	if s.timer == nil {
		s.timer = s.clk.After(rest)
	}
}

// stopTimer stops the timer if it is running.
func (s *slice) stopTimer() {
	if s.timer != nil {
		s.timer.Close()
		s.timer = nil
	}
}

// timerChan returns the channel of the timer, or nil if it is not running.
func (s *slice) timerChan() <-chan time.Duration {
	if s.timer == nil {
		return nil
	}
	return s.timer.C
}

// takeBatch removes the next batch and returns its claims that still have a waiting request.
func (s *slice) takeBatch() []*recpb.Claim {
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

// appendIfIdle appends an empty batch if nothing was appended for idleAppendInterval.
func (s *slice) appendIfIdle() {
	now := s.clk.Now()
	if s.appending || !s.caughtUp || (s.lastAppend != 0 && now-s.lastAppend < idleAppendInterval) {
		return
	}
	s.appendBatch(context.Background(), now, nil)
}

// startSpan starts the span of an append. Its parent is the first traced request of the batch, and
// it is linked to the others.
func (s *slice) startSpan(ctx context.Context, batch []*recpb.Claim) (context.Context, trace.Span) {
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

// appendResult is the result of an append.
type appendResult struct {
	batch []*recpb.Claim
	err   error
}

// handleAppendResult processes the end of an append. Whether it took effect shows when the stream
// is read. A failed append is repeated, which is safe because a repeated claim is the same claim.
func (s *slice) handleAppendResult(p appendResult) {
	s.appending = false
	if p.err == nil {
		return
	}
	s.windowStart = s.clk.Now() + retryDelay
	s.batch = append(p.batch, s.batch...)
}

// appendBatch appends a batch in the background.
func (s *slice) appendBatch(ctx context.Context, now time.Duration, batch []*recpb.Claim) {
	data, err := proto.Marshal(&recpb.Claims{Claims: batch, At: s.wall()})
	if err != nil {
		return
	}
	s.appending = true
	s.windowStart = now
	s.lastAppend = now
	ctx, span := s.startSpan(ctx, batch)
	go func() {
		defer span.End()
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err := s.log.Append(ctx, s.name, data)
		s.appended <- appendResult{batch, err}
	}()
}
