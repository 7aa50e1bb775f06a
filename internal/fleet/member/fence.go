package member

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
)

// Suspects returns the members that this entry may evict, in the order of their names:
// those about which it has got no report, directly or through other members, for the
// suspicion time. There are none while the entry is not in contact with more than half of
// the members.
func (v *View) Suspects(now time.Duration) []state.Incarnation {
	if !v.hasMajorityContact(now) {
		return nil
	}
	var ids []state.Incarnation
	for m := range v.s.Members() {
		if !m.Evicted && v.sinceHeard(m, now) >= Suspicion {
			ids = append(ids, m.Incarnation)
		}
	}
	return ids
}

// sinceHeard returns the time since the last report about a member, or since it was first
// seen if that is later. It is 0 for this entry itself.
func (v *View) sinceHeard(m *state.Member, now time.Duration) time.Duration {
	e := v.heard[m.Incarnation]
	if m.Incarnation == v.self || e == nil {
		return 0
	}
	return now - max(e.firstSeen, e.lastHeard)
}

// hasMajorityContact reports whether this entry is an active member and more than half of
// the members, itself included, were heard from within the view lease.
func (v *View) hasMajorityContact(now time.Duration) bool {
	self, ok := v.s.Member(v.self.Name)
	if !ok || self.Incarnation != v.self || self.Evicted {
		return false
	}
	inContact := 1
	for m := range v.s.Members() {
		e := v.heard[m.Incarnation]
		if m.Incarnation != v.self && e != nil && now-e.lastHeard < ViewLease {
			inContact++
		}
	}
	return 2*inContact > v.s.MemberCount()
}

// FenceCandidates returns the evicted members that this entry may fence, in the order of
// their names. It must be called regularly, because the fence wait starts with the call
// that first finds a majority.
func (v *View) FenceCandidates(now time.Duration) []state.Incarnation {
	if !v.hasMajorityContact(now) {
		return nil
	}
	var ids []state.Incarnation
	for m := range v.s.Members() {
		if m.Evicted && v.canFence(m, now) {
			ids = append(ids, m.Incarnation)
		}
	}
	return ids
}

// canFence reports whether the fence wait of an evicted member is over. The wait restarts
// when a member has left, because that member may have confirmed the view of the evicted
// one just before, and it no longer counts towards the majority.
func (v *View) canFence(m *state.Member, now time.Duration) bool {
	e := v.heard[m.Incarnation]
	if e == nil || !v.isEvictionApplied(m, now) {
		if e != nil {
			e.majorityAt = never
		}
		return false
	}
	if e.majorityAt == never {
		e.majorityAt = now
	}
	return now-max(e.majorityAt, v.leaveSeenAt) >= FenceWait
}

// isEvictionApplied reports whether more than half of the members have applied the
// eviction of a member. The evicted member may still confirm its view with an older set
// of members, which lacks those that joined after the offset that it has applied. The
// majority must hold in each such set. Otherwise it might share no member with the
// majority that confirms the view of the evicted one. After StaleWait a majority of the
// current set is enough, because the members of the older sets may all be gone.
func (v *View) isEvictionApplied(m *state.Member, now time.Duration) bool {
	if !v.isAppliedByMajority(m, v.s.Applied()) {
		return false
	}
	if v.sinceHeard(m, now) >= StaleWait {
		return true
	}
	known := max(m.Joined, v.heard[m.Incarnation].applied)
	for o := range v.s.Members() {
		if o.Joined > known && !v.isAppliedByMajority(m, o.Joined-1) {
			return false
		}
	}
	return v.isAppliedByMajority(m, known)
}

// isAppliedByMajority reports whether more than half of the members that joined up to an
// offset have reported the eviction of a member as applied.
func (v *View) isAppliedByMajority(m *state.Member, joined uint64) bool {
	total, applied := 0, 0
	for o := range v.s.Members() {
		if o.Joined > joined {
			continue
		}
		total++
		if o.Incarnation == v.self || v.heard[o.Incarnation].applied >= m.EvictedAt {
			applied++
		}
	}
	return 2*applied > total
}
