package leader

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/uber-go/tally/v4"
)

// topAccounts is the number of ranks that are shown in metrics. Accounts are not named there: the metrics
// library never drops a series, and names would add one for each account that was ever among the first.
const topAccounts = 10

// accountMeters are the gauges of client accounts.
type accountMeters struct {
	atLimit, aboveShare, limitedTasks tally.Gauge
	cores                             [topAccounts]tally.Gauge // by rank
}

func newAccountMeters(s tally.Scope) accountMeters {
	m := accountMeters{atLimit: s.Gauge("accounts_at_limit"), aboveShare: s.Gauge("accounts_above_share"), limitedTasks: s.Gauge("tasks_limited")}
	for i := range m.cores {
		m.cores[i] = s.Tagged(map[string]string{"rank": strconv.Itoa(i + 1)}).Gauge("account_cores")
	}
	return m
}

// setAccounts sets the gauges of client accounts to a snapshot.
func (m *Meters) setAccounts(s *Accounts) {
	atLimit, above, tasks := 0, 0, 0
	cores := make([]int64, 0, len(s.All))
	for i := range s.All {
		a := &s.All[i]
		if a.Blocked > 0 {
			atLimit++
		}
		if a.Above {
			above++
		}
		tasks += a.Blocked
		cores = append(cores, a.Used.Cores)
	}
	m.accounts.atLimit.Update(float64(atLimit))
	m.accounts.aboveShare.Update(float64(above))
	m.accounts.limitedTasks.Update(float64(tasks))
	slices.SortFunc(cores, func(a, b int64) int { return cmp.Compare(b, a) })
	for i, g := range m.accounts.cores {
		used := int64(0)
		if i < len(cores) {
			used = cores[i]
		}
		g.Update(float64(used) / 1000)
	}
}
