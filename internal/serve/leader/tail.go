package leader

import (
	"context"
	"errors"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// executorTailInterval is the time between reads of the executors' reports.
	executorTailInterval = 250 * time.Millisecond
	// busyTailInterval is the same while an instance is about to join a pool: work waits for it.
	busyTailInterval = 60 * time.Millisecond
	// leaderlessTailInterval is the time between reads of leaderless records. It is far below
	// the time within which such jobs must become visible.
	leaderlessTailInterval = 1 * time.Second
	// readStall is how long no byte of an answer may arrive before a read is given up. The time for
	// the whole answer is not limited: it grows with the backlog, and a read that starts over would
	// never end.
	readStall = 1500 * time.Millisecond
)

// tailState is the state of reading new records of a topic.
type tailState struct {
	from     int64
	busy     bool
	next     time.Duration
	lastRead time.Duration // when the last successful read was sent
	sent     time.Duration
}

type executorsRead struct {
	report
	records  []platform.Record
	from     int64
	complete bool // records holds the newest record of each key in the topic
	err      error
}

type leaderlessRead struct {
	report
	records []platform.Record
	from    int64 // records before it were read earlier; 0 after a full read
	next    int64
	partial bool // records follow that this read did not return
	err     error
}

// tailTopics starts the due reads of executors' reports and leaderless records.
func (l *Leader) tailTopics() {
	if t := &l.executorTail; !t.busy && l.now >= t.next {
		t.busy = true
		t.next = l.now + executorTailInterval
		if l.expectsExecutor() {
			t.next = l.now + busyTailInterval
		}
		from := t.from
		l.call(func(ctx context.Context) event { return l.readExecutors(ctx, from) })
	}
	if t := &l.leaderlessTail; !t.busy && l.now >= t.next {
		t.busy = true
		t.next = l.now + leaderlessTailInterval
		t.sent = l.now
		from := t.from
		l.call(func(ctx context.Context) event { return l.readLeaderless(ctx, from) })
	}
}

func (l *Leader) readLeaderless(ctx context.Context, from int64) event {
	part := LeaderlessPart(l.Settings.Store.Parts)
	rs, end, err := l.Client.Read(ctx, Topic, part, from, 0, readStall)
	out := leaderlessRead{records: rs, from: from, next: from + int64(len(rs)), err: err}
	out.partial = err == nil && out.next < end
	if gone := (*platform.GoneError)(nil); errors.As(err, &gone) {
		// The deleted records may include jobs and cancels that this leader has not read.
		out.records, out.from = nil, 0
		out.next, out.err = l.readNewest(ctx, Topic, part, func(r platform.Record) { out.records = append(out.records, r) })
	}
	return out
}

func (l *Leader) readExecutors(ctx context.Context, from int64) event {
	rs, _, err := l.Client.Read(ctx, platform.ExecutorTopic, 0, from, 0, readStall)
	out := executorsRead{records: rs, from: from + int64(len(rs)), err: err}
	if gone := (*platform.GoneError)(nil); errors.As(err, &gone) {
		out.records, out.complete = nil, true
		out.from, out.err = l.readNewest(ctx, platform.ExecutorTopic, 0, func(r platform.Record) { out.records = append(out.records, r) })
	}
	return out
}

func (l *Leader) onExecutors(ev executorsRead) {
	l.executorTail.busy = false
	if ev.err != nil {
		if !l.executorReadFailed {
			l.Log.Warn().Err(ev.err).Msg("executor reports can't be read")
		}
		l.executorReadFailed = true
		return
	}
	if l.executorReadFailed {
		l.executorReadFailed = false
		l.Log.Info().Msg("executor reports can be read again")
	}
	l.executorTail.from = ev.from
	seen := map[string]bool{}
	for _, r := range ev.records {
		l.applyReport(r)
		seen[r.Key] = true
	}
	if ev.complete {
		for id, m := range l.byID {
			if !seen[id] && m.Listed {
				l.markUnlisted(m)
			}
		}
	}
}

// onLeaderless applies leaderless records.
func (l *Leader) onLeaderless(ev leaderlessRead) {
	l.leaderlessTail.busy = false
	if ev.err != nil {
		l.Log.Info().Err(ev.err).Int64("from", ev.from).Msg("leaderless records can't be read")
		l.returnUnread()
		return
	}
	for _, r := range ev.records {
		l.applyLeaderless(r)
	}
	l.leaderlessTail.from = max(l.leaderlessTail.from, ev.next)
	if ev.partial {
		l.leaderlessTail.next = l.now
		return
	}
	l.leaderlessTail.lastRead = l.leaderlessTail.sent
	l.forgetDeleted()
	// A cancel applies to a submission that was held before it arrived.
	l.decideHeld()
	unread := l.unread
	l.unread = nil
	for _, c := range unread {
		l.onCancel(c)
	}
}

// returnUnread returns the cancels of jobs that are not known to the entries that sent them, which
// store the cancels themselves.
func (l *Leader) returnUnread() {
	for _, c := range l.unread {
		c.reply <- relay.NotLeader
	}
	l.unread = nil
	l.returnHeld()
}

// applyLeaderless applies a leaderless record: a job or a cancel.
func (l *Leader) applyLeaderless(r platform.Record) {
	rec, err := track.DecodeLeaderless(r.Key, r.Value, platform.DecodeJob)
	if err != nil {
		l.Log.Error().Err(err).Str("key", r.Key).Msg("job record is malformed")
		return
	}
	if rec.ID != "" {
		l.leaderless[rec.ID] = leaderlessRecords{}
	}
	switch {
	case rec.Spec != nil && l.tracker.Job(rec.ID) == nil:
		j := l.tracker.AcceptLeaderless(rec, func(s track.Size) bool { return l.hasRoom(sizeBytes(s)) }, l.now)
		l.memory.add(j)
		l.Log.Info().Str("job", j.ID).Str("queue", j.Queue).Dur("age", l.wall-rec.Accepted).Bool("parked", j.IsParked()).Bool("cancelled", j.IsOver()).Msg("leaderless job is accepted")
		l.countUnasked(j)
		if j.IsParked() || j.IsOver() {
			break // a cancelled one is over
		}
		l.recordArrival(j)
		l.planDue[l.queueOf(j).Service] = true
	case rec.Cancelled:
		l.cancelJob(rec.ID)
	}
}
