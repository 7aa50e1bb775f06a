package leader

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// fenceTimeout limits one attempt to fence earlier leaders, and loadRetryDelay is the time between
	// attempts of each step.
	fenceTimeout   = 2 * time.Second
	loadRetryDelay = 100 * time.Millisecond
	// attemptsPerToken is the step between the first attempt numbers of successive leaders: a
	// leader need not know the attempts of its predecessors.
	attemptsPerToken = 64
	// attemptTokens is the modulus for tokens in attempt numbers, which keeps them small.
	attemptTokens = 1 << 20
)

// loaded is the state that earlier leaders, entries and executors left in the store, and the list
// of instances.
type loaded struct {
	report
	loader         *track.Loader
	leaderlessFrom int64 // offset of the next leaderless record to read
	// leaderlessReadAt is when the read of the leaderless records began: later ones may be missing.
	leaderlessReadAt time.Duration
	leaderless       []string // jobs with leaderless records
	executors        []platform.Record
	heldAt           time.Duration // when this leader last extended leases, 0 for never
	executorsFrom    int64
	instances        []model.Instance
	listedAt         time.Duration // when the instance list was requested
	waves            []platform.Record
	// records is the number of job records that were read, and bytes the size of their values.
	records, bytes int
	err            error
}

func (ld *loaded) count(r platform.Record) {
	ld.records++
	ld.bytes += len(r.Value)
}

// load fences earlier leaders in the store and reads all jobs, executors and instances. It retries
// until it succeeds, the leader is closed, or another leader has fenced this one.
func (l *Leader) load(ctx context.Context) event {
	out := loaded{loader: track.NewLoader(platform.DecodeJob)}
	out.err = l.retry(ctx, func(ctx context.Context) error {
		call, cancel := context.WithTimeout(ctx, fenceTimeout)
		defer cancel()
		_, _, err := l.Client.Append(call, platform.Append{Topic: Topic, Part: leaderPart, At: -1, Writer: writer, Epoch: l.token, Seq: 1})
		return err
	})
	if out.err != nil {
		return out
	}
	var all sync.WaitGroup
	loading, loadedJobs := context.WithCancel(ctx)
	defer loadedJobs()
	steps := []func(context.Context) error{
		func(ctx context.Context) (err error) {
			// The store is read one topic after the other: on a slow link, what each further answer has
			// on its way delays the first renewals of the lease.
			out.executorsFrom, err = l.readNewest(ctx, platform.ExecutorTopic, 0, func(r platform.Record) { out.executors = append(out.executors, r) })
			if err != nil {
				return err
			}
			all.Go(func() { out.heldAt = l.holdLeases(loading, out.executors) })
			defer loadedJobs()
			return l.loadJobs(ctx, &out)
		},
		func(ctx context.Context) error {
			// Without the list, tasks stay unresolved until a later list or the end of all leases.
			out.listedAt = l.Clock.Now()
			list, err := l.readInstances(ctx)
			if err != nil {
				l.Log.Warn().Err(err).Msg("instance list can't be read")
				return nil
			}
			out.instances = list
			return nil
		},
	}
	errs := make([]error, len(steps))
	for i, step := range steps {
		all.Go(func() { errs[i] = step(ctx) })
	}
	all.Wait()
	out.err = errors.Join(errs...)
	return out
}

// loadJobs reads the records of earlier leaders and the leaderless records. Earlier leaders are
// fenced, so that pages that were read stay valid while later ones are read.
func (l *Leader) loadJobs(ctx context.Context, out *loaded) error {
	_, err := l.readNewest(ctx, Topic, leaderPart, func(r platform.Record) {
		out.count(r)
		if strings.HasPrefix(r.Key, waveKeyPrefix) {
			out.waves = append(out.waves, r)
			return
		}
		l.loadJob(out.loader, r)
	})
	if err != nil {
		return err
	}
	out.leaderlessReadAt = l.Clock.Now()
	out.leaderlessFrom, err = l.readNewest(ctx, Topic, LeaderlessPart(l.Settings.Store.Parts), func(r platform.Record) {
		out.count(r)
		out.leaderless = append(out.leaderless, track.JobID(r.Key))
		l.loadJob(out.loader, r)
	})
	return err
}

func (l *Leader) loadJob(loader *track.Loader, r platform.Record) {
	if err := loader.Add(r.Key, r.Value); err != nil {
		l.Log.Error().Err(err).Str("key", r.Key).Msg("job record is malformed")
	}
}

// retry repeats a step until it succeeds. It returns an error if the context has ended or the
// store has fenced this leader.
func (l *Leader) retry(ctx context.Context, step func(context.Context) error) error {
	for {
		err := step(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if _, ok := err.(*platform.FencedError); ok {
			return err
		}
		l.Log.Warn().Err(err).Msg("reading or fencing the stored state failed; retrying")
		clock.Pause(ctx, l.Clock, loadRetryDelay)
	}
}

// readNewest reads the newest record of each key in a partition, page by page, and retries a page
// until the context ends. It returns the offset from which later records are to be read.
func (l *Leader) readNewest(ctx context.Context, topic string, part int, visit func(platform.Record)) (int64, error) {
	// Records of a fenced partition don't change, so that those before an error need not be read again, or held
	// until the end of their page.
	fenced := topic == Topic && part == leaderPart
	from, after := int64(-1), ""
	for {
		var rs []platform.Record
		var more bool
		n := 0
		err := l.retry(ctx, func(ctx context.Context) (err error) {
			var end int64
			rs = nil
			more, end, err = l.Client.VisitNewest(ctx, topic, part, after, readStall, func(r platform.Record) {
				n++
				if !fenced {
					rs = append(rs, r)
					return
				}
				visit(r)
				after = r.Key
			})
			if err == nil && from < 0 {
				from = end
			}
			return err
		})
		if err != nil {
			return 0, err
		}
		for _, r := range rs {
			visit(r)
			after = r.Key
		}
		if !more || n == 0 {
			return from, nil
		}
	}
}

func (l *Leader) onLoaded(ev loaded) {
	if ev.err != nil {
		l.Log.Error().Err(ev.err).Msg("state was not loaded")
		return
	}
	base := int(l.token%attemptTokens) * attemptsPerToken
	room := l.loadRoom(ev.loader.Stored())
	tr, bad := ev.loader.LoadWithin(room.take, base, l.now, l.wall, track.WithRecordBytes(l.Settings.Store.RecordBytes),
		track.WithUsage(&l.quota.ledger), track.WithLoadTime(l.now-l.start))
	for _, id := range bad {
		l.Log.Error().Str("job", id).Msg("job can't be decoded")
	}
	l.tracker = tr
	l.leaderlessTail.from, l.executorTail.from = ev.leaderlessFrom, ev.executorsFrom
	for _, id := range ev.leaderless {
		l.leaderless[id] = leaderlessRecords{}
	}
	l.store.seq = 1
	l.leaderlessTail.lastRead = ev.leaderlessReadAt
	for _, r := range ev.executors {
		l.applyReport(r)
	}
	l.fleet.tookOverAt = l.wall
	l.initFleet(ev.instances, ev.listedAt)
	for _, r := range ev.waves {
		l.loadWave(r.Key, r.Value)
	}
	for _, j := range tr.Active() {
		l.recordArrival(j)
	}
	l.loadShares()
	l.memory.recount(tr, l.now)
	l.expandParked(loadExpandTime)
	if n := len(tr.Parked()); n > 0 {
		l.Log.Warn().Int("jobs", n).Int("expanded", len(tr.Active())).Int64("limit", room.limit).Msg("jobs are put off because their tasks exceed the memory for jobs")
	}
	l.reportCentreSizes()
	l.ready, l.readyAt = true, l.now
	if ev.heldAt > 0 {
		l.heldRunsEnd = elect.RunsEnd(ev.heldAt)
	}
	l.Meters.terms.Inc(1)
	l.Meters.takeover.RecordDuration(l.now - l.start)
	l.Log.Info().Int("jobs", tr.Len()).Int("active", len(tr.Active())).Int("executors", len(l.members)).
		Int("records", ev.records).Int("bytes", ev.bytes).Dur("took", l.now-l.start).Msg("state is loaded")
	for _, req := range l.deferred {
		l.handle(req)
	}
	l.deferred, l.deferredBytes = nil, 0
}

// resolveFormerRuns releases the unresolved tasks of jobs whose runs under earlier leaders are known:
// every executor of the services to which these may have sent them has listed its runs, or all
// earlier leases have expired and no further executor answers.
func (l *Leader) resolveFormerRuns() {
	if l.allResolved {
		return
	}
	late := l.now >= l.heldRunsEnd && elect.MayReleaseFormerRuns(l.start, l.readyAt, l.lastContact, l.now)
	contacted := map[string]bool{}
	isKnown := func(service string) bool {
		if _, ok := contacted[service]; !ok {
			contacted[service] = l.resolved[service] || l.allContacted(service)
		}
		return contacted[service]
	}
	released := map[string]int{}
	l.allResolved = true
	l.tracker.ReleaseUnresolved(func(j *track.Job) bool {
		if !j.IsUnresolved() {
			return false
		}
		if !late && !l.areFormerRunsKnown(j, isKnown) {
			l.allResolved = false
			return false
		}
		released[l.queueOf(j).Service]++
		return true
	}, l.wall)
	for s, known := range contacted {
		l.resolved[s] = known
	}
	for s, jobs := range released {
		l.planDue[s] = true
		contacts := map[execs.Contact]int{}
		for _, m := range l.members {
			if m.Service == s {
				contacts[m.Contact]++
			}
		}
		l.Log.Info().Str("service", s).Int("jobs", jobs).Bool("late", late).Dur("after", l.now-l.start).
			Int("uncontacted", contacts[execs.Uncontacted]).Int("answering", contacts[execs.Live]).
			Int("unresponsive", contacts[execs.Unresponsive]).Int("dead", contacts[execs.Dead]).Msg("former runs are known")
	}
}

// formerRunsEnd returns when the runs of earlier leaders have ended on executors that do not answer.
func (l *Leader) formerRunsEnd() time.Duration {
	return max(elect.FormerRunsEnd(l.start), l.heldRunsEnd)
}

// areFormerRunsKnown reports whether isKnown holds for all services to which earlier leaders may have
// sent the tasks of a job: those stored with the job, the present one of its queue, and those between.
// Leaders of earlier versions stored only the service at acceptance.
func (l *Leader) areFormerRunsKnown(j *track.Job, isKnown func(service string) bool) bool {
	if !isKnown(l.queueOf(j).Service) {
		return false
	}
	for s := range j.Services() {
		if !isKnown(s) {
			return false
		}
	}
	for _, s := range l.Orders.FormerServices(j.Queue, j.Accepted-track.MaxClockLead) {
		if !isKnown(s) {
			return false
		}
	}
	return true
}

func (l *Leader) allContacted(service string) bool {
	for _, m := range l.members {
		if m.Service == service && (m.Contact == execs.Uncontacted || m.Contact != execs.Dead && m.formerUnlisted) {
			return false
		}
	}
	if l.fleet.listedAt == 0 && l.Settings.Cloud.Addr != "" {
		return false // executors without a report in the store are not known yet
	}
	for _, u := range l.fleet.unregistered[service] {
		// An executor that has just started is not in the store at once.
		if l.byID[u.executor] == nil && !u.ended {
			return false
		}
	}
	return true
}
