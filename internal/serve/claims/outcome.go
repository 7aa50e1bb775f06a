package claims

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// Outcome fetches the outcome of a request from the holder of its claim.
func (s *Service) Outcome(ctx context.Context, id claim.ID, h claim.Winner) flows.Reply {
	ctx, span := s.Tracer.Start(ctx, "outcome", trace.WithAttributes(attribute.String("holder", h.Holder)))
	defer span.End()
	ask := &peerpb.OutcomeAsk{Id: id[:], Token: h.Token, Incarnation: h.Incarnation, Wait: answerWait(ctx)}
	if h.Holder == s.Self.Name {
		return toReply(s.AnswerOutcome(ctx, ask))
	}
	m, ok := s.FindMember(h.Holder)
	if !ok || m.Incarnation != h.Incarnation {
		return flows.Reply{State: flows.ReplyLost}
	}
	r, err := s.Peers.To(ctx, m.Addr).Outcome(ctx, ask)
	if err != nil {
		return flows.Reply{State: flows.ReplyLost}
	}
	return toReply(r)
}

// answerWait returns how long a holder may wait, in milliseconds, so that its reply arrives before
// the context's deadline.
func answerWait(ctx context.Context) uint32 {
	wait := maxOutcomeWait
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)*4/5)
	}
	return uint32(max(wait, 0).Milliseconds())
}

// AnswerOutcome returns the outcome of an attempt of this entry. The outcome of an attempt of an
// earlier incarnation is unknown.
func (s *Service) AnswerOutcome(ctx context.Context, a *peerpb.OutcomeAsk) *peerpb.OutcomeReply {
	unknown := &peerpb.OutcomeReply{State: peerpb.OutcomeReply_UNKNOWN}
	if a.GetIncarnation() != s.Self.Incarnation {
		return unknown
	}
	attempt, ok := s.Attempts.Find(a.GetToken())
	if !ok {
		return unknown
	}
	s.awaitEnd(ctx, attempt, time.Duration(a.GetWait())*time.Millisecond)
	phase, o := attempt.State()
	switch phase {
	case claim.Void:
		return &peerpb.OutcomeReply{State: peerpb.OutcomeReply_VOID}
	case claim.Done:
		if o.Unknown {
			return unknown
		}
		return &peerpb.OutcomeReply{
			State: peerpb.OutcomeReply_DONE, Status: uint32(o.Status), Kind: o.Kind, Body: o.Body}
	}
	return &peerpb.OutcomeReply{State: peerpb.OutcomeReply_RUNNING}
}

func (s *Service) awaitEnd(ctx context.Context, a *claim.Attempt, wait time.Duration) {
	sub := s.Clock.After(min(wait, maxOutcomeWait))
	defer sub.Close()
	select {
	case <-a.Ended():
	case <-sub.C:
	case <-ctx.Done():
	}
}

func toReply(r *peerpb.OutcomeReply) flows.Reply {
	switch r.GetState() {
	case peerpb.OutcomeReply_RUNNING:
		return flows.Reply{State: flows.ReplyRunning}
	case peerpb.OutcomeReply_VOID:
		return flows.Reply{State: flows.ReplyVoid}
	case peerpb.OutcomeReply_DONE:
		return flows.Reply{State: flows.ReplyDone, Outcome: claim.Outcome{
			Status: int(r.GetStatus()), Kind: r.GetKind(), Body: r.GetBody()}}
	}
	return flows.Reply{State: flows.ReplyLost}
}
