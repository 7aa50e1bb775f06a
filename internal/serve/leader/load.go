package leader

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/tenure"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// loadTimeout bounds one page, and loadPause is the time between attempts.
	loadTimeout = 2 * time.Second
	loadPause   = 100 * time.Millisecond
	// attemptsPerToken separates the attempts of leaders that do not know each other's.
	attemptsPerToken = 64
	// attemptTokens wraps the tokens, so that attempts stay small numbers.
	attemptTokens = 1 << 20
)

// loaded is what an earlier leader left.
type loaded struct {
	report
	loader    *book.Loader
	from      int64    // where to read lone records on
	lone      []string // jobs with lone records
	executors []platform.Record
	execFrom  int64
	instances []model.Instance
	listed    time.Duration // when the instances were asked for
	waves     []platform.Record
	err       error
}

// load fences earlier leaders in the store and reads all jobs and executors. It tries
// until it succeeds or leading ends.
func (l *Leader) load(ctx context.Context) event {
	out := loaded{loader: book.NewLoader(platform.DecodeWork)}
	out.err = l.persist(ctx, func(ctx context.Context) error {
		_, _, err := l.Client.Append(ctx, platform.Append{Topic: Topic, Part: leaderPart, At: -1, Writer: writer, Epoch: l.token, Seq: 1})
		return err
	})
	if out.err != nil {
		return out
	}
	var all sync.WaitGroup
	steps := []func(context.Context) error{
		func(ctx context.Context) error { return l.loadJobs(ctx, &out) },
		func(ctx context.Context) (err error) {
			out.executors = nil
			out.execFrom, err = l.pages(ctx, platform.ExecutorTopic, 0, func(r platform.Record) { out.executors = append(out.executors, r) })
			return err
		},
		func(ctx context.Context) error {
			// Without the list, runs on executors that the store does not show are waited for.
			out.listed = l.Clock.Now()
			list, err := l.instances(ctx)
			if err != nil {
				l.Log.Warn().Err(err).Msg("instances can't be listed")
				return nil
			}
			out.instances = list
			return nil
		},
	}
	errs := make([]error, len(steps))
	for i, step := range steps {
		all.Go(func() { errs[i] = l.persist(ctx, step) })
	}
	all.Wait()
	out.err = errors.Join(errs...)
	return out
}

// loadJobs reads the leader's records and those that entries stored by themselves.
func (l *Leader) loadJobs(ctx context.Context, out *loaded) error {
	out.waves, out.lone = nil, nil
	_, err := l.pages(ctx, Topic, leaderPart, func(r platform.Record) {
		if strings.HasPrefix(r.Key, waveKey) {
			out.waves = append(out.waves, r)
			return
		}
		l.loadJob(out.loader, r)
	})
	if err != nil {
		return err
	}
	out.from, err = l.pages(ctx, Topic, LonePart(l.Settings.Store.Parts), func(r platform.Record) {
		out.lone = append(out.lone, book.JobOf(r.Key))
		l.loadJob(out.loader, r)
	})
	return err
}

func (l *Leader) loadJob(to *book.Loader, r platform.Record) {
	if err := to.Add(r.Key, r.Value); err != nil {
		l.Log.Error().Err(err).Str("key", r.Key).Msg("job record can't be read")
	}
}

// persist tries a step until it succeeds. An error means that it never will.
func (l *Leader) persist(ctx context.Context, step func(context.Context) error) error {
	for {
		call, cancel := context.WithTimeout(ctx, loadTimeout)
		err := step(call)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if _, ok := err.(*platform.FencedError); ok {
			return err
		}
		l.Log.Warn().Err(err).Msg("state can't be loaded yet")
		clock.Pause(ctx, l.Clock, loadPause)
	}
}

// pages reads the newest record of each key, and returns from where to read on.
func (l *Leader) pages(ctx context.Context, topic string, part int, take func(platform.Record)) (int64, error) {
	from, after := int64(-1), ""
	for {
		rs, more, end, err := l.Client.Newest(ctx, topic, part, after)
		if err != nil {
			return 0, err
		}
		if from < 0 {
			from = end
		}
		for _, r := range rs {
			take(r)
			after = r.Key
		}
		if !more || len(rs) == 0 {
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
	b, bad := ev.loader.Load(base, l.now, l.wall)
	for _, id := range bad {
		l.Log.Error().Str("job", id).Msg("job can't be decoded")
	}
	l.book = b
	l.loneTop.from, l.execTop.from = ev.from, ev.execFrom
	for _, id := range ev.lone {
		l.lone[id] = struct{}{}
	}
	l.store.seq = 1
	l.loneTop.read = l.start
	for _, r := range ev.executors {
		l.takeExecutor(r)
	}
	l.duty.began = l.wall
	l.beginDuties(ev.instances, ev.listed)
	for _, r := range ev.waves {
		l.loadWave(r.Key, r.Value)
	}
	l.size()
	l.ready = true
	l.Meters.leads.Inc(1)
	l.Meters.takeover.RecordDuration(l.now - l.start)
	l.Log.Info().Int("jobs", b.Len()).Int("active", len(b.Active())).Int("executors", len(l.members)).
		Dur("took", l.now-l.start).Msg("state is loaded")
	for _, w := range l.waiting {
		l.handle(w)
	}
	l.waiting = nil
}

// settle makes tasks waiting whose former runs, if any, have ended for certain: every
// executor of their service has said what it runs, or all leases have ended.
func (l *Leader) settle() {
	late := l.now >= tenure.Settled(l.start)
	if l.allSettled {
		return
	}
	l.allSettled = late
	for _, j := range l.book.Active() {
		s := l.rules(j).Service
		if _, ok := l.settled[s]; !ok {
			l.settled[s] = false
		}
	}
	for s, done := range l.settled {
		if done || !late && !l.allHeard(s) {
			continue
		}
		l.settled[s] = true
		n := l.book.Release(func(j *book.Job) bool { return l.rules(j).Service == s }, l.wall)
		l.planDue[s] = true
		l.Log.Info().Str("service", s).Int("tasks", n).Bool("late", late).Dur("after", l.now-l.start).
			Msg("former runs are known")
	}
}

func (l *Leader) allHeard(service string) bool {
	for _, m := range l.members {
		if m.Service == service && m.Contact == crew.Unheard {
			return false
		}
	}
	if l.duty.listed == 0 && l.Settings.Cloud.Addr != "" {
		return false // executors that the store does not show are not known yet
	}
	for _, id := range l.duty.unseen[service] {
		// One that has just started is not in the store at once. An executor that no
		// instance has any more has ended.
		if l.byID[id] == nil && l.hasInstance(id) {
			return false
		}
	}
	return true
}

// hasInstance says whether an executor was on an instance in the last list.
func (l *Leader) hasInstance(id string) bool {
	for _, in := range l.duty.fleet {
		if in.Executor == id {
			return true
		}
	}
	return false
}
