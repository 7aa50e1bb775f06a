package leader

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/shift"
	"chervilgauge.example/chervilgauge/internal/jobs/tenure"
	"chervilgauge.example/chervilgauge/internal/jobs/upkeep"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// dutyEvery is the time between decisions about instances.
	dutyEvery = 100 * time.Millisecond
	// listEvery is the time between lists of the instances, and listSoon that while
	// orders are under way. Each list is paid for.
	listEvery = 1 * time.Second
	listSoon  = 400 * time.Millisecond
	// listTimeout and orderTimeout bound the calls.
	listTimeout  = 600 * time.Millisecond
	orderTimeout = 700 * time.Millisecond
	// orderRetry is the time to the next attempt of an order.
	orderRetry = 300 * time.Millisecond
	// emptyFor is how long an instance is emptied until what is left on it is stopped.
	emptyFor = 2 * time.Second
	// giveUpAfter ends the emptying of an instance for a move that does not get empty.
	giveUpAfter = 4 * time.Second
	// arrivalWindow is the time over which incoming work is averaged.
	arrivalWindow = 800 * time.Millisecond
	// waveKey starts the keys under which the instances of a wave that are done are kept,
	// and ordersKey is that of the instances that were ordered lately.
	waveKey   = "wave."
	ordersKey = "wave.orders"
	// turnSlack is added to the least time between orders of two leaders, for their
	// clocks.
	turnSlack = 300 * time.Millisecond
)

// errand is what is planned for one instance.
type errand struct {
	instance string
	// pool is where it moves, empty for an upkeep in the wave.
	pool  string
	wave  int64
	since time.Duration
	// ordered says that an order was sent, and accepted that it was answered well.
	ordered, accepted bool
	acceptedAt        time.Duration
	next              time.Duration
	calling           bool
	// noted says that the order is to be stored, and stored that it is: the next leader
	// must know of an order before it can have an effect.
	noted, stored bool
	former        string // the executor before the order
}

// duties is the state of moves and waves.
type duties struct {
	// unseen are services of whose executors the store shows less than the instance
	// service: what runs there is not known.
	unseen   map[string]bool
	fleet    map[string]model.Instance
	listed   time.Duration // when the list was asked for
	listing  bool
	nextList time.Duration
	next     time.Duration
	errands  map[string]*errand
	lately   map[string]time.Duration // when instances were ordered, in Unix time
	noting   []*errand                // whose note the next append holds
	done     map[int64]map[string]bool
	status   map[int64]string // what was written of a wave
	writing  bool
	seq      int64 // of appends to the status topic
	planner  shift.Planner
	waveLog  time.Duration
	began    time.Duration   // when this leader took over, in Unix time
	refused  map[string]bool // pools that an instance can't join
	arrived  map[string][]arrival
}

type arrival struct {
	at   time.Duration
	work int64 // thousandths of core seconds
}

type listed struct {
	report
	instances []model.Instance
	sent      time.Duration
	err       error
}

type ordered struct {
	report
	e   *errand
	err error
}

type statused struct {
	report
	wave  int64
	state string
	seq   int64
	err   error
}

// takeInstances looks for executors that the store does not show.
func (l *Leader) takeInstances(list []model.Instance) {
	d := &l.duty
	d.unseen, d.fleet, d.errands = map[string]bool{}, map[string]model.Instance{}, map[string]*errand{}
	if d.lately == nil {
		d.lately = map[string]time.Duration{}
	}
	d.status, d.refused, d.arrived = map[int64]string{}, map[string]bool{}, map[string][]arrival{}
	for _, in := range list {
		d.fleet[in.Name] = in
		if in.Phase == model.Up && in.Executor != "" && l.byID[in.Executor] == nil {
			d.unseen[in.Pool] = true
			l.Log.Warn().Str("instance", in.Name).Str("executor", in.Executor).Str("service", in.Pool).Msg("executor is not in the store")
		}
	}
}

// loadWave takes over which instances of a wave are done.
func (l *Leader) loadWave(key string, value []byte) {
	if key == ordersKey {
		l.loadOrders(value)
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

// loadOrders takes over which instances were ordered lately, and when.
func (l *Leader) loadOrders(value []byte) {
	l.duty.lately = map[string]time.Duration{}
	for _, row := range strings.Split(string(value), ",") {
		name, at, ok := strings.Cut(row, "=")
		ms, err := strconv.ParseInt(at, 10, 64)
		if !ok || err != nil {
			if row != "" {
				l.Log.Error().Str("row", row).Msg("record of orders can't be read")
			}
			continue
		}
		// A clock that is ahead must not make an order wait for long.
		l.duty.lately[name] = min(time.Duration(ms)*time.Millisecond, l.wall)
	}
}

// noteOrders returns the record of the instances that were ordered lately.
func (l *Leader) noteOrders() book.Entry {
	var rows []string
	for name, at := range l.duty.lately {
		if at+l.Settings.Bounds.Turns+turnSlack < l.wall {
			delete(l.duty.lately, name)
			continue
		}
		rows = append(rows, name+"="+strconv.FormatInt(at.Milliseconds(), 10))
	}
	return book.Entry{Key: ordersKey, Value: []byte(strings.Join(rows, ",") + ",")}
}

// mayOrder says whether an order of this leader for an instance is far enough from one
// of a former leader. Orders of its own may follow one another.
func (l *Leader) mayOrder(instance string) bool {
	if !l.isValid() {
		return false
	}
	at, ok := l.duty.lately[instance]
	return !ok || at >= l.duty.began || l.wall >= at+l.Settings.Bounds.Turns+turnSlack
}

func (l *Leader) dutyTick() {
	d := &l.duty
	if l.now < d.next || l.Settings.Cloud.Addr == "" {
		return
	}
	d.next = l.now + dutyEvery
	if !d.listing && l.now >= d.nextList {
		l.list()
	}
	if d.listed == 0 || !l.isValid() {
		return
	}
	fleet := l.fleetView()
	l.waves(fleet)
	l.shiftPools(fleet)
	for _, e := range d.errands {
		l.pursue(e)
	}
}

func (l *Leader) list() {
	d := &l.duty
	d.listing = true
	d.nextList = l.now + listEvery
	if len(d.errands) > 0 || l.hasSilent() {
		d.nextList = l.now + listSoon
	}
	sent := l.now
	l.Meters.cloud.Inc(1)
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		ev := listed{sent: sent}
		page := ""
		for {
			list, next, err := l.Client.Instances(call, page)
			if err != nil {
				ev.err = err
				return ev
			}
			ev.instances = append(ev.instances, list...)
			if next == "" {
				return ev
			}
			page = next
		}
	})
}

// hasSilent says whether the list could tell that an executor has ended.
func (l *Leader) hasSilent() bool {
	for _, m := range l.members {
		if m.Contact == crew.Silent || m.Contact == crew.Unheard && m.failures > 0 {
			return true
		}
	}
	return false
}

func (l *Leader) onListed(ev listed) {
	d := &l.duty
	d.listing = false
	if ev.err != nil {
		l.Log.Warn().Err(ev.err).Msg("instances can't be listed")
		return
	}
	d.listed = ev.sent
	d.fleet = map[string]model.Instance{}
	for _, in := range ev.instances {
		d.fleet[in.Name] = in
	}
	for name, e := range d.errands {
		in, ok := d.fleet[name]
		if !ok {
			l.endErrand(e, "instance is gone")
			continue
		}
		if e.accepted && ev.sent > e.acceptedAt && (in.Phase == model.Up || l.isStandby(in.Pool) && in.Phase != model.Upkeep && in.Phase != model.Moving) {
			if e.pool == "" || in.Pool == e.pool {
				l.endErrand(e, "instance is back")
			}
		}
	}
	l.buryMoved(ev.sent)
}

// buryMoved notes executors that no instance has any more: each is one life of an
// instance. The list must have been asked for after the executor was known.
func (l *Leader) buryMoved(sent time.Duration) {
	alive := map[string]bool{}
	for _, in := range l.duty.fleet {
		alive[in.Executor] = true
	}
	for _, m := range l.members {
		if m.Contact != crew.Live && m.Contact != crew.Dead && !alive[m.ID] && m.known < sent {
			l.bury(m, "no instance has it")
		}
	}
}

func (l *Leader) isStandby(pool string) bool {
	c := l.Orders.Config()
	if c == nil {
		return false
	}
	s := c.Service(pool)
	return s != nil && s.Standby
}

// memberOn returns the executor on an instance, or nil.
func (l *Leader) memberOn(in model.Instance) *member {
	if m := l.byID[in.Executor]; m != nil && m.Contact != crew.Dead {
		return m
	}
	return nil
}

func (l *Leader) fleetView() map[string]upkeep.Instance {
	out := make(map[string]upkeep.Instance, len(l.duty.fleet))
	for name, in := range l.duty.fleet {
		u := upkeep.Instance{Instance: in, Standby: l.isStandby(in.Pool), Free: l.duty.errands[name] == nil}
		if m := l.memberOn(in); m != nil {
			for r := range l.book.On(m.Key) {
				if r.Task.Step.Lasts {
					u.Lasting++
				} else {
					u.Work += r.Task.Step.Room().Cores
				}
			}
			if m.Draining {
				u.Free = false
			}
		}
		out[name] = u
	}
	return out
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
	at, ok := l.duty.lately[instance]
	return ok && at < l.duty.began && l.wall < at+l.Settings.Bounds.Maintenance+downSlack
}

// waveLogEvery is the time between lines about a wave's progress.
const waveLogEvery = 2 * time.Second

// logWave says how far a wave is, and what keeps its instances from going down.
func (l *Leader) logWave(n int64, w upkeep.Wave, fleet map[string]upkeep.Instance) {
	if l.now < l.duty.waveLog {
		return
	}
	l.duty.waveLog = l.now + waveLogEvery
	var left, moving, notUp, emptying, down, blocked int
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
			}
		case e != nil:
			moving++
		case in.Phase != model.Up:
			notUp++
		}
		left++
	}
	l.Log.Info().Int64("wave", n).Int("left", left).Int("emptying", emptying).Int("lasting", blocked).Int("down", down).
		Int("moving", moving).Int("not-up", notUp).Dur("time", w.Left).Msg("wave goes on")
}

// begin starts to empty an instance.
func (l *Leader) begin(e *errand) {
	l.duty.errands[e.instance] = e
	in := l.duty.fleet[e.instance]
	e.former = in.Executor
	m := l.memberOn(in)
	runs := 0
	if m != nil {
		m.Leaving = true
		runs = len(l.book.On(m.Key))
	}
	l.Log.Info().Str("instance", e.instance).Str("executor", in.Executor).Str("service", in.Pool).Str("to", e.pool).Int64("wave", e.wave).
		Int("runs", runs).Msg("instance is emptied")
}

func (l *Leader) endErrand(e *errand, cause string) {
	delete(l.duty.errands, e.instance)
	if in, ok := l.duty.fleet[e.instance]; ok {
		if m := l.memberOn(in); m != nil && m.Leaving {
			m.Leaving = false
			l.planDue[m.Service] = true
		}
	}
	l.Log.Info().Str("instance", e.instance).Str("to", e.pool).Int64("wave", e.wave).Str("cause", cause).
		Dur("took", l.now-e.since).Msg("errand ends")
}

// pursue goes on with an errand.
func (l *Leader) pursue(e *errand) {
	if e.accepted || e.calling || l.now < e.next {
		return
	}
	in, ok := l.duty.fleet[e.instance]
	if !ok {
		l.endErrand(e, "instance is gone")
		return
	}
	if !e.ordered && !l.isEmpty(e, in) {
		return
	}
	if !l.mayOrder(e.instance) {
		return
	}
	if !e.noted {
		e.noted = true
		l.duty.lately[e.instance] = l.wall
		l.duty.noting = append(l.duty.noting, e)
		return
	}
	if !e.stored {
		return
	}
	e.ordered, e.calling = true, true
	l.Meters.cloud.Inc(1)
	l.Log.Info().Str("instance", e.instance).Str("to", e.pool).Int64("wave", e.wave).Msg("instance is ordered away")
	l.call(func(ctx context.Context) event {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if e.pool == "" {
			return ordered{e: e, err: l.Client.Maintain(call, l.token, e.instance, e.wave)}
		}
		return ordered{e: e, err: l.Client.Move(call, l.token, e.instance, e.pool)}
	})
}

// isEmpty says whether nothing runs on an instance, and stops what does not end by
// itself soon.
func (l *Leader) isEmpty(e *errand, in model.Instance) bool {
	m := l.memberOn(in)
	if m == nil {
		// Nothing that this leader started can be there, but an earlier leader may have
		// started what the executor was not asked for yet.
		return in.Executor == "" || in.Phase != model.Up || l.now >= tenure.Settled(l.start)
	}
	m.Leaving = true
	if m.Contact != crew.Live {
		if l.now >= max(m.leaseEnd, tenure.Settled(l.start)) && len(l.book.On(m.Key)) == 0 {
			return true
		}
		if e.pool != "" && l.now > e.since+giveUpAfter {
			l.endErrand(e, "executor does not answer")
		}
		return false
	}
	runs := l.book.On(m.Key)
	if len(runs) == 0 {
		// Ends that the executor does not know to be stored would be lost with it.
		return m.starting == 0 && !m.doubt && m.told >= m.seen
	}
	for r := range runs {
		if r.Phase != book.Running {
			continue
		}
		s := r.Task.Step
		switch {
		case s.Lasts:
			if l.mayStop(r.Task) {
				l.stop(r, "instance is emptied")
			}
		case l.now > e.since+emptyFor:
			l.stop(r, "instance is emptied")
		}
	}
	if e.pool != "" && l.now > e.since+giveUpAfter {
		l.endErrand(e, "instance did not get empty")
	}
	return false
}

// freshFor is how old a look may be that a stop of a task that lasts relies on: another
// task of its step may have ended since.
const freshFor = 300 * time.Millisecond

// hurryFor is how long the executors of a step are looked at often: all of them must be
// heard within freshFor, and one may be in a look of holdWait.
const hurryFor = 2 * time.Second

// mayStop says whether a task that lasts may be away: no more of its step are than the
// job allows. If that is not known well enough, it has the executors looked at.
func (l *Leader) mayStop(t *book.Task) bool {
	s := t.Step
	if s.MayMiss < 0 || l.isStuck(t) {
		return true
	}
	fresh, away := true, 0
	for _, o := range s.Tasks {
		if o == t {
			continue
		}
		if !o.IsAtWork() {
			away++
			continue
		}
		for _, r := range o.Runs {
			m := l.members[r.Executor]
			if m == nil || m.Contact != crew.Live {
				away++
			} else if l.now-m.clockAt > freshFor {
				m.hurry = l.now + hurryFor
				fresh = false
			}
		}
	}
	return fresh && away < s.MayMiss
}

// stuckAfter is how long a task that lasts may take to be at work.
const stuckAfter = 4 * time.Second

// isStuck says whether a task did not get to work for so long that it will not.
func (l *Leader) isStuck(t *book.Task) bool {
	return !t.IsAtWork() && len(t.Runs) > 0 && l.now > t.Runs[0].Since+stuckAfter
}

func (l *Leader) onOrdered(ev ordered) {
	e := ev.e
	e.calling = false
	e.next = l.now + orderRetry
	// The next attempt is an order of its own.
	e.noted, e.stored = false, false
	if l.duty.errands[e.instance] != e {
		return
	}
	refused := (*platform.OrderError)(nil)
	if ev.err == nil {
		l.accept(e)
		return
	}
	l.Log.Warn().Err(ev.err).Str("instance", e.instance).Str("to", e.pool).Int64("wave", e.wave).Msg("order for an instance failed")
	if !errors.As(ev.err, &refused) {
		return
	}
	switch refused.Reason {
	case platform.ReasonBad:
		if e.pool != "" {
			l.duty.refused[e.instance+" "+e.pool] = true
		}
		l.endErrand(e, "order is invalid")
	case platform.ReasonWave:
		l.finishUpkeep(e)
		l.endErrand(e, "instance is not of the wave")
	case platform.ReasonBusy:
		if e.pool != "" {
			l.endErrand(e, "instance is busy")
		}
	default:
	}
}

// accept notes that an order was carried out: all that ran there has ended.
func (l *Leader) accept(e *errand) {
	e.accepted, e.acceptedAt = true, l.now
	if e.pool == "" {
		l.Meters.order("upkeep")
	} else {
		l.Meters.order("move")
	}
	if m := l.byID[e.former]; m != nil {
		l.bury(m, "its instance was ordered away")
	}
	if e.pool == "" {
		l.finishUpkeep(e)
	}
	l.duty.nextList = min(l.duty.nextList, l.now+l.Settings.Bounds.Migrate)
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

// noteArrival counts work that came in.
func (l *Leader) noteArrival(j *book.Job) {
	var work int64
	for i := range j.Work.Steps {
		s := &j.Work.Steps[i]
		if !s.Lasts && !s.Fills {
			work += int64(s.Count) * int64(float64(s.Need.Cores)*s.Estimate.Seconds())
		}
	}
	service := l.rules(j).Service
	l.duty.arrived[service] = append(l.duty.arrived[service], arrival{l.now, work})
}

// demand returns what each service's work asks for.
func (l *Leader) demand() map[string]shift.Demand {
	out := map[string]shift.Demand{}
	for s, as := range l.duty.arrived {
		for len(as) > 0 && as[0].at < l.now-arrivalWindow {
			as = as[1:]
		}
		l.duty.arrived[s] = as
		d := shift.Demand{}
		for _, a := range as {
			d.Arrivals += a.work
		}
		d.Arrivals = int64(float64(d.Arrivals) / arrivalWindow.Seconds())
		out[s] = d
	}
	for _, j := range l.book.Active() {
		s := l.rules(j).Service
		d := out[s]
		for _, o := range j.Open {
			for _, st := range o.Steps {
				addDemand(&d, st)
			}
		}
		out[s] = d
	}
	return out
}

func addDemand(d *shift.Demand, st *book.Step) {
	if st.Lasts {
		d.Lasting += st.Room().Cores * int64(st.Count)
		if st.Spread > 0 {
			d.Spread = max(d.Spread, (st.Count+st.Spread-1)/st.Spread)
		}
		return
	}
	if !st.IsReady() {
		return
	}
	waiting := 0
	for _, t := range st.Tasks {
		if t.IsWaiting() {
			waiting++
		}
	}
	d.Backlog += int64(float64(int64(waiting)*st.Room().Cores) * st.Estimate.Seconds())
}

// shiftPools moves instances to where work is.
func (l *Leader) shiftPools(fleet map[string]upkeep.Instance) {
	c := l.Orders.Config()
	if c == nil {
		return
	}
	demand := l.demand()
	coming := map[string]int{}
	for _, e := range l.duty.errands {
		if e.pool != "" && fleet[e.instance].Pool != e.pool {
			coming[e.pool]++
		}
	}
	var pools []shift.Pool
	for _, s := range c.Services {
		pools = append(pools, shift.Pool{Name: s.Name, Standby: s.Standby, Demand: demand[s.Name], Coming: coming[s.Name]})
	}
	var list []shift.Instance
	var cores int64
	for name, in := range fleet {
		if l.duty.errands[name] != nil {
			continue // it counts where it goes, and not while it is down
		}
		cores = max(cores, in.Capacity.Cores)
		m := l.memberOn(in.Instance)
		ready := m != nil && m.Takes(l.now) && m.starting == 0 && in.Phase == model.Up
		list = append(list, shift.Instance{
			Name: name, Pool: in.Pool, Cores: in.Capacity.Cores, Lasting: in.Lasting, Work: in.Work,
			Free: in.Free && (ready || in.Standby && in.Phase != model.Moving && in.Phase != model.Upkeep && in.Phase != model.Down),
		})
	}
	for _, mv := range l.duty.planner.Plan(pools, list, cores, l.now) {
		if !l.duty.refused[mv.Instance+" "+mv.Pool] {
			l.begin(&errand{instance: mv.Instance, pool: mv.Pool, since: l.now})
		}
	}
}
