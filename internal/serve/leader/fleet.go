package leader

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/shift"
	"chervilgauge.example/chervilgauge/internal/jobs/upkeep"
)

const (
	// dutyEvery is the time between decisions about instances.
	dutyEvery = 100 * time.Millisecond
	// dutyRest is how many times as long as such a decision the leader rests from it.
	dutyRest = 20
	// listEvery is the time between lists of the instances, and listSoon that while
	// orders are under way. Each list is paid for.
	listEvery = 1 * time.Second
	listSoon  = 400 * time.Millisecond
	// listEach is added for each instance: a list of a thousand takes milliseconds to read.
	listEach = 400 * time.Microsecond
	// listTimeout bounds the reading of all pages.
	listTimeout = 600 * time.Millisecond
	// orderRetry is the time to the next attempt of an order.
	orderRetry = 300 * time.Millisecond
	// emptyFor is how long an instance is emptied until what is left on it is stopped.
	emptyFor = 2 * time.Second
	// giveUpAfter ends the emptying of an instance that does not get empty: for a move, or
	// for an upkeep while tasks that last have no other place. An upkeep is tried again after
	// the same time.
	giveUpAfter = 4 * time.Second
	// arrivalWindow is the time over which incoming work is averaged.
	arrivalWindow = 800 * time.Millisecond
	// waveKey starts the keys under which the instances of a wave that are done are kept,
	// and ordersKey the key under which it is kept when an instance was ordered last.
	waveKey   = "wave."
	ordersKey = "wave.order."
)

// duties is the state of moves and waves.
type duties struct {
	// unseen are the executors of each service that instances had when this leader began,
	// and the store did not show: what runs there is not known.
	unseen   map[string][]string
	fleet    map[string]model.Instance
	listed   time.Duration // when the list was asked for
	listing  bool
	nextList time.Duration
	next     time.Duration
	errands  map[string]*errand
	lately   map[string]lastOrder // by instance
	noting   []*errand            // whose note the next append holds
	done     map[int64]map[string]bool
	status   map[int64]string // what was written of a wave
	writing  bool
	seq      int64 // of appends to the status topic
	planner  shift.Planner
	waveLog  time.Duration
	began    time.Duration              // when this leader took over, in Unix time
	refused  map[string]map[string]bool // pools that an instance can't join
	arrived  map[string][]arrival
	labels   map[string]bool          // that any job needed
	later    map[string]time.Duration // when an instance may be emptied for an upkeep again
	// waits is since when some task of a kind of work has found no room.
	waits map[need]time.Duration
}

type listed struct {
	report
	instances []model.Instance
	sent      time.Duration
	err       error
}

// beginDuties takes over the first list of instances, if it could be read.
func (l *Leader) beginDuties(list []model.Instance, sent time.Duration) {
	d := &l.duty
	d.unseen, d.fleet, d.errands = map[string][]string{}, map[string]model.Instance{}, map[string]*errand{}
	if d.lately == nil {
		d.lately = map[string]lastOrder{}
	}
	d.status, d.refused, d.arrived = map[int64]string{}, map[string]map[string]bool{}, map[string][]arrival{}
	d.waits, d.labels, d.later = map[need]time.Duration{}, map[string]bool{}, map[string]time.Duration{}
	if len(list) > 0 {
		d.nextList = sent + listEvery
		l.takeList(list, sent)
	}
}

// takeList takes over a list of instances. In the first one it looks for executors that
// the store does not show.
func (l *Leader) takeList(list []model.Instance, sent time.Duration) {
	d := &l.duty
	first := d.listed == 0
	d.listed = sent
	d.fleet = make(map[string]model.Instance, len(list))
	for _, in := range list {
		d.fleet[in.Name] = in
		if first && in.Phase == model.Up && in.Executor != "" && l.byID[in.Executor] == nil {
			d.unseen[in.Pool] = append(d.unseen[in.Pool], in.Executor)
			l.Log.Warn().Str("instance", in.Name).Str("executor", in.Executor).Str("service", in.Pool).Msg("executor is not in the store")
		}
	}
}

func (l *Leader) dutyTick() {
	d := &l.duty
	if l.now < d.next || l.Settings.Cloud.Addr == "" {
		return
	}
	begin := l.Clock.Now()
	defer func() {
		end := l.Clock.Now()
		d.next = end + max(dutyEvery, dutyRest*(end-begin))
	}()
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
	pause := listEvery
	if len(d.errands) > 0 || l.hasSilent() {
		pause = listSoon
	}
	d.nextList = l.now + pause + time.Duration(len(d.fleet))*listEach
	sent := l.now
	l.Meters.cloud.Inc(1)
	l.call(func(ctx context.Context) event {
		list, err := l.instances(ctx)
		return listed{sent: sent, instances: list, err: err}
	})
}

// instances reads all pages of the list of instances.
func (l *Leader) instances(ctx context.Context) ([]model.Instance, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var out []model.Instance
	for page := ""; ; {
		list, next, err := l.Client.Instances(call, page)
		if err != nil {
			return nil, err
		}
		if out = append(out, list...); next == "" {
			return out, nil
		}
		page = next
	}
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
	l.takeList(ev.instances, ev.sent)
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
