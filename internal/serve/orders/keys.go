package orders

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// KeysSince returns, by account, the version of the configuration since which its set of keys has been in
// force, of the versions that this process has read. The caller must not modify the map.
func (o *Orders) KeysSince() map[string]int64 {
	if p := o.keysSince.Load(); p != nil {
		return *p
	}
	return nil
}

// keysSince returns the versions since which the keys of the accounts of a configuration have not changed.
// old is the configuration before, or nil, and since are its versions.
func keysSince(old *model.Config, since map[string]int64, next *model.Config) map[string]int64 {
	out := make(map[string]int64, len(next.Accounts))
	for i := range next.Accounts {
		a := &next.Accounts[i]
		out[a.Name] = next.Version
		if old == nil {
			continue
		}
		if former := old.AccountByName(a.Name); former != nil && hasSameKeys(old, former, a) {
			out[a.Name] = since[a.Name]
		}
	}
	return out
}

// hasSameKeys reports whether an account has the keys of a former one, in any order.
func hasSameKeys(old *model.Config, former, a *model.Account) bool {
	return len(former.Keys) == len(a.Keys) &&
		!slices.ContainsFunc(a.Keys, func(d model.KeyDigest) bool { return old.AccountByKey(d) != former })
}
