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

// Guards against a path that does not lead from a caller through any entry to the
// executors and back, steps in order.
func TestJobsAreServedThroughAnyEntry(t *testing.T) {
	r := newRig(t, 3, map[string]int{"pool-a": 2, "pool-b": 2})
	body := `{"spec":"x","phases":[{"count":3,"cpu":1000,"estimate_ms":50},{"count":2,"cpu":500,"estimate_ms":50,"after":[0]}]}`
	for i := range 6 {
		status, _, _ := r.call(i%3, http.MethodPost, path("a", i), body)
		assert.Equal(t, status, http.StatusOK)
	}
	for i := range 6 {
		r.until("job is complete", func() bool { return r.state((i+1)%3, path("a", i)) == "complete" })
		assert.Equal(t, r.world.Starts(fmt.Sprintf("%016x", i)), 5)
	}
	status, body, _ := r.call(0, http.MethodGet, "/a/", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, `{"pending":0}`)
	r.noFaults()
}

// Guards against a repeated submission that becomes a second job, and against answers
// for jobs, queues and bodies that do not exist or can't be read.
func TestAnswersToCallers(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 1, "pool-b": 1})
	for i := range 4 {
		status, _, _ := r.call(i%2, http.MethodPost, path("a", 1), oneStep)
		assert.Equal(t, status, http.StatusOK)
	}
	r.until("job is complete", func() bool { return r.state(0, path("a", 1)) == "complete" })
	assert.Equal(t, r.world.Starts(fmt.Sprintf("%016x", 1)), 3)
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{http.MethodGet, path("a", 2), "", http.StatusGone},
		{http.MethodDelete, path("a", 2), "", http.StatusGone},
		{http.MethodGet, path("none", 2), "", http.StatusNotFound},
		{http.MethodPost, "/a/xyz", oneStep, http.StatusBadRequest},
		{http.MethodPost, path("a", 3), `{"phases":[]}`, http.StatusBadRequest},
		{http.MethodPost, path("a", 3), `{"phases":[{"count":1,"after":[0]}]}`, http.StatusBadRequest},
		{http.MethodPost, path("a", 3), `{`, http.StatusBadRequest},
	} {
		status, _, _ := r.call(0, c.method, c.path, c.body)
		assert.Equal(t, status, c.status, "%s %s", c.method, c.path)
	}
	r.noFaults()
}

// Guards against a cancel that leaves tasks running, and a job that lasts whose tasks
// are not started again.
func TestLastingJobRunsUntilCancelled(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 3, "pool-b": 1})
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{} }
	status, _, _ := r.call(0, http.MethodPost, path("a", 1), `{"phases":[{"count":3,"cpu":1000,"long_running":true,"max_per_server":1}]}`)
	assert.Equal(t, status, http.StatusOK)
	id := fmt.Sprintf("%016x", 1)
	r.until("all tasks run", func() bool { return r.world.Running(id) == 3 })
	r.world.Crash("m-pool-a-0", 100*time.Millisecond)
	r.until("the lost task runs again", func() bool { return r.world.Running(id) == 3 && r.world.Starts(id) == 4 })
	status, _, _ = r.call(1, http.MethodDelete, path("a", 1), "")
	assert.Equal(t, status, http.StatusOK)
	r.until("no task runs", func() bool { return r.world.Running(id) == 0 })
	r.until("the end is shown", func() bool { return r.state(0, path("a", 1)) == "cancelled" })
	r.noFaults()
}

// Guards against a job that is lost, or a task that runs twice, when the leader ends
// without a word, and again when all entries do.
func TestLeadersEndWhileJobsRun(t *testing.T) {
	r := newRig(t, 3, map[string]int{"pool-a": 2, "pool-b": 2})
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{After: 700 * time.Millisecond, How: "done"} }
	n := 0
	submit := func(entry int) {
		r.until("job is accepted", func() bool {
			status, _, _ := r.call(entry, http.MethodPost, path("a", n), oneStep)
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
	// Jobs are accepted while nobody leads.
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
		r.until("job is complete", func() bool { return r.state(i%3, path("a", i)) == "complete" })
	}
	r.noFaults()
}

// Guards against a leader that can't reach the store and goes on, and one that says that
// a job does not exist which its successor accepted (lse-cuciture, scale-2: cancels
// answered with 410 by an entry that was cut off).
func TestAnswersOfACutOffLeader(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 2, "pool-b": 1})
	old := r.leader()
	r.doors[old].Set(fake.Faults{Silent: true})
	other := 1 - old
	r.until("the other entry leads", func() bool { return r.entries[other].leads() != nil })
	status, _, _ := r.call(other, http.MethodPost, path("a", 7), oneStep)
	assert.Equal(t, status, http.StatusOK)
	for range 5 {
		status, _, _ = r.call(old, http.MethodDelete, path("a", 8), "")
		assert.Assert(t, status != http.StatusGone || r.entries[old].leads() == nil, "a leader that is cut off says that a job does not exist")
	}
	r.until("job is complete", func() bool { return r.state(other, path("a", 7)) == "complete" })
	// The store still turns the old leader away, so that it can only be told who leads.
	r.until("a job is accepted through the old leader's entry", func() bool {
		status, _, _ := r.call(old, http.MethodPost, path("a", 9), oneStep)
		return status == http.StatusOK
	})
	assert.Assert(t, r.entries[old].leads() == nil)
	r.noFaults()
}

// Guards against jobs that are lost or run twice while the store is down, slow or loses
// answers, and against a wait where nothing can be stored.
func TestStoreTrouble(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 2, "pool-b": 2})
	accepted := map[int]bool{}
	n := 0
	submit := func() int {
		status, _, _ := r.call(n%2, http.MethodPost, path("b", n), oneStep)
		if status == http.StatusOK {
			accepted[n] = true
		}
		n++
		return status
	}
	for _, f := range []fake.Faults{{Lose: true}, {Busy: true}, {Delay: 150 * time.Millisecond}} {
		assert.Equal(t, submit(), http.StatusOK)
		r.world.Store.Set(f)
		time.AfterFunc(1200*time.Millisecond, func() { r.world.Store.Set(fake.Faults{}) })
		for range 4 {
			submit()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(1300 * time.Millisecond)
		r.until("jobs are accepted again", func() bool { return submit() == http.StatusOK })
	}
	for i := range accepted {
		r.until("job is complete", func() bool { return r.state(i%2, path("b", i)) == "complete" })
	}
	r.noFaults()
}

// Guards against cancels that are missed when the store's history was dropped
// (lse-cuciture, scale-2).
func TestHistoryIsDropped(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 2, "pool-b": 2})
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{} }
	status, _, _ := r.call(0, http.MethodPost, path("a", 1), oneStep)
	assert.Equal(t, status, http.StatusOK)
	id := fmt.Sprintf("%016x", 1)
	r.until("all tasks run", func() bool { return r.world.Running(id) == 3 })
	// An entry without a leader stores the cancel, and its record is gone at once.
	r.world.Store.PutIn("keyed.chervilgauge.jobs", 1, id+"!", []byte{0x22, 0x02, 0x08, 0x01})
	r.world.Store.Drop("keyed.chervilgauge.jobs", 1)
	r.until("no task runs", func() bool { return r.world.Running(id) == 0 })
	r.until("the end is shown", func() bool { return r.state(0, path("a", 1)) == "cancelled" })
}

// Guards against a start whose answer was lost and that runs a second time elsewhere.
func TestStartsWithoutAnswer(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 3, "pool-b": 1})
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{After: 300 * time.Millisecond, How: "done"} }
	lossy := r.world.Executor("m-pool-a-0")
	lossy.Set(fake.Faults{Lose: true})
	time.AfterFunc(900*time.Millisecond, func() { lossy.Set(fake.Faults{}) })
	for i := range 8 {
		status, _, _ := r.call(i%2, http.MethodPost, path("a", i), oneStep)
		assert.Equal(t, status, http.StatusOK)
	}
	for i := range 8 {
		r.until("job is complete", func() bool { return r.state(0, path("a", i)) == "complete" })
	}
	r.noFaults()
}

// Guards against waves that are not carried out, exceed what may be down at a time, or
// end more tasks of a step than may be away.
func TestWave(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 3, "pool-b": 2, "rest": 2})
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{} }
	status, _, _ := r.call(0, http.MethodPost, path("a", 1), `{"phases":[{"count":2,"cpu":1000,"long_running":true,"max_unavailable":1}]}`)
	assert.Equal(t, status, http.StatusOK)
	id := fmt.Sprintf("%016x", 1)
	r.until("all tasks run", func() bool { return r.world.Running(id) == 2 })
	r.world.Store.Put(platform.OperatorTopic, "wave/1",
		[]byte(`{"wave":1,"machines":["m-pool-a-0","m-pool-a-1","m-pool-a-2","m-rest-0"],"deadline_s":20,"max_count":2}`))
	r.until("the wave is complete", func() bool {
		return string(r.world.Store.Value(platform.StatusTopic, "wave/1")) == `{"wave":1,"state":"complete"}`
	})
	assert.Equal(t, len(r.world.Upkeeps(1)), 4)
	r.until("all tasks run", func() bool { return r.world.Running(id) == 2 })
	r.noFaults()
}

// Guards against a configuration that is not in force within its bound on every entry.
func TestConfigurationIsInForce(t *testing.T) {
	r := newRig(t, 3, map[string]int{"pool-a": 1, "pool-b": 1})
	r.configure("/new/")
	begin := time.Now()
	for i := range r.entries {
		r.until("the queue is there", func() bool {
			status, _, _ := r.call(i, http.MethodGet, "/new/", "")
			return status == http.StatusOK
		})
	}
	assert.Assert(t, time.Since(begin) < r.sets[0].Bounds.ConfigApply)
}

// Guards against a configuration that an entry which the store turns away does not get,
// and against one that the leader sends to entries which read it themselves: a large one to
// 35 entries, three times a second, kept a leader from answering (lse-cuciture-grown scale-1).
func TestLeaderSendsTheConfigurationWhereTheStoreDoesNot(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 1, "pool-b": 1})
	other := 1 - r.leader()
	assert.Equal(t, r.entries[other].wanted(), int64(math.MaxInt64))
	r.doors[other].Set(fake.Faults{Silent: true})
	r.until("the store is silent", func() bool { return r.entries[other].wanted() < math.MaxInt64 })
	r.configure("/new/")
	begin := time.Now()
	r.until("the queue is there", func() bool {
		status, _, _ := r.call(other, http.MethodGet, "/new/", "")
		return status == http.StatusOK
	})
	assert.Assert(t, time.Since(begin) < r.sets[0].Bounds.ConfigApply)
}

// Guards against a planned stop that cuts off requests or leaves a gap without a leader.
func TestPlannedStopHandsOver(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 2, "pool-b": 1})
	old := r.leader()
	closed := make(chan error, 1)
	begin := time.Now()
	go func() { closed <- r.entries[old].Close() }()
	r.until("the other entry leads", func() bool { return r.entries[1-old].leads() != nil })
	assert.Assert(t, time.Since(begin) < 1500*time.Millisecond, "took %s", time.Since(begin))
	status, _, _ := r.call(old, http.MethodPost, path("a", 1), oneStep)
	assert.Equal(t, status, http.StatusOK)
	assert.NilError(t, <-closed)
	r.entries[old] = nil
	r.until("job is complete", func() bool { return r.state(1-old, path("a", 1)) == "complete" })
	r.noFaults()
}

// Guards against a wave that waits for ever because the executors of a wide step are
// never all heard at the same time (lse-cuciture-grown, quiet day: 37 of 182 left).
func TestWaveOfAWideStep(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 10, "pool-b": 1})
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{} }
	status, _, _ := r.call(0, http.MethodPost, path("a", 1),
		`{"phases":[{"count":9,"cpu":1000,"long_running":true,"max_per_server":1,"max_unavailable":1}]}`)
	assert.Equal(t, status, http.StatusOK)
	id := fmt.Sprintf("%016x", 1)
	r.until("all tasks run", func() bool { return r.world.Running(id) == 9 })
	r.world.Store.Put(platform.OperatorTopic, "wave/1",
		[]byte(`{"wave":1,"machines":["m-pool-a-0","m-pool-a-1","m-pool-a-2","m-pool-a-3"],"deadline_s":20,"max_count":4}`))
	r.until("the wave is complete", func() bool { return len(r.world.Upkeeps(1)) == 4 })
	r.noFaults()
}

// Guards against a task that starts on an executor that the queue's policy does not
// allow, without a ticket or with one that has run out.
func TestStartsNeedTickets(t *testing.T) {
	r := newRig(t, 1, map[string]int{"pool-a": 4, "pool-b": 1})
	r.world.Advised = true
	r.advice = `,"advice":{"decision_ms":5,"per_worker_ms":1,"valid_ms":400}`
	r.configure("")
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{After: 150 * time.Millisecond, How: "done"} }
	r.until("the configuration is in force", func() bool { return r.entries[0].Config().Queues[0].Advice != nil })
	for i := range 3 {
		status, _, _ := r.call(0, http.MethodPost, path("a", i), `{"phases":[{"count":30,"cpu":2000,"estimate_ms":150},{"count":2,"cpu":500,"after":[0]}]}`)
		assert.Equal(t, status, http.StatusOK)
	}
	for i := range 3 {
		r.until("job is complete", func() bool { return r.state(0, path("a", i)) == "complete" })
	}
	r.noFaults()
}

// Guards against changed settings that are not taken over: the store is at another
// address from now on.
func TestReloadTakesOverAddresses(t *testing.T) {
	r := newRig(t, 1, map[string]int{"pool-a": 1, "pool-b": 1})
	moved := r.world.Door()
	set := r.sets[0]
	set.Store.Addr = moved.Addr()
	r.doors[0].Set(fake.Faults{Busy: true})
	r.entries[0].Reload(set)
	r.until("a job is accepted", func() bool {
		status, _, _ := r.call(0, http.MethodPost, path("a", 1), oneStep)
		return status == http.StatusOK
	})
	r.until("job is complete", func() bool { return r.state(0, path("a", 1)) == "complete" })
}

// Guards against a new leader that takes instances of a wave down beside those that its
// predecessor took down (lra-tankrun trouble-2: LIMIT).
func TestWaveKeepsItsLimitAcrossLeaders(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 8, "pool-b": 1})
	r.world.MoveTime = 5 * time.Second
	// Work that lasts keeps the instances in their pool.
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{} }
	status, _, _ := r.call(0, http.MethodPost, path("a", 1), `{"phases":[{"count":8,"cpu":1000,"long_running":true,"max_per_server":1}]}`)
	assert.Equal(t, status, http.StatusOK)
	r.until("all tasks run", func() bool { return r.world.Running(fmt.Sprintf("%016x", 1)) == 8 })
	r.world.Store.Put(platform.OperatorTopic, "wave/1", []byte(`{"wave":1,"machines":["m-pool-a-0","m-pool-a-1","m-pool-a-2",`+
		`"m-pool-a-3","m-pool-a-4","m-pool-a-5"],"deadline_s":10,"max_count":2}`))
	r.until("two instances are down", func() bool { return len(r.world.Upkeeps(1)) == 2 })
	old := r.leader()
	r.kill(r.entries[old])
	r.entries[old] = nil
	r.until("the wave goes on", func() bool {
		assert.Assert(t, r.world.Down() <= 2)
		return len(r.world.Upkeeps(1)) >= 4
	})
}

// Guards against a new leader that stops a task that lasts while a stop of its predecessor
// is under way on another one, which its executor still lists as at work (lra-tankrun
// trouble-1: AVAIL).
func TestStopsOfTheFormerLeaderCount(t *testing.T) {
	r := newRig(t, 2, map[string]int{"pool-a": 6, "pool-b": 1})
	r.world.OneAtATime = true
	r.world.StopTime = 1400 * time.Millisecond
	r.world.Plan = func(string, string) fake.RunEnd { return fake.RunEnd{} }
	status, _, _ := r.call(0, http.MethodPost, path("a", 1),
		`{"phases":[{"count":4,"cpu":1000,"long_running":true,"max_per_server":1,"max_unavailable":1}]}`)
	assert.Equal(t, status, http.StatusOK)
	id := fmt.Sprintf("%016x", 1)
	r.until("all tasks run", func() bool { return r.world.Running(id) == 4 })
	r.world.Store.Put(platform.OperatorTopic, "wave/1", []byte(`{"wave":1,"machines":["m-pool-a-0","m-pool-a-1","m-pool-a-2",`+
		`"m-pool-a-3","m-pool-a-4","m-pool-a-5"],"deadline_s":10,"max_count":6}`))
	r.until("a task is stopped", func() bool { return r.world.Stops() > 0 })
	old := r.leader()
	go func() { _ = r.entries[old].Close() }()
	r.until("the other entry leads", func() bool { return r.entries[1-old].leads() != nil })
	r.until("all were down", func() bool { return len(r.world.Upkeeps(1)) == 6 })
	r.noFaults()
	r.entries[old] = nil
}
