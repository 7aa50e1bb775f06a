package leader

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

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
