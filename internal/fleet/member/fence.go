package member

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

// Suspects returns the members that this entry may evict, by name: those that
// neither it nor anyone it hears from has heard for the suspicion time. There are
// none while the entry is not in contact with more than half of the members.
func (v *View) Suspects(now time.Duration) []state.Incarnation {
	if !v.contact(now) {
		return nil
	}
	var ids []state.Incarnation
	for m := range v.s.Members() {
		if !m.Evicted && v.silent(m, now) >= Suspicion {
			ids = append(ids, m.Incarnation)
		}
	}
	return ids
}

// silent returns how long a member was not heard from, 0 for this entry itself.
func (v *View) silent(m *state.Member, now time.Duration) time.Duration {
	e := v.heard[m.Incarnation]
	if m.Incarnation == v.self || e == nil {
		return 0
	}
	return now - max(e.first, e.last)
}

// contact says whether this entry is an active member and has heard from more than
// half of the members within the view lease.
func (v *View) contact(now time.Duration) bool {
	self, ok := v.s.Member(v.self.Name)
	if !ok || self.Incarnation != v.self || self.Evicted {
		return false
	}
	near := 1
	for m := range v.s.Members() {
		e := v.heard[m.Incarnation]
		if m.Incarnation != v.self && e != nil && now-e.last < ViewLease {
			near++
		}
	}
	return 2*near > v.s.MemberCount()
}

// Fences returns the members in eviction that this entry may fence, by name. It
// must be called regularly: the fence wait starts with the call that first finds a
// majority.
func (v *View) Fences(now time.Duration) []state.Incarnation {
	if !v.contact(now) {
		return nil
	}
	var ids []state.Incarnation
	for m := range v.s.Members() {
		if m.Evicted && v.fence(m, now) {
			ids = append(ids, m.Incarnation)
		}
	}
	return ids
}

// fence says whether the fence wait of a member in eviction is over. It starts
// again when a member has left: that member may have confirmed the view of the
// evicted one right before, and it no longer counts towards the majority.
func (v *View) fence(m *state.Member, now time.Duration) bool {
	e := v.heard[m.Incarnation]
	if e == nil || !v.majority(m, now) {
		if e != nil {
			e.ready = never
		}
		return false
	}
	if e.ready == never {
		e.ready = now
	}
	return now-max(e.ready, v.quiet) >= FenceWait
}

// majority says whether more than half of the members have applied the eviction of
// a member. The evicted member may still confirm its view by an older set of
// members, without those that joined after the offset that it has applied. The
// majority must hold in each such set, because otherwise it need not share a member
// with the one that the evicted member hears from. After StaleWait the present set
// is enough, as the members of the older ones may all be gone.
func (v *View) majority(m *state.Member, now time.Duration) bool {
	if !v.applied(m, v.s.Applied()) {
		return false
	}
	if v.silent(m, now) >= StaleWait {
		return true
	}
	known := max(m.Joined, v.heard[m.Incarnation].applied)
	for o := range v.s.Members() {
		if o.Joined > known && !v.applied(m, o.Joined-1) {
			return false
		}
	}
	return v.applied(m, known)
}

// applied says whether more than half of the members that joined up to an offset
// have reported the eviction of a member as applied.
func (v *View) applied(m *state.Member, joined uint64) bool {
	all, have := 0, 0
	for o := range v.s.Members() {
		if o.Joined > joined {
			continue
		}
		all++
		if o.Incarnation == v.self || v.heard[o.Incarnation].applied >= m.EvictedAt {
			have++
		}
	}
	return 2*have > all
}
