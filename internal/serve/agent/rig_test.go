package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/fake/local"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

const untilTimeout = 30 * time.Second

// rig is a set of entries on a simulated platform.
type rig struct {
	t        *testing.T
	platform *fake.Platform
	entries  []*Agent
	fronts   []string
	settings []platform.Settings
	// storeProxies are the proxies between each entry and the store, which can have faults.
	storeProxies []*fake.StoreProxy
	log          *logBuffer
	version      int
	// adviceField is the advice setting of each queue in the configuration, with a leading comma.
	adviceField string
	// accounts is a field of the configuration with the client accounts, with a leading comma, and key
	// the key that requests carry, empty for none.
	accounts, key string
}

// logBuffer keeps the entries' logs, which are printed if a test fails.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// freePorts returns free ports.
func freePorts(t *testing.T, n int) []int {
	t.Helper()
	addrs, err := local.FreeAddrs(n)
	assert.NilError(t, err)
	out := make([]int, n)
	for i, a := range addrs {
		ap, err := netip.ParseAddrPort(a)
		assert.NilError(t, err)
		out[i] = int(ap.Port())
	}
	return out
}

func newRig(t *testing.T, entries int, pools map[string]int, change ...func(*platform.Settings)) *rig {
	t.Helper()
	r := &rig{t: t, platform: fake.NewPlatform(pools), log: &logBuffer{}}
	t.Cleanup(func() {
		for _, a := range r.entries {
			if a != nil {
				r.kill(a)
			}
		}
		r.platform.Close()
		if t.Failed() {
			out := r.log.String()
			t.Log(out[max(0, len(out)-20000):])
		}
	})
	r.addEntries(entries, change...)
	r.configure("")
	for i := range entries {
		r.start(i)
	}
	r.until("an entry leads", func() bool { return r.leader() >= 0 })
	for _, a := range r.entries {
		r.until("the configuration is in force", func() bool { return a.Config() != nil })
	}
	return r
}

// addEntries adds entries that are not started.
func (r *rig) addEntries(n int, change ...func(*platform.Settings)) {
	r.t.Helper()
	ps := freePorts(r.t, 3*n)
	for i := range n {
		set := r.platform.Settings(fmt.Sprintf("entry-%d", len(r.entries)), ps[3*i], ps[3*i+1], ps[3*i+2])
		for _, f := range change {
			f(&set)
		}
		storeProxy := r.platform.NewStoreProxy()
		set.Store.Addr = storeProxy.Addr()
		r.settings, r.storeProxies = append(r.settings, set), append(r.storeProxies, storeProxy)
		r.fronts, r.entries = append(r.fronts, fmt.Sprintf("127.0.0.1:%d", ps[3*i])), append(r.entries, nil)
	}
}

// configure writes a configuration with two queues, and a third one if extraPrefix is not empty.
func (r *rig) configure(extraPrefix string) {
	r.version++
	route := func(name, prefix, service string) string {
		return fmt.Sprintf(`{"name":"%s","host":"jobs.example","path_prefix":"%s","service":"%s","timeout_ms":3000,`+
			`"target_runtime_ms":600,"priority":0,"max_attempts":2,"slack_factor":1.6%s}`, name, prefix, service, r.adviceField)
	}
	routes := []string{route("qa", "/a/", "pool-a"), route("qb", "/b/", "pool-b")}
	if extraPrefix != "" {
		routes = append(routes, route("more", extraPrefix, "pool-a"))
	}
	if r.accounts != "" {
		routes = append(routes, strings.Replace(route("open", "/open/", "pool-a"), "{", `{"anonymous":true,`, 1))
	}
	r.platform.Store.Put(platform.OperatorTopic, platform.ConfigKey, fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[{"name":"pool-a","admission_control":true},{"name":"pool-b","admission_control":true},`+
			`{"name":"rest","standby":true}],"limits":{"max_body_bytes":65536}%s}`, r.version, strings.Join(routes, ","), r.accounts))
}

func (r *rig) start(i int) {
	r.t.Helper()
	a, err := Start(context.Background(), r.settings[i], zerolog.New(r.log).With().Timestamp().Str("entry", r.settings[i].Node).Logger())
	assert.NilError(r.t, err)
	r.entries[i] = a
}

// kill ends an entry as a crash does, without a handover.
func (r *rig) kill(a *Agent) {
	a.cancel()
	a.front.CloseNow()
	_ = a.peerServer.Close()
	_ = a.readyServer.Close()
	<-a.done
	<-a.configDone
	<-a.registered
	a.announcing.Wait()
	a.watcher.Close()
	a.elector.Close()
	a.execs.Close()
	a.orders.Close()
	_ = a.peerClient.Close()
	_ = a.configClient.Close()
	a.client.Close()
	_ = a.closeMetrics()
}

// leader returns the index of the entry that leads, or -1.
func (r *rig) leader() int {
	for i, a := range r.entries {
		if a != nil && a.localLeader() != nil {
			return i
		}
	}
	return -1
}

func (r *rig) until(what string, cond func() bool) {
	r.t.Helper()
	end := time.Now().Add(untilTimeout)
	for !cond() {
		if time.Now().After(end) {
			r.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// untilFollowed waits until an entry follows the leader, and the leader has loaded its state and
// the instances: it can't store a job before, and moves of instances are stored as jobs are.
func (r *rig) untilFollowed(entry, leader int) {
	r.t.Helper()
	r.until("the entry follows the leader", func() bool {
		return r.entries[entry].elector.Leader().Name == r.settings[leader].Node
	})
	r.until("the state is loaded", func() bool { return strings.Contains(r.log.String(), "state is loaded") })
}

// request sends a caller's request to an entry. It returns a status of 0 if there was no response.
func (r *rig) request(entry int, method, path, body string) (int, string, http.Header) {
	r.t.Helper()
	req, err := http.NewRequest(method, "http://"+r.fronts[entry]+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	req.Host = "jobs.example"
	req.Close = true
	if r.key != "" {
		req.Header.Set(platform.KeyHeader, r.key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", nil
	}
	return resp.StatusCode, string(out), resp.Header
}

func (r *rig) jobState(entry int, path string) string {
	r.t.Helper()
	status, body, _ := r.request(entry, http.MethodGet, path, "")
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var w struct{ State string }
	assert.NilError(r.t, json.Unmarshal([]byte(body), &w))
	return w.State
}

func (r *rig) assertNoViolations() {
	r.t.Helper()
	assert.DeepEqual(r.t, r.platform.Violations(), []string(nil))
}

const oneStepJob = `{"spec":"x","phases":[{"count":3,"cpu":1000,"mem_mb":64,"estimate_ms":50}]}`

func jobPath(queue string, n int) string { return fmt.Sprintf("/%s/%016x", queue, n) }
