package agent

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against jobs that do not get from a caller through any entry to the executors, or whose
// steps run out of order.
func TestJobsAreServedThroughAnyEntry(t *testing.T) {
	r := newRig(t, 3, map[string]int{"pool-a": 2, "pool-b": 2})
	body := `{"spec":"x","phases":[{"count":3,"cpu":1000,"estimate_ms":50},{"count":2,"cpu":500,"estimate_ms":50,"after":[0]}]}`
	for i := range 6 {
		status, _, _ := r.request(i%3, http.MethodPost, jobPath("a", i), body)
		assert.Equal(t, status, http.StatusOK)
	}
	for i := range 6 {
		r.until("job is complete", func() bool { return r.jobState((i+1)%3, jobPath("a", i)) == "complete" })
		assert.Equal(t, r.platform.Starts(fmt.Sprintf("%016x", i)), 5)
	}
	status, body, _ := r.request(0, http.MethodGet, "/a/", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, `{"pending":0}`)
	r.assertNoViolations()
}

// Guards against a repeated submission that becomes a second job, and against wrong answers for
// unknown jobs and queues and for malformed requests.
func TestAnswersToCallers(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 1, "pool-b": 1})
	for i := range 4 {
		status, _, _ := r.request(i%2, http.MethodPost, jobPath("a", 1), oneStepJob)
		assert.Equal(t, status, http.StatusOK)
	}
	r.until("job is complete", func() bool { return r.jobState(0, jobPath("a", 1)) == "complete" })
	assert.Equal(t, r.platform.Starts(fmt.Sprintf("%016x", 1)), 3)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{http.MethodGet, jobPath("a", 2), "", http.StatusGone},
		{http.MethodDelete, jobPath("a", 2), "", http.StatusGone},
		{http.MethodGet, jobPath("none", 2), "", http.StatusNotFound},
		{http.MethodPost, "/a/xyz", oneStepJob, http.StatusBadRequest},
		{http.MethodPost, jobPath("a", 3), `{"phases":[]}`, http.StatusBadRequest},
		{http.MethodPost, jobPath("a", 3), `{"phases":[{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		{http.MethodPost, jobPath("a", 3), `{`, http.StatusBadRequest},
	} {
		status, _, _ := r.request(0, c.method, c.path, c.body)
		assert.Equal(t, status, c.status, "%s %s", c.method, c.path)
	}
	r.assertNoViolations()
}

// Guards against a cancel that leaves tasks running, and against a long-running job whose lost
// tasks are not started again.
func TestLongRunningJobRunsUntilCancelled(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 3, "pool-b": 1})
	r.platform.Plan = func(string, string) fake.RunPlan { return fake.RunPlan{} }
	status, _, _ := r.request(0, http.MethodPost, jobPath("a", 1), `{"phases":[{"count":3,"cpu":1000,"long_running":true,"max_per_server":1}]}`)
	assert.Equal(t, status, http.StatusOK)
	id := fmt.Sprintf("%016x", 1)
	r.until("all tasks run", func() bool { return r.platform.Running(id) == 3 })
	r.platform.Crash("m-pool-a-0", 100*time.Millisecond)
	r.until("the lost task runs again", func() bool { return r.platform.Running(id) == 3 && r.platform.Starts(id) == 4 })
	status, _, _ = r.request(1, http.MethodDelete, jobPath("a", 1), "")
	assert.Equal(t, status, http.StatusOK)
	r.until("no task runs", func() bool { return r.platform.Running(id) == 0 })
	r.until("the end is shown", func() bool { return r.jobState(0, jobPath("a", 1)) == "cancelled" })
	r.assertNoViolations()
}

// Guards against jobs that are lost and tasks that run twice when the leader crashes, and when all
// entries crash after that.
func TestLeadersEndWhileJobsRun(t *testing.T) {
	r := newRig(t, 3, map[string]int{"pool-a": 2, "pool-b": 2})
	r.platform.Plan = func(string, string) fake.RunPlan {
		return fake.RunPlan{Duration: 700 * time.Millisecond, Result: "done"}
	}
	n := 0
	submit := func(entry int) {
		r.until("job is accepted", func() bool {
			status, _, _ := r.request(entry, http.MethodPost, jobPath("a", n), oneStepJob)
			return status == http.StatusOK
		})
		n++
	}
	for range 4 {
		submit(n % 3)
	}
	time.Sleep(200 * time.Millisecond)
	old := r.leader()
	r.kill(r.entries[old])
	r.entries[old] = nil
	// Jobs are accepted while there is no leader.
	submit((old + 1) % 3)
	r.until("another entry leads", func() bool { return r.leader() >= 0 })
	r.start(old)
	time.Sleep(300 * time.Millisecond)
	for i, a := range r.entries {
		r.kill(a)
		r.entries[i] = nil
	}
	for i := range r.entries {
		r.start(i)
	}
	for i := range n {
		r.until("job is complete", func() bool { return r.jobState(i%3, jobPath("a", i)) == "complete" })
	}
	r.assertNoViolations()
}

// Guards against a leader that is cut off from the store and continues to lead. Such an entry
// answered cancels with 410 for jobs that its successor had accepted.
func TestAnswersOfACutOffLeader(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 2, "pool-b": 1})
	old := r.leader()
	r.storeProxies[old].Set(fake.Faults{Unresponsive: true})
	other := 1 - old
	r.until("the other entry leads", func() bool { return r.entries[other].localLeader() != nil })
	status, _, _ := r.request(other, http.MethodPost, jobPath("a", 7), oneStepJob)
	assert.Equal(t, status, http.StatusOK)
	for range 5 {
		status, _, _ = r.request(old, http.MethodDelete, jobPath("a", 8), "")
		assert.Assert(t, status != http.StatusGone || r.entries[old].localLeader() == nil, "a leader that is cut off says that a job does not exist")
	}
	r.until("job is complete", func() bool { return r.jobState(other, jobPath("a", 7)) == "complete" })
	// The old leader still can't reach the store, so it learns of the new leader only from the
	// announcement.
	r.until("a job is accepted through the old leader's entry", func() bool {
		status, _, _ := r.request(old, http.MethodPost, jobPath("a", 9), oneStepJob)
		return status == http.StatusOK
	})
	assert.Assert(t, r.entries[old].localLeader() == nil)
	r.assertNoViolations()
}

// Guards against jobs that are lost or run twice while the store fails, is slow or loses answers,
// and against requests that wait although nothing can be stored.
func TestStoreFaults(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 2, "pool-b": 2})
	accepted := map[int]bool{}
	n := 0
	submit := func() int {
		status, _, _ := r.request(n%2, http.MethodPost, jobPath("b", n), oneStepJob)
		if status == http.StatusOK {
			accepted[n] = true
		}
		n++
		return status
	}
	for _, f := range []fake.Faults{{LoseAnswers: true}, {Busy: true}, {Delay: 150 * time.Millisecond}} {
		assert.Equal(t, submit(), http.StatusOK)
		r.platform.Store.Set(f)
		time.AfterFunc(1200*time.Millisecond, func() { r.platform.Store.Set(fake.Faults{}) })
		for range 4 {
			submit()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(1300 * time.Millisecond)
		r.until("jobs are accepted again", func() bool { return submit() == http.StatusOK })
	}
	for i := range accepted {
		r.until("job is complete", func() bool { return r.jobState(i%2, jobPath("b", i)) == "complete" })
	}
	r.assertNoViolations()
}

// Guards against a cancel that is missed because its record was deleted from the store's history
// before the leader read it.
func TestHistoryIsDropped(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 2, "pool-b": 2})
	r.platform.Plan = func(string, string) fake.RunPlan { return fake.RunPlan{} }
	status, _, _ := r.request(0, http.MethodPost, jobPath("a", 1), oneStepJob)
	assert.Equal(t, status, http.StatusOK)
	id := fmt.Sprintf("%016x", 1)
	r.until("all tasks run", func() bool { return r.platform.Running(id) == 3 })
	// An entry without a leader stores the cancel, and its record is deleted at once.
	r.platform.Store.PutPartition("keyed.chervilgauge.jobs", 1, id+"!", []byte{0x22, 0x02, 0x08, 0x01})
	r.platform.Store.Truncate("keyed.chervilgauge.jobs", 1)
	r.until("no task runs", func() bool { return r.platform.Running(id) == 0 })
	r.until("the end is shown", func() bool { return r.jobState(0, jobPath("a", 1)) == "cancelled" })
}

// Guards against a second run of a task whose start was carried out but not answered.
func TestStartsWithoutAnswer(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 3, "pool-b": 1})
	r.platform.Plan = func(string, string) fake.RunPlan {
		return fake.RunPlan{Duration: 300 * time.Millisecond, Result: "done"}
	}
	lossy := r.platform.Executor("m-pool-a-0")
	lossy.Set(fake.Faults{LoseAnswers: true})
	time.AfterFunc(900*time.Millisecond, func() { lossy.Set(fake.Faults{}) })
	for i := range 8 {
		status, _, _ := r.request(i%2, http.MethodPost, jobPath("a", i), oneStepJob)
		assert.Equal(t, status, http.StatusOK)
	}
	for i := range 8 {
		r.until("job is complete", func() bool { return r.jobState(0, jobPath("a", i)) == "complete" })
	}
	r.assertNoViolations()
}

// Guards against waves that are not carried out, take down more instances at a time than allowed,
// or make more tasks of a step unavailable than allowed.
func TestWave(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 3, "pool-b": 2, "rest": 2})
	r.platform.Plan = func(string, string) fake.RunPlan { return fake.RunPlan{} }
	status, _, _ := r.request(0, http.MethodPost, jobPath("a", 1), `{"phases":[{"count":2,"cpu":1000,"long_running":true,"max_unavailable":1}]}`)
	assert.Equal(t, status, http.StatusOK)
	id := fmt.Sprintf("%016x", 1)
	r.until("all tasks run", func() bool { return r.platform.Running(id) == 2 })
	r.platform.Store.Put(platform.OperatorTopic, "wave/1",
		[]byte(`{"wave":1,"machines":["m-pool-a-0","m-pool-a-1","m-pool-a-2","m-rest-0"],"deadline_s":20,"max_count":2}`))
	r.until("the wave is complete", func() bool {
		return string(r.platform.Store.Value(platform.StatusTopic, "wave/1")) == `{"wave":1,"state":"complete"}`
	})
	assert.Equal(t, len(r.platform.MaintainedMachines(1)), 4)
	r.until("all tasks run", func() bool { return r.platform.Running(id) == 2 })
	r.assertNoViolations()
}

// Guards against a configuration that is not in force on every entry within its bound.
func TestConfigurationIsInForce(t *testing.T) {
	r := newRig(t, 3, map[string]int{"pool-a": 1, "pool-b": 1})
	r.configure("/new/")
	begin := time.Now()
	for i := range r.entries {
		r.until("the queue is there", func() bool {
			status, _, _ := r.request(i, http.MethodGet, "/new/", "")
			return status == http.StatusOK
		})
	}
	assert.Assert(t, time.Since(begin) < r.settings[0].Bounds.ConfigApply)
}

// Guards against an entry that can't read the store and does not get the configuration from the
// leader, and against a leader that sends it to entries which read it themselves: a large
// configuration, sent to 35 entries three times a second, kept a leader from answering.
func TestLeaderSendsTheConfigurationWhereTheStoreDoesNot(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 1, "pool-b": 1})
	other := 1 - r.leader()
	assert.Equal(t, r.entries[other].wantedConfigAbove(), int64(math.MaxInt64))
	r.storeProxies[other].Set(fake.Faults{Unresponsive: true})
	r.until("the store counts as unresponsive", func() bool { return r.entries[other].wantedConfigAbove() < math.MaxInt64 })
	r.configure("/new/")
	begin := time.Now()
	r.until("the queue is there", func() bool {
		status, _, _ := r.request(other, http.MethodGet, "/new/", "")
		return status == http.StatusOK
	})
	assert.Assert(t, time.Since(begin) < r.settings[0].Bounds.ConfigApply)
}

// Guards against a planned stop that cuts off requests or leaves a long time without a leader.
func TestPlannedStopHandsOver(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 2, "pool-b": 1})
	old := r.leader()
	closed := make(chan error, 1)
	begin := time.Now()
	go func() { closed <- r.entries[old].Close() }()
	r.until("the other entry leads", func() bool { return r.entries[1-old].localLeader() != nil })
	assert.Assert(t, time.Since(begin) < 1500*time.Millisecond, "took %s", time.Since(begin))
	status, _, _ := r.request(old, http.MethodPost, jobPath("a", 1), oneStepJob)
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, <-closed)
	r.entries[old] = nil
	r.until("job is complete", func() bool { return r.jobState(1-old, jobPath("a", 1)) == "complete" })
	r.assertNoViolations()
}

// Guards against a wave that never ends because it waits until all executors of a step with many
// tasks have answered at the same time (37 of 182 instances were left in a simulation).
func TestWaveOfAWideStep(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 10, "pool-b": 1})
	r.platform.Plan = func(string, string) fake.RunPlan { return fake.RunPlan{} }
	status, _, _ := r.request(0, http.MethodPost, jobPath("a", 1),
		`{"phases":[{"count":9,"cpu":1000,"long_running":true,"max_per_server":1,"max_unavailable":1}]}`)
	assert.Equal(t, status, http.StatusOK)
	id := fmt.Sprintf("%016x", 1)
	r.until("all tasks run", func() bool { return r.platform.Running(id) == 9 })
	r.platform.Store.Put(platform.OperatorTopic, "wave/1",
		[]byte(`{"wave":1,"machines":["m-pool-a-0","m-pool-a-1","m-pool-a-2","m-pool-a-3"],"deadline_s":20,"max_count":4}`))
	r.until("the wave is complete", func() bool { return len(r.platform.MaintainedMachines(1)) == 4 })
	r.assertNoViolations()
}

// Guards against a task that starts on an executor that the queue's policy does not allow, without
// a ticket or with an expired one.
func TestStartsNeedTickets(t *testing.T) {
	r := newRig(t, 1, map[string]int{"pool-a": 4, "pool-b": 1})
	r.platform.RequiresTickets = true
	r.adviceField = `,"advice":{"decision_ms":5,"per_worker_ms":1,"valid_ms":400}`
	r.configure("")
	r.platform.Plan = func(string, string) fake.RunPlan {
		return fake.RunPlan{Duration: 150 * time.Millisecond, Result: "done"}
	}
	r.until("the configuration is in force", func() bool { return r.entries[0].Config().Queues[0].Advice != nil })
	for i := range 3 {
		status, _, _ := r.request(0, http.MethodPost, jobPath("a", i), `{"phases":[{"count":30,"cpu":2000,"estimate_ms":150},{"count":2,"cpu":500,"after":[0]}]}`)
		assert.Equal(t, status, http.StatusOK)
	}
	for i := range 3 {
		r.until("job is complete", func() bool { return r.jobState(0, jobPath("a", i)) == "complete" })
	}
	r.assertNoViolations()
}

// Guards against changed settings that are not applied on reload. The store has another address
// here.
func TestReloadTakesOverAddresses(t *testing.T) {
	r := newRig(t, 1, map[string]int{"pool-a": 1, "pool-b": 1})
	moved := r.platform.NewStoreProxy()
	set := r.settings[0]
	set.Store.Addr = moved.Addr()
	r.storeProxies[0].Set(fake.Faults{Busy: true})
	r.entries[0].Reload(set)
	r.until("a job is accepted", func() bool {
		status, _, _ := r.request(0, http.MethodPost, jobPath("a", 1), oneStepJob)
		return status == http.StatusOK
	})
	r.until("job is complete", func() bool { return r.jobState(0, jobPath("a", 1)) == "complete" })
}

// Guards against a new leader that exceeds a wave's limit because it does not count the instances
// that its predecessor took down.
func TestWaveKeepsItsLimitAcrossLeaders(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 8, "pool-b": 1})
	r.platform.MoveTime = 5 * time.Second
	// Long-running tasks keep the instances in their pool.
	r.platform.Plan = func(string, string) fake.RunPlan { return fake.RunPlan{} }
	status, _, _ := r.request(0, http.MethodPost, jobPath("a", 1), `{"phases":[{"count":8,"cpu":1000,"long_running":true,"max_per_server":1}]}`)
	assert.Equal(t, status, http.StatusOK)
	r.until("all tasks run", func() bool { return r.platform.Running(fmt.Sprintf("%016x", 1)) == 8 })
	r.platform.Store.Put(platform.OperatorTopic, "wave/1", []byte(`{"wave":1,"machines":["m-pool-a-0","m-pool-a-1","m-pool-a-2",`+
		`"m-pool-a-3","m-pool-a-4","m-pool-a-5"],"deadline_s":10,"max_count":2}`))
	r.until("two instances are down", func() bool { return len(r.platform.MaintainedMachines(1)) == 2 })
	old := r.leader()
	r.kill(r.entries[old])
	r.entries[old] = nil
	r.until("the wave goes on", func() bool {
		assert.Assert(t, r.platform.InMaintenance() <= 2)
		return len(r.platform.MaintainedMachines(1)) >= 4
	})
}

// Guards against a new leader that stops a long-running task of a step while a stop by its
// predecessor is in progress on another task, which its executor still lists as running.
func TestStopsOfTheFormerLeaderCount(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 6, "pool-b": 1})
	r.platform.OneStopPerStep = true
	r.platform.StopTime = 1400 * time.Millisecond
	r.platform.Plan = func(string, string) fake.RunPlan { return fake.RunPlan{} }
	status, _, _ := r.request(0, http.MethodPost, jobPath("a", 1),
		`{"phases":[{"count":4,"cpu":1000,"long_running":true,"max_per_server":1,"max_unavailable":1}]}`)
	assert.Equal(t, status, http.StatusOK)
	id := fmt.Sprintf("%016x", 1)
	r.until("all tasks run", func() bool { return r.platform.Running(id) == 4 })
	r.platform.Store.Put(platform.OperatorTopic, "wave/1", []byte(`{"wave":1,"machines":["m-pool-a-0","m-pool-a-1","m-pool-a-2",`+
		`"m-pool-a-3","m-pool-a-4","m-pool-a-5"],"deadline_s":10,"max_count":6}`))
	r.until("a task is stopped", func() bool { return r.platform.Stops() > 0 })
	old := r.leader()
	go func() { _ = r.entries[old].Close() }()
	r.until("the other entry leads", func() bool { return r.entries[1-old].localLeader() != nil })
	r.until("all were down", func() bool { return len(r.platform.MaintainedMachines(1)) == 6 })
	r.assertNoViolations()
	r.entries[old] = nil
}
