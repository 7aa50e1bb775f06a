package agent

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/front"
	"chervilgauge.example/chervilgauge/internal/serve/leader"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

const (
	keptKey, removedKey = "a-key-that-stays-on-", "a-key-that-is-taken-"
	// testRevoke is above the time between two reads of the store, 0.8 s, and below the time for which
	// tests wait.
	testRevoke = 2500 * time.Millisecond
)

func setStrict(s *platform.Settings) { s.Bounds.StrictRevoke, s.Bounds.Revoke = true, testRevoke }

// setKeys writes a configuration with two accounts, of which one has the key that is removed later, and
// waits until an entry has it.
func (r *rig) setKeys(removed bool, entries ...*Agent) {
	r.t.Helper()
	other := removedKey
	if removed {
		other = "another-key"
	}
	r.accounts = fmt.Sprintf(`,"tenants":[{"name":"acme","api_keys":["%s"],"weight":1},{"name":"globex","api_keys":["%s"]}]`, keptKey, other)
	r.configure("")
	for _, a := range entries {
		r.until("the keys are in force", func() bool { return a.configVersion() == int64(r.version) })
	}
}

// check returns how the check of a key in a request for a queue's pending jobs ends. Whether their number
// is known does not matter.
func (r *rig) check(entry int, key, path string) front.Refusal {
	r.key = key
	defer func() { r.key = "" }()
	status, body, _ := r.request(entry, http.MethodGet, path, "")
	switch {
	case status == http.StatusUnauthorized:
		return front.InvalidKey
	case strings.Contains(body, "keys can't be checked"), strings.Contains(body, "no configuration yet"):
		assert.Equal(r.t, status, http.StatusServiceUnavailable)
		return front.StaleView
	}
	assert.Assert(r.t, status == http.StatusOK || strings.Contains(body, "the number is not known"), "%d %s", status, body)
	return front.Accepted
}

func (r *rig) assertNoKeysInLog() {
	r.t.Helper()
	for _, key := range []string{keptKey, removedKey} {
		assert.Assert(r.t, !strings.Contains(r.log.String(), key))
		assert.Assert(r.t, !strings.Contains(r.log.String(), fmt.Sprintf("%x", model.DigestKey(key))))
	}
}

// Guards against a removed key that stays valid, or a valid one that is refused, at an entry which reads
// the store, at one which has to ask the leader, at one that starts while the store refuses it, and at one
// that reaches neither; and against an entry whose calls to anonymous queues fail then.
func TestRemovedKeysAreRefusedWhateverAnEntryReaches(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 1, "pool-b": 1}, setStrict)
	lead := r.leader()
	other := 1 - lead
	r.untilFollowed(other, lead)
	r.setKeys(false, r.entries...)
	for _, e := range []int{lead, other} {
		assert.Equal(t, r.check(e, keptKey, "/a/"), front.Accepted)
		assert.Equal(t, r.check(e, removedKey, "/a/"), front.Accepted)
		assert.Equal(t, r.check(e, "", "/a/"), front.InvalidKey)
		assert.Equal(t, r.check(e, "", "/open/"), front.Accepted)
	}
	// The other entry reads the configuration of the leader from now on.
	r.storeProxies[other].Set(fake.Faults{Busy: true})
	for end := time.Now().Add(testRevoke * 3 / 2); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		assert.Equal(t, r.check(other, keptKey, "/a/"), front.Accepted)
	}
	r.setKeys(true)
	time.Sleep(testRevoke)
	for _, e := range []int{lead, other} {
		assert.Equal(t, r.check(e, removedKey, "/a/"), front.InvalidKey)
		assert.Equal(t, r.check(e, keptKey, "/a/"), front.Accepted)
	}
	r.kill(r.entries[other])
	r.start(other)
	// The leader announces itself to it, so that it gets the configuration although the store refuses it.
	r.until("the restarted entry accepts a key", func() bool {
		assert.Assert(t, r.check(other, removedKey, "/a/") != front.Accepted)
		return r.check(other, keptKey, "/a/") == front.Accepted
	})
	for end := time.Now().Add(testRevoke * 3 / 2); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		assert.Equal(t, r.check(other, removedKey, "/a/"), front.InvalidKey)
		assert.Equal(t, r.check(other, keptKey, "/a/"), front.Accepted)
	}
	r.storeProxies[other].Set(fake.Faults{})
	r.until("keys are accepted", func() bool { return r.check(other, keptKey, "/a/") == front.Accepted })
	assert.Equal(t, r.check(other, removedKey, "/a/"), front.InvalidKey)
	r.storeProxies[other].Set(fake.Faults{Busy: true})
	r.storeProxies[lead].Set(fake.Faults{Busy: true})
	r.until("the view of the other entry is stale", func() bool {
		return r.check(other, keptKey, "/a/") == front.StaleView
	})
	age, ok := r.entries[other].orders.ViewAge()
	assert.Assert(t, ok && age > testRevoke/2, age)
	assert.Equal(t, r.check(other, "", "/open/"), front.Accepted)
	for _, p := range r.storeProxies {
		p.Set(fake.Faults{})
	}
	r.until("keys are accepted again", func() bool { return r.check(other, keptKey, "/a/") == front.Accepted })
	r.assertNoKeysInLog()
}

// Guards against a view that is extended by a leader of an earlier version, which does not say how old its
// own is, and against a newer configuration of such a leader that is not put into force.
func TestLeaderOfAnEarlierVersionDoesNotExtendTheView(t *testing.T) {
	former := serveStandIn(t, relay.NotLeader)
	r := startFollower(t, former.addr)
	a := r.entries[0]
	r.platform.Store.Set(fake.Faults{Unresponsive: true})
	former.configVersion.Store(7)
	former.digest.Store(&relay.Digest{Leads: true, Token: 1, Addr: former.addr, Config: []byte(`{"version":7}`)})
	r.until("the configuration is in force", func() bool { return a.configVersion() == 7 })
	r.until("the view is old", func() bool {
		age, ok := a.orders.ViewAge()
		return ok && age > testRevoke
	})
	former.digest.Store(&relay.Digest{Leads: true, Token: 1, Addr: former.addr, HasView: true, ViewAge: time.Second})
	r.until("the view is extended", func() bool {
		age, _ := a.orders.ViewAge()
		return age < 2*time.Second
	})
}

// Guards against an accepted job whose record has no account or another one, at the leader, at an entry
// that sends it to the leader, and at one that has no leader.
func TestRecordsHaveTheAccount(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 1, "pool-b": 1}, setStrict)
	lead := r.leader()
	r.untilFollowed(1-lead, lead)
	r.setKeys(false, r.entries...)
	submit := func(entry, n int, key, path string) string {
		r.key = key
		defer func() { r.key = "" }()
		status, _, _ := r.request(entry, http.MethodPost, jobPath(path, n), oneStepJob)
		assert.Equal(t, status, http.StatusOK)
		return fmt.Sprintf("%016x", n)
	}
	want := map[string]string{
		submit(lead, 1, keptKey, "a"): "acme", submit(1-lead, 2, removedKey, "a"): "globex",
		submit(1-lead, 3, keptKey, "open"): "acme", submit(lead, 4, "", "open"): "",
	}
	r.kill(r.entries[lead])
	r.entries[lead] = nil
	want[submit(1-lead, 5, removedKey, "a")] = "globex"
	assert.Assert(t, strings.Contains(r.log.String(), "job is stored without the leader"))
	stored := map[string]string{}
	for _, part := range []int{0, leader.LeaderlessPart(r.settings[0].Store.Parts)} {
		rs, _, err := r.entries[1-lead].client.Read(context.Background(), leader.Topic, part, 0, 0, time.Second)
		assert.NilError(t, err)
		for _, record := range rs {
			var w workpb.Record
			if proto.Unmarshal(record.Value, &w) == nil && w.GetWork() != nil {
				stored[track.JobID(record.Key)] = w.GetWork().GetAccount()
			}
		}
	}
	assert.DeepEqual(t, stored, want)
	r.assertNoKeysInLog()
}

// Guards against an entry that refuses calls after a restart because the newest configuration can't be
// decoded, although the leader has the one in force.
func TestRestartedEntryGetsTheConfigurationInForceFromTheLeader(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 1, "pool-b": 1}, setStrict)
	lead := r.leader()
	other := 1 - lead
	r.untilFollowed(other, lead)
	r.setKeys(true, r.entries...)
	r.platform.Store.Put(platform.OperatorTopic, platform.ConfigKey, fmt.Appendf(nil, `{"version":%d,"tenants":[{}]}`, r.version+1))
	r.kill(r.entries[other])
	r.start(other)
	r.until("the restarted entry accepts a key", func() bool { return r.check(other, keptKey, "/a/") == front.Accepted })
	assert.Equal(t, r.check(other, removedKey, "/a/"), front.InvalidKey)
	for end := time.Now().Add(testRevoke * 3 / 2); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		assert.Equal(t, r.check(other, keptKey, "/a/"), front.Accepted)
	}
}
