package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform/fake"
)

const (
	// maxAttempts is the number of failed runs of a task after which its job fails.
	maxAttempts = 3
	// maxRuntime bounds the time that a task runs.
	maxRuntime = 900 * time.Millisecond
	// longShare, hopelessShare and flakyShare are the shares of jobs, in percent, with tasks that run
	// until they are cancelled, with a task that always fails, and with tasks that fail once.
	longShare, hopelessShare, flakyShare = 4, 4, 10
	// packedTasks is the largest number of tasks of a step that fits on one executor, and packedRuntime
	// bounds the time that they run.
	packedTasks, packedRuntime = 12, 2 * time.Second
)

// job is a job that callers submit.
type job struct {
	id, path string
	service  string // the one whose executors run the tasks
	spec     model.JobSpec
	body     []byte
	tasks    int
	account  int // set before the job is submitted
	// index is the task that always fails in a hopeless job.
	long, hopeless, flaky bool
	runtime               time.Duration

	mu         sync.Mutex
	plans      map[string]int // number of starts planned for each task
	submitted  time.Duration  // when it was first sent
	accepted   time.Duration  // when it was first accepted, 0 for never
	uncertain  bool           // an attempt to submit it was not answered, or by neither yes nor no
	refusals   int
	underway   int // attempts to submit it that are in flight
	cancelSent bool
	cancelled  time.Duration // when its cancel was accepted, 0 for never
	final      string        // the final state that was shown
}

// newJob draws a job. Its first step has no other before it, and each further one follows the one
// before. With packs, half of the jobs have steps of many small tasks.
func newJob(rng *rand.Rand, packs bool) *job {
	j := &job{
		id: fmt.Sprintf("%016x", rng.Uint64()), plans: map[string]int{},
		runtime: 30*time.Millisecond + time.Duration(rng.Int64N(int64(maxRuntime))),
	}
	kind := rng.IntN(100)
	j.long = kind < longShare
	j.hopeless = !j.long && kind < longShare+hopelessShare
	j.flaky = !j.long && !j.hopeless && kind < longShare+hopelessShare+flakyShare
	packed := packs && !j.long && rng.IntN(2) == 0
	steps := 1 + rng.IntN(3)
	if packed {
		steps = 1 + rng.IntN(2)
		j.runtime += time.Duration(rng.Int64N(int64(packedRuntime)))
	}
	if j.long {
		steps = 1
	}
	for i := range steps {
		s := model.Step{
			Count: 1 + rng.IntN(4), Need: model.Amount{Cores: int64(500 * (1 + rng.IntN(5))), Memory: 64},
			Estimate: j.runtime, LongRunning: j.long, MaxUnavailable: -1,
		}
		if j.long {
			s.Count, s.Need.Cores = 1+rng.IntN(2), 500
		}
		if packed {
			s.Count, s.Need.Cores = 2+rng.IntN(packedTasks-1), 500
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.tasks += s.Count
		j.spec.Steps = append(j.spec.Steps, s)
	}
	j.spec.Payload = j.id
	j.body = fake.EncodeJob(j.spec)
	q := queues[rng.IntN(len(queues))]
	j.path, j.service = q.Prefix+j.id, q.Service
	return j
}

// plan returns how a run of a task goes.
func (j *job) plan(task string) fake.RunPlan {
	t, ok := model.ParseTaskID(task)
	if !ok || t.Step >= len(j.spec.Steps) || t.Index >= j.spec.Steps[t.Step].Count {
		return fake.RunPlan{Result: "failed", Unasked: true}
	}
	s := j.spec.Steps[t.Step]
	p := fake.RunPlan{Duration: j.runtime, Result: "done", Service: j.service, Account: accountName(j.account), Cores: int(s.Need.Cores), MaxFailures: maxAttempts}
	for _, before := range s.After {
		for i := range j.spec.Steps[before].Count {
			p.After = append(p.After, model.TaskID{Job: j.id, Step: before, Index: i}.String())
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.plans[task]++
	switch {
	case j.long:
		p.Result, p.MaxFailures = "", 0
	case j.hopeless && t.Step == 0 && t.Index == 0, j.flaky && j.plans[task] == 1:
		p.Result = "failed"
	}
	return p
}

// beginSubmit records an attempt to submit the job, until recordSubmit.
func (j *job) beginSubmit() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.underway++
}

// recordSubmit records the answer to an attempt to submit the job, 0 for none.
func (j *job) recordSubmit(status int, now time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.underway--
	switch {
	case status/100 == 2:
		if j.accepted == 0 {
			j.accepted = now
		}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusNotFound:
		j.refusals++
	default:
		j.uncertain = true
	}
}

// recordCancel records a cancel that is sent, or its acceptance.
func (j *job) recordCancel(accepted bool, now time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancelSent = true
	if accepted && j.cancelled == 0 {
		j.cancelled = now
	}
}

// view is a copy of what callers know of a job.
type view struct {
	accepted, cancelled time.Duration
	cancelSent, refused bool
	final               string
}

func (j *job) view() view {
	j.mu.Lock()
	defer j.mu.Unlock()
	return view{
		j.accepted, j.cancelled, j.cancelSent,
		j.refusals > 0 && j.underway == 0 && !j.uncertain && j.accepted == 0, j.final,
	}
}

// recordFinal records the final state that was shown.
func (j *job) recordFinal(state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.final = state
}

// registry holds all jobs.
type registry struct {
	mu   sync.Mutex
	byID map[string]*job
	all  []*job
	// limit returns what the running tasks of an account may take, 0 for no limit. It may be nil.
	limit func(account int) int
}

func (g *registry) add(j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.byID[j.id] = j
	g.all = append(g.all, j)
}

// list returns all jobs in the order of their submission.
func (g *registry) list() []*job {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.all[:len(g.all):len(g.all)]
}

// plan returns how a run of a task of any job goes.
func (g *registry) plan(task, spec string) fake.RunPlan {
	g.mu.Lock()
	j := g.byID[spec]
	g.mu.Unlock()
	if j == nil || !strings.HasPrefix(task, j.id+".") {
		return fake.RunPlan{Result: "failed", Unasked: true}
	}
	p := j.plan(task)
	if g.limit != nil {
		p.AccountCores = g.limit(j.account)
	}
	return p
}
