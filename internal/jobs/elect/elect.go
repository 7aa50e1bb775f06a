// Package tenure decides when an entry claims the leadership, and how long a leader may
// act. The store's log of claims decides between entries that claim at the same time;
// the token of a claim fences earlier leaders at executors and in the store.
package tenure

import (
	"cmp"
	"slices"
	"time"
)

const (
	// RenewEvery is the time between renewals. Two of them fit into Silence with the
	// store's answer time of some milliseconds.
	RenewEvery = 500 * time.Millisecond
	// Silence is how long the log of claims stands still before another entry claims.
	// A false claim costs one read of all jobs and one call to each executor.
	Silence = 1500 * time.Millisecond
	// Troubled is how long after its last renewal a leader that answers is taken to be
	// turned away by the store. Renewals lie up to 1 s apart when the store is slow, and
	// 1.2 s when an answer is lost.
	Troubled = 1300 * time.Millisecond
	// Valid is how long a leader acts after a renewal that succeeded, measured from
	// when it was sent. Outages of the store last some seconds; a new leader waits for
	// it only for executors that it can't reach.
	Valid = 5 * time.Second
	// HoldFor is the lease of all that runs on an executor. It outlasts a change of the
	// leader after a loss of power: HoldEvery, Silence, the claim and the first calls.
	HoldFor = 5 * time.Second
	// ClockDrift is how much slower the steady clock of an executor may be.
	ClockDrift = 0.02
	// Step is how much later small instances claim: all instances start within 300 ms of
	// one another.
	Step = 500 * time.Millisecond
	// Spread is how far the claims of entries of the same place lie apart.
	Spread = 50 * time.Millisecond
)

// NextRenewal returns how long a leader waits after an answer that took so long, so that
// renewals are RenewEvery apart or follow one another while the store is slow.
func NextRenewal(took time.Duration) time.Duration { return max(RenewEvery-took, 0) }

const (
	// renewalLeast and renewalMost bound how long a leader waits for the answer to a
	// renewal: with an answer lost, the next one still comes within Troubled, and a store
	// that takes 60 times its usual 8 ms is waited for.
	renewalLeast = 600 * time.Millisecond
	renewalMost  = 1200 * time.Millisecond
	// renewalTimes is how many times as long as the last answer the next one may take.
	renewalTimes = 3
)

// RenewalTimeout returns how long a leader waits for the answer to a renewal after one
// that took so long.
func RenewalTimeout(took time.Duration) time.Duration {
	return min(max(renewalTimes*took, renewalLeast), renewalMost)
}

// View is what an entry knows of the present leader.
type View struct {
	// Moved is when the log of claims was last seen to grow, and Read when it was last
	// read with success. Both are times of the entry's clock.
	Moved, Read time.Duration
	// Resigned says that the last record is a resignation.
	Resigned bool
	// Named says that a leader that resigned asked another entry to claim.
	Named bool
	// Own says that an earlier process at this entry's name and address led. It has ended,
	// since this one listens at its address.
	Own bool
	// Ended says that the leader's process is gone: its address refuses connections.
	Ended bool
	// Troubled says that the leader answers, and that its last renewal is older than
	// Troubled.
	Troubled bool
	// Empty says that nobody ever claimed.
	Empty bool
}

// smallCores is the share of a core below which an instance leads only if no larger one
// does. A leader of 350 executors was measured at 0.27 cores, one of 50 at 0.1.
const smallCores = 0.3

// Place returns the place of an instance in the order of claims: 0 for those that can
// carry the work of a leader, and 1 for the others.
func Place(cores float64) int {
	if cores < smallCores {
		return 1
	}
	return 0
}

// Delay returns how long an entry waits before it claims, so that larger instances
// lead. place is 0 for the largest; draw is a random number in [0, 1).
func Delay(place int, draw float64) time.Duration {
	return time.Duration(place)*Step + time.Duration(draw*float64(Spread))
}

// endedAfter is how long the log stands still before an entry claims whose leader's
// process is gone. The process may be another one's that was started at the address.
const endedAfter = RenewEvery + 150*time.Millisecond

// IsCertain says whether no other entry can have claimed since a leader sent its last
// successful renewal.
func IsCertain(sent, now time.Duration) bool { return now < sent+endedAfter }

// MayClaim says whether an entry should claim now, delay after the first moment at
// which any entry may.
func MayClaim(v View, now, delay time.Duration) bool {
	still := now - v.Moved - delay
	switch {
	case v.Resigned && v.Named:
		return still >= namedFor
	case v.Empty, v.Resigned, v.Own:
		return still >= 0
	case v.Ended:
		return still >= endedAfter
	case v.Troubled:
		return still >= Troubled
	}
	return still >= Silence
}

// namedFor is how long the others leave the claim to the entry that a leader named when
// it resigned: a call, a read and an append, also while the store is slow.
const namedFor = 900 * time.Millisecond

// Candidate is an entry that follows a leader.
type Candidate struct {
	Name, Addr string
	// Place is that in the order of claims.
	Place int
	// Since is when the leader first heard it without a gap, and Heard when last.
	Since, Heard time.Duration
}

// HeardFor is how long ago a candidate may have been heard: entries ask each 300 ms.
const HeardFor = 700 * time.Millisecond

// askShare is the time that a leader gives to each follower's question in turn, and askMost
// the longest time between the questions of one: a configuration that the store did not
// show, and the number of pending jobs, must arrive within two seconds.
const (
	askShare = 7 * time.Millisecond
	askMost  = 1 * time.Second
)

// AskPause returns how long a small instance waits between its questions to a leader with
// so many followers, so that their rate does not grow with their number. Large instances,
// which are to notice first that the leader fails, get 0: they ask as often as they can.
func AskPause(place, followers int) time.Duration {
	if place == 0 {
		return 0
	}
	return min(time.Duration(followers)*askShare, askMost)
}

// Successor chooses the entry that a leader names when it resigns. It answers roll-outs,
// which stop all entries in turn: the one that started last is stopped last, so that one
// handover does for the rest of them.
func Successor(cs []Candidate, now time.Duration) (Candidate, bool) {
	cs = slices.DeleteFunc(slices.Clone(cs), func(c Candidate) bool { return now > c.Heard+HeardFor })
	if len(cs) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(cs, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Place, b.Place), cmp.Compare(b.Since, a.Since), cmp.Compare(a.Name, b.Name))
	}), true
}

// IsValid says whether a leader may act that sent its last successful renewal at sent.
func IsValid(sent, now time.Duration) bool { return now < sent+Valid }

// Settled returns when all that an earlier leader had started on an executor that can't
// be reached has ended, for a leader that claimed at claimed.
func Settled(claimed time.Duration) time.Duration {
	return claimed + Valid + time.Duration(float64(HoldFor)*(1+2*ClockDrift)) + 100*time.Millisecond
}

// LeaseEnd returns the latest local time at which the lease of an executor ends, whose
// clock showed clock in an answer that arrived at got.
func LeaseEnd(got, clock, deadline time.Duration) time.Duration {
	return got + time.Duration(float64(deadline-clock)*(1+2*ClockDrift)) + 50*time.Millisecond
}

// fenceBits is how many orders to void unanswered starts a token has room for.
const fenceBits = 16

// Fence returns the fencing token for an executor: it is above that of every earlier
// leader, and rises with each time that unanswered orders are voided.
func Fence(token uint64, voided int) uint64 {
	return token<<fenceBits + uint64(min(voided, 1<<fenceBits-1))
}

const (
	// quickLook bounds the first question of a new leader to an executor. Executors answer
	// within 2 ms, connecting included; while some calls are lost, the tasks of a whole
	// service wait for the answer of the last executor.
	quickLook = 120 * time.Millisecond
	// slowLook bounds later ones: a link may be slow.
	slowLook = 500 * time.Millisecond
	// QuickLooks is how many questions follow one another without a pause. An executor that
	// is gone costs as many.
	QuickLooks = 2
)

// LookFor returns how long a new leader waits for an executor's answer after so many
// questions without one.
func LookFor(failures int) time.Duration {
	if failures < QuickLooks {
		return quickLook
	}
	return slowLook
}
