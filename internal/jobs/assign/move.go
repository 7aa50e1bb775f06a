package assign

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

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
