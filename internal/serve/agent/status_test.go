package agent

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/leader"
)

// Guards against a status that is encoded for each request: clients that don't read it would hold one each.
func TestStatusIsSharedByRequests(t *testing.T) {
	a := newRig(t, 1, nil).entries[0]
	s := &leader.Accounts{All: make([]leader.Account, 3)}
	first, err := a.encodeStatus(s)
	assert.NilError(t, err)
	second, err := a.encodeStatus(s)
	assert.NilError(t, err)
	assert.Assert(t, &first[0] == &second[0])
	third, err := a.encodeStatus(&leader.Accounts{})
	assert.NilError(t, err)
	assert.Assert(t, len(third) < len(first))
}

// get requests a page from the metrics port of an entry.
func (r *rig) get(entry, port int, path string) string {
	r.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", r.settings[entry].IP, port, path))
	assert.NilError(r.t, err)
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	assert.NilError(r.t, err)
	return string(out)
}

// Guards against a status without an account's use, a follower that doesn't name the leader, a status or
// metrics with a key or its digest, and metrics with names of accounts.
func TestStatusShowsAccountsWithoutKeys(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 1, "pool-b": 1})
	leads := r.leader()
	r.limitAccount(2000)
	ports := freePorts(t, 2)
	for i, a := range r.entries {
		a.metricsPort = ports[i]
		assert.NilError(t, a.serveMetrics())
		r.untilFollowed(i, leads)
	}
	r.submitFor(leads, "qa", 1, 6, 1000, false)
	type status struct {
		Leader, Address string
		Leads           bool
		Version, Age    int64
		Connections     int
		Accounts        []struct {
			Name    string
			Running struct{ Cores, Tasks int64 }
			Waiting struct{ Blocked int64 }
			Limit   struct{ Cores int64 }
			Keys    int
			Since   int64
		}
	}
	get := func(entry int) (out status) {
		assert.NilError(t, json.Unmarshal([]byte(r.get(entry, ports[entry], "/status")), &out))
		return out
	}
	r.until("the account is at its limit", func() bool {
		s := get(leads)
		assert.Assert(t, s.Leads && len(s.Accounts) == 1)
		a := s.Accounts[0]
		assert.Equal(t, fmt.Sprint(a.Name, a.Limit.Cores, a.Keys, a.Since), fmt.Sprint("a", 2000, 1, r.version))
		return a.Running.Cores == 2000 && a.Running.Tasks == 2 && a.Waiting.Blocked > 0
	})
	other := get(1 - leads)
	assert.Assert(t, !other.Leads && len(other.Accounts) == 0 && other.Version == int64(r.version) && other.Age >= 0 && other.Connections > 0)
	assert.Equal(t, fmt.Sprint(other.Leader, other.Address), fmt.Sprint(r.entries[leads].elector.Leader().Name, r.entries[leads].elector.Leader().Addr))
	r.until("the metrics have the accounts", func() bool {
		return strings.Contains(r.get(leads, ports[leads], "/metrics"), "chervilgauge_tasks_limited")
	})
	all := r.get(leads, ports[leads], "/status") + r.get(leads, ports[leads], "/metrics")
	digest := model.DigestKey(r.key)
	for _, secret := range []string{`"k"`, fmt.Sprintf("%x", digest[:4]), base64.StdEncoding.EncodeToString(digest[:6]), fmt.Sprintf("%d,%d,%d", digest[0], digest[1], digest[2])} {
		assert.Assert(t, !strings.Contains(all, secret), secret)
	}
	assert.Assert(t, !strings.Contains(r.get(leads, ports[leads], "/metrics"), `="a"`))
}
