package leader

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
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

// check checks answers and starts within 3 s. The limits are checked with each start.
func (w *simWorld) check() {
	for _, j := range w.jobs {
		select {
		case a := <-j.reply:
			j.isAccepted = a.Verdict == relay.Stored
			assert.Assert(w.t, a.Verdict != relay.Limited || !strings.Contains(a.Cause, "share") || !j.isOwed, "%s of %s is within its weight", j.id, j.account)
		default:
		}
		j.waited += simTick
		if !w.mustStart(j) {
			j.waited = 0
		}
		assert.Assert(w.t, j.waited <= 3*time.Second, "%s waits: %+v", j.id, j.spec)
	}
}

// mustStart reports whether a job has to start something within 3 s. Only the first executor of each service
// counts, which gets no faults. It is not the turn of jobs whose account's limit has room reserved for a gang.
func (w *simWorld) mustStart(j *simJob) bool {
	t := w.l.tracker.Job(j.id)
	if j.hasBegun || t == nil || t.IsOver() || t.IsUnresolved() {
		return false
	}
	s := &j.spec.Steps[0]
	need := s.Need.Cores
	if s.Gang {
		need *= int64(s.Count)
	}
	if limit := w.limits[j.account]; limit > 0 {
		hasGang := slices.ContainsFunc(w.jobs, func(o *simJob) bool {
			t := w.l.tracker.Job(o.id)
			return o != j && o.account == j.account && o.spec.Steps[0].Gang && t != nil && !t.IsOver() && hasWaitingTasks(t)
		})
		if 2*w.l.quota.ledger.Used(j.account).Cores >= limit || 2*need > limit || hasGang {
			return false
		}
	}
	inUse, total, hasRoom := int64(0), int64(0), false
	for _, x := range w.execs {
		if x.service != t.Queue {
			continue
		}
		here := int64(0)
		for _, r := range slices.Concat(x.runs, x.orders) {
			here += r.step.Reservation().Cores
		}
		inUse, total = inUse+here, total+simCapacity
		if m := w.l.byID[x.id]; x.id[1] == '0' && m.CanAcceptTasks(w.l.now) && !m.IsSuspect() && simCapacity-here >= 2*need {
			hasRoom = true
		}
	}
	return hasRoom && 2*inUse < total
}

// simSteps are the steps of jobs by kind, with the cores of a task to be filled in.
var simSteps = map[string]string{
	"small":  `{"count":1,"cpu":%d,"estimate_ms":400},{"count":2,"cpu":1000,"estimate_ms":300,"after":[0]}`,
	"wide":   `{"count":12,"cpu":%d,"estimate_ms":700}`,
	"heavy":  `{"count":8,"cpu":%d,"estimate_ms":4000}`,
	"gang":   `{"count":3,"cpu":%d,"estimate_ms":800,"gang":true}`,
	"lasts":  `{"count":2,"cpu":%d,"estimate_ms":800,"long_running":true}`,
	"saves":  `{"count":2,"cpu":%d,"estimate_ms":3000,"checkpoints":true}`,
	"spare":  `{"count":2,"cpu":%d,"mem_mb":10,"estimate_ms":800,"fills":true}`,
	"poison": `{"count":4,"cpu":%d,"estimate_ms":500}`, "poison 2": `{"count":1,"cpu":%d,"estimate_ms":500}`,
}

func (w *simWorld) submit(account, kind string) {
	if len(w.jobs) >= 80 {
		return
	}
	body := fmt.Appendf(nil, `{"phases":[`+simSteps[kind]+`]}`, rapid.Int64Range(1, 2).Draw(w.t, "cores")*1000)
	j := &simJob{id: fmt.Sprintf("job%02d", len(w.jobs)), account: account, isPoison: strings.HasPrefix(kind, "poison"), reply: make(chan relay.Answer, 1)}
	j.spec, _ = platform.DecodeJob(body)
	// Once an account has exceeded its weight, any of its submissions may have taken its tokens.
	j.isOwed = account != "" && w.missing[account]+1 <= max(w.weights[account], 5)
	if w.missing[account]++; !j.isOwed {
		w.missing[account] = math.Inf(1)
	}
	w.jobs, w.byName[j.id] = append(w.jobs, j), j
	s := relay.Submission{ID: j.id, Queue: rapid.SampledFrom([]string{"s", "t"}).Draw(w.t, "queue"), Account: account, Body: body}
	ev := &submitRequest{Submission: s, ctx: context.Background(), bytes: bodyBytes(body), reply: j.reply}
	w.l.checkBody(ev.ctx, ev)
	w.l.onSubmit(ev)
}

func (w *simWorld) cancel(j *simJob) {
	w.l.onCancel(&cancelRequest{id: j.id, reply: make(chan relay.Verdict, 1)})
}

// settle ends all faults but cuts, restores the limits and cancels the jobs that last. All others must end.
func (w *simWorld) settle() {
	w.resetLimits()
	for _, x := range w.execs {
		if x.draining = false; x.fault != "cut" {
			x.fault = ""
		}
		w.l.applyReport(x.report())
	}
	w.pass(time.Second)
	for _, j := range w.jobs {
		if j.spec.IsLongRunning() {
			w.cancel(j)
		}
	}
	for n := 0; n < 900 && len(w.l.tracker.Active()) > 0; n++ {
		w.pass(time.Second)
	}
	for _, j := range w.jobs {
		t := w.l.tracker.Job(j.id)
		assert.Assert(w.t, !j.isAccepted || t != nil && t.IsOver(), "%s of %q does not end: %+v", j.id, j.account, j.spec)
	}
}

// Guards against a part of the leader's decisions that bypasses another one, as the tasks of poison jobs did that
// exceeded the limits of accounts: an account above its limit, a task that runs twice, an accepted job that
// never ends, a job that waits although there is room, and a refusal of an account within its weight.
func TestPartsOfTheDecisionPathInteract(t *testing.T) {
	o, client, version := newOrders(t), platform.NewClient(platform.Settings{}), int64(0)
	defer client.Close()
	rapid.Check(t, func(t *rapid.T) {
		w := newSimWorld(t, o, client, &version)
		account, kind := rapid.SampledFrom([]string{"a", "a", "b", "c", ""}), rapid.SampledFrom(slices.Sorted(maps.Keys(simSteps)))
		executor := func(t *rapid.T) *simExec {
			return w.byID[rapid.SampledFrom([]string{"s1", "s2", "t1", "t2"}).Draw(t, "executor")]
		}
		submit := func(t *rapid.T) { w.submit(account.Draw(t, "account"), kind.Draw(t, "kind")) }
		pass := func(t *rapid.T) {
			w.pass(rapid.SampledFrom([]time.Duration{simTick, 3 * simTick, time.Second, 6 * time.Second}).Draw(t, "time"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": submit, "submit 2": submit, "submit 3": submit, "pass": pass, "pass 2": pass, "pass 3": pass,
			"flood": func(t *rapid.T) {
				a, k := account.Draw(t, "account"), kind.Draw(t, "kind")
				for range 10 {
					w.submit(a, k)
				}
			},
			"cancel": func(t *rapid.T) {
				if len(w.jobs) > 0 {
					w.cancel(rapid.SampledFrom(w.jobs).Draw(t, "job"))
				}
			},
			"configure": func(t *rapid.T) {
				a := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
				former := w.weights[a]
				w.weights[a] = rapid.SampledFrom([]float64{0.5, 1, 10}).Draw(t, "weight")
				if w.weights[a] < former {
					w.lowered[a] = true
				}
				if w.limits[a] > 0 {
					w.limits[a] = rapid.SampledFrom([]int64{2000, 6000, 12000}).Draw(t, "limit")
				}
				w.configure()
			},
			"fault": func(t *rapid.T) {
				executor(t).fault = rapid.SampledFrom([]string{"", "cut", "mute", "late", "sick", "grey", "stalled", "slow"}).Draw(t, "fault")
			},
			"drain": func(t *rapid.T) {
				x := executor(t)
				x.draining = !x.draining
				w.l.applyReport(x.report())
			},
			"restart": func(t *rapid.T) {
				x := executor(t)
				if x.restart(w.now); rapid.Bool().Draw(t, "is reported") {
					w.l.applyReport(x.report())
				}
			},
			"take over": func(t *rapid.T) {
				w.l = nil // the store may store its last append
				for a := range w.lowered {
					w.missing[a] = math.Inf(1) // the next leader counts jobs at the present weight (docs/design/shares.md)
				}
				w.pass(rapid.SampledFrom([]time.Duration{700 * time.Millisecond, 2 * time.Second}).Draw(t, "gap"))
				w.lead()
			},
		})
		w.settle()
	})
}
