package flows

import (
	"context"
	"io"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/flow/route"
)

// sendState holds what a call uses while it is being sent: the queue's slot, the deadline's context
// and the claim of a non-idempotent call.
type sendState struct {
	engine   *Engine
	call     *callState
	cancel   context.CancelFunc
	streamed bool
}

// settle ends the call, unless the end of a streamed body does that.
func (ss *sendState) settle(r Result) Result {
	if !ss.streamed {
		ss.end(r)
	}
	return r
}

func (ss *sendState) end(r Result) {
	ss.cancel()
	if ss.call.claim != nil {
		ss.call.claim.recordOutcome(r)
	}
	ss.call.pool.finish(ss.engine.Clock.Now(), ss.call.ticket)
}

// stream returns a body that ends the call when it is closed. The slots stay in use until then, so
// that a slow reader uses up only its own share.
func (ss *sendState) stream(body io.ReadCloser, instance string, start time.Duration) io.ReadCloser {
	ss.streamed = true
	ss.engine.running.Add(1)
	return &responseStream{body: body, send: ss, instance: instance, start: start}
}

// responseStream is a response body that is passed on while it is received.
type responseStream struct {
	body     io.ReadCloser
	send     *sendState
	instance string
	start    time.Duration
	err      error
	once     sync.Once
}

// Read reads the next part of the body. An error other than io.EOF means that the body is
// truncated.
func (s *responseStream) Read(b []byte) (int, error) {
	n, err := s.body.Read(b)
	if err != nil {
		s.err = err
	}
	return n, err
}

// Close frees the slots and records the outcome.
func (s *responseStream) Close() error {
	err := s.body.Close()
	s.once.Do(s.finish)
	return err
}

func (s *responseStream) finish() {
	e := s.send.engine
	defer e.running.Done()
	outcome := route.Broken
	if s.err == io.EOF {
		outcome = route.Answered
	}
	now := e.Clock.Now()
	s.send.call.pool.release(now, s.instance, outcome, now-s.start)
	// A streamed body is not kept, so a caller that repeats the request gets this reason.
	s.send.end(Unknown{Reason: AnswerNotKept})
}

// keptOutcome converts a result to the outcome that is kept for repeated requests.
func keptOutcome(r Result) (claim.Outcome, bool) {
	switch r := r.(type) {
	case Answered:
		return claim.Outcome{Status: r.Status, Kind: r.ContentType, Body: r.Whole}, true
	case Failed:
		return claim.Outcome{Status: r.Status, Kind: r.ContentType, Body: r.Whole}, true
	case Unknown:
		return claim.Outcome{Unknown: true}, true
	}
	return claim.Outcome{}, false
}

// resultOfOutcome converts a kept outcome to a result.
func resultOfOutcome(o claim.Outcome) Result {
	if o.Unknown {
		return Unknown{Reason: Broken}
	}
	a := Answered{Status: o.Status, ContentType: o.Kind, Length: int64(len(o.Body)), Whole: o.Body}
	if o.Status >= minFailedStatus {
		return Failed{a}
	}
	return a
}
