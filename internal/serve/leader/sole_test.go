package leader

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
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
