package soak

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// accounts is the number of client accounts.
	accounts = 4
	// revoke is the time from which on no call with a removed key may succeed. It is shorter than on the
	// platform, so that the faults of a plan, of up to some 4 s, outlast it.
	revoke = 2500 * time.Millisecond
)

func accountName(account int) string { return fmt.Sprint("account-", account) }

// keptKey returns the key that an account has in all configurations, and changingKey the one that the
// operator removes and adds.
func keptKey(account int) string     { return fmt.Sprint("kept-key-of-account-", account) }
func changingKey(account int) string { return fmt.Sprint("changing-key-of-account-", account) }

// probeKey asks for the state of a job, or for the pending jobs if there is none, with the changing key of an
// account, and checks the answer. An entry that was suspended gets the state from the leader even if its
// own configuration is old.
func (r *run) probeKey(c *caller, e *entry) {
	r.probeAccountKey(c, e, c.rng.IntN(accounts))
}

// probeAccountKey does so with the changing key of a given account.
func (r *run) probeAccountKey(c *caller, e *entry, account int) {
	with := *c
	with.key = changingKey(account)
	path := queues[0].Prefix
	if j := c.pick(); j != nil {
		path = j.path
	}
	begin := r.clk.Now()
	status, _ := with.call(e.index, http.MethodGet, path, nil, callTimeout)
	r.checkKey(e.name, account, status, begin)
}

// checkKey checks the answer to a call that was sent with an account's changing key at a time or later.
func (r *run) checkKey(entry string, account, status int, sent time.Duration) {
	some, all := r.operator.keyHistory(account, sent-revoke)
	switch {
	case status/100 == 2 && !some:
		r.found("REVOKED", "", "%s answered with %d at %s to a key of account-%d that was removed more than %s before the call at %s", entry, status, r.clk.Now(), account, revoke, sent)
	case status == http.StatusUnauthorized && all:
		r.found("KEY", "", "%s refused the key of account-%d at %s, which has been valid since before %s", entry, account, r.clk.Now(), sent-revoke)
	}
}

// keyHistory reports whether some and whether all versions that were in force at a time or later have an
// account's changing key.
func (o *operator) keyHistory(account int, since time.Duration) (some, all bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	all = true
	for i := len(o.all) - 1; i >= 0; i-- {
		has := o.all[i].keys[account]
		some, all = some || has, all && has
		if o.all[i].at < since {
			break
		}
	}
	return some, all
}
