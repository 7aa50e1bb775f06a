package leader

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/orders"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

// simJob is a submitted job.
type simJob struct {
	id, account          string
	spec                 model.JobSpec
	isPoison, isOwed     bool // isOwed: within its account's weight
	isAccepted, hasBegun bool
	reply                chan relay.Answer
	waited               time.Duration // under the condition of a start within 3 s
}

// simWorld drives leaders, one after the other, against executors and a store in simulated time. The calls of a
// leader return at once, and their events are delivered when the simulation says.
type simWorld struct {
	t       *rapid.T
	Deps            // of the leaders
	l       *Leader // nil while there is none
	calls   *simCalls
	execs   []*simExec
	byID    map[string]*simExec
	jobs    []*simJob
	byName  map[string]*simJob
	records map[string][]byte
	due     []simEvent
	held    int // events of calls that are not delivered yet
	token   uint64
	version *int64
	limits  map[string]int64
	weights map[string]float64
	missing map[string]float64 // tokens that the bucket of an account lacks
	lowered map[string]bool    // accounts whose weight was lowered
	done    map[model.TaskID]bool
	now     time.Duration
}

type simEvent struct {
	at time.Duration
	do func()
}

func newSimWorld(t *rapid.T, o *orders.Orders, client *platform.Client, version *int64) *simWorld {
	clk := clock.NewFake(time.Unix(1e6, 0))
	clk.Advance(20 * time.Second)
	w := &simWorld{
		t: t, version: version, now: clk.Now(), byID: map[string]*simExec{}, byName: map[string]*simJob{}, records: map[string][]byte{}, missing: map[string]float64{},
		lowered: map[string]bool{}, done: map[model.TaskID]bool{}, calls: &simCalls{made: map[string]simCall{}}, weights: map[string]float64{"a": 2, "b": 1, "c": 0.5},
	}
	w.Deps = Deps{Client: client, Execs: w.calls, Orders: o, Clock: clk, Log: zerolog.Nop(), Meters: NewMeters(tally.NoopScope), LastRenewal: func() time.Duration { return w.now }}
	w.Settings.Memory, w.Settings.Store.RecordBytes, w.Settings.Store.CallBytes = 4096, 1<<20, 1<<20
	w.Settings.Bounds.MaxLease, w.Settings.Bounds.Status = simMaxLease, time.Hour
	for _, id := range []string{"s0", "s1", "s2", "t0", "t1", "t2"} {
		x := &simExec{id: id, service: id[:1]}
		x.restart(0)
		w.execs, w.byID[id] = append(w.execs, x), x
	}
	w.resetLimits()
	w.lead()
	return w
}

func (w *simWorld) resetLimits() {
	w.limits = map[string]int64{"a": 12000, "b": 6000, "c": 0}
	w.configure()
}

func (w *simWorld) configure() {
	*w.version += 3
	var tenants []string
	for _, a := range slices.Sorted(maps.Keys(w.limits)) {
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"api_keys":[%q],"weight":%g,"max_count":{"cpu":%d}}`, a, "key-"+a, w.weights[a], w.limits[a]))
	}
	queue := `{"name":%q,"service":%q,"max_attempts":5,"slack_factor":1.6,"target_runtime_ms":600}`
	assert.NilError(w.t, w.Orders.SetConfig(fmt.Appendf(nil, `{"version":%d,"routes":[`+queue+`,`+queue+`],"services":[{"name":"s"},{"name":"t"}],"tenants":[%s]}`,
		*w.version, "s", "s", "t", "t", strings.Join(tenants, ","))))
}

// lead has a new leader load what is stored.
func (w *simWorld) lead() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // the client makes no call
	w.token++
	w.held = 0
	l := newLeader(ctx, w.Deps, w.token)
	l.readClocks()
	l.executorTail.busy, l.leaderlessTail.busy, l.fleet.listInFlight, l.fleet.nextRound = true, true, true, 1<<62
	ev := loaded{loader: track.NewLoader(platform.DecodeJob), leaderlessReadAt: l.now}
	for k, v := range w.records {
		assert.NilError(w.t, ev.loader.Add(k, v))
	}
	for _, x := range w.execs {
		ev.executors = append(ev.executors, x.report())
	}
	l.onLoaded(ev)
	w.l = l
}

func (w *simWorld) after(d time.Duration, do func()) { w.due = append(w.due, simEvent{w.now + d, do}) }

// answer delivers an event later to the leader that made the call.
func (w *simWorld) answer(l *Leader, d time.Duration, event func() event) {
	w.after(d, func() {
		if ev := event(); w.l == l {
			w.held--
			l.handle(ev)
		}
	})
}

// collect takes the calls that the leader has made, in a fixed order.
func (w *simWorld) collect() {
	events := map[string]event{}
	for n := w.l.calls - w.held; n > 0; n-- {
		w.held++
		switch ev := (<-w.l.events).(type) {
		case startedRun:
			events[callKey("start", ev.m.ID, ev.run.Task.ID, ev.run.Attempt)] = ev
		case polled:
			events[callKey("poll", ev.m.ID, model.TaskID{}, 0)] = ev
		case appended:
			events["append"] = ev
		default:
			w.answer(w.l, simTick, func() event { return ev })
		}
	}
	made := w.calls.made
	w.calls.made = map[string]simCall{}
	for _, key := range slices.Sorted(maps.Keys(made)) {
		x := w.byID[strings.Fields(key)[1]]
		if c := made[key]; strings.HasPrefix(key, "stop") {
			w.after(x.delay(), func() {
				if i := slices.IndexFunc(x.runs, func(r *simRun) bool { return r.run == c.run && r.attempt == c.attempt }); i >= 0 && x.fault != "cut" {
					x.end(x.runs[i], model.EndedStopped)
				}
			})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(events)) {
		switch ev := events[key].(type) {
		case startedRun:
			w.start(ev, made[key])
		case polled:
			w.poll(ev, made[key])
		case appended:
			w.append(w.l, ev)
		}
	}
}

func (w *simWorld) start(ev startedRun, c simCall) {
	x, j := w.byID[ev.m.ID], w.byName[c.run.Job]
	r := &simRun{simCall: c, job: j, step: &j.spec.Steps[c.run.Step], sent: w.now}
	fmt.Sscan(c.saved, &r.percent)
	j.hasBegun = true
	ev.err = errNoAnswer
	if x.fault == "cut" {
		w.answer(w.l, startTimeout, func() event { return ev })
		return
	}
	x.orders = append(x.orders, r)
	limit := w.limits[j.account]
	assert.Assert(w.t, limit == 0 || w.used(j.account) <= limit, "account %s uses %d of %d with %v", j.account, w.used(j.account), limit, c.run)
	err := errNoAnswer
	w.after(x.delay(), func() {
		i := slices.Index(x.orders, r)
		if i < 0 {
			return // it was lost with a restart
		}
		x.orders = slices.Delete(x.orders, i, i+1)
		if err = x.admits(r, w.now); err != nil {
			return
		}
		assert.Assert(w.t, !w.done[r.run], "%v starts again", r.run)
		for _, y := range w.execs {
			assert.Assert(w.t, !slices.ContainsFunc(y.runs, func(o *simRun) bool { return o.run == r.run }), "%v runs on %s and %s", r.run, x.id, y.id)
		}
		r.deadline = min(r.deadline, w.now-x.born+simMaxLease)
		x.runs = append(x.runs, r)
	})
	w.answer(w.l, min(x.delay(), startTimeout), func() event {
		if x.fault != "mute" {
			ev.err, ev.clock = err, w.now-x.born
		}
		return ev
	})
}

func (w *simWorld) poll(ev polled, c simCall) {
	x, l, until := w.byID[ev.m.ID], w.l, w.now+c.wait
	ev.err = errNoAnswer
	if x.fault == "cut" {
		w.answer(l, immediatePollTimeout, func() event { return ev })
		return
	}
	done, err := x.poll(c, w.now)
	for _, id := range done {
		w.done[id] = true
	}
	var wait func()
	wait = func() {
		if len(x.ends) == 0 && err == nil && w.now < until {
			w.after(simTick, wait)
			return
		}
		w.answer(l, 0, func() event {
			if ev.list, ev.err = x.list(w.now), err; x.fault == "cut" || x.fault == "mute" {
				ev.err = errNoAnswer
			}
			return ev
		})
	}
	w.after(simTick, wait)
}

// append stores the records of an append, unless another leader leads by then.
func (w *simWorld) append(l *Leader, ev appended) {
	w.answer(l, simTick, func() event {
		records := slices.Clone(ev.batch.Records)
		for _, a := range ev.accepts {
			records = append(records, track.JobRecord(a.ID, a.settings, a.Account, a.Body, a.accepted))
		}
		for _, c := range ev.cancels {
			records = append(records, track.CancelRecord(c.id, c.at))
		}
		for _, r := range records {
			if w.l == l || w.l == nil {
				w.records[r.Key] = r.Value
			}
		}
		ev.err, ev.last = nil, l.store.seq+1
		return ev
	})
}

// used returns the cores of an account's runs and of the orders that can still be carried out.
func (w *simWorld) used(account string) int64 {
	sum := int64(0)
	for _, x := range w.execs {
		open := slices.DeleteFunc(slices.Clone(x.orders), func(r *simRun) bool { return x.admits(r, w.now) != nil })
		for _, r := range append(open, x.runs...) {
			if r.job.account == account {
				sum += r.step.Need.Cores
			}
		}
	}
	return sum
}

func (w *simWorld) pass(d time.Duration) {
	for until := w.now + d; w.now < until; {
		w.Clock.(*clock.Fake).Advance(simTick)
		w.now += simTick
		members := map[string]int{}
		for _, x := range w.execs {
			for _, r := range x.runs {
				if x.fault != "stalled" {
					members[r.gang()]++
				}
			}
		}
		for _, x := range w.execs {
			x.advance(w.now, members)
		}
		if w.l != nil {
			w.l.readClocks()
		}
		due := w.due
		w.due = nil
		for _, ev := range due {
			if ev.at <= w.now {
				ev.do()
			} else {
				w.due = append(w.due, ev)
			}
		}
		for a, weight := range w.weights {
			w.missing[a] = max(w.missing[a]-weight*simTick.Seconds(), 0)
		}
		if w.l != nil {
			w.act()
			w.check()
		}
	}
}

// act has the leader act. Services are planned one after the other, and all in a fixed order.
func (w *simWorld) act() {
	l := w.l
	l.onTick()
	for _, slow := range l.slow {
		slices.SortFunc(slow, func(a, b *track.Run) int { return cmp.Compare(a.Task.ID.String(), b.Task.ID.String()) })
	}
	l.leaderlessTail.sent = l.now
	l.onLeaderless(leaderlessRead{})
	l.leaderlessTail.busy = true
	for _, s := range l.quota.ledger.Freed() {
		l.planDue[s] = true
	}
	next := map[string]bool{}
	for _, s := range append(slices.Sorted(maps.Keys(l.planDue)), "") {
		clear(l.planDue)
		if s != "" {
			l.planDue[s] = true
		}
		l.byService, l.nextPlan = nil, 0
		for _, service := range []string{"s", "t"} {
			slices.SortFunc(l.executorsOf(service), func(a, b *member) int { return cmp.Compare(a.Key, b.Key) })
		}
		l.act()
		maps.Copy(next, l.planDue)
		w.collect()
	}
	l.planDue = next
}
