package place

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// coresOvercommit and memoryOvercommit limit the sum of the declared needs on a
	// worker, as multiples of its size, however little the jobs are expected to use.
	coresOvercommit, memoryOvercommit = 2.0, 1.5
	// urgentShareLimit is the share of the fleet up to which urgent jobs are placed first
	// and may preempt others. Above it, a flood of urgent jobs would starve all others.
	urgentShareLimit = 0.8
)

// worker is one worker with its jobs and its failure record.
type worker struct {
	Worker
	index int
	// allocated is the sum of the resources allocated to its jobs, declared the sum of
	// their declared needs.
	allocated, declared Amount
	jobs                map[*job]bool
	waiting             int // jobs that wait for preempted resources here
	failureScore        float64
	failedJobs          []*job
	quarantinedUntil    time.Duration // 0 if not quarantined
	onProbation         bool
	unresponsiveUntil   time.Duration // no preemption here until then, 0 for none
	removed             bool
}

// Placer places the jobs of one fleet.
type Placer struct {
	workers         map[string]*worker
	fillOrder       []*worker
	tree            *tree
	treeStale       bool // fillOrder and tree must be rebuilt
	teams           map[string]*team
	teamList        []*team
	jobs            map[string]*job
	waiting         []*job
	actions         []Action
	sizes           map[Amount]int
	maxSize         Amount
	totalSize       Amount
	urgentAllocated Amount
	seq             uint64
	// epoch counts the events that freed resources. events holds the latest of them.
	epoch  uint64
	events []event
	// fleetVersion counts the changes of workers.
	fleetVersion int
	// idle is set while nothing has changed since no queued job could be placed.
	idle         bool
	quarantined  []*worker
	unresponsive []*worker
	ranks        teamRanks // buffer of placeFromClass
	timers       timerHeap
	// urgentQueued is the number of queued urgent jobs.
	urgentQueued int
}

// New returns a Placer without workers, teams and jobs.
func New() *Placer {
	return &Placer{
		workers:   make(map[string]*worker),
		teams:     make(map[string]*team),
		jobs:      make(map[string]*job),
		sizes:     make(map[Amount]int),
		treeStale: true,
		epoch:     1,
	}
}

// PutTeam adds or changes a team.
func (p *Placer) PutTeam(t Team) {
	x := p.teams[t.Name]
	if x == nil {
		x = &team{kinds: make(map[string]*kindStats)}
		p.teams[t.Name] = x
		p.teamList = append(p.teamList, x)
	}
	x.Team = t
	p.recordFreed(nil, nil)
}

// PutWorker adds or changes a worker. Jobs on a worker that closes keep running.
func (p *Placer) PutWorker(w Worker) {
	x := p.workers[w.Name]
	if x == nil {
		x = &worker{jobs: make(map[*job]bool)}
		p.workers[w.Name] = x
		p.treeStale = true
	} else {
		p.countWorker(x, -1)
		p.treeStale = p.treeStale || x.Size != w.Size
	}
	x.Worker = w
	p.countWorker(x, 1)
	p.fleetVersion++
	p.updateTree(x)
	p.recordFreed(nil, nil)
}

// DropWorker removes a worker. Its jobs are handled as by ReportLost.
func (p *Placer) DropWorker(now time.Duration, name string) {
	x := p.workers[name]
	if x == nil {
		return
	}
	p.ReportLost(now, name)
	p.countWorker(x, -1)
	x.removed = true
	delete(p.workers, name)
	p.treeStale = true
}

func (p *Placer) countWorker(w *worker, by int) {
	p.sizes[w.Size] += by
	if p.sizes[w.Size] == 0 {
		delete(p.sizes, w.Size)
	}
	p.maxSize = Amount{}
	for s := range p.sizes {
		p.maxSize = p.maxSize.max(s)
	}
	if by > 0 {
		p.totalSize = p.totalSize.plus(w.Size)
	} else {
		p.totalSize = p.totalSize.minus(w.Size)
	}
}

// rebuild sorts the workers so that those with fewer accelerators and cores are filled
// first. The large ones stay free for jobs that need them.
func (p *Placer) rebuild() {
	p.fillOrder = p.fillOrder[:0]
	for _, w := range p.workers {
		p.fillOrder = append(p.fillOrder, w)
	}
	slices.SortFunc(p.fillOrder, func(a, b *worker) int {
		switch {
		case a.Size.Accelerators != b.Size.Accelerators:
			return int(a.Size.Accelerators - b.Size.Accelerators)
		case a.Size.Cores != b.Size.Cores:
			return int(a.Size.Cores - b.Size.Cores)
		}
		return strings.Compare(a.Name, b.Name)
	})
	p.tree = newTree(len(p.fillOrder))
	p.treeStale = false
	for i, w := range p.fillOrder {
		w.index = i
		p.updateTree(w)
	}
}

// updateTree updates the tree's node of a worker.
func (p *Placer) updateTree(w *worker) {
	if p.treeStale || w.removed {
		return
	}
	if w.Closed || w.quarantinedUntil > 0 || w.onProbation && len(w.jobs) > 0 {
		p.tree.set(w.index, closedNode)
		return
	}
	n := node{free: w.free(), declarable: w.declarable(), drainsAt: w.DrainsAt}
	if n.drainsAt == 0 {
		n.drainsAt = never
	}
	n.preemptible = n.free
	if w.unresponsiveUntil == 0 {
		for j := range w.jobs {
			n.preemptible = n.preemptible.plus(j.preemptible())
		}
	}
	p.tree.set(w.index, n)
}

func (w *worker) free() Amount { return w.Size.minus(w.allocated) }

// declarable returns how much more need may be declared on the worker.
func (w *worker) declarable() Amount {
	return Amount{
		Cores:        int64(coresOvercommit*float64(w.Size.Cores)) - w.declared.Cores,
		Memory:       int64(memoryOvercommit*float64(w.Size.Memory)) - w.declared.Memory,
		Accelerators: w.Size.Accelerators - w.declared.Accelerators,
	}
}

// Submit queues a job. On a *DuplicateError, *UnknownTeamError, *NeverFits or *OverQuota
// the job is not queued.
func (p *Placer) Submit(j Job) error {
	if p.jobs[j.Name] != nil {
		return &DuplicateError{j.Name}
	}
	t := p.teams[j.Team]
	if t == nil {
		return &UnknownTeamError{j.Name, j.Team}
	}
	if !j.Need.fitsIn(t.Quota) {
		return &OverQuota{j.Name, j.Team, j.Need, t.Quota}
	}
	if err := p.checkSize(&j); err != nil {
		return err
	}
	p.seq++
	x := &job{Job: j, team: t, seq: p.seq, stats: t.kinds[j.Kind]}
	if x.stats == nil {
		x.stats = &kindStats{}
		t.kinds[j.Kind] = x.stats
	}
	p.jobs[j.Name] = x
	p.enqueue(x)
	return nil
}

// checkSize returns a *NeverFits if no worker, closed ones included, is large enough.
func (p *Placer) checkSize(j *Job) error {
	if len(p.sizes) == 0 {
		return nil
	}
	var best Amount
	gap := 0.0
	for s := range p.sizes {
		if j.Need.fitsIn(s) {
			return nil
		}
		if g := j.Need.dominantShare(s); best == (Amount{}) || g < gap || g == gap && best.fitsIn(s) {
			best, gap = s, g
		}
	}
	return &NeverFits{j.Name, j.Need, best}
}

func (p *Placer) enqueue(j *job) {
	j.worker = nil
	j.allocated = Amount{}
	j.commandPending = false
	j.throttled = false
	j.team.push(j)
	p.countQueued(j, 1)
	p.setTimer(j)
	p.idle = false
}

// Cancel cancels jobs. Queued jobs are removed at once. For running jobs, the next actions
// order their workers to stop them. Unknown names are ignored.
func (p *Placer) Cancel(names ...string) {
	for _, n := range names {
		j := p.jobs[n]
		if j == nil || j.cancelled || j.status == ended {
			continue
		}
		j.cancelled = true
		switch j.status {
		case queued:
			p.countQueued(j, -1)
			j.bucket.noteRemoved()
			delete(p.jobs, n)
		case waiting:
			p.stopWaiting(j)
			p.release(j)
			delete(p.jobs, n)
		case running:
			p.command(j, Stop, "")
		case offered, ended:
		}
	}
}

// Forget removes a non-idempotent job that ended. Until then, Submit refuses its name, so
// that the job does not run twice.
func (p *Placer) Forget(name string) {
	if j := p.jobs[name]; j != nil && j.status == ended {
		delete(p.jobs, name)
	}
}

// allocate assigns resources of a worker to a job.
func (p *Placer) allocate(j *job, w *worker, need Amount) {
	j.worker = w
	j.allocated = need
	w.jobs[j] = true
	w.allocated = w.allocated.plus(need)
	w.declared = w.declared.plus(j.Need)
	j.team.allocated = j.team.allocated.plus(need)
	if j.Urgency == Urgent {
		p.urgentAllocated = p.urgentAllocated.plus(need)
	}
	p.updateTree(w)
}

// resize changes the allocation of a job.
func (p *Placer) resize(j *job, to Amount) {
	by := to.minus(j.allocated)
	j.allocated = to
	j.worker.allocated = j.worker.allocated.plus(by)
	j.team.allocated = j.team.allocated.plus(by)
	if j.Urgency == Urgent {
		p.urgentAllocated = p.urgentAllocated.plus(by)
	}
	p.updateTree(j.worker)
}

// release frees the allocation of a job.
func (p *Placer) release(j *job) {
	w := j.worker
	p.resize(j, Amount{})
	delete(w.jobs, j)
	w.declared = w.declared.minus(j.Need)
	p.updateTree(w)
	p.endThrottles(w)
	p.recordFreed(w, j.team)
}

// end marks a job as ended. A non-idempotent job that may have run stays known by name
// until Forget. A reason, if given, is reported as an Ended action.
func (p *Placer) end(j *job, r Reason) {
	j.status = ended
	j.worker = nil
	if j.Idempotent || j.neverStarted(r) {
		delete(p.jobs, j.Name)
	}
	if r != nil {
		p.actions = append(p.actions, &Ended{j.Name, r})
	}
}

// neverStarted reports whether a job that ends for reason r was certainly never started.
func (j *job) neverStarted(r Reason) bool {
	switch r.(type) {
	case *DeadlinePassed, *NeverFits, *OverQuota:
		return j.token == 0
	}
	return false
}

// pop removes and returns the head of a bucket.
func (p *Placer) pop(q *bucket) *job {
	j := heap.Pop(q).(*job)
	p.countQueued(j, -1)
	if q.shape.retry > 0 && len(q.jobs) == 0 {
		j.team.queues[j.Urgency].remove(q)
	}
	return j
}

// countQueued adds by to the numbers of queued jobs in j's class.
func (p *Placer) countQueued(j *job, by int) {
	j.team.queues[j.Urgency].count += by
	if j.Urgency == Urgent {
		p.urgentQueued += by
	}
}

// jobsBySubmission returns the worker's jobs in the order of their submission.
func (w *worker) jobsBySubmission() []*job {
	return slices.SortedFunc(maps.Keys(w.jobs), func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
}
