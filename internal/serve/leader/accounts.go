package leader

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/assign"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const (
	// accountsInterval is the least time between snapshots of the accounts. One of 2,000 accounts and jobs
	// takes milliseconds, which the control goroutine must not spend for each request.
	accountsInterval = 1 * time.Second
	// watchTime is how long the gauges of accounts stay up to date after the metrics were read. Collectors read
	// them at least each minute.
	watchTime = 90 * time.Second
)

// Accounts is a snapshot of all client accounts. It is never modified.
type Accounts struct {
	// Version is that of the configuration in force.
	Version int64
	// At is when it was made, on the entry's clock.
	At time.Duration
	// All are the accounts by name: those of the configuration, and removed ones with jobs.
	All []Account
}

// Account is the state of a client account.
type Account struct {
	Name string
	// Used is what counts against the limit, and Running the number of tasks that run.
	Used    model.Amount
	Running int
	// Waiting is the number of tasks that depend on nothing else and are not known to run, Blocked the part of them that
	// the account's limit keeps from starting, and Jobs the number of jobs with such tasks.
	Waiting, Blocked, Jobs int
	Refused                RefusedCounts
	Limit                  model.Amount
	Weight                 float64
	// Share is the fair part of all capacity, for what the account needs at present. Above is set if it uses
	// clearly more than its share of some pool.
	Share float64
	Above bool
	// Keys is the number of its keys, and Since the version of the configuration since which they are in force.
	Keys  int
	Since int64
}

// RefusedCounts are the submissions of an account that were refused during a leader's term, by cause.
type RefusedCounts struct{ Limit, Share int64 }

// accountsState is what snapshots of the accounts are made from.
type accountsState struct {
	last    *Accounts
	claims  assign.Claims
	refused map[string]RefusedCounts
}

type accountsRequest struct{ reply chan *Accounts }

func (*accountsRequest) isEvent() {}

// Accounts returns a snapshot of the client accounts that is at most a second old, or nil if this leader has
// not loaded its state or was closed.
func (l *Leader) Accounts(ctx context.Context) *Accounts {
	ev := &accountsRequest{make(chan *Accounts, 1)}
	if !l.send(ctx, ev) {
		return nil
	}
	select {
	case a := <-ev.reply:
		return a
	case <-ctx.Done():
	case <-l.done:
	}
	return nil
}

// WatchAccounts has the gauges of accounts kept up to date for a while.
func (l *Leader) WatchAccounts() { l.watchedUntil.Store(int64(l.Clock.Now() + watchTime)) }

// accountsNow returns a snapshot that is at most accountsInterval old, or nil while there is no state.
func (l *Leader) accountsNow() *Accounts {
	c := l.Orders.Config()
	if !l.ready || c == nil {
		return nil
	}
	if s := &l.accounts; s.last == nil || l.now >= s.last.At+accountsInterval {
		s.last = l.makeAccounts(c)
		l.Meters.setAccounts(s.last)
	}
	return l.accounts.last
}

func (l *Leader) makeAccounts(c *model.Config) *Accounts {
	since := l.Orders.KeysSince()
	maps.DeleteFunc(l.accounts.refused, func(name string, _ RefusedCounts) bool { return c.AccountByName(name) == nil })
	byName := make(map[string]*Account, len(c.Accounts))
	for i := range c.Accounts {
		a := &c.Accounts[i]
		byName[a.Name] = &Account{
			Name: a.Name, Used: l.quota.ledger.Used(a.Name), Refused: l.accounts.refused[a.Name],
			Limit: a.Limit, Weight: a.Weight, Keys: len(a.Keys), Since: since[a.Name],
		}
	}
	jobs := map[string][]*track.Job{} // by service
	for _, j := range l.tracker.Active() {
		service := l.queueOf(j).Service
		jobs[service] = append(jobs[service], j)
		if j.Account == "" {
			continue
		}
		a := byName[j.Account]
		if a == nil {
			a = &Account{Name: j.Account, Used: l.quota.ledger.Used(j.Account), Weight: removedWeight}
			byName[j.Account] = a
		}
		a.add(l, c.AccountByName(j.Account), j)
	}
	l.addShares(byName, jobs)
	out := &Accounts{Version: c.Version, At: l.now, All: make([]Account, 0, len(byName))}
	for _, a := range byName {
		out.All = append(out.All, *a)
	}
	slices.SortFunc(out.All, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// add counts the tasks of a job. configured is the account in the configuration, or nil.
func (a *Account) add(l *Leader, configured *model.Account, j *track.Job) {
	waiting := 0
	for _, o := range j.Open {
		for _, s := range o.Steps {
			a.Running += s.Running
			n := s.Left - s.Running
			if n <= 0 || !s.IsReady() {
				continue
			}
			waiting += n
			if l.quota.ledger.Blocks(configured, s) {
				a.Blocked += n
			}
		}
	}
	a.Waiting += waiting
	if waiting > 0 {
		a.Jobs++
	}
}

// addShares adds the fair shares of all pools, each weighted by the cores that are divided.
func (l *Leader) addShares(byName map[string]*Account, jobs map[string][]*track.Job) {
	capacities, total := map[string]model.Amount{}, int64(0)
	for _, m := range l.members {
		if l.isVisibleToSuccessor(m) {
			capacities[m.Service] = capacities[m.Service].Plus(m.Capacity)
			total += m.Capacity.Cores
		}
	}
	claims := &l.accounts.claims
	for service, js := range jobs {
		capacity := capacities[service]
		if capacity.Cores == 0 {
			continue
		}
		above := claims.Above(js, l.weightOf, capacity, l.isBlockedAfter)
		part := float64(max(claims.Capacity().Cores, 0)) / float64(total)
		for name := range claims.Accounts() {
			a := byName[name]
			a.Share += claims.Fair(name) * part
			a.Above = a.Above || above[name]
		}
	}
}

// countRefused counts refused submissions of an account of the configuration.
func (l *Leader) countRefused(account string, n RefusedCounts) {
	if l.Orders.Config().AccountByName(account) == nil {
		return
	}
	if l.accounts.refused == nil {
		l.accounts.refused = map[string]RefusedCounts{}
	}
	r := l.accounts.refused[account]
	l.accounts.refused[account] = RefusedCounts{r.Limit + n.Limit, r.Share + n.Share}
}
