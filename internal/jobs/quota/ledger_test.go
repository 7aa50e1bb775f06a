package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

func cores(n int64) model.Amount { return model.Amount{Cores: n * 1000, Memory: n * 100} }

// executorCapacity is the capacity of each simulated executor.
var executorCapacity = cores(8)

// order is a start order that may be carried out, or a run.
type order struct {
	id       model.TaskID
	attempt  int
	executor string
	account  string
	step     *model.Step
	running  bool
	orphan   bool // its executor has listed it, and no job needs it
}

// world simulates leaders, one after the other, with the executors and their true runs.
type world struct {
	t       *rapid.T
	ledger  *Ledger
	tracker *track.Tracker
	config  *model.Config
	records map[string][]byte
	specs   []model.JobSpec
	orders  []*order
	unread  map[string][]model.End // ends that an executor has not listed yet
	listed  map[string]bool
	base    int
	now     time.Duration
}

var executors = []string{"x", "y", "z"}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, records: map[string][]byte{}, unread: map[string][]model.End{}, listed: map[string]bool{}}
	w.config = model.Config{Accounts: []model.Account{{Name: "a", Limit: cores(10)}, {Name: "b", Limit: model.Amount{Cores: 5000}}, {Name: "c"}}}.Indexed()
	w.takeOver()
	for _, x := range executors {
		w.list(x)
	}
	return w
}

// takeOver replaces the leader by one that loads what was stored.
func (w *world) takeOver() {
	l := track.NewLoader(func(b []byte) (model.JobSpec, error) { return w.specs[b[0]], nil })
	for k, v := range w.records {
		assert.NilError(w.t, l.Add(k, v))
	}
	w.base += 64
	w.ledger = &Ledger{}
	w.tracker, _ = l.Load(w.base, w.now, w.now, track.WithUsage(w.ledger))
	clear(w.listed)
	for _, o := range w.orders {
		o.orphan = false
	}
}

func (w *world) store() {
	batch := w.tracker.TakeChanges()
	for _, r := range batch.Records {
		w.records[r.Key] = r.Value
	}
	w.tracker.MarkStored(batch)
}

func (w *world) accept() {
	if len(w.specs) == 200 {
		return
	}
	s := model.Step{
		Count: rapid.IntRange(1, 5).Draw(w.t, "count"), Need: cores(rapid.Int64Range(1, 3).Draw(w.t, "need")),
		BestEffort: rapid.IntRange(0, 3).Draw(w.t, "best effort") == 0, LongRunning: rapid.IntRange(0, 3).Draw(w.t, "long") == 0,
		Gang: rapid.IntRange(0, 3).Draw(w.t, "gang") == 0,
	}
	spec := model.JobSpec{Repeats: 1, Steps: []model.Step{s}, Account: rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(w.t, "account")}
	id := fmt.Sprint("job", len(w.specs))
	r := track.JobRecord(id, model.Queue{Name: "q"}, spec.Account, []byte{byte(len(w.specs))}, w.now)
	w.specs, w.records[r.Key] = append(w.specs, spec), r.Value
	w.tracker.Accept(id, model.Queue{Name: "q"}, spec, w.now, w.now)
}

func (w *world) free(x string) model.Amount {
	free := executorCapacity
	for r := range w.tracker.RunsOn(x) {
		free = free.Minus(r.Task.Step.Reservation())
	}
	return free
}

// plan starts tasks as assign.Plan does: a gang as a whole, other tasks one by one.
func (w *world) plan() {
	round := w.ledger.Begin(w.config, "s", w.now)
	var starts []*track.Task
	ids := []string{}
	for id := range w.tracker.Active() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s := w.tracker.Job(id).Open[0].Steps[0]
		if s.Gang {
			if isWhole(s) && round.Fits(s) {
				round.Take(s)
				starts = append(starts, s.Tasks...)
			}
			continue
		}
		for _, t := range s.Tasks {
			if t.IsWaiting() && round.Fits(s) {
				round.Take(s)
				starts = append(starts, t)
			}
		}
	}
	round.End()
	for _, t := range starts {
		for _, x := range executors {
			isFree := !slices.ContainsFunc(w.orders, func(o *order) bool { return o.executor == x && o.orphan })
			if w.listed[x] && isFree && t.Step.Reservation().FitsIn(w.free(x)) {
				r := w.tracker.BeginRun(t, x, 0, w.now)
				w.orders = append(w.orders, &order{id: t.ID, attempt: r.Attempt, executor: x, account: t.Step.Occ.Job.Account, step: t.Step.Step})
				break
			}
		}
	}
}

// withOrder calls f with an order that is carried out, or that is not yet.
func (w *world) withOrder(running bool, f func(*order)) {
	var some []*order
	for _, o := range w.orders {
		if o.running == running {
			some = append(some, o)
		}
	}
	if len(some) > 0 {
		f(rapid.SampledFrom(some).Draw(w.t, "order"))
	}
}

// discard ends an order in truth, and in the tracker if the leader knows the run.
func (w *world) discard(o *order) {
	w.orders = slices.DeleteFunc(w.orders, func(p *order) bool { return p == o })
	if o.orphan {
		w.ledger.Release(o.account, o.step.Need)
	}
	if r := w.tracker.FindRun(o.executor, o.id, o.attempt); r != nil {
		w.tracker.RemoveRun(r)
	}
}

// end ends a run. The members of a gang are done together.
func (w *world) end(o *order) {
	how := rapid.SampledFrom([]model.Ending{model.EndedDone, model.EndedFailed, model.EndedStopped}).Draw(w.t, "ending")
	ending := []*order{o}
	if o.step.Gang && how == model.EndedDone {
		ending = nil
		for _, p := range w.orders {
			if p.id.Job == o.id.Job && p.attempt == o.attempt && p.running {
				ending = append(ending, p)
			}
		}
		if len(ending) < o.step.Count {
			return // members make progress only while all of them run
		}
	}
	for _, o := range ending {
		w.endAs(o, how)
	}
}

func (w *world) endAs(o *order, how model.Ending) {
	e := model.End{Task: o.id, Attempt: o.attempt, Ending: how}
	if !w.listed[o.executor] {
		w.orders = slices.DeleteFunc(w.orders, func(p *order) bool { return p == o })
		w.unread[o.executor] = append(w.unread[o.executor], e)
		return
	}
	if r := w.tracker.FindRun(o.executor, o.id, o.attempt); r != nil {
		w.tracker.ApplyEnd(o.executor, e, false, w.now)
	}
	w.discard(o)
}

// list has an executor list its runs to a new leader. Orders of the former one are void from then on.
func (w *world) list(x string) {
	if w.listed[x] {
		return
	}
	w.listed[x] = true
	for _, e := range w.unread[x] {
		w.tracker.ApplyEnd(x, e, true, w.now)
	}
	delete(w.unread, x)
	w.orders = slices.DeleteFunc(w.orders, func(o *order) bool { return o.executor == x && !o.running })
	for _, o := range w.orders {
		if o.executor != x {
			continue
		}
		if w.tracker.AdoptRun(x, model.Run{Task: o.id, Attempt: o.attempt}, w.now) == nil {
			o.orphan = true
			w.ledger.Charge(o.account, o.step.Need)
		}
	}
	if len(w.listed) == len(executors) {
		w.tracker.ReleaseUnresolved(func(*track.Job) bool { return true }, w.now)
		w.tracker.ForgetLeft()
	}
}

// lose ends an executor with all that runs there.
func (w *world) lose(x string) {
	for _, o := range slices.Clone(w.orders) {
		if o.executor == x {
			w.discard(o)
		}
	}
	delete(w.unread, x)
	w.list(x)
}

// countUnknown follows Leader.countFormerRuns.
func (w *world) countUnknown() {
	capacity := executorCapacity.Times(int64(len(executors) - len(w.listed)))
	amounts := map[string]model.Amount{}
	for account, left := range w.tracker.Unlisted() {
		amounts[account] = left.Bound(capacity)
	}
	w.ledger.SetUnknown(amounts)
}

// check compares the ledger with the runs of the tracker and with what runs in truth.
func (w *world) check(*rapid.T) {
	w.countUnknown()
	held, truth := map[string]model.Amount{}, map[string]model.Amount{}
	for _, x := range executors {
		for r := range w.tracker.RunsOn(x) {
			account := r.Task.Step.Occ.Job.Account
			held[account] = held[account].Plus(r.Task.Step.Need)
		}
	}
	for _, o := range w.orders {
		if o.orphan {
			held[o.account] = held[o.account].Plus(o.step.Need)
		}
		truth[o.account] = truth[o.account].Plus(o.step.Need)
	}
	for _, a := range w.config.Accounts {
		assert.Equal(w.t, w.ledger.of(a.Name).held, held[a.Name], a.Name)
		assert.Assert(w.t, truth[a.Name].FitsIn(w.ledger.Used(a.Name)), "%s uses %v and counts %v", a.Name, truth[a.Name], w.ledger.Used(a.Name))
		assert.Assert(w.t, a.Allows(truth[a.Name]), "%s uses %v", a.Name, truth[a.Name])
	}
}

// Guards against an account that has more running than its limit, or a ledger that drifts from the runs:
// over refusals, orders that are carried out late, unanswered orders, stops, lost executors, executors
// that answer a new leader late, and cancels before a takeover.
func TestLimitHoldsOverGeneratedHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		executor := rapid.SampledFrom(executors)
		t.Repeat(map[string]func(*rapid.T){
			"":            w.check,
			"accept":      func(*rapid.T) { w.accept() },
			"plan":        func(*rapid.T) { w.plan() },
			"plan again":  func(*rapid.T) { w.plan() },
			"carry out":   func(*rapid.T) { w.withOrder(false, func(o *order) { o.running = true }) },
			"carry out 2": func(*rapid.T) { w.withOrder(false, func(o *order) { o.running = true }) },
			"refuse": func(*rapid.T) {
				w.withOrder(false, func(o *order) {
					if w.listed[o.executor] {
						w.discard(o)
					}
				})
			},
			"end":       func(*rapid.T) { w.withOrder(true, w.end) },
			"list":      func(t *rapid.T) { w.list(executor.Draw(t, "executor")) },
			"lose":      func(t *rapid.T) { w.lose(executor.Draw(t, "executor")) },
			"store":     func(*rapid.T) { w.store() },
			"take over": func(*rapid.T) { w.takeOver() },
			"pass":      func(*rapid.T) { w.now += 300 * time.Millisecond },
			"cancel": func(t *rapid.T) {
				if len(w.specs) > 0 {
					id := fmt.Sprint("job", rapid.IntRange(0, len(w.specs)-1).Draw(t, "job"))
					r := track.CancelRecord(id, w.now)
					w.records[r.Key] = r.Value
					w.tracker.Cancel(id, w.now)
				}
			},
		})
	})
}

// Guards against tasks that wait for the next regular round although the part of their account's usage that is
// not known has fallen, but not to zero.
func TestFallOfUnknownUsageFreesServices(t *testing.T) {
	c, steps := newAccounts(1)
	ledger := &Ledger{}
	for _, unknown := range []int64{2, 1, 0} {
		ledger.SetUnknown(map[string]model.Amount{"account-0000": cores(unknown)})
		assert.Equal(t, len(ledger.Freed()) == 1, unknown < 2)
		ledger.Charge("account-0000", cores(2))
		assert.Assert(t, !ledger.Begin(c, "s", 0).Fits(steps[0]))
		ledger.accounts["account-0000"].held = model.Amount{}
	}
	ledger.SetUnknown(nil)
	assert.Equal(t, len(ledger.Freed()), 0, "unknown usage has not changed")
}
