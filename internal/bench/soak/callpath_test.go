package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against a large fleet whose plan leaves out the entries that make calls to executors, and
// against a small fleet whose plans change.
func TestPlanOfLargeFleetHitsTheCallPath(t *testing.T) {
	var all []string
	for i := range delegateFrom {
		all = append(all, fmt.Sprint("m-", i))
	}
	seen := map[string]int{}
	for _, f := range NewPlan(3, 20*time.Minute, 4, 6, all, "") {
		switch a := f.Action.(type) {
		case Signal:
			seen[string(a.Role)+" "+string(a.Kind)]++
		case PeerLinkFault:
			seen["peer link"]++
		case RestartAround:
			seen[fmt.Sprintf("restart around, pause %t", a.Pause)]++
		case SplitLeader:
			seen["split"]++
		case MachineFault:
			if a.Machine == "" {
				seen["busy "+string(a.Kind)]++
			}
		}
	}
	for _, want := range []string{
		"leader pause", "caller pause", "callers pause", "caller kill", "leader kill", "caller stop", "peer link", "split",
		"restart around, pause true", "restart around, pause false", "busy " + string(Restart),
	} {
		assert.Assert(t, seen[want] > 0, "%s: %v", want, seen)
	}
	for _, f := range NewPlan(3, 5*time.Minute, 4, 6, all[1:], "") {
		assert.Assert(t, !strings.Contains(f.String(), "Role:") && !strings.Contains(f.String(), "busy"), "%s", f)
	}
}

// Guards against faults of a role that affect entries without it.
func TestRolesFollowTheLogs(t *testing.T) {
	dir := t.TempDir()
	r := &run{roles: newRoles(rand.New(rand.NewPCG(1, 1)))}
	for i := range 4 {
		e := &entry{index: i, name: fmt.Sprint("entry-", i), logPath: filepath.Join(dir, fmt.Sprint(i))}
		r.entries = append(r.entries, e)
	}
	write := func(entry int, second int, rest string) {
		f, err := os.OpenFile(r.entries[entry].logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		assert.NilError(t, err)
		_, err = fmt.Fprintf(f, "{\"entry\":\"entry-%d\",\"time\":\"2026-12-05T05:00:%02dZ\",%s", entry, second, rest)
		assert.NilError(t, err)
		assert.NilError(t, f.Close())
	}
	planned := []int{3}
	assert.DeepEqual(t, r.targets(Leading, planned), planned)
	write(2, 1, "\"message\":\"leading starts\"}\n")
	write(2, 2, "\"message\":\"entries make calls to executors\",\"entries\":[\"entry-0\",\"entry-1\"]}\n")
	assert.DeepEqual(t, r.targets(Leading, planned), []int{2})
	assert.DeepEqual(t, r.targets(Callers, planned), []int{0, 1})
	assert.Equal(t, len(r.targets(Caller, planned)), 1)
	assert.DeepEqual(t, r.targets("", planned), planned)
	write(0, 4, "\"message\":\"leading starts\"}\n")
	write(2, 5, "\"message\":\"leadership ended\"}\n")
	write(1, 6, "\"message\":\"leading sta")
	assert.DeepEqual(t, r.targets(Leading, planned), []int{0})
	leaders, callers := r.countRoles()
	assert.Equal(t, leaders, 2)
	assert.Equal(t, callers, 2)
}

// Guards against faults of executors that mostly affect idle ones.
func TestBusyMachinesAreChosen(t *testing.T) {
	r := &run{roles: newRoles(rand.New(rand.NewPCG(1, 1)))}
	r.platform = fake.NewPlatform(map[string]int{"s": 20}, fake.WithPlan(func(string, string) fake.RunPlan { return fake.RunPlan{} }))
	defer r.platform.Close()
	assert.Equal(t, r.machine("m-s-3"), "m-s-3")
	assert.Assert(t, strings.HasPrefix(r.machine(""), "m-s-"))
	req := httptest.NewRequest(http.MethodPost, "/chervilgauge/run-start", strings.NewReader(`{"task":"j.0.0.0","attempt":1,"deadline_ms":9000}`))
	r.platform.Executor("m-s-7").ServeHTTP(httptest.NewRecorder(), req)
	assert.Equal(t, r.machine(""), "m-s-7")
}

// Guards against other entries that connect past the links, and against an entry that does not know
// its own address.
func TestPeerLinksHideAddresses(t *testing.T) {
	r := &run{clk: clock.NewSystem()}
	for i := range 2 {
		l, err := NewLink(r.clk)
		assert.NilError(t, err)
		defer l.Close()
		r.entries = append(r.entries, &entry{index: i, peers: fmt.Sprint("127.0.0.1:2000", i), peerLink: l})
	}
	a, b := r.entries[0], r.entries[1]
	text := func(f func(bool, []byte), isCall bool, in string) string {
		data := []byte(in)
		f(isCall, data)
		return string(data)
	}
	assert.Equal(t, text(a.hideAddr, true, "x "+a.peers+" "+a.peers+" "+b.peers), "x "+a.peerLink.Addr()+" "+a.peerLink.Addr()+" "+b.peers)
	assert.Equal(t, text(a.hideAddr, false, a.peerLink.Addr()+" "+b.peerLink.Addr()), a.peers+" "+b.peerLink.Addr())
	assert.Equal(t, text(r.hidePeers(b), true, a.peers+" "+b.peerLink.Addr()), a.peerLink.Addr()+" "+b.peers)
	assert.Equal(t, text(r.hidePeers(b), false, b.peers), b.peerLink.Addr())
}

// Guards against a link that accepts connections to a process that has ended.
func TestShutLinkRefusesConnections(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, lis.Close()) }()
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	l, err := NewLink(clock.NewSystem())
	assert.NilError(t, err)
	defer l.Close()
	l.SetTarget(lis.Addr().String())
	addr := l.Addr()
	l.Shut()
	_, err = net.Dial("tcp", addr)
	assert.ErrorContains(t, err, "refused")
	assert.NilError(t, l.Open())
	assert.Equal(t, l.Addr(), addr)
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
}

// Guards against two runs at the same time whose entries take one another's ports.
func TestRunsHaveTheirOwnPorts(t *testing.T) {
	seen := map[int]bool{}
	for range 10 {
		ports, reserved, err := reservePorts(portsPerEntry * MaxEntries)
		assert.NilError(t, err)
		defer func() { assert.NilError(t, reserved.Close()) }()
		for _, p := range ports {
			assert.Assert(t, !seen[p], "%d is taken twice", p)
			seen[p] = true
		}
	}
}
