package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

// Limit changes the limit of an account: Cores is in thousandths of a core, 0 for none.
type Limit struct {
	Account int
	Cores   int64
}

// Flood has the hot account send Rate jobs a second beside what its callers send. Jobs seeds these jobs.
type Flood struct {
	Rate int
	Jobs uint64
}

// Revoke removes the changing key of an account while an entry is paused, for longer than the time that a
// revocation may take. With Cut, the entry gets nothing from the store for some time after the pause.
type Revoke struct {
	Entry, Account int
	Cut            bool
}

func (Limit) action()  {}
func (Flood) action()  {}
func (Revoke) action() {}

const (
	// hotAccount is the account that floods.
	hotAccount = 1
	// hotWeight is the weight of the hot account. otherWeight is more than the other accounts send, so that
	// they are never refused for their share.
	hotWeight, otherWeight = 3, 100
	// baseLimit is the limit of the limited accounts outside of Limit faults. By an estimate the two callers of an
	// account need 9 cores: with twice as many, what waits at the end of the faults is served in time.
	baseLimit = 20_000
	// minLow and maxLow bound a lowered limit. The largest tasks take 2,500 and don't fit under the lowest ones.
	minLow, maxLow = 1500, 6000
	// minHigh and maxHigh bound a raised limit.
	minHigh, maxHigh = 24_000, 40_000
	// limitWindow is how long after a change the previous limit may have an effect: a start order may be
	// held back on its way to the executor for as long as a fault lasts.
	limitWindow = maxFault + configApply
	// minLimit and maxLimit bound the time that a changed limit lasts. maxLimit exceeds limitWindow, since a
	// lowered limit is checked only from then on.
	minLimit, maxLimit = 1 * time.Second, 15 * time.Second
	// minFlood and maxFlood bound the rate of a flood in jobs per second: 3 to 6 times the weight.
	minFlood, maxFlood = 9, 18
	// floodTime bounds the time of a flood.
	floodTime = 4 * time.Second
	// accountPause is the mean time between two faults of a series of the accounts.
	accountPause = 3 * time.Second
	// accountStream is the first random stream of the faults of the accounts.
	accountStream = 1 << 42
)

// Times of a Revoke: from the addition of the key to the pause, in which entries get the key; from the removal
// to the first probe; from there to the end of the pause, so that probes wait in the entry's connections; and
// from the end of the pause to that of the fault.
const (
	keyApply, revokeProbe         = 1200 * time.Millisecond, revoke + 300*time.Millisecond
	probesBefore, probesAfter     = 150 * time.Millisecond, 700 * time.Millisecond
	revokeTime                    = keyApply + revokeProbe + probesBefore + probesAfter
	revokeProbes, revokeProbeStep = 12, 60 * time.Millisecond
)

// limitedAccounts are the accounts with a limit.
var limitedAccounts = []int{2, 3}

// isLimited reports whether an account has a limit in some configurations.
func isLimited(account int) bool { return account >= limitedAccounts[0] }

// accountFaults draws the faults of the accounts: a series of limits for each limited account, one of floods and
// one of revocations. Faults for which there is no time left are left out.
func accountFaults(seed uint64, length time.Duration, entries int) []Fault {
	var out []Fault
	series := func(n uint64, draw func(planner) (time.Duration, Action)) {
		p := planner{rng: rand.New(rand.NewPCG(seed, accountStream+n)), entries: entries}
		at := calmStart + p.exp(meanPause)
		for {
			d, a := draw(p)
			if at+d > length {
				return
			}
			out = append(out, Fault{at, d, a})
			at += d + p.exp(accountPause)
		}
	}
	for i, account := range limitedAccounts {
		series(uint64(i), func(p planner) (time.Duration, Action) {
			d := minLimit + time.Duration(p.rng.Int64N(int64(maxLimit-minLimit))).Truncate(time.Millisecond)
			return d, Limit{account, p.limit()}
		})
	}
	series(10, func(p planner) (time.Duration, Action) {
		return p.upTo(floodTime), Flood{minFlood + p.rng.IntN(maxFlood-minFlood), p.rng.Uint64()}
	})
	series(11, func(p planner) (time.Duration, Action) {
		return revokeTime, Revoke{p.rng.IntN(p.entries), p.rng.IntN(accounts), p.rng.IntN(2) == 0}
	})
	return out
}

// limit draws a lowered limit, half of the time, a raised one, or none.
func (p planner) limit() int64 {
	switch p.rng.IntN(4) {
	case 0:
		return minHigh + p.rng.Int64N(maxHigh-minHigh)
	case 1:
		return 0
	}
	return minLow + p.rng.Int64N(maxLow-minLow)
}

// limitHistory returns the lowest and the highest limit of an account that were in force at a time or later.
// Without a limit it is math.MaxInt64.
func (o *operator) limitHistory(account int, since time.Duration) (lowest, highest int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lowest = math.MaxInt64
	for i := len(o.all) - 1; i >= 0; i-- {
		n := o.all[i].limits[account]
		if n == 0 {
			n = math.MaxInt64
		}
		lowest, highest = min(lowest, n), max(highest, n)
		if o.all[i].at < since {
			break
		}
	}
	return lowest, highest
}

// limitOf returns the limit of an account that starts at a time must keep, 0 for none.
func (o *operator) limitOf(account int, now time.Duration) int {
	if _, n := o.limitHistory(account, now-limitWindow); n < math.MaxInt64 {
		return int(n)
	}
	return 0
}

// checkFit checks the answer to an attempt to submit a job: one with a task above its account's limit is refused
// with 429, and other jobs are not, unless their account sends more than its weight.
func (r *run) checkFit(j *job, entry string, status int) {
	var largest int64
	for _, s := range j.spec.Steps {
		largest = max(largest, s.Need.Cores)
	}
	// Entries refuse calls when their configuration may be older than revoke.
	_, highest := r.operator.limitHistory(j.account, j.submitted-revoke)
	lowest, _ := r.operator.limitHistory(j.account, j.submitted-limitWindow)
	switch {
	case status/100 == 2 && largest > highest:
		r.found("FIT", j.id, "%s, submitted at %s, is accepted by %s, and has a task of %d; the limit of %s is %d", j.id, j.submitted, entry, largest, accountName(j.account), highest)
	case status == http.StatusTooManyRequests && largest <= lowest && j.account != hotAccount:
		r.found("FIT", j.id, "%s, submitted at %s, is refused by %s with 429, and its largest task of %d fits under the limit of %s, %d", j.id, j.submitted, entry, largest, accountName(j.account), lowest)
	}
}

// flood sends jobs of the hot account for a time, and waits for the answers.
func (r *run) flood(ctx context.Context, a Flood, d time.Duration) {
	var sent sync.WaitGroup
	c := r.newCaller(hotAccount)
	defer c.http.CloseIdleConnections()
	end := r.clk.Now() + d
	for n := uint64(0); r.clk.Now() < end && ctx.Err() == nil; n++ {
		one := *c
		one.rng = rand.New(rand.NewPCG(a.Jobs, n))
		sent.Go(func() { one.submit(ctx) })
		clock.Pause(ctx, r.clk, time.Second/time.Duration(a.Rate))
	}
	sent.Wait()
}

// revoke carries out a Revoke.
func (r *run) revoke(ctx context.Context, a Revoke) {
	e := r.entries[a.Entry]
	r.operator.setKey(a.Account, true, r.clk.Now())
	clock.Pause(ctx, r.clk, keyApply)
	calm, resumed, uncut := r.disturb(r.unplanned, a.Entry), r.disturb(r.signals, a.Entry), func() {}
	e.pause(true)
	if a.Cut {
		uncut = e.link.add(LinkFaults{NoAnswers: true})
	}
	r.operator.setKey(a.Account, false, r.clk.Now())
	clock.Pause(ctx, r.clk, revokeProbe)
	var probes sync.WaitGroup
	for n := range revokeProbes {
		probes.Go(func() {
			clock.Pause(ctx, r.clk, time.Duration(n)*revokeProbeStep)
			c := r.newCaller(callers + len(r.entries) + n)
			defer c.http.CloseIdleConnections()
			r.probeAccountKey(c, e, a.Account)
		})
	}
	clock.Pause(ctx, r.clk, probesBefore)
	e.pause(false)
	clock.Pause(ctx, r.clk, probesAfter)
	uncut()
	calm()
	resumed()
	probes.Wait()
}
