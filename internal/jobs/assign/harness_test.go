package assign

import (
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/quota"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// harness simulates a service with executors on which runs take exactly their estimates.
type harness struct {
	t       *testing.T
	tracker *track.Tracker
	members []*execs.Member
	byKey   map[string]*execs.Member
	queues  map[string]*model.Queue
	now     time.Duration
	ends    map[*track.Run]time.Duration
	ended   map[string]time.Duration // when each job ended, by ID
	rarity  Rarity
	policy  Policy
	// ledger and config limit the accounts, nil for no limit. account is that of the jobs to accept.
	ledger  *quota.Ledger
	config  *model.Config
	account string
	// order replaces OrderJobs if it is set.
	order func([]*track.Job) []*track.Job
	// fails decides whether a run fails; nil if none does. failed and failedJobs count them
	// and the jobs that they end.
	fails              func(*track.Run) bool
	failed, failedJobs int
	// takes returns the run time; nil if it is the estimate.
	takes func(*track.Run) time.Duration
	// detects is set if failures are evidence against jobs.
	detects bool
}

func newHarness(t *testing.T, executors int, room model.Amount) *harness {
	h := &harness{
		t: t, tracker: track.New(0), policy: Unrestricted, byKey: map[string]*execs.Member{}, ends: map[*track.Run]time.Duration{}, ended: map[string]time.Duration{},
		queues: map[string]*model.Queue{"q": {Name: "q", Service: "s", Attempts: 2, Slack: 1.6, Objective: 600 * time.Millisecond}},
	}
	for i := range executors {
		key := string(rune('a' + i))
		m := &execs.Member{
			Executor: model.Executor{ID: key, Service: "s", Capacity: room}, Key: key, Contact: execs.Live, Listed: true, Slowness: 1,
		}
		h.members = append(h.members, m)
		h.byKey[key] = m
	}
	return h
}

func (h *harness) settings(j *track.Job) *model.Queue { return h.queues[j.Queue] }

func (h *harness) cores() int64 {
	var sum int64
	for _, m := range h.members {
		sum += m.Capacity.Cores
	}
	return sum
}

func (h *harness) accept(id string, steps ...model.Step) *track.Job {
	for i := range steps {
		steps[i].Count = max(steps[i].Count, 1)
	}
	return h.tracker.Accept(id, *h.queues["q"], model.JobSpec{Steps: steps, Repeats: 1, Account: h.account}, h.now, h.now)
}

// plan starts the planned tasks and returns them.
func (h *harness) plan() []Start {
	var jobs []*track.Job
	for _, j := range h.tracker.Active() {
		jobs = append(jobs, j)
	}
	order := OrderJobs(jobs, h.settings, h.cores(), h.now)
	if h.order != nil {
		order = h.order(jobs)
	}
	var starts []Start
	if h.ledger == nil {
		starts = Plan(order, h.members, h.policy, h.rarity, nil, h.now, 64, WithFreed(h.freed))
	} else {
		round := h.ledger.Begin(h.config, "s", h.now)
		starts = Plan(order, h.members, h.policy, h.rarity, round, h.now, 64, WithFreed(h.freed))
		round.End()
	}
	for _, s := range starts {
		run := h.tracker.BeginRun(s.Task, s.Member.Key, s.Attempt, h.now)
		h.tracker.ConfirmRun(run, h.now)
		s.Member.AddRun(s.Task.Step)
		if s.Member.Used.Cores > s.Member.Capacity.Cores || s.Member.Used.Memory > s.Member.Capacity.Memory {
			h.t.Fatalf("executor %s exceeds its capacity", s.Member.Key)
		}
		if !s.Task.Step.LongRunning {
			h.ends[run] = h.now + s.Task.Step.Estimate
			if h.takes != nil {
				h.ends[run] = h.now + h.takes(run)
			}
		}
	}
	return starts
}

// freed expects each run to take its estimate.
func (h *harness) freed(m *execs.Member, within time.Duration) model.Amount {
	return execs.Freed(h.tracker.RunsOn(m.Key), func(r *track.Run) time.Duration { return r.Task.Step.Estimate }, within, h.now)
}

// advance moves the time forward and plans after each end of a run.
func (h *harness) advance(d time.Duration) {
	until := h.now + d
	for {
		var next *track.Run
		for run, at := range h.ends {
			if at <= until && (next == nil || at < h.ends[next] || at == h.ends[next] && run.Task.ID.String() < next.Task.ID.String()) {
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

func (h *harness) finish(run *track.Run) {
	delete(h.ends, run)
	m := h.byKey[run.Executor]
	m.RemoveRun(run.Task.Step)
	id := run.Task.ID
	if h.fails != nil && h.fails(run) {
		h.failed++
		h.tracker.ApplyEnd(run.Executor, model.End{Task: id, Attempt: run.Attempt, Ending: model.EndedFailed}, false, h.now)
		j := run.Task.Step.Occ.Job
		if h.detects && m.Blame(j.ID) {
			j.RecordFailureOn(m.Key)
		}
		if !j.FailsEverywhere() {
			m.RecordFailure(j.ID, h.now)
		}
		for _, key := range j.FailedOn() {
			if j.FailsEverywhere() {
				h.byKey[key].Exonerate(j.ID)
			}
		}
		if h.tracker.ConfirmFailure(id, run.Attempt, h.now) {
			h.ended[id.Job] = h.now
			h.failedJobs++
		}
		return
	}
	m.RecordSuccess(run.OrderedAt)
	for _, other := range run.Task.Runs {
		if !run.Task.Step.Gang && other != run {
			delete(h.ends, other)
			h.byKey[other.Executor].RemoveRun(other.Task.Step)
			defer h.tracker.RemoveRun(other)
		}
	}
	if h.tracker.ApplyEnd(run.Executor, model.End{Task: id, Attempt: run.Attempt, Ending: model.EndedDone}, false, h.now).Over {
		h.ended[id.Job] = h.now
	}
}

func cores(n int64) model.Amount { return model.Amount{Cores: n * 1000} }
