package leader

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/upkeep"
	"chervilgauge.example/chervilgauge/platform"
)

type statused struct {
	report
	wave  int64
	state string
	seq   int64
	err   error
}

// loadWave takes over which instances of a wave are done.
func (l *Leader) loadWave(key string, value []byte) {
	if name, ok := strings.CutPrefix(key, ordersKey); ok {
		l.loadOrder(name, value)
		return
	}
	n, err := strconv.ParseInt(strings.TrimPrefix(key, waveKey), 10, 64)
	if err != nil {
		l.Log.Error().Err(err).Str("key", key).Msg("wave record can't be read")
		return
	}
	if l.duty.done == nil {
		l.duty.done = map[int64]map[string]bool{}
	}
	l.duty.done[n] = map[string]bool{}
	for _, name := range strings.Split(string(value), ",") {
		if name != "" {
			l.duty.done[n][name] = true
		}
	}
}

func (l *Leader) waveDone(n int64) map[string]bool {
	if l.duty.done == nil {
		l.duty.done = map[int64]map[string]bool{}
	}
	if l.duty.done[n] == nil {
		l.duty.done[n] = map[string]bool{}
	}
	return l.duty.done[n]
}

// waves begins the upkeep of instances and says how far the waves are.
func (l *Leader) waves(fleet map[string]upkeep.Instance) {
	for n, w := range l.Orders.Waves() {
		done := l.waveDone(n)
		view := upkeep.Wave{Wave: w.Wave, Left: w.Seen + w.Within - l.now, Done: done, Out: map[string]bool{}}
		for name, e := range l.duty.errands {
			if e.pool == "" && e.wave == n {
				view.Out[name] = true
			}
		}
		for _, name := range w.Instances {
			if l.mayBeDown(name) {
				view.Out[name] = true
			}
		}
		state := "active"
		if upkeep.IsComplete(view, fleet) {
			state = "complete"
		}
		l.Meters.wave.Update(float64(len(w.Instances) - len(done)))
		l.writeStatus(n, state)
		if state == "complete" {
			continue
		}
		l.logWave(n, view, fleet)
		for name, at := range l.duty.later {
			if in, ok := fleet[name]; ok && l.now < at {
				in.Free = false
				fleet[name] = in
			}
		}
		for _, name := range upkeep.Next(view, fleet) {
			l.begin(&errand{instance: name, wave: n, since: l.now})
		}
	}
}

// downSlack is added to the time of an upkeep, for the start of the executor and clocks.
const downSlack = 1500 * time.Millisecond

// mayBeDown says whether a former leader may have taken an instance down that is not back.
func (l *Leader) mayBeDown(instance string) bool {
	if l.duty.errands[instance] != nil {
		return false // it is counted by its errand
	}
	if l.duty.fleet[instance].Phase == model.Upkeep {
		return true
	}
	o, ok := l.duty.lately[instance]
	return ok && o.at < l.duty.began && l.wall < o.at+l.Settings.Bounds.Maintenance+downSlack
}

// waveLogEvery is the time between lines about a wave's progress.
const waveLogEvery = 2 * time.Second

// logWave says how far a wave is, and what keeps its instances from going down.
func (l *Leader) logWave(n int64, w upkeep.Wave, fleet map[string]upkeep.Instance) {
	if l.now < l.duty.waveLog {
		return
	}
	l.duty.waveLog = l.now + waveLogEvery
	var left, moving, notUp, emptying, down, blocked, away, stale int
	for _, name := range w.Instances {
		in, ok := fleet[name]
		e := l.duty.errands[name]
		switch {
		case ok && e != nil && e.pool == "" && e.accepted:
			down++
		case !ok || w.Done[name]:
			continue
		case e != nil && e.pool == "":
			emptying++
			if in.Lasting > 0 {
				blocked++
				a, s := l.blockers(in.Instance)
				away, stale = away+a, stale+s
			}
		case e != nil:
			moving++
		case in.Phase != model.Up:
			notUp++
		}
		left++
	}
	l.Log.Info().Int64("wave", n).Int("left", left).Int("emptying", emptying).Int("lasting", blocked).Int("away", away).Int("stale", stale).Int("down", down).
		Int("moving", moving).Int("not-up", notUp).Dur("time", w.Left).Msg("wave goes on")
}

// blockers counts the tasks that last on an instance and may not be stopped since others
// of their step are away, and those of which that is not known.
func (l *Leader) blockers(in model.Instance) (away, stale int) {
	m := l.memberOn(in)
	if m == nil {
		return 0, 0
	}
	for r := range l.book.On(m.Key) {
		if s := r.Task.Step; s.Lasts && s.MayMiss >= 0 {
			n, old, _ := l.missing(r.Task)
			if n >= s.MayMiss {
				away++
			} else if len(old) > 0 {
				stale++
			}
		}
	}
	return away, stale
}

func (l *Leader) finishUpkeep(e *errand) {
	done := l.waveDone(e.wave)
	done[e.instance] = true
	names := make([]string, 0, len(done))
	for name := range done {
		names = append(names, name)
	}
	l.store.pending = append(l.store.pending, book.Entry{
		Key: waveKey + strconv.FormatInt(e.wave, 10), Value: []byte(strings.Join(names, ",")),
	})
}

// writeStatus tells operators how far a wave is.
func (l *Leader) writeStatus(n int64, state string) {
	d := &l.duty
	if d.writing || d.status[n] == state || !l.isValid() {
		return
	}
	d.writing = true
	seq := d.seq + 1
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, _, err := l.Client.Append(call, platform.Append{
			Topic: platform.StatusTopic, At: -1, Writer: writer, Epoch: l.token, Seq: seq,
			Records: [][]byte{platform.KeyedRecord(platform.WavePrefix+strconv.FormatInt(n, 10), platform.EncodeWaveStatus(n, state == "complete"))},
		})
		return statused{wave: n, state: state, seq: seq, err: err}
	})
}

func (l *Leader) onStatused(ev statused) {
	d := &l.duty
	d.writing = false
	wrong := (*platform.SequenceError)(nil)
	switch {
	case ev.err == nil:
		d.seq = ev.seq
		d.status[ev.wave] = ev.state
		l.Log.Info().Int64("wave", ev.wave).Str("state", ev.state).Msg("status of a wave is stored")
	case errors.As(ev.err, &wrong):
		d.seq = wrong.Expected - 1
	default:
		l.Log.Warn().Err(ev.err).Int64("wave", ev.wave).Msg("status of a wave was not stored")
	}
}
