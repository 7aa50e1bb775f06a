package orders

import (
	"sync"
	"time"
)

// rateShare is the share of the age of another entry's view by which that may be wrong: the clocks of both
// have rates that differ by less than 0.1%.
const rateShare = 500

// viewTime is the moment as of which the configuration in force is known to be the newest one. The
// zero value has no such moment. It is safe for concurrent use.
type viewTime struct {
	mu sync.Mutex
	viewState
}

// viewState is the state of a viewTime.
type viewState struct {
	asOf  time.Duration
	known bool
	// hasGap is set while configurations may have been missed that were in the store at gapAt.
	hasGap bool
	gapAt  time.Duration
}

// extend moves the moment forward, and never back: answers can arrive in another order than they were
// requested. It ends a gap that certainly began before.
func (v *viewTime) extend(asOf, now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hasGap = v.hasGap && asOf-(now-asOf)/rateShare <= v.gapAt
	v.extendLocked(asOf)
}

// extendByRead is extend for a read of the store. It has no effect during a gap: the read does not show
// what was missed.
func (v *viewTime) extendByRead(asOf time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.hasGap {
		v.extendLocked(asOf)
	}
}

func (v *viewTime) extendLocked(asOf time.Duration) {
	if !v.known || asOf > v.asOf {
		v.asOf, v.known = asOf, true
	}
}

// beginGap records that configurations may have been missed that are in the store now.
func (v *viewTime) beginGap(now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hasGap, v.gapAt = true, now
}

func (v *viewTime) endGap() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hasGap = false
}

func (v *viewTime) isInGap() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hasGap
}

// age returns the time from the moment to now, or false if there is none.
func (v *viewTime) age(now time.Duration) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(now-v.asOf, 0), v.known
}

// ViewAge returns the time for which the configuration in force has not been known to be the newest
// one, or false if it never was. The time includes suspensions. A caller that also needs the
// configuration gets it after the age: it is then at least as new as the age says.
func (o *Orders) ViewAge() (time.Duration, bool) { return o.view.age(o.clk.Now()) }

// ExtendView records that the configuration in force was the newest one at a time on the entry's clock.
// It has no effect if this is known of a later time.
func (o *Orders) ExtendView(asOf time.Duration) { o.view.extend(asOf, o.clk.Now()) }

// MayLackConfig reports whether the newest configuration in the store can't be decoded and an earlier one
// may have been missed, so that reads of the store don't extend the view.
func (o *Orders) MayLackConfig() bool { return o.view.isInGap() }
