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

const waitLimit = 30 * time.Second

// rig is a world of stand-ins with entries.
type rig struct {
	t       *testing.T
	world   *fake.World
	entries []*Agent
	fronts  []string
	sets    []platform.Settings
	// doors are each entry's own way to the store.
	doors   []*fake.Door
	log     *lines
	version int
	// advice is what the configuration says of advice, for all queues.
	advice string
}

// lines keeps what entries log, for failed tests.
type lines struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// ports returns free ports.
func ports(t *testing.T, n int) []int {
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

func newRig(t *testing.T, entries int, pools map[string]int) *rig {
	t.Helper()
	r := &rig{t: t, world: fake.NewWorld(pools), log: &lines{}}
	t.Cleanup(func() {
		for _, a := range r.entries {
			if a != nil {
				r.kill(a)
			}
		}
		r.world.Close()
		if t.Failed() {
			out := r.log.String()
			t.Log(out[max(0, len(out)-20000):])
		}
	})
	ps := ports(t, 3*entries)
	for i := range entries {
		r.sets = append(r.sets, r.world.Settings(fmt.Sprintf("entry-%d", i), ps[3*i], ps[3*i+1], ps[3*i+2]))
		door := r.world.Door()
		r.sets[i].Store.Addr = door.Addr()
		r.doors = append(r.doors, door)
		r.fronts = append(r.fronts, fmt.Sprintf("127.0.0.1:%d", ps[3*i]))
		r.entries = append(r.entries, nil)
	}
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

// configure writes a configuration with two queues, and one more route if it is named.
func (r *rig) configure(more string) {
	r.version++
	route := func(name, prefix, service string) string {
		return fmt.Sprintf(`{"name":"%s","host":"jobs.example","path_prefix":"%s","service":"%s","timeout_ms":3000,`+
			`"target_runtime_ms":600,"priority":0,"max_attempts":2,"slack_factor":1.6%s}`, name, prefix, service, r.advice)
	}
	routes := []string{route("qa", "/a/", "pool-a"), route("qb", "/b/", "pool-b")}
	if more != "" {
		routes = append(routes, route("more", more, "pool-a"))
	}
	r.world.Store.Put(platform.OperatorTopic, platform.ConfigKey, fmt.Appendf(nil,
		`{"version":%d,"routes":[%s],"services":[{"name":"pool-a","admission_control":true},{"name":"pool-b","admission_control":true},`+
			`{"name":"rest","standby":true}],"limits":{"max_body_bytes":65536}}`, r.version, strings.Join(routes, ",")))
}

func (r *rig) start(i int) {
	r.t.Helper()
	a, err := Start(context.Background(), r.sets[i], zerolog.New(r.log).With().Timestamp().Str("entry", r.sets[i].Node).Logger())
	assert.NilError(r.t, err)
	r.entries[i] = a
}

// kill ends an entry as a crash does: it hands nothing over.
func (r *rig) kill(a *Agent) {
	a.cancel()
	a.front.Cut()
	_ = a.relay.Close()
	_ = a.ready.Close()
	<-a.done
	<-a.presented
	a.announcing.Wait()
	a.elector.Close()
	a.calls.Close()
	a.orders.Close()
	_ = a.peers.Close()
	a.client.Close()
	_ = a.closeMetrics()
}

// leader returns the entry that leads, or -1.
func (r *rig) leader() int {
	for i, a := range r.entries {
		if a != nil && a.leads() != nil {
			return i
		}
	}
	return -1
}

func (r *rig) until(what string, is func() bool) {
	r.t.Helper()
	end := time.Now().Add(waitLimit)
	for !is() {
		if time.Now().After(end) {
			r.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// call makes a caller's request at an entry.
func (r *rig) call(entry int, method, path, body string) (int, string, http.Header) {
	r.t.Helper()
	req, err := http.NewRequest(method, "http://"+r.fronts[entry]+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	req.Host = "jobs.example"
	req.Close = true
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

func (r *rig) state(entry int, path string) string {
	r.t.Helper()
	status, body, _ := r.call(entry, http.MethodGet, path, "")
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var w struct{ State string }
	assert.NilError(r.t, json.Unmarshal([]byte(body), &w))
	return w.State
}

func (r *rig) noFaults() {
	r.t.Helper()
	assert.DeepEqual(r.t, r.world.Faults(), []string(nil))
}

const oneStep = `{"spec":"x","phases":[{"count":3,"cpu":1000,"mem_mb":64,"estimate_ms":50}]}`

func path(queue string, n int) string { return fmt.Sprintf("/%s/%016x", queue, n) }
