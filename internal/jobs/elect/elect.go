// Package elect decides when an entry claims the leadership, and how long a leader may act. The
// order of records in the store's claim log decides between entries that claim at the same time.
// The token of a claim fences earlier leaders at executors and in the store.
package elect

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	// RenewEvery is the longest time between renewals while the store answers in time. Two of them, with the store's response time of some
	// milliseconds, fit into LeaderTimeout.
	RenewEvery = 500 * time.Millisecond
	// LeaderTimeout is how long the claim log must stay unchanged before another entry claims. An
	// unneeded claim costs one read of all jobs and one call to each executor.
	LeaderTimeout = 1500 * time.Millisecond
	// CutOffTimeout is the age of the last renewal from which a leader that still answers counts as
	// cut off from the store. Renewals are up to 1 s apart when the store is slow, and 1.2 s when a
	// response is lost.
	CutOffTimeout = 1300 * time.Millisecond
	// LeadershipTTL is how long a leader may act after a successful renewal, measured from when the
	// renewal was sent. Outages of the store last some seconds. A new leader waits for the end of
	// this time only for executors that it can't reach.
	LeadershipTTL = 5 * time.Second
	// RunLease is the lease of all runs on an executor. It outlasts a change of the leader after a
	// power failure: the heartbeat interval, LeaderTimeout, the claim and the first polls.
	RunLease = 5 * time.Second
	// ClockDrift is the largest fraction by which an executor's monotonic clock may run slow.
	ClockDrift = 0.02
	// RankDelay is the extra delay of a claim by a small instance. All instances start within 300
	// ms of one another.
	RankDelay = 500 * time.Millisecond
	// ClaimJitter is the range of the random delay that separates claims of entries of the same
	// rank.
	ClaimJitter = 50 * time.Millisecond
)

// renewInterval is the time between the starts of a leader's renewals. It is below RenewEvery, so that a
// renewal whose response takes up to 320 ms, from the store or in a busy process, does not hold up starts.
const renewInterval = 300 * time.Millisecond

// RenewalDelay returns how long a leader waits before its next renewal if the response to the last
// one took so long. Renewals start renewInterval apart, or follow one another without a pause while
// the store is slow.
func RenewalDelay(took time.Duration) time.Duration { return max(renewInterval-took, 0) }

const (
	// minRenewalTimeout and maxRenewalTimeout bound how long a leader waits for the response to a
	// renewal. After a lost response, the next renewal still arrives within CutOffTimeout. A store
	// that takes 60 times its usual 8 ms does not cause a timeout.
	minRenewalTimeout = 600 * time.Millisecond
	maxRenewalTimeout = 1200 * time.Millisecond
	// renewalTimeoutFactor is the timeout of a renewal as a multiple of the last response time.
	renewalTimeoutFactor = 3
)

// RenewalTimeout returns how long a leader waits for the response to a renewal if the last response
// took so long.
func RenewalTimeout(took time.Duration) time.Duration {
	return min(max(renewalTimeoutFactor*took, minRenewalTimeout), maxRenewalTimeout)
}

// LeaderView is what an entry has observed of the current leader.
type LeaderView struct {
	// LastChange is when the claim log was last seen to grow, and LastRead when it was last read
	// successfully. Both are times of the entry's clock.
	LastChange, LastRead time.Duration
	// WatchedSince is when the claim log was first read after the leader's last answer. Records found
	// by that read may have been written at any time before.
	WatchedSince time.Duration
	// Resigned is set if the last record is a resignation.
	Resigned bool
	// HasSuccessor is set if the leader resigned and designated another entry to claim.
	HasSuccessor bool
	// LedBeforeRestart is set if an earlier process with this entry's name and address led. That
	// process has ended, since this one listens at its address.
	LedBeforeRestart bool
	// ProcessGone is set if the leader's process has ended: its address refuses connections.
	ProcessGone bool
	// CutOff is set if the leader answers but its last renewal is older than CutOffTimeout.
	CutOff bool
	// NoClaims is set if no entry has ever claimed.
	NoClaims bool
}

// minLeaderCores is the number of cores below which an instance leads only if there is no larger
// one. A leader of 350 executors uses 0.27 cores, one of 50 uses 0.1.
const minLeaderCores = 0.3

// Rank returns the rank of an instance in the order of claims: 0 if it has the processor time for a
// leader's work, 1 otherwise.
func Rank(cores float64) int {
	if cores < minLeaderCores {
		return 1
	}
	return 0
}

// ClaimDelay returns how long an entry waits before it claims, so that larger instances lead. rank
// 0 is that of the largest instances; draw is a random number in [0, 1).
func ClaimDelay(rank int, draw float64) time.Duration {
	return time.Duration(rank)*RankDelay + time.Duration(draw*float64(ClaimJitter))
}

// processGoneTimeout is how long the claim log must stay unchanged before an entry claims if the
// leader's address refuses connections. The refusal may come from another process that was started
// at that address.
const processGoneTimeout = RenewEvery + 150*time.Millisecond

// SoleUntil returns until when no other entry can have claimed since a leader sent its last successful
// renewal at sent.
func SoleUntil(sent time.Duration) time.Duration { return sent + processGoneTimeout }

// IsSoleLeader reports whether no other entry can have claimed since a leader sent its last
// successful renewal at sent.
func IsSoleLeader(sent, now time.Duration) bool { return now < SoleUntil(sent) }

// MayClaim reports whether an entry should claim now. delay is added to the earliest time at which
// any entry may claim.
func MayClaim(v LeaderView, now, delay time.Duration) bool {
	idle := now - v.LastChange - delay
	switch {
	case v.Resigned && v.HasSuccessor:
		return idle >= successorHeadStart
	case v.NoClaims, v.Resigned, v.LedBeforeRestart:
		return idle >= 0
	case v.ProcessGone:
		return idle >= processGoneTimeout
	case v.CutOff:
		return idle >= CutOffTimeout
	}
	// An entry that was itself delayed finds its last contact with the leader long ago. The leader is
	// silent only if no renewal comes while the entry watches the log.
	return idle >= LeaderTimeout && now >= v.WatchedSince+processGoneTimeout
}

// successorHeadStart is how long other entries leave the claim to the successor that a resigning
// leader designated. It covers a call, a read and an append, also while the store is slow.
const successorHeadStart = 900 * time.Millisecond

// Candidate is an entry that follows a leader.
type Candidate struct {
	Name, Addr string
	// Rank is the rank in the order of claims.
	Rank int
	// Memory is the memory of its machine in MiB, 0 if it is not known.
	Memory int64
	// UpSince is the start of the current period of contact without a gap, and LastSeen the time of
	// the last contact.
	UpSince, LastSeen time.Duration
}

// CandidateTimeout is the age of the last contact above which an entry is no candidate. Entries
// poll the leader every 300 ms.
const CandidateTimeout = 700 * time.Millisecond

// pollDelayPerFollower is the time between two polls of a leader by any followers, and
// maxFollowerPollDelay the longest time between the polls of one follower. The number of pending
// jobs, and a configuration that a follower did not get from the store, must arrive within two
// seconds.
const (
	pollDelayPerFollower = 7 * time.Millisecond
	maxFollowerPollDelay = 1 * time.Second
)

// FollowerPollDelay returns how long a small instance waits between its polls of a leader with so
// many followers, so that the leader's load does not grow with their number. Large instances get 0
// and poll as often as they can, since they must be the first to detect a failed leader.
func FollowerPollDelay(rank, followers int) time.Duration {
	if rank == 0 {
		return 0
	}
	return min(time.Duration(followers)*pollDelayPerFollower, maxFollowerPollDelay)
}

// ChooseSuccessor returns the entry that a resigning leader designates, or false if there is no
// candidate. A roll-out stops all entries one after another and stops the one that started last at
// the end. Choosing that entry avoids further handovers during the roll-out.
func ChooseSuccessor(cs []Candidate, now time.Duration) (Candidate, bool) {
	cs = slices.DeleteFunc(slices.Clone(cs), func(c Candidate) bool { return now > c.LastSeen+CandidateTimeout })
	if len(cs) == 0 {
		return Candidate{}, false
	}
	return slices.MinFunc(cs, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.UpSince, a.UpSince), cmp.Compare(a.Name, b.Name))
	}), true
}

// successorMemoryTime is the age of the last contact up to which an entry counts as one that may lead next. An
// entry that can't reach the leader may still claim; one that has ended for longer has no part in the election.
const successorMemoryTime = 60 * time.Second

// SmallestMemory returns the least memory in MiB of the entries that may lead next, 0 if there are none. The memory of those
// that did not say it counts as unknown.
func SmallestMemory(cs iter.Seq[Candidate], now time.Duration, unknown int64) int64 {
	least := int64(0)
	for c := range cs {
		if now > c.LastSeen+successorMemoryTime {
			continue
		}
		if m := cmp.Or(c.Memory, unknown); least == 0 || m < least {
			least = m
		}
	}
	return least
}

// CanAct reports whether a leader that sent its last successful renewal at sent may still act.
func CanAct(sent, now time.Duration) bool { return now < sent+LeadershipTTL }

// FormerRunsEnd returns when all runs that earlier leaders started on an unreachable executor have
// ended, for a leader that claimed at claimed.
func FormerRunsEnd(claimed time.Duration) time.Duration {
	return RunsEnd(claimed + LeadershipTTL)
}

// RunsEnd returns when all runs on an executor have ended whose leases were last extended at
// extended.
func RunsEnd(extended time.Duration) time.Duration {
	return extended + time.Duration(float64(RunLease)*(1+2*ClockDrift)) + 100*time.Millisecond
}

// contactStall is how long no executor may answer a new leader for the first time until the rest
// counts as unreachable.
const contactStall = 2 * time.Second

// maxContactWait bounds the wait for executors while others come and go.
const maxContactWait = 5 * time.Second

// MayReleaseFormerRuns reports whether a leader may start again the tasks of a service of which some
// executor has not answered yet. The runs of earlier leaders have ended by then, but an executor that
// only waits to be asked may still list one that was done. ready is when the leader could ask, and
// lastContact when an executor last answered for the first time.
func MayReleaseFormerRuns(claimed, ready, lastContact, now time.Duration) bool {
	if now < FormerRunsEnd(claimed) {
		return false
	}
	return now >= max(ready, lastContact)+contactStall || now >= max(ready, FormerRunsEnd(claimed))+maxContactWait
}

// LeaseEnd returns the latest local time at which an executor's lease ends. deadline is the end of
// the lease by the executor's clock, which showed clock in a response received at got.
func LeaseEnd(got, clock, deadline time.Duration) time.Duration {
	return got + time.Duration(float64(deadline-clock)*(1+2*ClockDrift)) + 50*time.Millisecond
}

// fenceBits is the number of low bits of a fencing token that count the orders to void unanswered
// starts.
const fenceBits = 16

// FencingToken returns the fencing token for an executor. It is above that of every earlier leader
// and rises each time that unanswered orders are voided.
func FencingToken(token uint64, voided int) uint64 {
	return token<<fenceBits + uint64(min(voided, 1<<fenceBits-1))
}

const (
	// quickPollTimeout is the timeout of the first polls by a new leader. Executors answer within 2
	// ms, including the connection. The tasks of a whole service wait for the response of its last
	// executor, so a lost call must be repeated soon.
	quickPollTimeout = 120 * time.Millisecond
	// slowPollTimeout is the timeout of later polls, for slow links.
	slowPollTimeout = 500 * time.Millisecond
	// QuickPolls is the number of polls that follow one another without a pause. Each of them is
	// wasted on an executor that is gone.
	QuickPolls = 2
)

// PollTimeout returns how long a new leader waits for an executor's response after so many failed
// polls.
func PollTimeout(failures int) time.Duration {
	if failures < QuickPolls {
		return quickPollTimeout
	}
	return slowPollTimeout
}
