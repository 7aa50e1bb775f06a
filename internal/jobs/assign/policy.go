package assign

import (
	"cmp"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Permission is what the policy of a step's queue says about an executor.
type Permission uint8

// Permissions, least first.
const (
	// Denied executors may not run the step. That never changes.
	Denied Permission = iota
	// Undecided executors have not been asked about.
	Undecided
	// Approved executors may run the step, but a start there needs a new ticket.
	Approved
	// Startable executors may run the step now.
	Startable
)

// Policy returns the permission for a step on an executor.
type Policy func(*track.Step, *execs.Member) Permission

// Unrestricted is the policy of queues whose steps may run on any executor.
func Unrestricted(*track.Step, *execs.Member) Permission { return Startable }

// ToAsk returns the executors that the policy of a step's queue is to be asked about, those with the
// most free capacity first, or none while waiting tasks of the step can start.
func ToAsk(s *track.Step, members []*execs.Member, policy Policy, now time.Duration) []*execs.Member {
	placed := runsByExecutor(s)
	need := s.Reservation()
	var ask, full []*execs.Member
	isApproved := false // on an executor that a waiting task can reserve
	for _, m := range members {
		if !m.CanAcceptTasks(now) || !canHost(s, m, placed) {
			continue
		}
		p := policy(s, m)
		switch fits := need.FitsIn(m.Free()); {
		case p == Denied:
		case p == Startable && fits:
			if !isAvoided(s, m) {
				return nil
			}
		case fits:
			ask = append(ask, m)
		case p >= Approved:
			isApproved = isApproved || !isAvoided(s, m)
		default:
			full = append(full, m)
		}
	}
	if len(ask) == 0 && s.LongRunning && !isApproved {
		// Smaller tasks take each core that becomes free unless the task can reserve an executor.
		ask = full
	}
	slices.SortFunc(ask, func(x, y *execs.Member) int {
		return cmp.Or(cmp.Compare(y.Free().Cores, x.Free().Cores), cmp.Compare(x.Key, y.Key))
	})
	return ask
}

// isAvoided reports whether each waiting task of a step has failed on an executor.
func isAvoided(s *track.Step, m *execs.Member) bool {
	return !slices.ContainsFunc(s.Tasks, func(t *track.Task) bool { return t.IsWaiting() && !slices.Contains(t.Avoided, m.Key) })
}
