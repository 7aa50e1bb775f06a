package assign

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// maxMoveSlowness is the slowness up to which slow runs continue on an executor.
const maxMoveSlowness = 1.25

// ChooseMoves returns those of some slow runs of one service that can be continued now on other
// executors, limit at most. The caller has placed all waiting work.
func ChooseMoves(slow []*track.Run, members []*execs.Member, policy Policy, rarity Rarity, now time.Duration, limit int) []*track.Run {
	p := plan{now: now, limit: limit, policy: policy}
	p.addSoundSlots(members, rarity)
	var out []*track.Run
	for _, r := range slow {
		if len(out) >= limit {
			break
		}
		placed := runsByExecutor(r.Task.Step)
		if sl := p.bestSlotExcept(r.Executor, r.Task, placed); sl != nil {
			p.placeTask(sl, r.Task.Step, r.Task, placed, 0)
			out = append(out, r)
		}
	}
	return out
}

// addSoundSlots adds the executors that are neither suspects nor slow.
func (p *plan) addSoundSlots(members []*execs.Member, rarity Rarity) {
	for _, m := range members {
		if m.CanAcceptTasks(p.now) && !m.IsSuspect() && m.Slowness <= maxMoveSlowness {
			p.slots = append(p.slots, &slot{m: m, free: m.Free(), room: m.Room(), rarity: rarity.Of(m.Labels)})
		}
	}
	p.all = p.slots
}

// bestSlotExcept returns the best slot for a task on another executor than one, or nil.
func (p *plan) bestSlotExcept(executor string, t *track.Task, placed map[string]int) *slot {
	others := plan{now: p.now, policy: p.policy, all: p.all, strict: true}
	for _, sl := range p.slots {
		if sl.m.Key != executor {
			others.slots = append(others.slots, sl)
		}
	}
	return others.bestSlot(t.Step, t, placed)
}
