package leader

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/execs"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a denied job of the successor after a resignation whose answer was lost.
func TestJobsAreNotDeniedOnceAResignationWasSent(t *testing.T) {
	l, _, _ := newStoringLeader(t)
	sent := false
	l.HasSentResignation = func() bool { return sent }
	ask := func() queryReply {
		q := &stateRequest{"unknown", make(chan queryReply, 1)}
		l.leaderlessTail.lastRead = l.now
		l.onQuery(q)
		return <-q.reply
	}
	assert.Equal(t, ask(), queryReply{model.Unknown, true})
	sent = true
	assert.Equal(t, ask(), queryReply{model.Unknown, false})
	sent = false
	l.now += time.Second
	l.LastRenewal = func() time.Duration { return 0 }
	assert.Equal(t, ask(), queryReply{model.Unknown, false})
}

// Guards against two leaders that both start a job that an entry stored after the later one's load.
func TestLeaderlessJobsStartOnceLaterLeadersLoadThem(t *testing.T) {
	l, m, _ := newStoringLeader(t)
	l.Clock, l.jobOrders = clock.NewFake(time.Unix(0, 0)), map[string]*jobOrder{}
	l.initFleet(nil, l.now)
	renewed := l.now - time.Second
	l.LastRenewal = func() time.Duration { return renewed }
	body := []byte(`{"spec":"s","phases":[{"count":2,"cpu":100,"mem_mb":1,"estimate_ms":10}]}`)
	read := func(id string) {
		e := track.LeaderlessJobRecord(id, model.Queue{Name: "q", Service: "s", Attempts: 1}, body, 0)
		l.applyLeaderless(platform.Record{Key: e.Key, Value: e.Value})
		assert.Assert(t, l.tracker.Job(id) != nil, "its state can be asked for")
	}
	placed := func(id string) bool {
		l.planDue["s"], l.jobOrders["s"] = true, nil
		l.orderJobs(map[string][]*execs.Member{"s": {&m.Member}})
		return slices.Contains(l.jobOrders["s"].jobs, l.tracker.Job(id))
	}
	read("00000000000000a1")
	l.releaseHeldJobs()
	assert.Assert(t, !placed("00000000000000a1"), "another entry may have claimed before the job was read")
	renewed, l.now = l.now, l.now+10*time.Millisecond
	clear(l.planDue)
	l.releaseHeldJobs()
	assert.Assert(t, l.planDue["s"] && placed("00000000000000a1"))
	read("00000000000000a2")
	assert.Assert(t, placed("00000000000000a2"), "no other entry can have claimed")
}
