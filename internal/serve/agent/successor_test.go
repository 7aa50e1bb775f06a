package agent

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// peerStandIn answers an entry's calls in place of another entry.
type peerStandIn struct {
	relay.Handler
	addr    string
	verdict relay.Verdict
	digest  atomic.Pointer[relay.Digest]
	// configVersion is the version of the configuration in digest.
	configVersion atomic.Int64
	submits       atomic.Int32
	cancels       atomic.Int32
}

func (s *peerStandIn) Digest(_ context.Context, f relay.Follower) relay.Digest {
	d := *s.digest.Load()
	if f.Version >= s.configVersion.Load() {
		d.Config = nil
	}
	return d
}

func (s *peerStandIn) Query(context.Context, string) (model.State, bool) { return model.Unknown, false }

func (s *peerStandIn) Announce(uint64, string, string) {}

func (s *peerStandIn) Submit(context.Context, relay.Submission) relay.Answer {
	s.submits.Add(1)
	return relay.Answer{Verdict: s.verdict}
}

func (s *peerStandIn) Cancel(context.Context, string, time.Duration) relay.Verdict {
	s.cancels.Add(1)
	return s.verdict
}

func serveStandIn(t *testing.T, verdict relay.Verdict) *peerStandIn {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &peerStandIn{addr: lis.Addr().String(), verdict: verdict}
	s.digest.Store(&relay.Digest{Leads: true, Token: 1, Addr: s.addr})
	srv, err := relay.Serve(context.Background(), lis, s)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, srv.Close()) })
	return s
}

// startFollower starts an entry that follows the leader at an address.
func startFollower(t *testing.T, leader string) *rig {
	t.Helper()
	r := &rig{t: t, platform: fake.NewPlatform(map[string]int{"pool-a": 1, "pool-b": 1}), log: &logBuffer{}}
	ps := freePorts(t, 3)
	r.settings = []platform.Settings{r.platform.Settings("entry-0", ps[0], ps[1], ps[2])}
	r.entries = []*Agent{nil}
	r.configure("")
	c := platform.NewClient(r.settings[0])
	defer c.Close()
	_, _, err := c.Append(context.Background(), platform.Append{Topic: "chervilgauge.leader", Records: [][]byte{
		fmt.Appendf(nil, `{"kind":"claim","name":"former","addr":"%s","nonce":"f","token":1}`, leader),
	}})
	assert.NilError(t, err)
	a, err := Start(context.Background(), r.settings[0], zerolog.New(r.log))
	assert.NilError(t, err)
	t.Cleanup(func() {
		r.kill(a)
		r.platform.Close()
	})
	r.entries[0] = a
	r.until("the entry follows the leader", func() bool { return a.elector.Leader().Addr == leader && a.Config() != nil })
	return r
}

// Guards against jobs and cancels that are stored without the leader because the former leader knew its
// successor before the entry that was asked.
func TestFormerLeaderTellsItsSuccessor(t *testing.T) {
	job := relay.Submission{ID: fmt.Sprintf("%016x", 1), Queue: "qa", Body: []byte(oneStepJob)}
	for _, call := range []func(ctx context.Context, a *Agent) relay.Verdict{
		func(ctx context.Context, a *Agent) relay.Verdict {
			return a.Submit(ctx, job, a.Config().Queue("qa")).Verdict
		},
		func(ctx context.Context, a *Agent) relay.Verdict { return a.Cancel(ctx, job.ID) },
	} {
		former, next := serveStandIn(t, relay.NotLeader), serveStandIn(t, relay.Stored)
		r := startFollower(t, former.addr)
		former.digest.Store(&relay.Digest{Token: 2, Addr: next.addr})
		assert.Equal(t, call(context.Background(), r.entries[0]), relay.Stored)
		assert.Equal(t, next.submits.Load()+next.cancels.Load(), int32(1))
		assert.Assert(t, !strings.Contains(r.log.String(), "is stored without the leader"))
	}
}
