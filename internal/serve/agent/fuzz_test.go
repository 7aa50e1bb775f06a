package agent

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/serve/leader"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a leader that ends because of a registration with a negative rank: the rank is an
// index in the choice of entries that make calls.
func TestRegistrationHasNoNegativeRank(t *testing.T) {
	assert.Equal(t, decodeRegistration([]byte("127.0.0.1:1 -1 c")), registration{addr: "127.0.0.1:1", centre: "c"})
}

// Whatever is stored as a registration, its rank is not negative, and what an entry encodes is
// decoded again.
func FuzzRegistration(f *testing.F) {
	f.Add([]byte("127.0.0.1:4000 1 north"))
	f.Add([]byte("127.0.0.1:4000"))
	f.Add([]byte("a -9223372036854775809 c d"))
	f.Add([]byte(""))
	f.Fuzz(func(t *testing.T, value []byte) {
		r := decodeRegistration(value)
		assert.Assert(t, r.rank >= 0)
		assert.Equal(t, decodeRegistration(r.encode()), r)
	})
}

// Guards against malformed records that end an entry, stop the election or keep a new leader from
// loading its state.
func TestMalformedRecordsStopNothing(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 2, "pool-b": 1})
	former := r.leader()
	garbage := []string{"x", "\xff\xfe\x00", "null", "{", `{"service":1}`, `{"token":18446744073709551615}`, "a -1 b", "99999999999999999999 e"}
	for _, keys := range []struct {
		topic string
		part  int
		keys  []string
	}{
		{platform.OperatorTopic, 0, []string{"config", "wave/1", "other", ""}}, {platform.ExecutorTopic, 0, []string{"bad", ""}},
		{leader.Topic, 0, []string{"j", "j/0", "j/x", "j!", "j~", "wave.x", "wave.order.m", ""}},
		{leader.Topic, leader.LeaderlessPart(r.settings[0].Store.Parts), []string{"j", "j/0", "j!", "j~", ""}},
		{entriesTopic, 0, []string{"e", ""}}, {"chervilgauge.leader", 0, []string{"e"}},
	} {
		for _, key := range keys.keys {
			for _, value := range garbage {
				r.platform.Store.PutPartition(keys.topic, keys.part, key, []byte(value))
			}
		}
	}
	runJob := func(n, entry int) {
		r.until("the job is stored", func() bool {
			status, _, _ := r.request(entry, http.MethodPost, jobPath("a", n), oneStepJob)
			return status == http.StatusOK
		})
		r.until("the job is complete", func() bool { return r.jobState(entry, jobPath("a", n)) == "complete" })
	}
	runJob(1, 0)
	runJob(2, 1)
	r.kill(r.entries[former])
	r.entries[former] = nil
	runJob(3, 1-former)
	assert.Equal(t, r.jobState(1-former, jobPath("a", 1)), "complete")
	r.assertNoViolations()
}

// Guards against a submission that ends the leader, and each of its successors: it was stored before its
// tasks, of which there are too many, were allocated.
func TestHostileSubmissionsAreRefused(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 2, "pool-b": 1})
	for i, body := range []string{
		`{"phases":[{"count":4611686018427387904},{"count":4611686018427387904}]}`, `{"phases":[{"count":2147483647}]}`,
		`{"phases":[{"count":1}],"repeats":2147483647}`, `{"phases":[{"count":1}],"repeats":1000000,"period_ms":1e300}`,
		`{"phases":[{"count":1,"cpu":9223372036854775807}]}`, `{"phases":[{"count":1,"after":[-1]}]}`, `[]`, "\x00",
	} {
		for entry := range 2 {
			status, _, _ := r.request(entry, http.MethodPost, jobPath("a", i), body)
			assert.Equal(t, status, http.StatusBadRequest, body)
		}
	}
	status, _, _ := r.request(0, http.MethodPost, jobPath("a", 99), oneStepJob)
	assert.Equal(t, status, http.StatusOK)
	r.until("the job is complete", func() bool { return r.jobState(1, jobPath("a", 99)) == "complete" })
	r.assertNoViolations()
}
