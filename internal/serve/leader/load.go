package leader

import (
	"context"
	"strings"
	"time"

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
	from      int64
	executors []platform.Record
	execFrom  int64
	instances []model.Instance
	waves     []platform.Record
	err       error
}

// load fences earlier leaders in the store and reads all jobs and executors. It tries
// until it succeeds or leading ends.
func (l *Leader) load(ctx context.Context) event {
	out := loaded{loader: book.NewLoader(platform.DecodeWork)}
	steps := []func(context.Context) error{
		func(ctx context.Context) error {
			_, _, err := l.Client.Append(ctx, platform.Append{Topic: Topic, At: -1, Writer: writer, Epoch: l.token, Seq: 1})
			return err
		},
		func(ctx context.Context) (err error) {
			out.waves = nil
			out.from, err = l.pages(ctx, Topic, func(r platform.Record) {
				if strings.HasPrefix(r.Key, waveKey) {
					out.waves = append(out.waves, r)
					return
				}
				if err := out.loader.Add(r.Key, r.Value); err != nil {
					l.Log.Error().Err(err).Str("key", r.Key).Msg("job record can't be read")
				}
			})
			return err
		},
		func(ctx context.Context) (err error) {
			out.executors = nil
			out.execFrom, err = l.pages(ctx, platform.ExecutorTopic, func(r platform.Record) { out.executors = append(out.executors, r) })
			return err
		},
	}
	for _, step := range steps {
		if out.err = l.persist(ctx, step); out.err != nil {
			return out
		}
	}
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	// Without the list, runs on executors that the store does not show are waited for.
	list, _, err := l.Client.Instances(call, "")
	if err != nil {
		l.Log.Warn().Err(err).Msg("instances can't be listed")
	}
	out.instances = list
	return out
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
		s := l.Clock.After(loadPause)
		select {
		case <-s.C:
		case <-ctx.Done():
		}
		s.Close()
	}
}

// pages reads the newest record of each key, and returns from where to read on.
func (l *Leader) pages(ctx context.Context, topic string, take func(platform.Record)) (int64, error) {
	from, after := int64(-1), ""
	for {
		rs, more, end, err := l.Client.Newest(ctx, topic, 0, after)
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
	l.jobsTop.from, l.execTop.from = ev.from, ev.execFrom
	l.store.seq = 1
	l.jobsTop.read = l.start
	for _, r := range ev.executors {
		l.takeExecutor(r)
	}
	l.takeInstances(ev.instances)
	for _, r := range ev.waves {
		l.loadWave(r.Key, r.Value)
	}
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
	return !l.duty.unseen[service]
}
