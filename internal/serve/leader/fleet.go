package leader

import (
	"cmp"
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/maint"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/scale"
)

const (
	// fleetInterval is the time between rounds of decisions about instances.
	fleetInterval = 100 * time.Millisecond
	// fleetRestFactor is the pause after such a round in multiples of its duration.
	fleetRestFactor = 20
	// listInterval is the time between reads of the instance list, and busyListInterval that
	// while operations are in progress. Each read is charged.
	listInterval     = 1 * time.Second
	busyListInterval = 400 * time.Millisecond
	// listIntervalPerInstance is added for each instance: a list of a thousand takes
	// milliseconds to read.
	listIntervalPerInstance = 400 * time.Microsecond
	// listTimeout limits the read of all pages: the list is optional, and a load waits for it.
	listTimeout = 2 * time.Second
	// listStall is how long no byte of a page may arrive before the read is given up.
	listStall = 600 * time.Millisecond
	// registrationLag is how much later than its report an executor may appear in the instance list.
	registrationLag = 500 * time.Millisecond
	// maxMissingLists is the number of successive lists without an instance or an executor after which
	// it is gone. A single list can miss it: pages are read one after another while instances change.
	maxMissingLists = 2
	// orderRetryInterval is the time between attempts of an order.
	orderRetryInterval = 300 * time.Millisecond
	// drainGrace is how long runs on a draining instance may go on before they are stopped.
	drainGrace = 2 * time.Second
	// drainTimeout ends the draining of an instance for a move, or for maintenance while
	// long-running tasks on it fit on no other executor. Maintenance is retried after the same
	// time.
	drainTimeout = 4 * time.Second
	// waveKeyPrefix starts the key of the maintained instances of a wave, and orderKeyPrefix
	// the key of the last order for an instance.
	waveKeyPrefix  = "wave."
	orderKeyPrefix = "wave.order."
)

// fleetState is the state of moves and maintenance waves.
type fleetState struct {
	// unregistered are, by service, the executors in the first instance list that had no report
	// in the store. What runs on them is not known.
	unregistered map[string][]*unregistered
	instances    map[string]model.Instance
	// missing is the number of successive lists without an instance, for those whose row in instances
	// is that of an earlier list. hosts is the name of the instance of each executor in the last list.
	missing        map[string]int
	hosts          map[string]string
	listedAt       time.Duration // when the last list was requested
	listInFlight   bool
	nextList       time.Duration
	nextRound      time.Duration
	operations     map[string]*operation
	lastOrders     map[string]lastOrder      // by instance name
	unstored       []*operation              // their order records go into the next append
	maintained     map[int64]map[string]bool // names of maintained instances by wave
	writtenStatus  map[int64]string          // last stored status of each wave
	statusInFlight bool
	statusSeq      int64 // last sequence number in the status topic
	planner        scale.Planner
	nextWaveLog    time.Duration
	tookOverAt     time.Duration              // in Unix time
	refusedPools   map[string]map[string]bool // pools that refused an instance, by instance name
	arrivals       map[string]*scale.Arrivals
	neededLabels   map[string]bool          // labels that any job needed
	retryMaintAt   map[string]time.Duration // when maintenance of an instance may be retried
	// waitingSince is since when tasks of a kind of work have found no free capacity.
	waitingSince map[workKind]time.Duration
}

// unregistered is an executor without a report in the store.
type unregistered struct {
	executor, instance string
	missing            int  // successive lists without it
	ended              bool // no instance has it any more
}

type instancesListed struct {
	report
	instances []model.Instance
	sent      time.Duration
	err       error
}

// initFleet initializes the fleet state with the first list of instances, if it could be read.
func (l *Leader) initFleet(list []model.Instance, sent time.Duration) {
	f := &l.fleet
	f.unregistered, f.instances, f.operations = map[string][]*unregistered{}, map[string]model.Instance{}, map[string]*operation{}
	if f.lastOrders == nil {
		f.lastOrders = map[string]lastOrder{}
	}
	f.writtenStatus, f.refusedPools, f.arrivals = map[int64]string{}, map[string]map[string]bool{}, map[string]*scale.Arrivals{}
	f.waitingSince, f.neededLabels, f.retryMaintAt = map[workKind]time.Duration{}, map[string]bool{}, map[string]time.Duration{}
	if len(list) > 0 {
		// The first list that can show the end of an executor that the store listed at the takeover.
		f.nextList = l.now + registrationLag + time.Millisecond
		l.applyInstances(list, sent)
	}
}

// applyInstances replaces the known instances by a list, and keeps those that too few lists have
// missed. From the first list it records the executors that have no report in the store.
func (l *Leader) applyInstances(list []model.Instance, sent time.Duration) {
	f := &l.fleet
	first := f.listedAt == 0
	f.listedAt = sent
	former, missing := f.instances, f.missing
	f.instances, f.missing, f.hosts = make(map[string]model.Instance, len(list)), map[string]int{}, make(map[string]string, len(list))
	for _, in := range list {
		f.instances[in.Name] = in
		if in.Executor != "" {
			f.hosts[in.Executor] = in.Name
		}
		if first && in.Phase == model.Up && in.Executor != "" && l.byID[in.Executor] == nil {
			f.unregistered[in.Pool] = append(f.unregistered[in.Pool], &unregistered{executor: in.Executor, instance: in.Name})
			l.Log.Warn().Str("instance", in.Name).Str("executor", in.Executor).Str("service", in.Pool).Msg("instance has an executor that is not in the store")
		}
	}
	for name, in := range former {
		if _, listed := f.instances[name]; !listed && missing[name]+1 < maxMissingLists {
			f.instances[name], f.missing[name] = in, missing[name]+1
		}
	}
	for service, us := range f.unregistered {
		for _, u := range us {
			if _, listed := f.hosts[u.executor]; listed {
				u.missing = 0
				continue
			}
			if f.isUnclear(u.instance, service) {
				continue
			}
			u.missing++
			u.ended = u.ended || u.missing >= maxMissingLists || f.showsEnd(u.instance, service, u.executor)
		}
	}
}

// isUnclear reports whether the last list does not say which executor of a service an instance has: it
// may still have the one that it had. An instance that was moved to another pool has not.
func (f *fleetState) isUnclear(instance, service string) bool {
	in, ok := f.instances[instance]
	return ok && in.Pool == service && in.Executor == "" && (in.Phase == model.Up || in.Phase == model.Other)
}

// showsEnd reports whether the last list shows that an executor of a service on an instance has ended:
// the instance is not up, has another executor or is in another pool.
func (f *fleetState) showsEnd(instance, service, executor string) bool {
	in, ok := f.instances[instance]
	return ok && in.Executor != executor && !f.isUnclear(instance, service)
}

func (l *Leader) manageFleet() {
	f := &l.fleet
	if l.now < f.nextRound || l.Settings.Cloud.Addr == "" {
		return
	}
	begin := l.Clock.Now()
	defer func() {
		end := l.Clock.Now()
		f.nextRound = end + max(fleetInterval, fleetRestFactor*(end-begin))
	}()
	if !f.listInFlight && l.now >= f.nextList {
		l.listInstances()
	}
	if f.listedAt == 0 || !l.isValid() {
		return
	}
	instances := l.instanceViews()
	l.advanceWaves(instances)
	l.rebalancePools(instances)
	for _, op := range f.operations {
		l.advanceOperation(op)
	}
}

func (l *Leader) listInstances() {
	f := &l.fleet
	f.listInFlight = true
	pause := listInterval
	if len(f.operations) > 0 || l.hasUnresponsive() {
		pause = busyListInterval
	}
	f.nextList = l.now + pause + time.Duration(len(f.instances))*listIntervalPerInstance
	sent := l.now
	l.Meters.instanceCalls.Inc(1)
	l.call(func(ctx context.Context) event {
		list, err := l.readInstances(ctx)
		return instancesListed{sent: sent, instances: list, err: err}
	})
}

// readInstances reads all pages of the instance list.
func (l *Leader) readInstances(ctx context.Context) ([]model.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var out []model.Instance
	for page := ""; ; {
		list, next, err := l.Client.Instances(ctx, page, listStall)
		if err != nil {
			return nil, err
		}
		if out = append(out, list...); next == "" {
			return out, nil
		}
		page = next
	}
}

// hasUnresponsive reports whether an executor does not answer, so that a new instance list could
// show that it has ended.
func (l *Leader) hasUnresponsive() bool {
	for _, m := range l.members {
		if m.Contact == execs.Unresponsive || m.Contact == execs.Uncontacted && m.pollFailures > 0 {
			return true
		}
	}
	return false
}

func (l *Leader) onInstancesListed(ev instancesListed) {
	f := &l.fleet
	f.listInFlight = false
	if ev.err != nil {
		l.Log.Warn().Err(ev.err).Msg("instance list can't be read")
		return
	}
	l.applyInstances(ev.instances, ev.sent)
	for name, op := range f.operations {
		in, ok := f.instances[name]
		if !ok {
			l.endOperation(op, "instance is not listed any more")
			continue
		}
		if f.missing[name] > 0 {
			continue
		}
		if op.accepted && ev.sent > op.acceptedAt && op.former != nil && l.fleet.showsEnd(name, op.former.Service, op.former.ID) {
			l.markDead(op.former, "its instance was moved or maintained")
		}
		if op.accepted && ev.sent > op.acceptedAt && (in.Phase == model.Up || l.isStandby(in.Pool) && in.Phase != model.Maintenance && in.Phase != model.Moving) {
			if op.pool == "" || in.Pool == op.pool {
				l.endOperation(op, "instance is available again")
			}
		}
	}
	l.markReplacedDead(ev.sent)
}

// markReplacedDead marks executors dead that no instance has any more: an executor lives as long
// as one boot of its instance. sent is when the list was requested; only executors that were
// known before that and have not answered since are considered.
func (l *Leader) markReplacedDead(sent time.Duration) {
	for _, m := range l.members {
		if host, listed := l.fleet.hosts[m.ID]; listed {
			m.host, m.missingLists = host, 0
			continue
		}
		if m.Contact == execs.Live || m.Contact == execs.Dead {
			m.missingLists = 0
			continue
		}
		host := cmp.Or(m.Instance, m.host)
		if sent <= m.firstListed || sent <= m.clockAt || l.fleet.isUnclear(host, m.Service) {
			continue
		}
		m.missingLists++
		if m.missingLists >= maxMissingLists || sent > m.firstListed+registrationLag && l.fleet.showsEnd(host, m.Service, m.ID) {
			l.markDead(m, "no instance runs it any more")
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

// memberOn returns the executor on an instance, or nil if none is known to live.
func (l *Leader) memberOn(in model.Instance) *member {
	if m := l.byID[in.Executor]; m != nil && m.Contact != execs.Dead {
		return m
	}
	return nil
}

func (l *Leader) instanceViews() map[string]maint.Instance {
	out := make(map[string]maint.Instance, len(l.fleet.instances))
	for name, in := range l.fleet.instances {
		view := maint.Instance{Instance: in, Standby: l.isStandby(in.Pool), Free: l.fleet.operations[name] == nil}
		if m := l.memberOn(in); m != nil {
			for r := range l.tracker.RunsOn(m.Key) {
				if r.Task.Step.LongRunning {
					view.LongRunning++
				} else {
					view.BusyCores += r.Task.Step.Reservation().Cores
				}
			}
			if m.Draining {
				view.Free = false
			}
		}
		out[name] = view
	}
	return out
}
