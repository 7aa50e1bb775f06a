package leader

import (
	"context"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// appendInterval is the least time between appends, which batches records: each call is
	// charged, and 20 ms are a thirtieth of the shortest objective.
	appendInterval = 20 * time.Millisecond
	// appendTimeout limits one attempt to append a few records, and appendRetryDelay is the time to the
	// next. Each byte of a larger call adds appendByteTime, since a repeated call sends all of it again.
	appendTimeout    = 900 * time.Millisecond
	appendByteTime   = 10 * time.Microsecond
	appendRetryDelay = 50 * time.Millisecond
	// maxAppendBytes bounds the records of one call, so that the answer does not wait for a large one on
	// a slow link.
	maxAppendBytes = 64 << 10
	// slowAppendAfter is how long an append may take until new jobs are refused, since they
	// could not be stored in time.
	slowAppendAfter = 700 * time.Millisecond
	// refusalsToReport is the number of attempts of an append after which a refusal by the store is
	// taken for an outage.
	refusalsToReport = 2
)

// appendState is the state of the leader's appends. At most one is in flight.
type appendState struct {
	seq       int64
	pending   []track.Record
	accepts   []*submitRequest
	cancels   []*cancelRequest
	busy      bool
	firstSent time.Duration // when the append in flight was first sent
	next      time.Duration // when the next append may be sent
	// refused is set if the store refused the append in flight so far.
	refused bool
	// failed is set once an append failed permanently.
	failed bool
	// inFlight are the jobs in the append in flight, by id, and inFlightCancels the cancels in it.
	inFlight        map[string]*submitRequest
	inFlightCancels []*cancelRequest
}

// appended is the outcome of an append.
type appended struct {
	report
	batch       track.Batch
	accepts     []*submitRequest
	prepared    []preparedJob // of accepts, if the append was stored
	cancels     []*cancelRequest
	appliedSeqs map[*member]int64
	operations  []*operation
	sent        time.Duration
	err         error
	entries     int
	attempts    int
	// last is the sequence number of the last append that was stored.
	last int64
}

// flush stores the pending changes unless an append is in flight.
func (l *Leader) flush() {
	s := &l.store
	if s.busy || s.failed || l.now < s.next {
		return
	}
	if len(s.pending)+len(s.accepts)+len(s.cancels)+len(l.fleet.unstored) == 0 && !l.tracker.HasChanges() {
		// The ends changed nothing that has to be stored.
		for m := range l.unstoredEnds {
			m.storedSeq = m.appliedSeq
			l.queuePoll(m)
		}
		clear(l.unstoredEnds)
		return
	}
	ev := appended{batch: l.tracker.TakeChanges(), accepts: s.accepts, cancels: s.cancels, appliedSeqs: map[*member]int64{}, sent: l.now}
	entries := s.pending
	if ev.operations = l.fleet.unstored; len(ev.operations) > 0 {
		for _, op := range ev.operations {
			entries = append(entries, l.orderEntry(op))
		}
		l.fleet.unstored = nil
	}
	for _, a := range s.accepts {
		entries = append(entries, track.JobRecord(a.ID, a.settings, a.Account, a.Body, l.wall))
		a.accepted = l.wall
	}
	for _, c := range s.cancels {
		entries = append(entries, track.CancelRecord(c.id, l.wall))
		c.at = l.wall
	}
	entries = append(entries, ev.batch.Records...)
	for m := range l.unstoredEnds {
		ev.appliedSeqs[m] = m.appliedSeq
	}
	s.inFlight = map[string]*submitRequest{}
	for _, a := range s.accepts {
		s.inFlight[a.ID] = a
	}
	s.inFlightCancels = s.cancels
	s.pending, s.accepts, s.cancels = nil, nil, nil
	s.busy, s.firstSent = true, l.now
	s.next = l.now + appendInterval
	records := make([][]byte, len(entries))
	for i, e := range entries {
		records[i] = platform.KeyedRecord(e.Key, e.Value)
	}
	ev.entries = len(records)
	seq := s.seq
	tr := l.tracker
	l.call(func(ctx context.Context) event {
		prepared := make(chan []preparedJob, 1)
		go func() { prepared <- l.prepareJobs(ctx, tr, ev.accepts) }()
		ev := l.appendRecords(ctx, ev, records, seq)
		ev.prepared = <-prepared
		return ev
	})
}

// appendRecords retries until the records are stored, the store has fenced this leader or the
// context has ended. The store keeps repeated appends with the same sequence number once.
func (l *Leader) appendRecords(ctx context.Context, ev appended, records [][]byte, seq int64) appended {
	chunks := splitRecords(records, min(l.Settings.Store.CallBytes, maxAppendBytes))
	for _, chunk := range chunks {
		seq++
		size := 0
		for _, r := range chunk {
			size += len(r)
		}
		for {
			call, cancel := context.WithTimeout(ctx, appendTimeout+time.Duration(size)*appendByteTime)
			_, _, err := l.Client.Append(call, platform.Append{
				Topic: Topic, Part: leaderPart, Records: chunk, At: -1, Writer: writer, Epoch: l.token, Seq: seq,
			})
			cancel()
			ev.attempts++
			ev.err = err
			wrong := (*platform.SequenceError)(nil)
			if errors.As(err, &wrong) {
				if wrong.Expected > seq {
					// An earlier attempt was stored, and its answer is not kept any more.
					ev.err, ev.last = nil, seq
					break
				}
				seq = wrong.Expected
			}
			if err == nil {
				ev.last = seq
				break
			}
			fenced := (*platform.FencedError)(nil)
			if ctx.Err() != nil || errors.As(err, &fenced) {
				return ev
			}
			if refused := (*platform.RefusedError)(nil); errors.As(err, &refused) && ev.attempts == refusalsToReport {
				l.send(ctx, appendRefused{sent: ev.sent, err: refused, bytes: size})
			}
			clock.Pause(ctx, l.Clock, appendRetryDelay)
		}
	}
	return ev
}

// splitRecords splits records into calls of at most limit bytes; a larger record gets a call of
// its own.
func splitRecords(records [][]byte, limit int) [][][]byte {
	var out [][][]byte
	size, from := 0, 0
	for i, r := range records {
		n := len(r) + 4
		if size > 0 && size+n > limit {
			out = append(out, records[from:i])
			size, from = 0, i
		}
		size += n
	}
	return append(out, records[from:])
}

func (l *Leader) onAppended(ev appended) {
	s := &l.store
	s.busy, s.refused, s.inFlight, s.inFlightCancels = false, false, nil, nil
	if ev.err != nil {
		l.Log.Warn().Err(ev.err).Int("records", ev.entries).Msg("append failed permanently")
		// The ends in it are not stored: a poll that acknowledged them would make executors forget them.
		s.failed = true
		l.answerUnknown(ev)
		return
	}
	s.seq = ev.last
	took := l.now - ev.sent
	l.Meters.appendTime.RecordDuration(took)
	if took > slowAppendAfter {
		l.Log.Warn().Dur("took", took).Int("attempts", ev.attempts).Int("records", ev.entries).Msg("append was slow")
	}
	for m, n := range ev.appliedSeqs {
		m.storedSeq = max(m.storedSeq, n)
		m.due = min(m.due, l.now)
		if l.holdsAck(m) {
			m.due = l.now + ackRetryInterval // a poll that can't acknowledge ends would list them again at once
		}
		l.queuePoll(m)
		if m.storedSeq >= m.appliedSeq {
			delete(l.unstoredEnds, m)
		}
	}
	for _, op := range ev.operations {
		op.stored = true
		if l.fleet.operations[op.instance] == op {
			l.advanceOperation(op)
		}
	}
	for i, a := range ev.accepts {
		l.onJobStored(a, ev.prepared[i])
	}
	for _, c := range ev.cancels {
		l.onCancelStored(c)
	}
	ended, moved := l.tracker.MarkStored(ev.batch)
	for _, j := range moved {
		l.planDue[l.queueOf(j).Service] = true
	}
	if len(moved) > 0 {
		l.Log.Info().Int("jobs", len(moved)).Str("first", moved[0].ID).Msg("jobs may start on the service that their queue was moved to")
	}
	for _, j := range ended {
		l.Meters.jobTime.RecordDuration(l.wall - j.Accepted)
		l.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Stringer("state", j.State()).
			Dur("age", l.wall-j.Accepted).Msg("job is over")
	}
}

// answerUnknown answers requests whose records may or may not be stored.
func (l *Leader) answerUnknown(ev appended) {
	for _, a := range ev.accepts {
		a.answer(unknownAnswer)
	}
	for _, c := range ev.cancels {
		c.reply <- relay.Unknown
	}
}

// appendRefused reports that the store refuses the append in flight, which is retried.
type appendRefused struct {
	sent  time.Duration
	err   *platform.RefusedError
	bytes int // of the records in the refused call
}

func (appendRefused) isEvent() {}

func (l *Leader) onAppendRefused(ev appendRefused) {
	if l.store.busy && l.store.firstSent == ev.sent {
		l.store.refused = true
		l.Log.Warn().Err(ev.err).Int("bytes", ev.bytes).Msg("append is refused and repeated")
		l.returnQueued()
	}
}

// isStoreSlow reports whether the append in flight is refused, or takes so long that new jobs can't
// be stored in time, or the store takes no more of this leader's appends.
func (l *Leader) isStoreSlow() bool {
	return l.store.failed || l.store.busy && (l.store.refused || l.now-l.store.firstSent > slowAppendAfter)
}

// returnQueued returns the requests that wait for an append to the entries that sent them, once the
// store does not store in time. Nothing was sent for them, so the caller can be told so at once
// and try again, rather than that the outcome is not known.
func (l *Leader) returnQueued() {
	s := &l.store
	if len(s.accepts)+len(s.cancels) == 0 || !l.isStoreSlow() {
		return
	}
	l.Log.Info().Int("jobs", len(s.accepts)).Int("cancels", len(s.cancels)).Bool("refused", s.refused).Msg("queued requests are returned because the store is unavailable")
	for range s.accepts {
		l.Meters.refuse("store")
	}
	l.returnUnsent()
}

// returnUnsent returns the requests that wait for an append to the entries that sent them.
func (l *Leader) returnUnsent() {
	s := &l.store
	for _, a := range s.accepts {
		l.returnToken(a)
		l.returnSubmission(a)
	}
	for _, c := range s.cancels {
		c.reply <- relay.NotLeader
	}
	s.accepts, s.cancels = nil, nil
}
