package assign

import (
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// rig is a service with executors on which runs take as long as their estimates.
type rig struct {
	t       *testing.T
	b       *book.Book
	members []*crew.Member
	byKey   map[string]*crew.Member
	queues  map[string]*model.Queue
	now     time.Duration
	ends    map[*book.Run]time.Duration
	ended   map[string]time.Duration // jobs by id
	rare    Rarity
	// order replaces that of this package.
	order func([]*book.Job) []*book.Job
}

func newRig(t *testing.T, executors int, room model.Amount) *rig {
	r := &rig{
		t: t, b: book.New(0), byKey: map[string]*crew.Member{}, ends: map[*book.Run]time.Duration{}, ended: map[string]time.Duration{},
		queues: map[string]*model.Queue{"q": {Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond}},
	}
	for i := range executors {
		key := string(rune('a' + i))
		m := &crew.Member{
			Executor: model.Executor{ID: key, Service: "s", Capacity: room}, Key: key, Contact: crew.Live, Listed: true, Slow: 1,
		}
		r.members = append(r.members, m)
		r.byKey[key] = m
	}
	return r
}

func (r *rig) rules(j *book.Job) *model.Queue { return r.queues[j.Queue] }

func (r *rig) cores() int64 {
	var sum int64
	for _, m := range r.members {
		sum += m.Capacity.Cores
	}
	return sum
}

func (r *rig) accept(id string, steps ...model.Step) *book.Job {
	for i := range steps {
		steps[i].Count = max(steps[i].Count, 1)
	}
	return r.b.Accept(id, *r.queues["q"], model.Work{Steps: steps, Repeats: 1}, r.now, r.now)
}

// plan starts what the decision says and returns it.
func (r *rig) plan() []Start {
	var jobs []*book.Job
	for _, j := range r.b.Active() {
		jobs = append(jobs, j)
	}
	order := Order(jobs, r.rules, r.cores(), r.now)
	if r.order != nil {
		order = r.order(jobs)
	}
	starts := Plan(order, r.members, anywhere, r.rare, r.now, 64)
	for _, s := range starts {
		run := r.b.Begin(s.Task, s.Member.Key, s.Attempt, r.now)
		r.b.Confirm(run, r.now)
		s.Member.Add(s.Task.Step)
		if s.Member.Used.Cores > s.Member.Capacity.Cores || s.Member.Used.Memory > s.Member.Capacity.Memory {
			r.t.Fatalf("executor %s is over its capacity", s.Member.Key)
		}
		if !s.Task.Step.Lasts {
			r.ends[run] = r.now + s.Task.Step.Estimate
		}
	}
	return starts
}

// advance lets time go on and plans after each end.
func (r *rig) advance(d time.Duration) {
	until := r.now + d
	for {
		var next *book.Run
		for run, at := range r.ends {
			if at <= until && (next == nil || at < r.ends[next]) {
				next = run
			}
		}
		if next == nil {
			break
		}
		r.now = r.ends[next]
		r.finish(next)
		r.plan()
	}
	r.now = until
}

func (r *rig) finish(run *book.Run) {
	delete(r.ends, run)
	m := r.byKey[run.Executor]
	m.Remove(run.Task.Step)
	id := run.Task.ID
	if r.b.End(run.Executor, model.End{Task: id, Attempt: run.Attempt, How: model.EndedDone}, false, r.now).Over {
		r.ended[id.Job] = r.now
	}
}

func cores(n int64) model.Amount { return model.Amount{Cores: n * 1000} }

func anywhere(*book.Step, *crew.Member) bool { return true }
