package leader

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/maint"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

type statusStored struct {
	report
	wave  int64
	state string
	seq   int64
	err   error
}

// loadWave loads a stored record of the maintained instances of a wave, or of the last order for
// an instance.
func (l *Leader) loadWave(key string, value []byte) {
	if name, ok := strings.CutPrefix(key, orderKeyPrefix); ok {
		l.loadOrder(name, value)
		return
	}
	n, err := strconv.ParseInt(strings.TrimPrefix(key, waveKeyPrefix), 10, 64)
	if err != nil {
		l.Log.Error().Err(err).Str("key", key).Msg("wave record is malformed")
		return
	}
	if l.fleet.maintained == nil {
		l.fleet.maintained = map[int64]map[string]bool{}
	}
	l.fleet.maintained[n] = map[string]bool{}
	for _, name := range strings.Split(string(value), ",") {
		if name != "" {
			l.fleet.maintained[n][name] = true
		}
	}
}

func (l *Leader) maintainedIn(n int64) map[string]bool {
	if l.fleet.maintained == nil {
		l.fleet.maintained = map[int64]map[string]bool{}
	}
	if l.fleet.maintained[n] == nil {
		l.fleet.maintained[n] = map[string]bool{}
	}
	return l.fleet.maintained[n]
}

// advanceWaves starts maintenance of instances and stores the status of the waves.
func (l *Leader) advanceWaves(instances map[string]maint.Instance) {
	for n, w := range l.Orders.Waves() {
		done := l.maintainedIn(n)
		view := maint.Wave{Wave: w.Wave, TimeLeft: w.FirstSeen + w.Window - l.now, Ordered: done, Unavailable: map[string]bool{}}
		for name, op := range l.fleet.operations {
			if op.pool == "" && op.wave == n {
				view.Unavailable[name] = true
			}
		}
		for _, name := range w.Instances {
			if l.mayBeDown(name) {
				view.Unavailable[name] = true
			}
		}
		state := "active"
		if maint.IsComplete(view, instances) {
			state = "complete"
		}
		l.Meters.waveLeft.Update(float64(len(w.Instances) - len(done)))
		l.writeWaveStatus(n, state)
		if state == "complete" {
			continue
		}
		l.logWave(n, view, instances)
		for name, at := range l.fleet.retryMaintAt {
			if in, ok := instances[name]; ok && l.now < at {
				in.Free = false
				instances[name] = in
			}
		}
		for _, name := range maint.NextInstances(view, instances) {
			l.beginOperation(&operation{instance: name, wave: n, since: l.now})
		}
	}
}

// downSlack is added to the maintenance time, for the start of the executor and for clock offsets.
const downSlack = 1500 * time.Millisecond

// mayBeDown reports whether an instance may still be down by an order of a former leader.
func (l *Leader) mayBeDown(instance string) bool {
	if l.fleet.operations[instance] != nil {
		return false // its operation counts it
	}
	if l.fleet.instances[instance].Phase == model.Maintenance {
		return true
	}
	o, ok := l.fleet.lastOrders[instance]
	return ok && o.at < l.fleet.tookOverAt && l.wall < o.at+l.Settings.Bounds.Maintenance+downSlack
}

// waveLogInterval is the time between log lines about the progress of waves.
const waveLogInterval = 2 * time.Second

// logWave logs the progress of a wave and what keeps its remaining instances from maintenance.
func (l *Leader) logWave(n int64, w maint.Wave, instances map[string]maint.Instance) {
	if l.now < l.fleet.nextWaveLog {
		return
	}
	l.fleet.nextWaveLog = l.now + waveLogInterval
	var left, moving, notUp, draining, down, blocked, unavailable, stale int
	for _, name := range w.Instances {
		in, ok := instances[name]
		op := l.fleet.operations[name]
		switch {
		case ok && op != nil && op.pool == "" && op.accepted:
			down++
		case !ok || w.Ordered[name]:
			continue
		case op != nil && op.pool == "":
			draining++
			if in.LongRunning > 0 {
				blocked++
				a, s := l.countBlocked(in.Instance)
				unavailable, stale = unavailable+a, stale+s
			}
		case op != nil:
			moving++
		case in.Phase != model.Up:
			notUp++
		}
		left++
	}
	l.Log.Info().Int64("wave", n).Int("left", left).Int("emptying", draining).Int("lasting", blocked).Int("away", unavailable).Int("stale", stale).Int("down", down).
		Int("moving", moving).Int("not-up", notUp).Dur("time", w.TimeLeft).Msg("wave goes on")
}

// countBlocked counts the long-running tasks on an instance that may not be stopped because
// others of their step are unavailable, and those for which that is not known.
func (l *Leader) countBlocked(in model.Instance) (unavailable, stale int) {
	m := l.memberOn(in)
	if m == nil {
		return 0, 0
	}
	for r := range l.tracker.RunsOn(m.Key) {
		if s := r.Task.Step; s.LongRunning && s.MaxUnavailable >= 0 {
			n, old, _ := l.countUnavailable(r.Task)
			if n >= s.MaxUnavailable {
				unavailable++
			} else if len(old) > 0 {
				stale++
			}
		}
	}
	return unavailable, stale
}

func (l *Leader) recordMaintained(op *operation) {
	done := l.maintainedIn(op.wave)
	done[op.instance] = true
	names := make([]string, 0, len(done))
	for name := range done {
		names = append(names, name)
	}
	l.store.pending = append(l.store.pending, track.Record{
		Key: waveKeyPrefix + strconv.FormatInt(op.wave, 10), Value: []byte(strings.Join(names, ",")),
	})
}

// writeWaveStatus stores the status of a wave for operators if it has changed.
func (l *Leader) writeWaveStatus(n int64, state string) {
	f := &l.fleet
	if f.statusInFlight || f.writtenStatus[n] == state || !l.isValid() {
		return
	}
	f.statusInFlight = true
	seq := f.statusSeq + 1
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, _, err := l.Client.Append(call, platform.Append{
			Topic: platform.StatusTopic, At: -1, Writer: writer, Epoch: l.token, Seq: seq,
			Records: [][]byte{platform.KeyedRecord(platform.WavePrefix+strconv.FormatInt(n, 10), platform.EncodeWaveStatus(n, state == "complete"))},
		})
		return statusStored{wave: n, state: state, seq: seq, err: err}
	})
}

func (l *Leader) onStatusStored(ev statusStored) {
	f := &l.fleet
	f.statusInFlight = false
	wrong := (*platform.SequenceError)(nil)
	switch {
	case ev.err == nil:
		f.statusSeq = ev.seq
		f.writtenStatus[ev.wave] = ev.state
		l.Log.Info().Int64("wave", ev.wave).Str("state", ev.state).Msg("wave status was stored")
	case errors.As(ev.err, &wrong):
		f.statusSeq = wrong.Expected - 1
	default:
		l.Log.Warn().Err(ev.err).Int64("wave", ev.wave).Msg("wave status was not stored")
	}
}
