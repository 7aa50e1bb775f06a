package assign

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// maxCopyShare is the share of a pool's cores that copies of late runs may use, as in LATE
	// (Zaharia et al., 2008).
	maxCopyShare = 0.1
	// maxCopySlowness is the slowness up to which an executor gets copies.
	maxCopySlowness = 1.25
)

// PlaceCopies returns the starts of second runs for late runs of one service, in their order. The
// caller has placed all waiting work. used are the cores that copies use already, in thousandths.
func PlaceCopies(late []*track.Run, members []*execs.Member, policy Policy, rarity Rarity, now time.Duration, used int64, limit int) []Start {
	p := plan{now: now, limit: limit, policy: policy}
	budget := -used
	for _, m := range members {
		budget += int64(maxCopyShare * float64(m.Capacity.Cores))
	}
	p.addSoundSlots(members, rarity)
	// The copies of a step count with its runs against its limit per executor.
	placed := map[*track.Step]map[string]int{}
	for _, r := range late {
		t := r.Task
		need := t.Step.Reservation()
		if len(p.out) >= limit || !execs.AllowsCopy(t) || need.Cores > budget {
			continue
		}
		if placed[t.Step] == nil {
			placed[t.Step] = runsByExecutor(t.Step)
		}
		if sl := p.bestSlotExcept(r.Executor, t, placed[t.Step]); sl != nil {
			budget -= need.Cores
			p.placeTask(sl, t.Step, t, placed[t.Step], 0)
		}
	}
	return p.out
}

// addSoundSlots adds the executors that are neither suspects nor slow.
func (p *plan) addSoundSlots(members []*execs.Member, rarity Rarity) {
	for _, m := range members {
		if m.CanAcceptTasks(p.now) && !m.IsSuspect() && m.Slowness <= maxCopySlowness {
			p.slots = append(p.slots, &slot{m: m, free: m.Free(), room: m.Room(), rarity: rarity.Of(m.Labels)})
		}
	}
	p.all = p.slots
}

// bestSlotExcept returns the best slot for a task on another executor than one, or nil.
func (p *plan) bestSlotExcept(executor string, t *track.Task, placed map[string]int) *slot {
	others := plan{now: p.now, policy: p.policy, all: p.all}
	for _, sl := range p.slots {
		if sl.m.Key != executor {
			others.slots = append(others.slots, sl)
		}
	}
	return others.bestSlot(t.Step, t, placed)
}
