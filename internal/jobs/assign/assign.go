// Package assign decides which waiting task starts on which executor. It is built for queues whose
// bursts exceed the capacity of their pool several times: jobs that can still meet their objective
// go before late ones, and jobs that have begun before new ones.
package assign

import (
	"cmp"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Start is a task to start on an executor. Members of a gang share an attempt above 0; 0 stands for
// the task's next attempt.
type Start struct {
	Task    *track.Task
	Member  *execs.Member
	Attempt int
}

// class is the class of a job; lower classes get capacity first.
type class uint8

const (
	// longRunning jobs are of use for as long as they run.
	longRunning class = iota
	// promoted jobs are late and would soon end too late to be of use. Their number is limited so
	// that timely jobs keep most of the capacity.
	promoted
	// timely jobs can still meet their objective.
	timely
	// late jobs can't meet their objective but can still end while their callers need the result.
	late
	// excess jobs are beyond the rate that their account is owed. They go behind late jobs, which are owed
	// and still of use to their callers, and are never promoted.
	excessTimely
	excessLate
	// expired jobs will end too late for that. They were accepted, so they still run.
	expired
)

// usefulFactor is the multiple of a job's objective after which its result is of no use any more,
// by the operators' definition.
const usefulFactor = 3

const (
	// promoteWithin is the laxity up to which a late job is promoted: it must start within that
	// time to be of use. It is about one run time, in which some capacity is certain to become
	// free.
	promoteWithin = 700 * time.Millisecond
	// promoteShare is the share of a pool's cores that promoted jobs may use. With more, a burst
	// makes timely jobs late and nothing is gained.
	promoteShare = 0.25
)

// rank holds what determines the order of a job within its service.
type rank struct {
	job   *track.Job
	class class
	// above is set if the job's account uses clearly more than its fair share of the pool.
	above    bool
	priority int
	begun    bool
	// laxity is how long the job can wait and still meet its objective or, if it can't, be of use.
	// For long-running jobs it is the time of acceptance.
	laxity time.Duration
}

// laxities returns how long an occurrence can wait and still meet its objective, and how long it
// can wait and still be of use.
func laxities(o *track.Occurrence, q *model.Queue, wall time.Duration) (inTime, ofUse time.Duration) {
	from := o.Job.Accepted
	if o.Due > 0 {
		from = o.Due
	}
	spec := &o.Job.Spec
	chain := spec.LongestChain(func(i int) time.Duration { return spec.Steps[i].Estimate })
	rest := spec.LongestChain(func(i int) time.Duration {
		if s := o.Steps[i]; s.Left == 0 || s.LongRunning {
			return 0
		}
		return spec.Steps[i].Estimate
	})
	objective := time.Duration(q.Slack*float64(chain)) + q.Objective
	left := from - wall - rest
	return left + objective, left + usefulFactor*objective
}

func rankOf(j *track.Job, q *model.Queue, wall time.Duration) rank {
	r := rank{job: j, class: late, priority: q.Priority, begun: j.HasBegun()}
	if j.Spec.IsLongRunning() {
		r.class = longRunning
		r.laxity = j.Accepted
		return r
	}
	var inTime, ofUse time.Duration
	for i, o := range j.Open {
		a, b := laxities(o, q, wall)
		if i == 0 || a < inTime {
			inTime, ofUse = a, b
		}
	}
	switch {
	case inTime >= 0:
		r.class, r.laxity = timely, inTime
	case ofUse >= 0:
		r.class, r.laxity = late, ofUse
	default:
		r.class, r.laxity = expired, ofUse
	}
	return r
}

func compareRanks(a, b rank) int {
	if c := cmp.Compare(a.class, b.class); c != 0 {
		return c
	}
	if a.above != b.above {
		if b.above {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(a.priority, b.priority); c != 0 {
		return c
	}
	if a.begun != b.begun {
		if a.begun {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.laxity, b.laxity), cmp.Compare(a.job.ID, b.job.ID))
}

// Rarity holds for each label that work needs the share of the instances without it, from 0 to 1.
type Rarity map[string]float64

// Of returns the highest rarity of some labels.
func (r Rarity) Of(labels []string) float64 {
	most := 0.0
	for _, label := range labels {
		most = max(most, r[label])
	}
	return most
}

// Plan returns the tasks to start now, best first, for jobs of one service in the given order. It
// returns limit tasks at most, or a single gang that has more members. A nil Allowance limits no
// account.
func Plan(jobs []*track.Job, members []*execs.Member, policy Policy, rarity Rarity, allow Allowance, now time.Duration, limit int, options ...Option) []Start {
	p := plan{now: now, limit: limit, policy: policy, allow: orUnlimited(allow), members: members, pool: execs.NewPool(members)}
	for _, o := range options {
		o(&p)
	}
	for _, m := range members {
		if m.CanAcceptTasks(now) {
			p.slots = append(p.slots, &slot{m: m, free: m.Free(), room: m.Room(), rarity: rarity.Of(m.Labels)})
		}
	}
	p.all = slices.Clone(p.slots)
	for _, j := range jobs {
		if len(p.out) >= limit {
			return p.out
		}
		if j.IsOver() || p.placeProbe(j) {
			continue
		}
		for _, o := range j.Open {
			for _, s := range o.Steps {
				if len(p.out) >= limit || len(p.slots) == 0 {
					return p.out
				}
				if s.IsReady() {
					p.placeStep(s)
				}
			}
		}
	}
	return p.out
}

// slot is an executor with the capacity that the plan has not used.
type slot struct {
	m    *execs.Member
	free model.Amount
	// room is how many more runs a suspect may hold.
	room   int
	rarity float64
}

type plan struct {
	now    time.Duration
	limit  int
	policy Policy
	allow  Allowance
	// members are all executors, and maxWait is the result of patience, 0 until it is computed.
	members []*execs.Member
	maxWait time.Duration
	freed   Freed
	slots   []*slot
	// all are the slots, including reserved ones.
	all []*slot
	out []Start
	// held is set if a task of the step that is being placed was kept away from an executor with capacity. strict is
	// set if tasks are kept away however long that lasts.
	held, strict bool
	// undo are the slots of the gang that is being placed.
	undo []savedSlot
	// pool is the division of the executors. bounded is set if the bounds of suspects apply to boundsOf, the
	// last step for which that was computed.
	pool     execs.Pool
	boundsOf *track.Step
	bounded  bool
	// unfit are amounts for which no executor has enough free capacity. Free capacity only shrinks
	// during a plan, so tasks that need as much or more are skipped without a search. In a burst
	// these are most of the backlog.
	unfit amounts
	// unfitBounded are amounts for which only suspects that hold as many runs as they may have enough. That
	// does not matter to steps to which no bounds apply.
	unfitBounded amounts
}

// placeStep places the waiting tasks of a step while there is capacity.
func (p *plan) placeStep(s *track.Step) {
	p.held = false
	if s.Gang {
		p.placeGang(s)
	} else {
		p.placeTasks(s)
	}
	p.noteHeld(s)
}

// placeTasks places the waiting tasks of a step that is no gang, one by one.
func (p *plan) placeTasks(s *track.Step) {
	var placed map[string]int
	if s.MaxPerExecutor > 0 {
		placed = runsByExecutor(s)
	}
	for _, t := range s.Tasks {
		if !t.IsWaiting() || p.now < t.NotBefore {
			continue
		}
		if len(p.out) >= p.limit || !p.allow.Fits(s) {
			return // the other tasks of the step need as much
		}
		sl := p.bestSlot(s, t, placed)
		if sl == nil && s.LongRunning {
			if p.reserve(s, t, placed) {
				// It counts as a start, or a step would reserve executors for more tasks than its account's limit allows.
				p.allow.Take(s)
			}
			continue
		}
		if sl == nil {
			if len(t.Avoided) == 0 && t.Failures() == 0 {
				// The other tasks of the step need as much, and may start on no other executors.
				return
			}
			continue
		}
		p.placeTask(sl, s, t, placed, 0)
		p.allow.Take(s)
	}
}

func (p *plan) placeTask(sl *slot, s *track.Step, t *track.Task, placed map[string]int, attempt int) {
	sl.free = sl.free.Minus(s.Reservation())
	if usesRoom(s, sl.m, placed) {
		sl.room--
	}
	if placed != nil {
		placed[sl.m.Key]++
	}
	p.out = append(p.out, Start{t, sl.m, attempt})
}

// runsByExecutor counts the runs of a step on each executor.
func runsByExecutor(s *track.Step) map[string]int {
	placed := map[string]int{}
	for _, t := range s.Tasks {
		for _, r := range t.Runs {
			placed[r.Executor]++
		}
	}
	return placed
}

// Weights in the cost of an executor, relative to the share of its capacity that stays free.
const (
	// otherRackWeight is the cost of another rack than that of the data. Such a run takes 1.5 times
	// as long, which is worse than any poor packing.
	otherRackWeight = 10.0
	// slownessWeight is the cost of each multiple of the usual run time.
	slownessWeight = 2.0
	// pastBoundWeight is the cost of a long-running task on a suspect that holds as many runs as it may.
	pastBoundWeight = 10.0
	// flapWeight is the cost of a long-running task on an executor that keeps restarting. The task would
	// be interrupted at each restart, which is worse than any poor spread or slowness.
	flapWeight = 10.0
	// rareLabelWeight keeps work that needs no label off executors with a label that other work
	// needs. It outweighs packing where a quarter of the instances or fewer have the label.
	rareLabelWeight = 1.4
)

// mustAvoid reports whether a task is kept away from an executor because it has failed there.
func (p *plan) mustAvoid(s *track.Step, t *track.Task, m *execs.Member, placed map[string]int) bool {
	return slices.Contains(t.Avoided, m.Key) && (!isRetryDue(t, m, p.now) || p.hasAlternative(s, t, m, placed))
}

// hasAlternative reports whether a task can run on an executor on which it has not failed, other than m.
// The task then waits for capacity there, or for the policy's decision, since another failure may be
// its last. A suspect is no alternative to a sound executor for a task that avoids suspects: it would
// wait for each because of the other.
func (p *plan) hasAlternative(s *track.Step, t *track.Task, m *execs.Member, placed map[string]int) bool {
	onlySound := t.Failures() > 0 && !m.IsSuspect() && p.isBounded(s)
	return slices.ContainsFunc(p.all, func(sl *slot) bool {
		return !(onlySound && sl.m.IsSuspect()) && !slices.Contains(t.Avoided, sl.m.Key) && canHost(s, sl.m, placed) && p.policy(s, sl.m) != Denied
	})
}

// CanPlace reports whether a long-running task can run on one of some executors that the policy has
// approved, besides those that have as many tasks of its step as allowed.
func CanPlace(t *track.Task, members []*execs.Member, policy Policy, now time.Duration) bool {
	placed := runsByExecutor(t.Step)
	return slices.ContainsFunc(members, func(m *execs.Member) bool {
		return m.CanAcceptTasks(now) && canHost(t.Step, m, placed) && policy(t.Step, m) >= Approved
	})
}

// canHost reports whether an executor can run another task of a step once all work there that is not
// long-running has ended, except the placed members of the same gang.
func canHost(s *track.Step, m *execs.Member, placed map[string]int) bool {
	need := s.Reservation()
	if s.Gang {
		need = need.Times(int64(placed[m.Key]) + 1)
	}
	return m.HasLabel(s.Label) && (s.MaxPerExecutor == 0 || placed[m.Key] < s.MaxPerExecutor) && need.FitsIn(m.Capacity.Minus(m.LongRunning))
}

// bestSlot returns the executor for a task, or nil if there is no capacity.
func (p *plan) bestSlot(s *track.Step, t *track.Task, placed map[string]int) *slot {
	// held is the best executor that the task is kept away from.
	var best, held *slot
	var least, leastHeld float64
	need := s.Reservation()
	if !s.LongRunning && p.isUnfit(s, need) {
		return nil
	}
	fitsAny, isFull := false, false // whether any slot has capacity, or only suspects at their bound
	for _, sl := range p.slots {
		if !need.FitsIn(sl.free) {
			continue
		}
		isPastBound := sl.room <= 0 && usesRoom(s, sl.m, placed) && p.isBounded(s)
		isFull, fitsAny = isFull || isPastBound, fitsAny || !isPastBound
		if !canHost(s, sl.m, placed) || p.policy(s, sl.m) != Startable {
			continue
		}
		isAvoided := isPastBound || p.mustAvoid(s, t, sl.m, placed) || p.avoidsSuspect(s, t, sl.m, placed)
		if isAvoided {
			p.held = true
			if !p.mayRelax(s, t, sl.m, isPastBound) {
				continue
			}
		}
		cost := sl.free.Minus(need).Share(sl.m.Capacity)
		if s.LongRunning {
			// Serving tasks compete for resources that are not accounted for, so they are spread
			// out.
			cost = -cost
			if sl.room <= 0 && p.isBounded(s) {
				// The bound is for runs that end, and must not delay the restart of a serving task.
				cost += pastBoundWeight
			}
			if sl.m.Flaps(p.now) {
				cost += flapWeight
			}
		}
		if s.Rack != "" && s.Rack != sl.m.Rack {
			cost += otherRackWeight
		}
		if s.Label == "" {
			cost += rareLabelWeight * sl.rarity
		}
		cost += slownessWeight*max(sl.m.Slowness-1, 0) + p.suspectCost(s, sl.m)
		switch {
		case isAvoided && (held == nil || cost < leastHeld):
			held, leastHeld = sl, cost
		case !isAvoided && (best == nil || cost < least):
			best, least = sl, cost
		}
	}
	switch {
	case fitsAny:
	case isFull:
		p.unfitBounded.add(need)
	default:
		p.unfit.add(need)
	}
	if best == nil {
		return held
	}
	return best
}
