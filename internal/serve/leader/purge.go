package leader

import (
	"context"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// statusRetentionSlack is how much longer ended jobs are kept than their status must be shown.
	statusRetentionSlack = 30 * time.Second
	// maxPurgedJobs is the number of jobs whose leaderless records are deleted by one append.
	maxPurgedJobs = 500
)

// leaderlessRecords is the state of the leaderless records of a job. Until they are deleted, each read of
// the newest records returns them, so the leader has to know the job that long, or would start it again.
type leaderlessRecords struct {
	// deleting is set while a deletion is in flight or has succeeded, unless a record was read since.
	deleting bool
	// deletedAt is when the store confirmed the deletion, 0 if it has not.
	deletedAt time.Duration
}

func (l *Leader) hasLeaderless(id string) bool {
	_, ok := l.leaderless[id]
	return ok
}

// forgetEnded forgets the jobs whose state need not be shown any more and that have no leaderless records.
func (l *Leader) forgetEnded() {
	if l.now > l.leaderlessTail.lastRead+statusRetentionSlack {
		return // a job that is over may have a leaderless record that was not read yet
	}
	expired := l.wall - l.Settings.Bounds.Status - statusRetentionSlack
	for _, id := range l.tracker.ForgetEnded(expired, l.hasLeaderless) {
		l.store.pending = append(l.store.pending, track.ForgetRecords(id)...)
	}
	l.forgetCancels(expired)
	l.purgeLeaderless(expired)
}

// forgetCancels forgets cancels of jobs that never came. Their submissions may be stored seconds after the cancel.
func (l *Leader) forgetCancels(expired time.Duration) {
	inFlight := func(id string) bool {
		return slices.ContainsFunc(l.store.inFlightCancels, func(c *cancelRequest) bool { return c.id == id })
	}
	for _, id := range l.tracker.ForgetCancels(expired, inFlight) {
		l.store.pending = append(l.store.pending, track.ForgetCancelRecord(id))
	}
}

// leaderlessPurged is the outcome of deleting the leaderless records of jobs.
type leaderlessPurged struct {
	report
	ids []string
	err error
}

// purgeLeaderless deletes the leaderless records of jobs that ended before a wall-clock time, or whose cancel is
// forgotten. The records of their ends are deleted after them, or the next leader would treat the jobs as new ones.
func (l *Leader) purgeLeaderless(expired time.Duration) {
	if l.purging {
		return
	}
	var ids []string
	var records [][]byte
	for id, r := range l.leaderless {
		// The cancel of a job that never came is deleted alone: the job may be stored meanwhile.
		neverCame := l.tracker.Job(id) == nil && !l.tracker.HasEarlyCancel(id)
		if r.deleting || !neverCame && !l.tracker.HasEnded(id, expired) {
			continue
		}
		l.leaderless[id] = leaderlessRecords{deleting: true}
		ids = append(ids, id)
		deletions := track.ForgetLeaderlessRecords(id)
		if neverCame {
			deletions = []track.Record{track.ForgetCancelRecord(id)}
		}
		for _, e := range deletions {
			records = append(records, platform.KeyedRecord(e.Key, e.Value))
		}
		if len(ids) == maxPurgedJobs {
			break
		}
	}
	if len(ids) == 0 {
		return
	}
	l.purging = true
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, _, err := l.Client.Append(call, platform.Append{Topic: Topic, Part: LeaderlessPart(l.Settings.Store.Parts), Records: records, At: -1})
		return leaderlessPurged{ids: ids, err: err}
	})
}

func (l *Leader) onLeaderlessPurged(ev leaderlessPurged) {
	l.purging = false
	if ev.err != nil {
		l.Log.Warn().Err(ev.err).Int("jobs", len(ev.ids)).Str("first", ev.ids[0]).Msg("leaderless records of ended jobs were not deleted, and a later purge tries again")
	}
	for _, id := range ev.ids {
		switch {
		case !l.leaderless[id].deleting: // another record was read meanwhile
		case ev.err != nil:
			l.leaderless[id] = leaderlessRecords{}
		default:
			l.leaderless[id] = leaderlessRecords{deleting: true, deletedAt: l.now}
		}
	}
}

// forgetDeleted forgets the leaderless records that were deleted before the last read was sent. A read that
// was sent earlier may still return them.
func (l *Leader) forgetDeleted() {
	for id, r := range l.leaderless {
		if r.deletedAt > 0 && r.deletedAt < l.leaderlessTail.lastRead {
			delete(l.leaderless, id)
		}
	}
}
