package leader

import (
	"context"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// appendEvery groups what is stored: each call is paid for, and 20 ms are a thirtieth
	// of the shortest objective.
	appendEvery = 20 * time.Millisecond
	// appendTimeout bounds one attempt, and appendPause is the time to the next.
	appendTimeout = 900 * time.Millisecond
	appendPause   = 50 * time.Millisecond
	// troubleAfter is how long an append may take until new jobs are refused: they could
	// not be stored in time.
	troubleAfter = 700 * time.Millisecond
	// tailEvery is the time between reads of what others store.
	tailEvery = 250 * time.Millisecond
	// jobsEvery is the time between reads of jobs that entries stored by themselves. It
	// is far below the time after which they must be visible.
	jobsEvery = 1 * time.Second
)

// storing is the state of the leader's appends. One is under way at a time.
type storing struct {
	seq     int64
	pending []book.Entry
	accepts []*submitted
	cancels []*cancelled
	busy    bool
	since   time.Duration // when the append under way was sent first
	next    time.Duration // when the next one may be sent
	// underway are the jobs in the append under way.
	underway map[string]*submitted
}

// appended is the outcome of an append.
type appended struct {
	report
	batch    book.Batch
	accepts  []*submitted
	cancels  []*cancelled
	seen     map[*member]int64
	noted    []*errand
	sent     time.Duration
	err      error
	entries  int
	attempts int
	// last is the sequence number of the last append.
	last int64
}

// tailing is the state of reading a topic.
type tailing struct {
	from int64
	busy bool
	next time.Duration
	read time.Duration // when the last read that succeeded was sent
	sent time.Duration
}

// flush stores what changed, unless an append is under way.
func (l *Leader) flush() {
	s := &l.store
	if s.busy || l.now < s.next {
		return
	}
	if len(s.pending)+len(s.accepts)+len(s.cancels)+len(l.duty.noting) == 0 && !l.book.HasChanges() {
		// What ended changed nothing that must last.
		for m := range l.unacked {
			m.acked = m.seen
			l.touch(m)
		}
		clear(l.unacked)
		return
	}
	ev := appended{batch: l.book.Take(), accepts: s.accepts, cancels: s.cancels, seen: map[*member]int64{}, sent: l.now}
	entries := s.pending
	if ev.noted = l.duty.noting; len(ev.noted) > 0 {
		for _, e := range ev.noted {
			entries = append(entries, l.orderEntry(e))
		}
		l.duty.noting = nil
	}
	for _, a := range s.accepts {
		entries = append(entries, book.WorkEntry(a.ID, a.rules, a.Body, l.wall))
		a.accepted = l.wall
	}
	for _, c := range s.cancels {
		entries = append(entries, book.CancelEntry(c.id, l.wall))
		c.at = l.wall
	}
	entries = append(entries, ev.batch.Entries...)
	for m := range l.unacked {
		ev.seen[m] = m.seen
	}
	s.underway = map[string]*submitted{}
	for _, a := range s.accepts {
		s.underway[a.ID] = a
	}
	s.pending, s.accepts, s.cancels = nil, nil, nil
	s.busy, s.since = true, l.now
	s.next = l.now + appendEvery
	records := make([][]byte, len(entries))
	for i, e := range entries {
		records[i] = platform.KeyedRecord(e.Key, e.Value)
	}
	ev.entries = len(records)
	seq := s.seq
	l.call(func(ctx context.Context) event { return l.append(ctx, ev, records, seq) })
}

// append tries until the records are stored, or certainly are not and never will be. A
// repeated append with the same sequence number is stored once.
func (l *Leader) append(ctx context.Context, ev appended, records [][]byte, seq int64) event {
	chunks := split(records, l.Settings.Store.CallBytes)
	for _, chunk := range chunks {
		seq++
		for {
			call, cancel := context.WithTimeout(ctx, appendTimeout)
			_, _, err := l.Client.Append(call, platform.Append{
				Topic: Topic, Part: leaderPart, Records: chunk, At: -1, Writer: writer, Epoch: l.token, Seq: seq,
			})
			cancel()
			ev.attempts++
			ev.err = err
			wrong := (*platform.SequenceError)(nil)
			if errors.As(err, &wrong) {
				if wrong.Expected > seq {
					// An earlier attempt was carried out and its answer is not kept any more.
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
			clock.Pause(ctx, l.Clock, appendPause)
		}
	}
	return ev
}

// split divides records into calls of at most limit bytes.
func split(records [][]byte, limit int) [][][]byte {
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
	s.busy, s.underway = false, nil
	if ev.err != nil {
		l.Log.Warn().Err(ev.err).Int("records", ev.entries).Msg("append failed for good")
		l.unsure(ev)
		return
	}
	s.seq = ev.last
	took := l.now - ev.sent
	l.Meters.store.RecordDuration(took)
	if took > troubleAfter {
		l.Log.Warn().Dur("took", took).Int("attempts", ev.attempts).Int("records", ev.entries).Msg("append was slow")
	}
	for m, n := range ev.seen {
		m.acked = max(m.acked, n)
		m.due = min(m.due, l.now)
		l.touch(m)
		if m.acked >= m.seen {
			delete(l.unacked, m)
		}
	}
	for _, e := range ev.noted {
		e.stored = true
	}
	for _, a := range ev.accepts {
		l.accepted(a)
	}
	for _, c := range ev.cancels {
		l.cancelStored(c)
	}
	for _, j := range l.book.Stored(ev.batch) {
		l.Meters.whole.RecordDuration(l.wall - j.Accepted)
		l.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Stringer("state", j.State()).
			Dur("age", l.wall-j.Accepted).Msg("job is over")
	}
}

// unsure answers requests whose records may be stored.
func (l *Leader) unsure(ev appended) {
	for _, a := range ev.accepts {
		a.answer(unsureAnswer)
	}
	for _, c := range ev.cancels {
		c.answer(false)
	}
}

// storeTrouble says whether new jobs can't be stored in time at present.
func (l *Leader) storeTrouble() bool {
	return l.store.busy && l.now-l.store.since > troubleAfter
}

type readExecutors struct {
	report
	records []platform.Record
	from    int64
	again   bool // the topic was read as a whole
	err     error
}

type readLone struct {
	report
	records []platform.Record
	from    int64 // records before it were read earlier
	next    int64
	err     error
}

// tail reads what others stored.
func (l *Leader) tail() {
	if t := &l.execTop; !t.busy && l.now >= t.next {
		t.busy = true
		t.next = l.now + tailEvery
		from := t.from
		l.call(func(ctx context.Context) event { return l.readExecutors(ctx, from) })
	}
	if t := &l.loneTop; !t.busy && l.now >= t.next {
		t.busy = true
		t.next = l.now + jobsEvery
		t.sent = l.now
		from := t.from
		l.call(func(ctx context.Context) event { return l.readLone(ctx, from) })
	}
}

func (l *Leader) readLone(ctx context.Context, from int64) event {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	part := LonePart(l.Settings.Store.Parts)
	rs, _, err := l.Client.Read(call, Topic, part, from, 0)
	out := readLone{records: rs, from: from, next: from + int64(len(rs)), err: err}
	if gone := (*platform.GoneError)(nil); errors.As(err, &gone) {
		// What was deleted may hold jobs and cancels that this leader has not read.
		out.records, out.from = nil, 0
		out.next, out.err = l.pages(call, Topic, part, func(r platform.Record) { out.records = append(out.records, r) })
	}
	return out
}

func (l *Leader) readExecutors(ctx context.Context, from int64) event {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	rs, _, err := l.Client.Read(call, platform.ExecutorTopic, 0, from, 0)
	out := readExecutors{records: rs, from: from + int64(len(rs)), err: err}
	if gone := (*platform.GoneError)(nil); errors.As(err, &gone) {
		out.records, out.again = nil, true
		out.from, out.err = l.pages(call, platform.ExecutorTopic, 0, func(r platform.Record) { out.records = append(out.records, r) })
	}
	return out
}

func (l *Leader) onExecutors(ev readExecutors) {
	l.execTop.busy = false
	if ev.err != nil {
		if !l.execLost {
			l.Log.Warn().Err(ev.err).Msg("executors can't be read")
		}
		l.execLost = true
		return
	}
	if l.execLost {
		l.execLost = false
		l.Log.Info().Msg("executors can be read again")
	}
	l.execTop.from = ev.from
	seen := map[string]bool{}
	for _, r := range ev.records {
		l.takeExecutor(r)
		seen[r.Key] = true
	}
	if ev.again {
		for id, m := range l.byID {
			if !seen[id] && m.Listed {
				l.unlist(m)
			}
		}
	}
}

// onLone takes over jobs and cancels that entries stored by themselves.
func (l *Leader) onLone(ev readLone) {
	l.loneTop.busy = false
	if ev.err != nil {
		l.Log.Info().Err(ev.err).Int64("from", ev.from).Msg("jobs of entries without a leader can't be read")
		return
	}
	l.loneTop.read = l.loneTop.sent
	for _, r := range ev.records {
		l.takeLone(r)
	}
	l.loneTop.from = max(l.loneTop.from, ev.next)
}

// takeLone takes over a record of an entry that had no leader.
func (l *Leader) takeLone(r platform.Record) {
	lone, err := book.DecodeLone(r.Key, r.Value, platform.DecodeWork)
	if err != nil {
		l.Log.Error().Err(err).Str("key", r.Key).Msg("job record can't be read")
		return
	}
	if lone.ID != "" {
		l.lone[lone.ID] = struct{}{}
	}
	switch {
	case lone.Work != nil && l.book.Job(lone.ID) == nil:
		j := l.book.Accept(lone.ID, lone.Rules, *lone.Work, lone.Accepted, l.now)
		l.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Dur("age", l.wall-lone.Accepted).Msg("job of an entry without a leader is taken over")
		l.planDue[l.rules(j).Service] = true
	case lone.Cancelled:
		l.cancelJob(lone.ID)
	}
}

// forgotLone is the outcome of dropping the lone records of a job.
type forgotLone struct {
	report
	id  string
	err error
}

// forgetLone drops the records of a job that entries stored by themselves. Its end is
// dropped after them, or a next leader would take it for a new job.
func (l *Leader) forgetLone(id string) {
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		var records [][]byte
		for _, e := range book.ForgetLoneEntries(id) {
			records = append(records, platform.KeyedRecord(e.Key, e.Value))
		}
		_, _, err := l.Client.Append(call, platform.Append{Topic: Topic, Part: LonePart(l.Settings.Store.Parts), Records: records, At: -1})
		return forgotLone{id: id, err: err}
	})
}

func (l *Leader) onForgotLone(ev forgotLone) {
	if ev.err != nil {
		// The records of its end stay, and the next leader tries again.
		l.Log.Warn().Err(ev.err).Str("job", ev.id).Msg("records of an old job were not dropped")
		return
	}
	delete(l.lone, ev.id)
	l.store.pending = append(l.store.pending, book.ForgetEntries(ev.id)...)
}
