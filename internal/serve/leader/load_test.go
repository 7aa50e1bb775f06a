package leader

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/elect"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

const jobBody = `{"spec":"%s","phases":[{"count":3,"cpu":1000,"mem_mb":64,"estimate_ms":50}]}`

// putJobs stores jobs as a former leader, or entries without a leader, would have.
func putJobs(s *fake.Store, part, n, specBytes int) {
	body := fmt.Appendf(nil, jobBody, strings.Repeat("x", specBytes))
	for i := range n {
		id := fmt.Sprintf("%015x%d", i, part)
		r := track.JobRecord(id, model.Queue{Name: "q"}, "", body, 0)
		if part != leaderPart {
			r = track.LeaderlessJobRecord(id, model.Queue{Name: "q"}, "", body, 0)
		}
		s.PutPartition(Topic, part, r.Key, r.Value)
	}
}

// newLinkedLeader returns a leader whose link carries rate bytes a second from the store.
func newLinkedLeader(t *testing.T, w *fake.Platform, rate int) *Leader {
	t.Helper()
	link := w.NewStoreProxy()
	link.Set(fake.Faults{Rate: rate})
	set := w.Settings("self", 1, 2, 3)
	set.Store.Addr = link.Addr()
	l := &Leader{Deps: Deps{Client: platform.NewClient(set), Settings: set, Clock: clock.NewSystem(), Log: zerolog.Nop()}, token: 1}
	l.Execs, l.Meters, l.LastRenewal = directExecutors{l.Client}, NewMeters(tally.NoopScope), l.Clock.Now
	t.Cleanup(l.Client.Close)
	return l
}

// directExecutors makes all calls itself.
type directExecutors struct{ *platform.Client }

func (directExecutors) SetCentreSizes(map[string]int) {}

func (directExecutors) Caller(platform.Target) string { return "self" }

// Guards against a leader that never gets ready because its link can't carry the state in one time limit.
func TestStateIsLoadedThroughASlowLink(t *testing.T) {
	const limit = 20 * time.Second
	for _, c := range []struct {
		name                  string
		jobs, leaderless      int
		specBytes, rate, want int
	}{
		{"many pages", 900, 900, 600, 800 << 10, 1800},
		{"a page that takes longer than the limit of a call", 400, 0, 1800, 300 << 10, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := fake.NewPlatform(nil)
			t.Cleanup(w.Close)
			l := newLinkedLeader(t, w, c.rate)
			putJobs(w.Store, leaderPart, c.jobs, c.specBytes)
			putJobs(w.Store, LeaderlessPart(l.Settings.Store.Parts), c.leaderless, c.specBytes)
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			ev, ok := l.load(ctx).(loaded)
			assert.Assert(t, ok)
			assert.NilError(t, ev.err)
			tr, bad := ev.loader.Load(0, 0, 0)
			assert.Equal(t, len(bad), 0)
			assert.Equal(t, tr.Len(), c.want)
		})
	}
}

// awaitReport returns the reports of executors in the store once there is one. Executors report some
// time after they start.
func awaitReport(t *testing.T, l *Leader) []platform.Record {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var records []platform.Record
		_, err := l.readNewest(context.Background(), platform.ExecutorTopic, 0, func(r platform.Record) { records = append(records, r) })
		assert.NilError(t, err)
		if len(records) > 0 {
			return records
		}
	}
	t.Fatal("no executor has reported")
	return nil
}

// Guards against a leader that is replaced while it loads: its first renewals waited behind several
// answers of the store at once on its link.
func TestLoadReadsTheStoreOneAnswerAtATime(t *testing.T) {
	t.Parallel()
	w := fake.NewPlatform(map[string]int{"s": 1})
	t.Cleanup(w.Close)
	l := newLinkedLeader(t, w, 1<<30)
	to := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: l.Settings.Store.Addr})
	var reads, most atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			n := reads.Add(1)
			defer reads.Add(-1)
			for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
			}
			time.Sleep(50 * time.Millisecond)
		}
		to.ServeHTTP(rw, r)
	}))
	t.Cleanup(srv.Close)
	set := l.Settings
	set.Store.Addr = srv.Listener.Addr().String()
	l.Client.SetAddrs(set)
	putJobs(w.Store, leaderPart, 600, 10)
	awaitReport(t, l)
	most.Store(0)
	ev, ok := l.load(context.Background()).(loaded)
	assert.Assert(t, ok)
	assert.NilError(t, ev.err)
	assert.Equal(t, ev.records, 600)
	assert.Equal(t, len(ev.executors), 1)
	assert.Equal(t, most.Load(), int32(1))
}

// Guards against leaderless jobs that are never taken over because one read can't carry the backlog.
func TestLeaderlessBacklogIsReadThroughASlowLink(t *testing.T) {
	t.Parallel()
	w := fake.NewPlatform(nil)
	t.Cleanup(w.Close)
	l := newLinkedLeader(t, w, 300<<10)
	putJobs(w.Store, LeaderlessPart(l.Settings.Store.Parts), 300, 1800)
	ev, ok := l.readLeaderless(context.Background(), 0).(leaderlessRead)
	assert.Assert(t, ok)
	assert.NilError(t, ev.err)
	assert.Equal(t, len(ev.records), 300)
}

// Guards against a caller who is told that an accepted job does not exist, because an entry stored it
// while a new leader was loading.
func TestUnknownJobsAreNotDeniedUntilLeaderlessRecordsAreRead(t *testing.T) {
	l, _, _ := newTestLeader(t)
	l.ready = true
	l.LastRenewal = func() time.Duration { return l.now }
	ask := func() bool {
		ev := &stateRequest{"unknown", make(chan queryReply, 1)}
		l.onQuery(ev)
		return (<-ev.reply).authoritative
	}
	l.leaderlessTail.lastRead = l.now - maxCountAge
	assert.Assert(t, ask())
	l.leaderlessTail.lastRead--
	assert.Assert(t, !ask())
	c := &cancelRequest{id: "unknown", reply: make(chan relay.Verdict, 1)}
	l.onCancel(c)
	assert.Equal(t, len(c.reply), 0)
	l.onLeaderless(leaderlessRead{err: errors.New("no answer")})
	assert.Equal(t, <-c.reply, relay.NotLeader)
}

// Guards against a takeover that ends all runs: loading took longer than their leases.
func TestRunsSurviveALongLoad(t *testing.T) {
	t.Parallel()
	const lease = 600 * time.Millisecond
	w := fake.NewPlatform(map[string]int{"s": 1})
	t.Cleanup(w.Close)
	w.Plan = func(string, string) fake.RunPlan { return fake.RunPlan{Duration: time.Minute, Result: "done"} }
	l := newLinkedLeader(t, w, 1<<30)
	records := awaitReport(t, l)
	e, err := platform.DecodeExecutor(records[0].Key, records[0].Value)
	assert.NilError(t, err)
	to := platform.Target{Addr: e.Addr, ID: e.ID, Fence: elect.FencingToken(l.token, 0)}
	list, err := l.Client.Poll(context.Background(), to, 0, 0, 0)
	assert.NilError(t, err)
	_, err = l.Client.Start(context.Background(), to, platform.Start{Task: model.TaskID{Job: "j"}, Attempt: 1, Spec: "x", Deadline: list.Clock + lease})
	assert.NilError(t, err)
	l.start = l.Clock.Now() - holdAfter
	loading, end := context.WithTimeout(context.Background(), 2*lease)
	defer end()
	assert.Assert(t, l.holdLeases(loading, records) > 0)
	list, err = l.Client.Poll(context.Background(), to, 0, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(list.Running), 1)
}
