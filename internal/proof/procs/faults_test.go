package procs

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/bench/inproc"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// verify compares the replies to callers with the executions that the endpoints counted: no
// non-idempotent id ran twice, an id that was answered ran, every answer belongs to its own
// request, and an id whose replies were all "not run" did not run. It returns the number of
// answered ids.
func (c *cluster) verify(replies map[string][]inproc.Reply) (answered int) {
	c.t.Helper()
	runs := c.executions()
	for id, list := range replies {
		assert.Assert(c.t, runs[id] <= 1, "%s ran %d times: %v", id, runs[id], list)
		if c.verifyOne(id, list, runs[id]) {
			answered++
		}
	}
	return answered
}

// verifyOne checks the replies for one id against its executions and reports whether it was
// answered.
func (c *cluster) verifyOne(id string, list []inproc.Reply, runs int) bool {
	c.t.Helper()
	refused := 0
	for _, r := range list {
		switch {
		case r.Err == nil && r.Outcome == "answered":
			assert.Assert(c.t, strings.Contains(string(r.Body), id), "answer to another request: %s", r.Body)
			assert.Equal(c.t, runs, 1, "%s was answered", id)
			return true
		case r.Err == nil && r.Outcome == "not-run":
			refused++
		}
	}
	if refused == len(list) {
		assert.Equal(c.t, runs, 0, "%s was only told not-run, but ran", id)
	}
	return false
}

// Guards against a second execution when an entry is killed with requests in flight and its
// callers repeat them through another entry.
func TestKilledEntry(t *testing.T) {
	c := newCluster(t, 3, 4, 20)
	tr := c.startTraffic(16, 4, false)
	time.Sleep(time.Second)
	c.entries[0].stop(t, syscall.SIGKILL)
	time.Sleep(2 * time.Second)
	replies := tr.stop()
	answered := c.verify(replies)
	t.Logf("%d ids, %d answered", len(replies), answered)
	// Only the outcomes of requests in flight through the killed entry may stay unknown.
	assert.Assert(t, len(replies)-answered <= 16, "%d of %d answered", answered, len(replies))
}

// Guards against an entry that was frozen until its membership expired and then sends work to an
// instance that was moved meanwhile, or runs an id again.
func TestFrozenEntry(t *testing.T) {
	c := newCluster(t, 3, 4, 20)
	tr := c.startTraffic(8, 3, false)
	time.Sleep(500 * time.Millisecond)
	c.entries[0].signal(syscall.SIGSTOP)
	c.waitUntil("frozen entry is not evicted", func() bool { return len(c.status(c.entries[1]).GetMembers()) == 2 })
	c.move(c.entries[1], "i0", "other")
	before := c.counts(c.endpoints[0]).Runs
	c.entries[0].signal(syscall.SIGCONT)
	c.waitUntil("entry does not rejoin", func() bool {
		return len(c.status(c.entries[1]).GetMembers()) == 3 && c.isReady(c.entries[0])
	})
	time.Sleep(500 * time.Millisecond)
	answered := c.verify(tr.stop())
	assert.Assert(t, answered > 0)
	assert.Equal(t, c.counts(c.endpoints[0]).Runs, before, "work was sent to a moved instance")
}

// Guards against an entry that uses its old view after it was frozen, before it reads the log:
// requests that waited in its sockets must not reach an instance that was moved meanwhile.
func TestFrozenEntryResumes(t *testing.T) {
	c := newCluster(t, 3, 4, 20)
	tr := c.startTraffic(8, 1, true)
	time.Sleep(time.Second)
	c.entries[0].signal(syscall.SIGSTOP)
	tr.stop()
	c.waitUntil("frozen entry is not evicted", func() bool { return len(c.status(c.entries[1]).GetMembers()) == 2 })
	c.move(c.entries[1], "i0", "other")
	before := c.counts(c.endpoints[0]).Runs
	const n = 64
	replies := make(chan inproc.Reply, n)
	for range n {
		go func() { replies <- c.call(c.entries[0], inproc.Call{Idempotent: true, Timeout: 2 * time.Second}) }()
	}
	// Gives the requests time to reach the sockets of the frozen entry.
	time.Sleep(300 * time.Millisecond)
	c.entries[0].signal(syscall.SIGCONT)
	for range n {
		<-replies
	}
	assert.Equal(t, c.counts(c.endpoints[0]).Runs, before, "work was sent to a moved instance")
}

// move moves an instance and waits until it is serving in the new pool.
func (c *cluster) move(m *entryProcess, name, pool string) {
	c.t.Helper()
	i := c.instance(m, name)
	_, err := c.operators(m).Drain(context.Background(), &recpb.Drain{
		Edit: &recpb.Edit{Base: i.GetVersion()}, Name: name, Target: pool})
	assert.NilError(c.t, err)
	c.waitUntil("instance does not move", func() bool {
		i := c.instance(m, name)
		return i.GetPool() == pool && i.GetPhase() == "serving"
	})
}

// Guards against traffic that stops while the log is down, a non-idempotent request that runs
// without a claim, and a change that is reported as accepted although it can't be stored.
func TestLogOutage(t *testing.T) {
	c := newCluster(t, 3, 4, 5)
	c.sendControl(http.MethodPut, c.log+"/faults", map[string]any{"down": true})
	time.Sleep(3 * time.Second)
	for n := range 60 {
		r := c.call(c.entries[n%3], inproc.Call{Idempotent: true})
		assert.Equal(t, r.Outcome, "answered", "%v %s", r.Err, r.Body)
	}
	id := inproc.NewID()
	r := c.call(c.entries[0], inproc.Call{ID: id})
	assert.Equal(t, r.Outcome, "not-run", "%s", r.Body)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := c.operators(c.entries[0]).PutTeam(ctx, &recpb.Team{
		Edit: &recpb.Edit{Change: "during-outage"}, Name: "a", Weight: 1})
	assert.Assert(t, err != nil)
	c.sendControl(http.MethodPut, c.log+"/faults", map[string]any{"down": false})
	c.waitUntil("change is not accepted after the outage", func() bool {
		_, err := c.operators(c.entries[1]).PutTeam(context.Background(), &recpb.Team{
			Edit: &recpb.Edit{Change: "during-outage"}, Name: "a", Weight: 1})
		return err == nil
	})
	c.waitUntil("request does not run after the outage", func() bool {
		return c.call(c.entries[1], inproc.Call{ID: id}).Outcome == "answered"
	})
	assert.Equal(t, c.executions()[id], 1)
}

// Guards against a claim or a change that takes effect twice, or never, when answers to appends
// are lost and appends are duplicated.
func TestLostAppendAnswers(t *testing.T) {
	c := newCluster(t, 3, 4, 5)
	c.sendControl(http.MethodPut, c.log+"/faults", map[string]any{"lose": 0.3, "duplicate": 0.3, "seed": 7})
	tr := c.startTraffic(8, 5, false)
	for n := range 5 {
		_, err := c.operators(c.entries[n%3]).PutTeam(context.Background(), &recpb.Team{
			Name: string(rune('a' + n)), Weight: 1})
		assert.NilError(t, err)
	}
	time.Sleep(2 * time.Second)
	replies := tr.stop()
	assert.Equal(t, c.verify(replies), len(replies))
	c.waitUntil("teams differ", func() bool {
		return len(c.status(c.entries[2]).GetTeams()) == 5
	})
}

// Guards against a planned stop that drops requests in flight, or after which the entry stays a
// member.
func TestPlannedStop(t *testing.T) {
	c := newCluster(t, 3, 4, 700)
	const n = 8
	replies := make(chan inproc.Reply, n)
	for range n {
		go func() { replies <- c.call(c.entries[0], inproc.Call{Idempotent: true}) }()
	}
	time.Sleep(300 * time.Millisecond)
	c.entries[0].signal(syscall.SIGTERM)
	for range n {
		r := <-replies
		assert.Equal(t, r.Outcome, "answered", "%v %s", r.Err, r.Body)
	}
	c.entries[0].stop(t, syscall.SIGTERM)
	c.waitUntil("stopped entry is still a member", func() bool { return len(c.status(c.entries[1]).GetMembers()) == 2 })
}

// Guards against a planned stop that drops requests because the log is down and the entry can't
// record that it leaves.
func TestPlannedStopInOutage(t *testing.T) {
	c := newCluster(t, 3, 4, 700)
	c.sendControl(http.MethodPut, c.log+"/faults", map[string]any{"down": true})
	const n = 8
	replies := make(chan inproc.Reply, n)
	for range n {
		go func() { replies <- c.call(c.entries[0], inproc.Call{Idempotent: true}) }()
	}
	time.Sleep(300 * time.Millisecond)
	c.entries[0].stop(t, syscall.SIGTERM)
	for range n {
		r := <-replies
		assert.Equal(t, r.Outcome, "answered", "%v %s", r.Err, r.Body)
	}
}

// Guards against new work for a leaving endpoint more than 3 s after it announced that, also
// through an entry that is cut off from the log.
func TestLeavingEndpoint(t *testing.T) {
	c := newCluster(t, 3, 4, 5)
	c.sendControl(http.MethodPut, c.log+"/faults?client=entry-0", map[string]any{"down": true})
	tr := c.startTraffic(8, 2, true)
	c.sendControl(http.MethodPut, c.endpoints[0].control+"/faults", map[string]any{"leaving": true, "run": 5})
	time.Sleep(5 * time.Second)
	tr.stop()
	for _, ms := range c.counts(c.endpoints[0]).Late {
		assert.Assert(t, ms < 3000, "work arrived %v ms after the endpoint was leaving", ms)
	}
}

// Guards against an entry that does not receive changes, or stops serving, while it alone is cut
// off from the log, and against a second execution or a false "not run" through it.
func TestEntryCutFromLog(t *testing.T) {
	c := newCluster(t, 3, 4, 5)
	c.sendControl(http.MethodPut, c.log+"/faults?client=entry-0", map[string]any{"down": true})
	tr := c.startTraffic(8, 3, false)
	time.Sleep(3 * time.Second)
	change, err := c.operators(c.entries[1]).PutTeam(context.Background(), &recpb.Team{Name: "a", Weight: 1})
	assert.NilError(t, err)
	start := time.Now()
	c.waitUntil("cut-off entry does not learn of the change", func() bool {
		return c.status(c.entries[0]).GetApplied() >= change.GetVersion()
	})
	assert.Assert(t, time.Since(start) < 4*time.Second)
	assert.Assert(t, c.isReady(c.entries[0]))
	r := c.call(c.entries[0], inproc.Call{ID: inproc.NewID()})
	assert.Equal(t, r.Outcome, "answered", "%s", r.Body)
	assert.Assert(t, c.verify(tr.stop()) > 0)
}

// Guards against a second execution, and against lost configuration changes, when all entries are
// killed at the same time and restarted at the same addresses.
func TestWholeRestart(t *testing.T) {
	c := newCluster(t, 3, 4, 20)
	tr := c.startTraffic(8, 6, false)
	time.Sleep(1500 * time.Millisecond)
	change, err := c.operators(c.entries[1]).PutTeam(context.Background(), &recpb.Team{Name: "a", Weight: 7})
	assert.NilError(t, err)
	for _, m := range c.entries {
		m.stop(t, syscall.SIGKILL)
	}
	for _, m := range c.entries {
		m.process = startProcess(t, false, "serve", m.file)
	}
	for _, m := range c.entries {
		c.waitReady(m)
		s := c.status(m)
		assert.Assert(t, s.GetApplied() >= change.GetVersion())
		assert.Equal(t, len(s.GetTeams()), 1)
		assert.Equal(t, s.GetTeams()[0].GetWeight(), uint32(7))
	}
	time.Sleep(time.Second)
	replies := tr.stop()
	answered := c.verify(replies)
	t.Logf("%d ids, %d answered", len(replies), answered)
	assert.Assert(t, answered > 0)
}
