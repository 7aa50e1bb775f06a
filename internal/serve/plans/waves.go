package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/fleet/waves"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// waveTracker holds the times that the folded state does not contain.
type waveTracker struct {
	instances    map[string]observedInstance
	resumed      map[string]observedWave
	drainTimes   map[string][]time.Duration
	restartTimes map[string][]time.Duration
}

type observedInstance struct {
	phase       state.Phase
	health      state.Health
	phaseSince  time.Duration
	healthSince time.Duration
}

type observedWave struct {
	version uint64
	since   time.Duration
}

// maxSamples bounds the durations of drains and of restarts that are kept for each wave.
const maxSamples = 64

func newWaveTracker() waveTracker {
	return waveTracker{
		instances:    map[string]observedInstance{},
		resumed:      map[string]observedWave{},
		drainTimes:   map[string][]time.Duration{},
		restartTimes: map[string][]time.Duration{},
	}
}

// runWaves carries out the next step of every unfinished wave.
func (p *Planner) runWaves(ctx context.Context, st *state.State, changed bool) {
	now := p.Clock.Now()
	if changed {
		for i := range st.Instances() {
			p.waves.observe(now, i)
		}
	}
	if !hasUnfinishedWaves(st) {
		return
	}
	in := p.waveInput(now, st)
	for _, d := range waves.Plan(in) {
		w, ok := st.Wave(d.Wave)
		if ok && w.Phase == state.Running {
			p.applyDecision(ctx, st, w, d)
		}
	}
}

// hasUnfinishedWaves reports whether any wave is not finished.
func hasUnfinishedWaves(st *state.State) bool {
	for w := range st.Waves() {
		if w.Phase != state.Finished {
			return true
		}
	}
	return false
}

// observe records when an instance changed its phase or health.
func (wt *waveTracker) observe(now time.Duration, i *state.Instance) {
	old, ok := wt.instances[i.Name]
	if !ok {
		wt.instances[i.Name] = observedInstance{i.Phase, i.Health, now, now}
		return
	}
	next := old
	if old.phase != i.Phase {
		wt.addSample(now, old, i)
		next.phase, next.phaseSince = i.Phase, now
	}
	if old.health != i.Health {
		next.health, next.healthSince = i.Health, now
	}
	wt.instances[i.Name] = next
}

// addSample records the duration of a drain or restart that has ended.
func (wt *waveTracker) addSample(now time.Duration, old observedInstance, i *state.Instance) {
	d := now - old.phaseSince
	switch {
	case old.phase == state.Draining && i.Grant != nil && i.Grant.Wave != "":
		wt.drainTimes[i.Grant.Wave] = appendSample(wt.drainTimes[i.Grant.Wave], d)
	case old.phase == state.Restarting && i.Phase == state.Serving:
		// The grant, which names the wave, is gone, so the time counts for every wave.
		for w := range wt.resumed {
			wt.restartTimes[w] = appendSample(wt.restartTimes[w], d)
		}
	}
}

func appendSample(list []time.Duration, d time.Duration) []time.Duration {
	list = append(list, d)
	return list[max(0, len(list)-maxSamples):]
}

func (p *Planner) waveInput(now time.Duration, st *state.State) waves.Input {
	in := waves.Input{Now: now, Budgets: map[string]waves.Budget{}}
	for w := range st.Waves() {
		if w.Phase != state.Finished {
			in.Waves = append(in.Waves, p.toWave(now, w))
		}
	}
	for pool := range st.Pools() {
		in.Budgets[pool.Name] = waves.Budget{
			Total:  int(pool.Budget.Total),
			Rack:   int(pool.Budget.Rack),
			Centre: int(pool.Budget.Centre),
		}
	}
	for i := range st.Instances() {
		in.Instances = append(in.Instances, p.toInstance(i))
	}
	return in
}

func (p *Planner) toWave(now time.Duration, w *state.Wave) waves.Wave {
	seen, ok := p.waves.resumed[w.Name]
	if !ok || seen.version != w.Version {
		seen = observedWave{w.Version, now}
		p.waves.resumed[w.Name] = seen
	}
	out := waves.Wave{
		Name:         w.Name,
		Pools:        w.Pools,
		Limit:        int(w.Limit),
		ResumedAt:    seen.since,
		DrainTimes:   p.waves.drainTimes[w.Name],
		RestartTimes: p.waves.restartTimes[w.Name],
	}
	if w.Phase == state.Halted {
		out.Status = waves.Halted
	}
	for _, s := range w.Steps {
		switch s.Outcome {
		case state.Done:
			out.Done = append(out.Done, s.Name)
		case state.Failed:
			out.Failed = append(out.Failed, s.Name)
		case state.Skipped:
			out.Excluded = append(out.Excluded, s.Name)
		}
	}
	return out
}

func (p *Planner) toInstance(i *state.Instance) waves.Instance {
	seen := p.waves.instances[i.Name]
	out := waves.Instance{
		Name: i.Name, Pool: i.Pool, Rack: i.Rack, Centre: i.Centre,
		Phase: phases[i.Phase], Health: healths[i.Health],
		PhaseSince: seen.phaseSince, HealthSince: seen.healthSince,
	}
	if i.Grant != nil {
		out.Wave = i.Grant.Wave
	}
	return out
}

var phases = map[state.Phase]waves.Phase{
	state.Serving:    waves.Serving,
	state.Draining:   waves.Draining,
	state.Drained:    waves.Drained,
	state.Restarting: waves.Restarting,
}

var healths = map[state.Health]waves.Health{
	state.Up:   waves.Up,
	state.Down: waves.Down,
}

// applyDecision appends the records of a decision.
func (p *Planner) applyDecision(ctx context.Context, st *state.State, w *state.Wave, d waves.Decision) {
	for _, name := range d.Failed {
		p.append(ctx, "step/"+name, &recpb.Record{Body: &recpb.Record_Step{
			Step: &recpb.Step{Wave: w.Name, Name: name, Failed: true}}})
	}
	switch {
	case d.Halt != nil:
		p.Logger.Warn().Str("wave", w.Name).Str("reason", d.Halt.String()).Msg("wave halts")
		p.appendOrder(ctx, w, recpb.Wave_HALT, d.Halt.String())
	case d.Finished:
		p.Logger.Info().Str("wave", w.Name).Msg("wave finished")
		p.appendOrder(ctx, w, recpb.Wave_FINISH, "")
	}
	for _, name := range d.Drain {
		i, ok := st.Instance(name)
		if !ok {
			continue
		}
		p.append(ctx, "drain/"+name, &recpb.Record{Body: &recpb.Record_Drain{Drain: &recpb.Drain{
			Edit: &recpb.Edit{Base: i.Version}, Name: name, Wave: w.Name}}})
	}
}

func (p *Planner) appendOrder(ctx context.Context, w *state.Wave, o recpb.Wave_Order, reason string) {
	p.append(ctx, "wave/"+w.Name, &recpb.Record{Body: &recpb.Record_Wave{Wave: &recpb.Wave{
		Edit: &recpb.Edit{Base: w.Version}, Name: w.Name, Order: o, Reason: reason}}})
}
