package leader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/share"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
)

const (
	// removedWeight is the weight of an account that is not in the configuration: its jobs continue as
	// those of an account of weight 1.
	removedWeight = 1.0
	// refusalQuiet is the time without a refusal after which an account counts as no longer refused. It is
	// longer than the time between two tokens of most accounts, so that one flood is logged once.
	refusalQuiet = 5 * time.Second
	// refusalReadInterval is the least time between reads of leaderless records before refusals. Each read is
	// charged, and callers wait this long for a refusal at most, besides the read.
	refusalReadInterval = 100 * time.Millisecond
	// maxHeld and maxHeldBytes bound the held submissions and their bodies. A read takes some 0.2 s with the
	// wait for it, in which 1,000 submissions a second are 200; the smallest entry has 184 MB.
	maxHeld      = 512
	maxHeldBytes = 16 << 20
	// abandonedRetention is how long a job is not refused after an entry got its submission back or has stopped
	// waiting for the answer. The entry then stores it itself or gives up, within its caller's time limit.
	abandonedRetention = 30 * time.Second
)

// shareState is the state of the client accounts' shares. It is lost with the leader: the next one starts
// with full buckets, less the tokens of the jobs that it loads.
type shareState struct {
	buckets share.Buckets
	// version is that of the configuration whose weights the buckets have.
	version int64
	claims  assign.Claims
	loads   map[string]*share.Load // by service
	// backlogs are what the waiting work in loads was computed from.
	backlogs map[string]*assign.Backlog
	// refusals are those of accounts with refused submissions lately.
	refusals map[string]*refusal
	// held are submissions that are refused unless the next read of leaderless records has their jobs.
	held      []*submitRequest
	heldBytes int // of their bodies
	// abandoned are, by job, when a submission was returned to its entry, or it was seen that the entry had
	// stopped waiting for the answer. The entry may store the job.
	abandoned map[string]time.Duration
}

// refusal is a time in which submissions of an account are refused.
type refusal struct {
	jobs int
	last time.Duration
}

// accountOf returns the weight of an account, and whether it is in the configuration.
func (l *Leader) accountOf(name string) (weight float64, isKnown bool) {
	if c := l.Orders.Config(); c != nil {
		if a := c.AccountByName(name); a != nil {
			return a.Weight, true
		}
	}
	return removedWeight, false
}

func (l *Leader) weightOf(name string) float64 {
	w, _ := l.accountOf(name)
	return w
}

// sharesApply reports whether submissions of an account count against its rate.
func (l *Leader) sharesApply(account string) bool {
	c := l.Orders.Config()
	return account != "" && c != nil && c.ChecksKeys
}

// applyWeights has the buckets fill at the rates of the configuration in force.
func (l *Leader) applyWeights() {
	if c := l.Orders.Config(); c != nil && c.Version != l.shares.version {
		l.shares.version = c.Version
		l.shares.buckets.Reweigh(l.weightOf, l.now)
	}
}

// admit decides whether a submission is accepted, and refuses it if not. Nothing of a refused one is kept.
// A submission of an account that this leader's configuration does not have is always accepted: the entry
// may have a newer one.
func (l *Leader) admit(ev *submitRequest) bool {
	if !l.sharesApply(ev.Account) {
		return true
	}
	weight, isKnown := l.accountOf(ev.Account)
	load := l.shares.loads[ev.settings.Service]
	if !isKnown {
		load = nil
	}
	d := l.shares.buckets.Admit(ev.Account, weight, l.now, load, func(wait time.Duration) bool { return l.canWait(ev, wait) })
	ev.excess = d.Excess
	if d.Admitted {
		return true
	}
	if !ev.checked {
		// Its caller may repeat it after an answer that the outcome is not known, and an entry may have stored the
		// job without this leader: a refusal would not be true.
		ev.asked = l.now
		if len(l.shares.held) >= maxHeld || l.shares.heldBytes+len(ev.Body) > maxHeldBytes {
			// As if leaderless records could not be read: the entry stores the job.
			l.Meters.refuse("held")
			l.returnSubmission(ev)
			return false
		}
		l.holdSubmission(ev)
		l.leaderlessTail.next = min(l.leaderlessTail.next, max(l.now, l.leaderlessTail.sent+refusalReadInterval))
		return false
	}
	if _, isAbandoned := l.shares.abandoned[ev.ID]; isAbandoned || !l.isSole() {
		// Another entry may have stored the job since the read, or have claimed since and accepted it, for a
		// caller that repeats it.
		l.Meters.refuse("store")
		l.returnSubmission(ev)
		return false
	}
	l.Meters.refuse("share")
	l.countRefused(ev.Account, RefusedCounts{Share: 1})
	l.recordRefusal(ev.Account)
	// Entries pass the time on in whole milliseconds, and a token must be there when it has passed.
	after := (l.shares.buckets.Promise(ev.Account, weight, l.now) + time.Millisecond - 1).Truncate(time.Millisecond)
	ev.answer(relay.Answer{Verdict: relay.Limited, RetryAfter: after, Cause: "account is beyond its share, and the service is at capacity"})
	return false
}

func (l *Leader) holdSubmission(ev *submitRequest) {
	l.shares.held = append(l.shares.held, ev)
	l.shares.heldBytes += len(ev.Body)
}

// decideHeld decides about the held submissions that arrived before the last read of leaderless records.
func (l *Leader) decideHeld() {
	held := l.shares.held
	l.shares.held, l.shares.heldBytes = nil, 0
	for _, ev := range held {
		if ev.asked > l.leaderlessTail.lastRead {
			l.holdSubmission(ev)
			continue
		}
		ev.checked = true
		if len(ev.repeats) > 0 && (ev.isAbandoned() || slices.ContainsFunc(ev.repeats, (*submitRequest).isAbandoned)) {
			l.returnSubmission(ev) // one entry may have stored the job, and others wait
			continue
		}
		l.onSubmit(ev)
	}
}

// joinHeld has a repeated submission answered with the one of the same job that is held, if there is one. With
// answers of their own, one caller could be told that the job never runs while the other's is accepted.
func (l *Leader) joinHeld(ev *submitRequest) bool {
	i := slices.IndexFunc(l.shares.held, func(h *submitRequest) bool { return h.ID == ev.ID && h.Account == ev.Account })
	if i < 0 || ev.checked {
		return false
	}
	h := l.shares.held[i]
	if len(h.repeats) >= maxHeld {
		l.returnSubmission(ev)
		return true
	}
	ev.Body = nil // that of the first is stored
	h.repeats = append(h.repeats, ev)
	// The read must be sent after the last of them.
	h.asked = l.now
	l.leaderlessTail.next = min(l.leaderlessTail.next, max(l.now, l.leaderlessTail.sent+refusalReadInterval))
	return true
}

// returnSubmission returns a submission to the entry that sent it, which may store the job itself.
func (l *Leader) returnSubmission(ev *submitRequest) {
	l.abandon(ev)
	ev.answer(notLeaderAnswer)
}

// abandon records that an entry may store the job of a submission that it has sent.
func (l *Leader) abandon(ev *submitRequest) {
	if !l.sharesApply(ev.Account) {
		return
	}
	if l.shares.abandoned == nil {
		l.shares.abandoned = map[string]time.Duration{}
	}
	l.shares.abandoned[ev.ID] = l.now
}

// returnHeld returns the held submissions to the entries that sent them, which store the jobs themselves.
func (l *Leader) returnHeld() {
	for _, ev := range l.shares.held {
		l.returnSubmission(ev)
	}
	l.shares.held, l.shares.heldBytes = nil, 0
}

// canWait reports whether a submitted job can meet its objective if it starts after a wait. Jobs that are not due
// yet and long-running ones have no objective that the present backlog endangers.
func (l *Leader) canWait(ev *submitRequest, wait time.Duration) bool {
	if wait <= ev.settings.Objective {
		return true
	}
	t := ev.timing
	if t == nil || t.hasNoObjective || t.start > l.wall {
		return true
	}
	return wait <= time.Duration((ev.settings.Slack-1)*float64(t.chain))+ev.settings.Objective
}

// jobTiming is what decides how long a submitted job can wait.
type jobTiming struct {
	hasNoObjective bool
	start          time.Duration // in Unix time, 0 for now
	chain          time.Duration // the estimate of the longest chain of steps
}

func timingOf(spec *model.JobSpec) *jobTiming {
	t := &jobTiming{hasNoObjective: spec.IsLongRunning(), chain: spec.LongestChain(func(i int) time.Duration { return spec.Steps[i].Estimate })}
	if spec.Scheduled {
		t.start = spec.Start
	}
	return t
}

func (l *Leader) recordRefusal(account string) {
	if l.shares.refusals == nil {
		l.shares.refusals = map[string]*refusal{}
	}
	r := l.shares.refusals[account]
	if r == nil {
		r = &refusal{}
		l.shares.refusals[account] = r
		l.Log.Info().Str("account", account).Float64("weight", l.weightOf(account)).Msg("submissions of an account beyond its share are refused")
	}
	r.jobs++
	r.last = l.now
}

// returnToken gives back the token of a submission that was not stored.
func (l *Leader) returnToken(ev *submitRequest) {
	if l.sharesApply(ev.Account) && !ev.excess {
		l.shares.buckets.Return(ev.Account)
	}
}

// countStored marks a stored job as excess if its submission was, and adds its work to the load of its pool.
func (l *Leader) countStored(j *track.Job, isExcess bool) {
	j.Excess = isExcess
	service := l.queueOf(j).Service
	if load := l.shares.loads[service]; load != nil {
		load.Add(l.shares.backlogs[service].Accept(j))
	}
}

// countUnasked takes the token of a job that was accepted without this leader, at the time when it was
// accepted: a flood that other entries or leaders have accepted stays one.
func (l *Leader) countUnasked(j *track.Job) {
	if !l.sharesApply(j.Account) {
		return
	}
	at := l.now - max(l.wall-j.Accepted, 0)
	l.countStored(j, !l.shares.buckets.Take(j.Account, l.weightOf(j.Account), at))
}

// loadShares counts the jobs that this leader has loaded, parked ones included, in the order of their acceptance.
func (l *Leader) loadShares() {
	jobs := slices.Clone(l.tracker.Parked())
	for _, j := range l.tracker.Active() {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *track.Job) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range jobs {
		l.countUnasked(j)
	}
}

// orderByShares sets the order in which the jobs of a service get capacity, and the load of its pool.
func (l *Leader) orderByShares(service string, order *jobOrder, members []*execs.Member) {
	cores := totalCores(members)
	c := l.Orders.Config()
	if c == nil || !c.ChecksKeys {
		for _, j := range order.jobs {
			j.Excess = false // the configuration has no accounts any more
		}
		order.jobs = assign.OrderJobs(order.jobs, l.queueOf, cores, l.wall)
		return
	}
	l.settleExcess(order.jobs)
	var used, usable, capacity model.Amount
	for _, m := range members {
		capacity = capacity.Plus(m.Capacity)
		if m.CanAcceptTasks(l.now) {
			used, usable = used.Plus(m.Used), usable.Plus(m.Capacity)
		}
	}
	above := l.shares.claims.Above(order.jobs, l.weightOf, capacity, l.isBlockedAfter)
	order.above = maps.Clone(above)
	load := &share.Load{Cores: usable.Cores, Full: share.IsFull(used, usable), At: l.now}
	if l.shares.loads == nil {
		l.shares.loads, l.shares.backlogs = map[string]*share.Load{}, map[string]*assign.Backlog{}
	}
	backlog := l.shares.backlogs[service]
	if backlog == nil {
		backlog = &assign.Backlog{}
		l.shares.backlogs[service] = backlog
	}
	order.jobs = backlog.Order(order.jobs, l.queueOf, cores, l.wall, above, l.isBlockedAfter)
	load.Waiting = backlog.Work(usable.Cores)
	l.shares.loads[service] = load
}

// settleExcess makes the oldest excess job of each account a regular one if the account has tokens to spare.
func (l *Leader) settleExcess(jobs []*track.Job) {
	var oldest map[string]*track.Job
	for _, j := range jobs {
		if !j.Excess {
			continue
		}
		if oldest == nil {
			oldest = map[string]*track.Job{}
		}
		if o := oldest[j.Account]; o == nil || cmp.Or(cmp.Compare(j.Accepted, o.Accepted), cmp.Compare(j.ID, o.ID)) < 0 {
			oldest[j.Account] = j
		}
	}
	for account, j := range oldest {
		j.Excess = !l.shares.buckets.TakeSpare(account, l.weightOf(account), l.now)
	}
}

// forgetShares forgets full buckets, pools that are gone, abandoned submissions, and refusals that have ended.
func (l *Leader) forgetShares() {
	l.shares.buckets.Forget(l.now)
	for id, at := range l.shares.abandoned {
		if l.now > at+abandonedRetention {
			delete(l.shares.abandoned, id)
		}
	}
	c := l.Orders.Config()
	for service := range l.shares.loads {
		if c == nil || c.Service(service) == nil {
			delete(l.shares.loads, service)
			delete(l.shares.backlogs, service)
		}
	}
	for account, r := range l.shares.refusals {
		if l.now > r.last+refusalQuiet {
			delete(l.shares.refusals, account)
			l.Log.Info().Str("account", account).Int("refused", r.jobs).Msg("submissions of an account are no longer refused")
		}
	}
}
