// Package member decides whether an entry's view of the members is confirmed, so that it
// may send work, and which members an entry may evict and fence.
package member

import (
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

const (
	// ViewLease is how long a view stays confirmed after the time as of which the log or
	// a majority of members confirmed it.
	ViewLease = 2 * time.Second
	// Suspicion is the time without a report about a member after which it is suspected.
	Suspicion = 5 * time.Second
	// FenceWait is the time between the reports of a majority and the fence. It exceeds
	// ViewLease by more than two clocks can drift apart in that time, so that the view
	// lease of the evicted member has lapsed by then.
	FenceWait = 2500 * time.Millisecond
	// StaleWait is the time without a report about a member after which a majority that
	// includes members newer than its view is enough to fence it. It is longer than the
	// minutes for which regions lose contact.
	StaleWait = 10 * time.Minute
)

// View holds an entry's evidence about the other members. Times are monotonic times of the
// entry's own clock. A View is not safe for concurrent use; other goroutines check the
// time that LeaseExpiry returned.
type View struct {
	self           state.Incarnation
	s              *state.State
	logConfirmedAt time.Duration // time as of which a log read confirmed the view
	heard          map[state.Incarnation]*evidence
	lastLeave      uint64        // newest State.LastLeave that was passed to Update
	leaveSeenAt    time.Duration // time of that Update
}

// evidence holds what this entry has learned about one member.
type evidence struct {
	// firstSeen is the time at which the member was first in the state.
	firstSeen time.Duration
	// lastHeard is the time of the newest report, applied the highest reported offset.
	lastHeard time.Duration
	applied   uint64
	// notAheadAt is the newest time at which the member had applied no more than this
	// entry has applied by now.
	notAheadAt time.Duration
	// ahead lists reports of higher offsets than this entry has applied, by time.
	ahead []report
	// majorityAt is the time since which a majority is known to have applied the eviction.
	majorityAt time.Duration
}

// report is the offset that a member had applied at a time.
type report struct {
	at      time.Duration
	applied uint64
}

const (
	// never is earlier than the time of any report.
	never = time.Duration(-1 << 62)
	// maxAhead is the maximum number of reports of different higher offsets that are kept
	// per member. Eight replies arrive per second, so 16 cover the view lease.
	maxAhead = 16
)

// New returns the view of an incarnation before any evidence.
func New(self state.Incarnation) *View {
	return &View{
		self: self, s: state.New(), logConfirmedAt: never, leaveSeenAt: never,
		heard: make(map[state.Incarnation]*evidence),
	}
}

// Update sets the state as of now. It must be called each time that the state advances,
// and before RecordLogRead for the read that advanced it.
func (v *View) Update(now time.Duration, s *state.State) {
	if s.LastLeave() != v.lastLeave {
		v.lastLeave, v.leaveSeenAt = s.LastLeave(), now
	}
	v.s = s
	for m := range s.Members() {
		if _, ok := v.heard[m.Incarnation]; !ok {
			v.heard[m.Incarnation] = &evidence{firstSeen: now, lastHeard: never, notAheadAt: never, majorityAt: never}
		}
	}
	for id, e := range v.heard {
		if !isMember(s, id) {
			delete(v.heard, id)
			continue
		}
		e.catchUp(s.Applied())
	}
}

// catchUp removes the reports ahead whose offset this entry has applied by now, and
// updates notAheadAt by them.
func (e *evidence) catchUp(applied uint64) {
	e.ahead = slices.DeleteFunc(e.ahead, func(r report) bool {
		if r.applied <= applied {
			e.notAheadAt = max(e.notAheadAt, r.at)
		}
		return r.applied <= applied
	})
}

// isMember reports whether an incarnation is a member, evicted or not.
func isMember(s *state.State, id state.Incarnation) bool {
	m, ok := s.Member(id.Name)
	return ok && m.Incarnation == id
}

// RecordLogRead records a log read that was issued at a time and confirms the view. The
// read must have reached the head of the log, and the state with all its records must have
// been passed to Update.
func (v *View) RecordLogRead(issued time.Duration) { v.logConfirmedAt = max(v.logConfirmedAt, issued) }

// RecordReply records the reply to a request that this entry sent at a time. Digests that
// other entries send as requests must not be passed, because they may have waited in a
// buffer while this process was paused.
func (v *View) RecordReply(sent time.Duration, d *peerpb.Digest) {
	id := state.Incarnation{Name: d.GetName(), Number: d.GetIncarnation()}
	if id == v.self || !isMember(v.s, id) {
		return
	}
	v.addReport(id, report{sent, d.GetApplied()})
	for _, h := range d.GetHeard() {
		// The age is as of the reply, which was not made before the request was sent, so
		// the computed time can only be too early.
		at := sent - time.Duration(h.GetAge())*time.Millisecond
		v.addReport(state.Incarnation{Name: h.GetName(), Number: h.GetIncarnation()}, report{at, h.GetApplied()})
	}
}

// addReport records a report about a member.
func (v *View) addReport(id state.Incarnation, r report) {
	e, ok := v.heard[id]
	if !ok || id == v.self {
		return
	}
	e.lastHeard = max(e.lastHeard, r.at)
	e.applied = max(e.applied, r.applied)
	if r.applied <= v.s.Applied() {
		e.notAheadAt = max(e.notAheadAt, r.at)
		return
	}
	if n := len(e.ahead); n > 0 && e.ahead[n-1].applied == r.applied {
		e.ahead[n-1].at = max(e.ahead[n-1].at, r.at)
		return
	}
	e.ahead = append(e.ahead, r)
	if len(e.ahead) > maxAhead {
		e.ahead = e.ahead[1:]
	}
}

// IsConfirmed reports whether the view is confirmed, so that the entry may send work.
func (v *View) IsConfirmed(now time.Duration) bool { return now < v.LeaseExpiry(now) }

// LeaseExpiry returns the time at which the view lease lapses unless the view is confirmed
// again. The time is not after now if the lease has lapsed, or if the entry is not a
// member or is evicted.
func (v *View) LeaseExpiry(now time.Duration) time.Duration {
	m, ok := v.s.Member(v.self.Name)
	if !ok || m.Incarnation != v.self || m.Evicted {
		return never
	}
	return max(v.logConfirmedAt, v.gossipConfirmedAt(now)) + ViewLease
}

// gossipConfirmedAt returns the latest time as of which gossip confirms the view: more than
// half of the members had applied no more than this entry, and no member is known to have
// applied more. Evicted members count towards the number of members, but their reports are
// no evidence: one of them may have been fenced already, and then it is not among the
// members of which the next fence needs a majority.
func (v *View) gossipConfirmedAt(now time.Duration) time.Duration {
	times, bound := []time.Duration{now}, now
	for m := range v.s.Members() {
		e := v.heard[m.Incarnation]
		if m.Incarnation == v.self || e == nil {
			continue
		}
		if len(e.ahead) > 0 {
			bound = min(bound, e.notAheadAt)
		}
		if !m.Evicted {
			times = append(times, e.notAheadAt)
		}
	}
	need := v.s.MemberCount()/2 + 1
	if len(times) < need {
		return never
	}
	slices.Sort(times)
	return min(bound, times[len(times)-need])
}

// Digest returns the evidence to send to other entries. The caller sets the fields linked,
// leaving and ready.
func (v *View) Digest(now time.Duration) *peerpb.Digest {
	d := &peerpb.Digest{
		Name: v.self.Name, Incarnation: v.self.Number,
		Applied: v.s.Applied(), Mark: v.s.Applied(), Hash: v.s.Hash(),
	}
	for m := range v.s.Members() {
		e := v.heard[m.Incarnation]
		if e == nil || e.lastHeard == never || m.Incarnation == v.self {
			continue
		}
		d.Heard = append(d.Heard, &peerpb.Heard{
			Name: m.Name, Incarnation: m.Number, Age: ageMillis(now - e.lastHeard), Applied: e.applied,
		})
	}
	return d
}

// ageMillis returns a duration in milliseconds, rounded up so that evidence never seems
// newer than it is.
func ageMillis(d time.Duration) uint32 {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, 1<<32-1))
}
