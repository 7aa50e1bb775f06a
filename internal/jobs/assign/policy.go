package assign

import (
	"cmp"
	"math"
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
// most free capacity first, or none while a waiting task of the step, or all members of a gang, can start.
func ToAsk(s *track.Step, members []*execs.Member, policy Policy, now time.Duration) []*execs.Member {
	tasks := startableTasks(s)
	if len(tasks) == 0 {
		return nil
	}
	placed := runsByExecutor(s)
	need := s.Reservation()
	missing := 1 // tasks without a place among the startable executors
	if s.Gang {
		missing = len(s.Tasks)
	}
	var ask, full []*execs.Member
	bounded := boundsApply(execs.NewPool(members), s, policy)
	room := func(m *execs.Member) int {
		if bounded {
			return m.Room()
		}
		return math.MaxInt
	}
	avoidSuspects := bounded && !slices.ContainsFunc(tasks, func(t *track.Task) bool { return t.Failures() == 0 }) &&
		slices.ContainsFunc(members, func(m *execs.Member) bool {
			return !m.IsSuspect() && m.CanAcceptTasks(now) && canHost(s, m, placed) && policy(s, m) != Denied
		})
	isApproved := false // on an executor that a waiting task can reserve
	for _, m := range members {
		if !m.CanAcceptTasks(now) || !canHost(s, m, placed) {
			continue
		}
		p := policy(s, m)
		switch fits := (s.LongRunning || room(m) > 0) && need.FitsIn(m.Free()); {
		case p == Denied:
		case p == Startable && fits:
			if isAvoided(tasks, m) || avoidSuspects && m.IsSuspect() {
				continue
			}
			most := missing
			if !s.LongRunning && !s.Gang {
				most = min(most, room(m))
			}
			if missing -= placesOn(m, s, placed, most); missing == 0 {
				return nil
			}
		case fits:
			ask = append(ask, m)
		case p >= Approved:
			isApproved = isApproved || !isAvoided(tasks, m)
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

// startableTasks returns the waiting tasks of a step, without those that wait for the outcome of
// another task because their job is poison.
func startableTasks(s *track.Step) []*track.Task {
	j := s.Occ.Job
	isPoison := j.IsPoison()
	var probe *track.Task
	if isPoison {
		if probe = j.Probe(); probe == nil || probe.Step != s {
			return nil
		}
	}
	var out []*track.Task
	for _, t := range s.Tasks {
		if t.IsWaiting() && (!isPoison || s.Gang || t == probe) {
			out = append(out, t)
		}
	}
	return out
}

// isAvoided reports whether each of some tasks has failed on an executor.
func isAvoided(tasks []*track.Task, m *execs.Member) bool {
	return !slices.ContainsFunc(tasks, func(t *track.Task) bool { return !slices.Contains(t.Avoided, m.Key) })
}

// placesOn returns how many tasks of a step an executor can start now, most at the most.
func placesOn(m *execs.Member, s *track.Step, placed map[string]int, most int) int {
	if s.MaxPerExecutor > 0 {
		most = min(most, s.MaxPerExecutor-placed[m.Key])
	}
	n := 0
	for n < most && s.Reservation().Times(int64(n)+1).FitsIn(m.Free()) {
		n++
	}
	return n
}
