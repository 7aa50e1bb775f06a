// Package assign decides which waiting task starts on which executor. It answers the
// load of queues that in turn ask several times what their pool holds: work that can
// still meet its objective goes before work that is late, and begun jobs before new
// ones.
package assign

import (
	"cmp"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/crew"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Start is one task to start. Members of a gang share an attempt above 0.
type Start struct {
	Task    *book.Task
	Member  *crew.Member
	Attempt int
}

// class is the order in which kinds of work get room.
type class uint8

const (
	// lasting work earns all the time that it is at work.
	longRunning class = iota
	// rescued jobs are late and would be lost if they waited for much longer. Only so many
	// are rescued that the timely ones keep most of the room.
	promoted
	// timely jobs can still meet their objective.
	timely
	// late jobs can't, and still end while their callers have use for them.
	late
	// lost jobs end too late for that. They are accepted, so they are done in the end.
	expired
)

// usefulFor is how many times its objective a job may take until its caller has no use
// for it any more, as the operators count.
const usefulFactor = 3

const (
	// rescueWithin is how soon a late job must start to be of use when it is rescued: about
	// a run time, in which room becomes free with certainty.
	promoteWithin = 700 * time.Millisecond
	// rescueShare is the share of a pool's cores that rescued jobs may take: with more of
	// it, a flood turns timely jobs into late ones to no gain.
	promoteShare = 0.25
)

// rank is the place of a job in the order of its service.
type rank struct {
	job      *book.Job
	class    class
	priority int
	begun    bool
	// laxity is how long the job can wait and meet its objective, or be of use if it can't
	// meet that.
	laxity time.Duration
}

// chain returns the estimated time of the longest chain of steps: of all, or of those
// that are not done.
func longestChain(o *book.Occurrence, all bool) time.Duration {
	var longest time.Duration
	var few [8]time.Duration
	ends := few[:]
	if len(o.Steps) > len(few) {
		ends = make([]time.Duration, len(o.Steps))
	}
	for i, s := range o.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		if all || s.Left > 0 && !s.Lasts {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// laxities returns how long an occurrence can wait and be in time, and how long it can
// wait and be of use.
func laxities(o *book.Occurrence, q *model.Queue, wall time.Duration) (inTime, ofUse time.Duration) {
	from := o.Job.Accepted
	if o.Due > 0 {
		from = o.Due
	}
	objective := time.Duration(q.Slack*float64(longestChain(o, true))) + q.Objective
	left := from - wall - longestChain(o, false)
	return left + objective, left + usefulFactor*objective
}

func rankOf(j *book.Job, q *model.Queue, wall time.Duration) rank {
	r := rank{job: j, class: late, priority: q.Priority, begun: j.HasBegun()}
	if j.Work.Lasts() {
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

// Order puts jobs in the order in which they get room, in a pool with so many cores, in
// thousandths.
func Order(jobs []*book.Job, rules func(*book.Job) *model.Queue, cores int64, wall time.Duration) []*book.Job {
	ranks := make([]rank, 0, len(jobs))
	for _, j := range jobs {
		ranks = append(ranks, rankOf(j, rules(j), wall))
	}
	slices.SortFunc(ranks, compareRanks)
	if promoteUrgent(ranks, int64(promoteShare*float64(cores))) {
		slices.SortFunc(ranks, compareRanks)
	}
	out := make([]*book.Job, len(ranks))
	for i, r := range ranks {
		out[i] = r.job
	}
	return out
}

// Rarity says how rare the labels are that work needs: for each of them the share of
// the instances without it.
type Rarity map[string]float64

// Of returns the rarity of the rarest of some labels.
func (r Rarity) Of(labels []string) float64 {
	most := 0.0
	for _, label := range labels {
		most = max(most, r[label])
	}
	return most
}

// rescue moves late jobs that would be lost soon before the timely ones, as far as they
// take no more than so many cores. It says whether there were any.
func promoteUrgent(ranks []rank, cores int64) bool {
	any := false
	for i := range ranks {
		r := &ranks[i]
		if r.class != late || r.laxity > promoteWithin {
			continue
		}
		if cores -= neededCores(r.job); cores < 0 {
			break
		}
		r.class, any = promoted, true
	}
	return any
}

// asks returns the cores of the tasks of a job that run or could start.
func neededCores(j *book.Job) int64 {
	var sum int64
	for _, o := range j.Open {
		for _, s := range o.Steps {
			if s.IsReady() {
				sum += int64(s.Left) * s.Room().Cores
			}
		}
	}
	return sum
}

// Plan returns the tasks of ordered jobs of a service to start now, best first, at most
// limit. allowed says whether an executor may run a step.
func Plan(jobs []*book.Job, members []*crew.Member, allowed func(*book.Step, *crew.Member) bool, rare Rarity, now time.Duration, limit int) []Start {
	p := plan{now: now, limit: limit, allowed: allowed}
	for _, m := range members {
		if m.Takes(now) {
			p.slots = append(p.slots, &slot{m: m, free: m.Free(), rarity: rare.Of(m.Labels)})
		}
	}
	p.all = slices.Clone(p.slots)
	for _, j := range jobs {
		if j.IsOver() {
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

// slot is an executor with the room that the plan has left.
type slot struct {
	m      *crew.Member
	free   model.Amount
	rarity float64
}

type plan struct {
	now     time.Duration
	limit   int
	allowed func(*book.Step, *crew.Member) bool
	slots   []*slot
	// all are the slots before any was reserved.
	all []*slot
	out []Start
	// tight are needs for which no executor has room: room only shrinks in a round, so what
	// needs as much is passed over without a look at the executors. In a flood that is most
	// of the backlog.
	unfit []model.Amount
}

// mostTight bounds the needs that are remembered.
const maxUnfit = 16

// isTight says whether no executor has room for a need, as far as that is known.
func (p *plan) isUnfit(need model.Amount) bool {
	return slices.ContainsFunc(p.unfit, func(t model.Amount) bool { return t.Within(need) })
}

// noteTight remembers that no executor has room for a need.
func (p *plan) recordUnfit(need model.Amount) {
	p.unfit = slices.DeleteFunc(p.unfit, func(t model.Amount) bool { return need.Within(t) })
	if len(p.unfit) < maxUnfit {
		p.unfit = append(p.unfit, need)
	}
}

// step places the waiting tasks of a step as far as there is room.
func (p *plan) placeStep(s *book.Step) {
	if s.Gang {
		p.placeGang(s)
		return
	}
	var on map[string]int
	if s.Spread > 0 {
		on = runsByExecutor(s)
	}
	for _, t := range s.Tasks {
		if !t.IsWaiting() || p.now < t.NotBefore {
			continue
		}
		if len(p.out) >= p.limit {
			return
		}
		sl := p.bestSlot(s, t, on)
		if sl == nil && s.Lasts {
			p.reserve(s, on)
			continue
		}
		if sl == nil {
			if len(t.Avoided) == 0 {
				// The other tasks of the step need as much.
				return
			}
			continue
		}
		p.placeTask(sl, s, t, on, 0)
	}
}

// reserve keeps an executor for a task from work that is less urgent. Otherwise smaller
// tasks take each core that becomes free, for as long as there are any. It takes the one
// with the most room among those where the task fits once that work has ended.
func (p *plan) reserve(s *book.Step, on map[string]int) {
	best := -1
	need := s.Room()
	for i, sl := range p.slots {
		if !canHost(s, sl.m, on) {
			continue
		}
		if best < 0 || need.Share(sl.free) < need.Share(p.slots[best].free) {
			best = i
		}
	}
	if best >= 0 {
		p.slots = slices.Delete(p.slots, best, best+1)
	}
}

func (p *plan) placeTask(sl *slot, s *book.Step, t *book.Task, on map[string]int, attempt int) {
	sl.free = sl.free.Minus(s.Room())
	if on != nil {
		on[sl.m.Key]++
	}
	p.out = append(p.out, Start{t, sl.m, attempt})
}

// gang places all members of a gang or none.
func (p *plan) placeGang(s *book.Step) {
	attempt := 0
	for _, t := range s.Tasks {
		if !t.IsWaiting() || p.now < t.NotBefore {
			return
		}
		attempt = max(attempt, t.Attempt)
	}
	if len(p.out)+len(s.Tasks) > max(p.limit, len(s.Tasks)) {
		return
	}
	saved := make([]model.Amount, len(p.slots))
	for i, sl := range p.slots {
		saved[i] = sl.free
	}
	n, tight := len(p.out), slices.Clone(p.unfit)
	on := runsByExecutor(s)
	for _, t := range s.Tasks {
		sl := p.bestSlot(s, t, on)
		if sl == nil {
			p.out, p.unfit = p.out[:n], tight
			for i, sl := range p.slots {
				sl.free = saved[i]
			}
			return
		}
		p.placeTask(sl, s, t, on, attempt+1)
	}
}

// spread counts the tasks of a step on each executor.
func runsByExecutor(s *book.Step) map[string]int {
	on := map[string]int{}
	for _, t := range s.Tasks {
		for _, r := range t.Runs {
			on[r.Executor]++
		}
	}
	return on
}

// Weights of an executor's choice, as shares of its free room after the start.
const (
	// farWeight is what another rack than the data's costs: such a run takes 1.5 times
	// as long, which is worse than any packing.
	otherRackWeight = 10.0
	// slowWeight is for each multiple of the usual run time.
	slownessWeight = 2.0
	// rareWeight keeps work that needs no label from executors with one that other work
	// needs: it outweighs any packing where a quarter of the instances or fewer have it.
	rareLabelWeight = 1.4
)

// hasOther says whether a task can run on an executor where it did not fail. It waits
// for room there: another failure may be its last.
func (p *plan) hasAlternative(s *book.Step, t *book.Task, on map[string]int) bool {
	return slices.ContainsFunc(p.all, func(sl *slot) bool {
		return !slices.Contains(t.Avoided, sl.m.Key) && canHost(s, sl.m, on)
	})
}

// HasPlace says whether a task that lasts can run on one of some executors, beside those
// where its step has as many as it may.
func HasPlace(t *book.Task, members []*crew.Member, now time.Duration) bool {
	on := runsByExecutor(t.Step)
	return slices.ContainsFunc(members, func(m *crew.Member) bool { return m.Takes(now) && canHost(t.Step, m, on) })
}

// suits says whether an executor can run a task of a step once work that does not last
// has ended there.
func canHost(s *book.Step, m *crew.Member, on map[string]int) bool {
	return m.HasLabel(s.Label) && (s.Spread == 0 || on[m.Key] < s.Spread) && s.Room().Within(m.Capacity.Minus(m.Lasting))
}

// best returns the executor for a task, or nil if there is no room.
func (p *plan) bestSlot(s *book.Step, t *book.Task, on map[string]int) *slot {
	var best *slot
	var least float64
	need := s.Room()
	if p.isUnfit(need) {
		return nil
	}
	room := false
	for _, sl := range p.slots {
		if !need.Within(sl.free) {
			continue
		}
		room = true
		if !canHost(s, sl.m, on) {
			continue
		}
		if !p.allowed(s, sl.m) || slices.Contains(t.Avoided, sl.m.Key) && p.hasAlternative(s, t, on) {
			continue
		}
		cost := sl.free.Minus(need).Share(sl.m.Capacity)
		if s.Lasts {
			// Work that serves shares what its room does not show, so it is spread.
			cost = -cost
		}
		if s.Rack != "" && s.Rack != sl.m.Rack {
			cost += otherRackWeight
		}
		if s.Label == "" {
			cost += rareLabelWeight * sl.rarity
		}
		cost += slownessWeight * max(sl.m.Slow-1, 0)
		if best == nil || cost < least {
			best, least = sl, cost
		}
	}
	if !room {
		p.recordUnfit(need)
	}
	return best
}
