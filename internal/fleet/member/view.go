// Package member holds the rules for the view lease, for the eviction of members
// that are not heard from and for their fencing.
package member

import (
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

const (
	// ViewLease is how long a view stays confirmed after the time that it was
	// confirmed for.
	ViewLease = 2 * time.Second
	// Suspicion is how long a member is not heard from before it is suspected.
	Suspicion = 5 * time.Second
	// FenceWait is the time between the reports of a majority and the fence. It is
	// longer than ViewLease by more than the drift of two clocks in that time.
	FenceWait = 2500 * time.Millisecond
	// StaleWait is how long a member is suspected before newcomers count towards
	// the majority that fences it. It is longer than the minutes for which regions
	// lose contact.
	StaleWait = 10 * time.Minute
)

// View is an entry's evidence about the other members. Times are monotonic times of
// the entry's own clock. A View is used by one goroutine; other goroutines check
// the time that Until returned.
type View struct {
	self  state.Incarnation
	s     *state.State
	log   time.Duration // time as of which a log read confirmed the view
	heard map[state.Incarnation]*evidence
	left  uint64        // offset of the last leave that was seen
	quiet time.Duration // time at which it was seen
}

// evidence is what is known about one member.
type evidence struct {
	// first is when the member was first seen in the state.
	first time.Duration
	// last and applied are the newest report.
	last    time.Duration
	applied uint64
	// behind is the newest time at which the member had applied no more than this
	// entry has.
	behind time.Duration
	// ahead lists reports of higher offsets than this entry has applied, by time.
	ahead []report
	// ready is when a majority was first known to have applied the eviction.
	ready time.Duration
}

// report says that a member had applied an offset at a time.
type report struct {
	at      time.Duration
	applied uint64
}

const (
	// never is earlier than every time of evidence.
	never = time.Duration(-1 << 62)
	// maxAhead is the number of reports of different higher offsets kept per member.
	// Eight replies arrive per second, so that these cover the view lease.
	maxAhead = 16
)

// New returns the view of an incarnation before any evidence.
func New(self state.Incarnation) *View {
	return &View{
		self: self, s: state.New(), log: never, quiet: never,
		heard: make(map[state.Incarnation]*evidence),
	}
}

// Update takes over the folded state as of now. It must be called after each
// advance of the state and before LogConfirmed for the read that advanced it.
func (v *View) Update(now time.Duration, s *state.State) {
	if s.LastLeave() != v.left {
		v.left, v.quiet = s.LastLeave(), now
	}
	v.s = s
	for m := range s.Members() {
		if _, ok := v.heard[m.Incarnation]; !ok {
			v.heard[m.Incarnation] = &evidence{first: now, last: never, behind: never, ready: never}
		}
	}
	for id, e := range v.heard {
		if !counted(s, id) {
			delete(v.heard, id)
			continue
		}
		e.settle(s.Applied())
	}
}

// settle moves the reports that this entry has caught up with.
func (e *evidence) settle(applied uint64) {
	e.ahead = slices.DeleteFunc(e.ahead, func(r report) bool {
		if r.applied <= applied {
			e.behind = max(e.behind, r.at)
		}
		return r.applied <= applied
	})
}

// counted says whether an incarnation is a member, in eviction or not.
func counted(s *state.State, id state.Incarnation) bool {
	m, ok := s.Member(id.Name)
	return ok && m.Incarnation == id
}

// LogConfirmed records a log read that was issued at a time, ended at the head of
// the log and whose records are all applied and passed to Update.
func (v *View) LogConfirmed(issued time.Duration) { v.log = max(v.log, issued) }

// Reply records the reply to a request that this entry sent at a time. Digests that
// other entries send as requests must not be passed: they may have waited in a
// buffer while this process was paused.
func (v *View) Reply(sent time.Duration, d *peerpb.Digest) {
	id := state.Incarnation{Name: d.GetName(), Number: d.GetIncarnation()}
	if id == v.self || !counted(v.s, id) {
		return
	}
	v.learn(id, report{sent, d.GetApplied()})
	for _, h := range d.GetHeard() {
		// The age was measured when the reply was made, which was not before the
		// request was sent, so that the sum can only be too old.
		at := sent - time.Duration(h.GetAge())*time.Millisecond
		v.learn(state.Incarnation{Name: h.GetName(), Number: h.GetIncarnation()}, report{at, h.GetApplied()})
	}
}

// learn records a report about a member.
func (v *View) learn(id state.Incarnation, r report) {
	e, ok := v.heard[id]
	if !ok || id == v.self {
		return
	}
	e.last = max(e.last, r.at)
	e.applied = max(e.applied, r.applied)
	if r.applied <= v.s.Applied() {
		e.behind = max(e.behind, r.at)
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

// Confirmed says whether the entry may send work.
func (v *View) Confirmed(now time.Duration) bool { return now < v.Until(now) }

// Until returns the time at which the view lease lapses unless it is confirmed
// again. It is not after now if the lease has lapsed, or if the entry is not a
// member or is in eviction.
func (v *View) Until(now time.Duration) time.Duration {
	m, ok := v.s.Member(v.self.Name)
	if !ok || m.Incarnation != v.self || m.Evicted {
		return never
	}
	return max(v.log, v.gossip(now)) + ViewLease
}

// gossip returns the latest time as of which gossip confirms the view: more than
// half of the members had applied no more than this entry, and no member is known
// to have applied more. Members in eviction count towards the number of members,
// but not as evidence: one of them may have been fenced already, and then it is not
// among those of whom the next fence needs a majority.
func (v *View) gossip(now time.Duration) time.Duration {
	times, bound := []time.Duration{now}, now
	for m := range v.s.Members() {
		e := v.heard[m.Incarnation]
		if m.Incarnation == v.self || e == nil {
			continue
		}
		if len(e.ahead) > 0 {
			bound = min(bound, e.behind)
		}
		if !m.Evicted {
			times = append(times, e.behind)
		}
	}
	need := v.s.MemberCount()/2 + 1
	if len(times) < need {
		return never
	}
	slices.Sort(times)
	return min(bound, times[len(times)-need])
}

// Digest returns the evidence to send to other entries. The caller adds what it
// knows besides: linked, leaving and ready.
func (v *View) Digest(now time.Duration) *peerpb.Digest {
	d := &peerpb.Digest{
		Name: v.self.Name, Incarnation: v.self.Number,
		Applied: v.s.Applied(), Mark: v.s.Applied(), Hash: v.s.Hash(),
	}
	for m := range v.s.Members() {
		e := v.heard[m.Incarnation]
		if e == nil || e.last == never || m.Incarnation == v.self {
			continue
		}
		d.Heard = append(d.Heard, &peerpb.Heard{
			Name: m.Name, Incarnation: m.Number, Age: age(now - e.last), Applied: e.applied,
		})
	}
	return d
}

// age returns a duration in milliseconds, rounded up so that evidence never seems
// newer than it is.
func age(d time.Duration) uint32 {
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, 1<<32-1))
}
