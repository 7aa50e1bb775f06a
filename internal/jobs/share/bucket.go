// Package share decides what each client account is owed when capacity is short: which of its jobs are
// within its rate, what share of a pool is fair, and which jobs are refused. It reads no clock and makes
// no calls.
package share

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose submissions an account may send at once: what an account is owed is
	// counted per second.
	burstTime = 1 * time.Second
	// minBurst is the least number of submissions that an account may send at once. With less than one
	// submission a second, two that happen to arrive together would otherwise exceed the rate.
	minBurst = 5
	// maxInterval is the longest time between two tokens. Accounts of less weight get none, which keeps
	// sums of intervals within a time.Duration.
	maxInterval = 1000 * time.Hour
	// promiseTime is how long after the next token further tokens are promised to refused callers, if an
	// empty bucket does not take longer to fill. Callers that don't return must not put off others for longer.
	promiseTime = 5 * time.Second
)

// Buckets holds a token bucket for the submissions of each account that has sent some lately. It is the
// generic cell rate algorithm (ITU-T I.371), which keeps one time for each bucket and is exact to the
// nanosecond. The zero value has only full buckets.
type Buckets struct {
	byName map[string]bucket
}

// bucket is the state of a token bucket. One that has been full for an interval needs none.
type bucket struct {
	// full is when it is full again if no token is taken.
	full time.Duration
	// interval is the time between two tokens for which full was computed.
	interval time.Duration
	// promised is when the token is there that was promised to the last refused caller.
	promised time.Duration
}

// intervalOf returns the time between two tokens, rounded up so that the rate is never exceeded. It
// returns 0 for a weight that gets no tokens.
func intervalOf(weight float64) time.Duration {
	if weight <= 0 {
		return 0
	}
	ns := math.Ceil(float64(time.Second) / weight)
	if ns > float64(maxInterval) {
		return 0
	}
	return time.Duration(ns)
}

// depthOf returns the time in which an empty bucket becomes full.
func depthOf(interval time.Duration) time.Duration { return max(burstTime, minBurst*interval) }

// fullAt returns when a bucket is full again, for the present interval between tokens. After a change of
// the weight the bucket lacks as many tokens as before, up to all.
func (b *Buckets) fullAt(name string, interval, at time.Duration) time.Duration {
	k, ok := b.byName[name]
	if !ok || k.full <= at {
		return at
	}
	if k.interval != interval {
		missing := float64(k.full-at) / float64(k.interval)
		return at + time.Duration(min(missing*float64(interval), float64(depthOf(interval))))
	}
	return k.full
}

func (b *Buckets) set(name string, k bucket) {
	if b.byName == nil {
		b.byName = map[string]bucket{}
	}
	b.byName[name] = k
}

// Take takes a token of an account for a submission at a time, and reports whether there was one.
func (b *Buckets) Take(name string, weight float64, at time.Duration) bool {
	interval := intervalOf(weight)
	if interval == 0 {
		return false
	}
	full := b.fullAt(name, interval, at)
	if full+interval-at > depthOf(interval) {
		return false
	}
	k := bucket{full: full + interval, interval: interval}
	if old := b.byName[name]; full > at && old.interval == interval {
		k.promised = old.promised
	}
	b.set(name, k)
	return true
}

// TakeSpare takes a token that a full bucket has no room for, and reports whether there was one: the bucket
// has been full for as long as a token takes. It stays full, so that no later submission of the account
// lacks the token.
func (b *Buckets) TakeSpare(name string, weight float64, now time.Duration) bool {
	interval := intervalOf(weight)
	if interval == 0 {
		return false
	}
	if k, ok := b.byName[name]; ok && k.full+interval > now {
		return false
	}
	b.set(name, bucket{full: now, interval: interval})
	return true
}

// Reweigh applies a change of weights: from now on, buckets fill at the new rates. Without it a bucket fills at the
// rate at which its last token was taken.
func (b *Buckets) Reweigh(weight func(name string) float64, now time.Duration) {
	for name, k := range b.byName {
		if interval := intervalOf(weight(name)); interval > 0 && interval != k.interval {
			b.byName[name] = bucket{full: b.fullAt(name, interval, now), interval: interval}
		}
	}
}

// Return gives back the token of a submission that was not accepted.
func (b *Buckets) Return(name string) {
	if k, ok := b.byName[name]; ok {
		k.full -= k.interval
		b.byName[name] = k
	}
}

// NextToken returns the time until an account has a token, 0 if it has one now. It returns false if it
// never gets one.
func (b *Buckets) NextToken(name string, weight float64, now time.Duration) (time.Duration, bool) {
	interval := intervalOf(weight)
	if interval == 0 {
		return 0, false
	}
	return max(b.fullAt(name, interval, now)+interval-depthOf(interval)-now, 0), true
}

// Promise returns the time until a refused caller finds a token, 0 if it never does. Callers that are refused
// one after the other are promised successive tokens, so that those that return at that time don't
// compete for one.
func (b *Buckets) Promise(name string, weight float64, now time.Duration) time.Duration {
	after, ok := b.NextToken(name, weight, now)
	if !ok || after == 0 {
		return 0
	}
	// There is state, since a full bucket has a token.
	k, interval, next := b.byName[name], intervalOf(weight), now+after
	at := next
	if p := k.promised + interval; k.interval == interval && k.promised >= next && p <= next+max(promiseTime, depthOf(interval)) {
		at = p
	}
	b.set(name, bucket{full: b.fullAt(name, interval, now), interval: interval, promised: at})
	return at - now
}

// Forget drops the state of buckets that are full and have a spare token, also those of accounts that no
// longer exist.
func (b *Buckets) Forget(now time.Duration) {
	for name, k := range b.byName {
		if k.full+k.interval <= now {
			delete(b.byName, name)
		}
	}
}

// Len returns the number of accounts with state.
func (b *Buckets) Len() int { return len(b.byName) }
