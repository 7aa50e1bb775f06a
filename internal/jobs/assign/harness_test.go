package assign

import (
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// harness simulates a service with executors on which runs take exactly their estimates.
type harness struct {
	t       *testing.T
	tracker *book.Book
	members []*crew.Member
	byKey   map[string]*crew.Member
	queues  map[string]*model.Queue
	now     time.Duration
	ends    map[*book.Run]time.Duration
	ended   map[string]time.Duration // when each job ended, by ID
	rarity  Rarity
	// order replaces OrderJobs if it is set.
	order func([]*book.Job) []*book.Job
}

func newHarness(t *testing.T, executors int, room model.Amount) *harness {
	h := &harness{
		t: t, tracker: book.New(0), byKey: map[string]*crew.Member{}, ends: map[*book.Run]time.Duration{}, ended: map[string]time.Duration{},
		queues: map[string]*model.Queue{"q": {Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond}},
	}
	for i := range executors {
		key := string(rune('a' + i))
		m := &crew.Member{
			Executor: model.Executor{ID: key, Service: "s", Capacity: room}, Key: key, Contact: crew.Live, Listed: true, Slow: 1,
		}
		h.members = append(h.members, m)
		h.byKey[key] = m
	}
	return h
}

func (h *harness) settings(j *book.Job) *model.Queue { return h.queues[j.Queue] }

func (h *harness) cores() int64 {
	var sum int64
	for _, m := range h.members {
		sum += m.Capacity.Cores
	}
	return sum
}

func (h *harness) accept(id string, steps ...model.Step) *book.Job {
	for i := range steps {
		steps[i].Count = max(steps[i].Count, 1)
	}
	return h.tracker.Accept(id, *h.queues["q"], model.Work{Steps: steps, Repeats: 1}, h.now, h.now)
}

// plan starts the planned tasks and returns them.
func (h *harness) plan() []Start {
	var jobs []*book.Job
	for _, j := range h.tracker.Active() {
		jobs = append(jobs, j)
	}
	order := Order(jobs, h.settings, h.cores(), h.now)
	if h.order != nil {
		order = h.order(jobs)
	}
	starts := Plan(order, h.members, anywhere, h.rarity, h.now, 64)
	for _, s := range starts {
		run := h.tracker.Begin(s.Task, s.Member.Key, s.Attempt, h.now)
		h.tracker.Confirm(run, h.now)
		s.Member.Add(s.Task.Step)
		if s.Member.Used.Cores > s.Member.Capacity.Cores || s.Member.Used.Memory > s.Member.Capacity.Memory {
			h.t.Fatalf("executor %s exceeds its capacity", s.Member.Key)
		}
		if !s.Task.Step.Lasts {
			h.ends[run] = h.now + s.Task.Step.Estimate
		}
	}
	return starts
}

// advance moves the time forward and plans after each end of a run.
func (h *harness) advance(d time.Duration) {
	until := h.now + d
	for {
		var next *book.Run
		for run, at := range h.ends {
			if at <= until && (next == nil || at < h.ends[next]) {
				next = run
			}
		}
		if next == nil {
			break
		}
		h.now = h.ends[next]
		h.finish(next)
		h.plan()
	}
	h.now = until
}

func (h *harness) finish(run *book.Run) {
	delete(h.ends, run)
	m := h.byKey[run.Executor]
	m.Remove(run.Task.Step)
	id := run.Task.ID
	if h.tracker.End(run.Executor, model.End{Task: id, Attempt: run.Attempt, How: model.EndedDone}, false, h.now).Over {
		h.ended[id.Job] = h.now
	}
}

func cores(n int64) model.Amount { return model.Amount{Cores: n * 1000} }

func anywhere(*book.Step, *crew.Member) bool { return true }
