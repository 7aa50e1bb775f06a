package flows

import (
	"context"
	"io"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/flow/route"
)

// hold owns what a job uses while it is being sent: the queue's slot, the deadline's
// context and the attempt of a non-idempotent call.
type hold struct {
	engine   *Engine
	job      *job
	cancel   context.CancelFunc
	streamed bool
}

// settle ends the job, or leaves that to the end of a streamed body.
func (h *hold) settle(r Result) Result {
	if !h.streamed {
		h.end(r)
	}
	return r
}

func (h *hold) end(r Result) {
	h.cancel()
	if h.job.once != nil {
		h.job.once.settle(r)
	}
	h.job.pool.finish(h.engine.Clock.Now(), h.job.ticket)
}

// stream returns a body that ends the job when it is closed. The slots stay in use
// until then, so that a slow reader costs its own share only.
func (h *hold) stream(body io.ReadCloser, instance string, start time.Duration) io.ReadCloser {
	h.streamed = true
	h.engine.running.Add(1)
	return &stream{body: body, hold: h, instance: instance, start: start}
}

// stream is a body that is passed on while it is received.
type stream struct {
	body     io.ReadCloser
	hold     *hold
	instance string
	start    time.Duration
	err      error
	once     sync.Once
}

// Read passes on the next part of the body. An error other than io.EOF means that
// the answer is not whole.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	if err != nil {
		s.err = err
	}
	return n, err
}

// Close frees the slots and records the outcome.
func (s *stream) Close() error {
	err := s.body.Close()
	s.once.Do(s.finish)
	return err
}

func (s *stream) finish() {
	e := s.hold.engine
	defer e.running.Done()
	outcome := route.Broken
	if s.err == io.EOF {
		outcome = route.Answered
	}
	now := e.Clock.Now()
	s.hold.job.pool.release(now, s.instance, outcome, now-s.start)
	// A streamed body is not kept, so that a caller who asks again is told that.
	s.hold.end(Unknown{Reason: Dropped})
}

// kept converts a result to what is kept for callers who ask again.
func kept(r Result) (claim.Outcome, bool) {
	switch r := r.(type) {
	case Answered:
		return claim.Outcome{Status: r.Status, Kind: r.Kind, Body: r.Whole}, true
	case Failed:
		return claim.Outcome{Status: r.Status, Kind: r.Kind, Body: r.Whole}, true
	case Unknown:
		return claim.Outcome{Unknown: true}, true
	}
	return claim.Outcome{}, false
}

// replay converts a kept outcome to a result.
func replay(o claim.Outcome) Result {
	if o.Unknown {
		return Unknown{Reason: Broken}
	}
	a := Answered{Status: o.Status, Kind: o.Kind, Length: int64(len(o.Body)), Whole: o.Body}
	if o.Status >= failedStatus {
		return Failed{a}
	}
	return a
}
