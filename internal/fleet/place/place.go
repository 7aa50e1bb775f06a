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
	// overCores and overMemory are the most that the declared needs on a worker may
	// add up to, as multiples of its size, however little the jobs are known to use.
	overCores, overMemory = 2.0, 1.5
	// urgentShare is the share of the fleet up to which urgent jobs go first and may
	// ask for room. Beyond it a flood of urgent jobs would starve all others.
	urgentShare = 0.8
)

// worker is one worker with what runs on it.
type worker struct {
	Worker
	index int
	// held is what its jobs hold, declared what they declared.
	held, declared Amount
	jobs           map[*job]bool
	waiting        int // jobs that wait for room here
	score          float64
	failed         []*job
	until          time.Duration // end of its quarantine
	parole         bool
	deaf           time.Duration // until when it is not asked to make room
	gone           bool
}

// Placer places the jobs of one fleet.
type Placer struct {
	workers map[string]*worker
	order   []*worker
	tree    *tree
	stale   bool // order and tree must be rebuilt
	teams   map[string]*team
	list    []*team
	jobs    map[string]*job
	waiting []*job
	out     []Action
	sizes   map[Amount]int
	largest Amount
	total   Amount
	urgent  Amount
	seq     uint64
	// epoch counts the events by which resources came free, events holds the last ones.
	epoch  uint64
	events []event
	// fleet counts the changes of workers.
	fleet int
	// idle is set if nothing changed since the queue was last found not to fit.
	idle    bool
	paroles []*worker
	deafs   []*worker
	ranks   ranks // reused by class
	due     alarms
	// backlog is the number of queued urgent jobs.
	backlog int
}

// New returns a Placer without workers, teams and jobs.
func New() *Placer {
	return &Placer{
		workers: make(map[string]*worker),
		teams:   make(map[string]*team),
		jobs:    make(map[string]*job),
		sizes:   make(map[Amount]int),
		stale:   true,
		epoch:   1,
	}
}

// PutTeam adds or changes a team.
func (p *Placer) PutTeam(t Team) {
	x := p.teams[t.Name]
	if x == nil {
		x = &team{kinds: make(map[string]*kind)}
		p.teams[t.Name] = x
		p.list = append(p.list, x)
	}
	x.Team = t
	p.freed(nil, nil)
}

// PutWorker adds or changes a worker. Jobs on a worker that closes keep running.
func (p *Placer) PutWorker(w Worker) {
	x := p.workers[w.Name]
	if x == nil {
		x = &worker{jobs: make(map[*job]bool)}
		p.workers[w.Name] = x
		p.stale = true
	} else {
		p.count(x, -1)
		p.stale = p.stale || x.Size != w.Size
	}
	x.Worker = w
	p.count(x, 1)
	p.fleet++
	p.update(x)
	p.freed(nil, nil)
}

// DropWorker removes a worker for good, after Lost.
func (p *Placer) DropWorker(now time.Duration, name string) {
	x := p.workers[name]
	if x == nil {
		return
	}
	p.Lost(now, name)
	p.count(x, -1)
	x.gone = true
	delete(p.workers, name)
	p.stale = true
}

func (p *Placer) count(w *worker, by int) {
	p.sizes[w.Size] += by
	if p.sizes[w.Size] == 0 {
		delete(p.sizes, w.Size)
	}
	p.largest = Amount{}
	for s := range p.sizes {
		p.largest = p.largest.most(s)
	}
	if by > 0 {
		p.total = p.total.plus(w.Size)
	} else {
		p.total = p.total.minus(w.Size)
	}
}

// rebuild orders the workers so that those with fewer accelerators and cores are
// filled first and the large ones stay free for jobs that need them.
func (p *Placer) rebuild() {
	p.order = p.order[:0]
	for _, w := range p.workers {
		p.order = append(p.order, w)
	}
	slices.SortFunc(p.order, func(a, b *worker) int {
		switch {
		case a.Size.Accelerators != b.Size.Accelerators:
			return int(a.Size.Accelerators - b.Size.Accelerators)
		case a.Size.Cores != b.Size.Cores:
			return int(a.Size.Cores - b.Size.Cores)
		}
		return strings.Compare(a.Name, b.Name)
	})
	p.tree = newTree(len(p.order))
	p.stale = false
	for i, w := range p.order {
		w.index = i
		p.update(w)
	}
}

// update brings the tree up to date with a worker.
func (p *Placer) update(w *worker) {
	if p.stale || w.gone {
		return
	}
	if w.Closed || w.until > 0 || w.parole && len(w.jobs) > 0 {
		p.tree.set(w.index, closed)
		return
	}
	n := node{free: w.free(), bound: w.bound(), drains: w.Drains}
	if n.drains == 0 {
		n.drains = never
	}
	n.room = n.free
	if w.deaf == 0 {
		for j := range w.jobs {
			n.room = n.room.plus(j.yield())
		}
	}
	p.tree.set(w.index, n)
}

func (w *worker) free() Amount { return w.Size.minus(w.held) }

// bound returns how much more may be declared on the worker.
func (w *worker) bound() Amount {
	return Amount{
		Cores:        int64(overCores*float64(w.Size.Cores)) - w.declared.Cores,
		Memory:       int64(overMemory*float64(w.Size.Memory)) - w.declared.Memory,
		Accelerators: w.Size.Accelerators - w.declared.Accelerators,
	}
}

// Submit queues a job. It returns a *DuplicateError, *UnknownTeamError, *NeverFits or
// *OverQuota; the job is not queued then and will not run.
func (p *Placer) Submit(j Job) error {
	if p.jobs[j.Name] != nil {
		return &DuplicateError{j.Name}
	}
	t := p.teams[j.Team]
	if t == nil {
		return &UnknownTeamError{j.Name, j.Team}
	}
	if !j.Need.within(t.Quota) {
		return &OverQuota{j.Name, j.Team, j.Need, t.Quota}
	}
	if err := p.fitsEver(&j); err != nil {
		return err
	}
	p.seq++
	x := &job{Job: j, team: t, seq: p.seq, kind: t.kinds[j.Kind]}
	if x.kind == nil {
		x.kind = &kind{}
		t.kinds[j.Kind] = x.kind
	}
	p.jobs[j.Name] = x
	p.enqueue(x)
	return nil
}

// fitsEver returns a *NeverFits if no worker, closed ones included, is large enough.
func (p *Placer) fitsEver(j *Job) error {
	if len(p.sizes) == 0 {
		return nil
	}
	var best Amount
	gap := 0.0
	for s := range p.sizes {
		if j.Need.within(s) {
			return nil
		}
		if g := j.Need.share(s); best == (Amount{}) || g < gap || g == gap && best.within(s) {
			best, gap = s, g
		}
	}
	return &NeverFits{j.Name, j.Need, best}
}

func (p *Placer) enqueue(j *job) {
	j.worker = nil
	j.held = Amount{}
	j.pending = false
	j.throttled = false
	j.team.push(j)
	p.counted(j, 1)
	p.alarm(j)
	p.idle = false
}

// Cancel cancels jobs. Queued ones are gone at once; for running ones, the next
// actions ask their workers to stop them. Unknown names are ignored.
func (p *Placer) Cancel(names ...string) {
	for _, n := range names {
		j := p.jobs[n]
		if j == nil || j.cancelled || j.status == ended {
			continue
		}
		j.cancelled = true
		switch j.status {
		case queued:
			p.counted(j, -1)
			j.lot.drop()
			delete(p.jobs, n)
		case waiting:
			p.leave(j)
			p.release(j)
			delete(p.jobs, n)
		case running:
			p.ask(j, Stop, "")
		case offered, ended:
		}
	}
}

// Forget removes a non-idempotent job that ended. Until then its name is refused, so
// that it does not run twice.
func (p *Placer) Forget(name string) {
	if j := p.jobs[name]; j != nil && j.status == ended {
		delete(p.jobs, name)
	}
}

// take gives a job the resources of a worker.
func (p *Placer) take(j *job, w *worker, need Amount) {
	j.worker = w
	j.held = need
	w.jobs[j] = true
	w.held = w.held.plus(need)
	w.declared = w.declared.plus(j.Need)
	j.team.held = j.team.held.plus(need)
	if j.Urgency == Urgent {
		p.urgent = p.urgent.plus(need)
	}
	p.update(w)
}

// resize changes what a job holds.
func (p *Placer) resize(j *job, to Amount) {
	by := to.minus(j.held)
	j.held = to
	j.worker.held = j.worker.held.plus(by)
	j.team.held = j.team.held.plus(by)
	if j.Urgency == Urgent {
		p.urgent = p.urgent.plus(by)
	}
	p.update(j.worker)
}

// release returns what a job holds.
func (p *Placer) release(j *job) {
	w := j.worker
	p.resize(j, Amount{})
	delete(w.jobs, j)
	w.declared = w.declared.minus(j.Need)
	p.update(w)
	p.restore(w)
	p.freed(w, j.team)
}

// end takes a job out of the queue for good.
func (p *Placer) end(j *job, r Reason) {
	j.status = ended
	j.worker = nil
	if j.Idempotent || j.neverRan(r) {
		delete(p.jobs, j.Name)
	}
	if r != nil {
		p.out = append(p.out, &Ended{j.Name, r})
	}
}

// neverRan says whether a job that ends for a reason was certainly never started.
func (j *job) neverRan(r Reason) bool {
	switch r.(type) {
	case *TooLate, *NeverFits, *OverQuota:
		return j.token == 0
	}
	return false
}

// pop removes the head of a lot.
func (p *Placer) pop(l *lot) *job {
	j := heap.Pop(l).(*job)
	p.counted(j, -1)
	if l.shape.retry > 0 && len(l.jobs) == 0 {
		j.team.classes[j.Urgency].remove(l)
	}
	return j
}

// counted keeps the numbers of queued jobs.
func (p *Placer) counted(j *job, by int) {
	j.team.classes[j.Urgency].count += by
	if j.Urgency == Urgent {
		p.backlog += by
	}
}

// sorted returns the worker's jobs in the order of their submission.
func (w *worker) sorted() []*job {
	return slices.SortedFunc(maps.Keys(w.jobs), func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
}
