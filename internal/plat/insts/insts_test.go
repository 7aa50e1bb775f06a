package insts

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/fleet"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig holds a fake fleet of the instances a and b on a fake clock and a client of it. Each
// change of an instance's phase is sent to its channel in phases.
type rig struct {
	t      *testing.T
	base   string
	clk    *clock.Fake
	fleet  *fleet.Fleet
	c      *Client
	phases map[string]chan string
}

func start(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, clk: clock.NewFake(time.Unix(0, 0)), phases: map[string]chan string{"a": make(chan string, 9), "b": make(chan string, 9)}}
	hook := func(name string, p ports.Phase, boot uint64) { r.phases[name] <- fmt.Sprint(name, " ", p, " ", boot) }
	r.fleet = fleet.New(fleet.WithClock(r.clk), fleet.WithInstances("a", "b"), fleet.WithHook(hook))
	var err error
	r.base, err = r.fleet.Start()
	assert.NilError(t, err)
	t.Cleanup(r.fleet.Close)
	r.c, err = New(r.base)
	assert.NilError(t, err)
	t.Cleanup(r.c.Close)
	return r
}

// send sends a request of the fake's control API, such as one that sets faults.
func (r *rig) send(method, path, body string) {
	r.t.Helper()
	assert.NilError(r.t, local.SendControl(method, r.base+path, body))
}

// checkList compares the list with a text of the form "name phase boot, ...".
func (r *rig) checkList(want string) {
	r.t.Helper()
	all, err := r.c.List(r.t.Context())
	assert.NilError(r.t, err)
	s := []string{}
	for _, e := range all {
		s = append(s, fmt.Sprint(e.Name, " ", e.Phase, " ", e.Boot))
	}
	assert.Equal(r.t, strings.Join(s, ", "), want)
}

// waitForPhase waits for the next phase of an instance, given as "name phase boot".
func (r *rig) waitForPhase(want string) {
	r.t.Helper()
	assert.Equal(r.t, <-r.phases[want[:1]], want)
}

// Guards against a reboot whose phases, boot number or times differ from those that were set.
func TestReboot(t *testing.T) {
	r := start(t)
	r.send(http.MethodPut, "/faults", `{"leave":1000,"reboot":5000}`)
	assert.NilError(t, r.c.Reboot(t.Context(), "a"))
	r.waitForPhase("a leaving 1")
	r.checkList("a leaving 1, b live 1")
	assert.Assert(t, ports.ErrList.Has(r.c.Reboot(t.Context(), "a")), "second reboot under way")
	r.clk.Advance(time.Second)
	r.waitForPhase("a down 1")
	assert.NilError(t, r.c.Reboot(t.Context(), "b"))
	r.waitForPhase("b leaving 1")
	r.clk.Advance(5 * time.Second)
	r.waitForPhase("a live 2")
	r.waitForPhase("b down 1")
	r.checkList("a live 2, b down 1")
	assert.Equal(t, r.fleet.MaxUnavailable(), 2)
	assert.Equal(t, r.fleet.MaxUnavailable("a"), 1)
	last := r.fleet.History()[len(r.fleet.History())-1]
	assert.Equal(t, last.At, 6*time.Second)
	assert.Assert(t, ports.ErrList.Has(r.c.Reboot(t.Context(), "none")))
}

// Guards against a fake list that shows changes before its lag has passed.
func TestLag(t *testing.T) {
	r := start(t)
	r.send(http.MethodPut, "/faults", `{"lag":3000}`)
	r.send(http.MethodPut, "/instances/a", `{"phase":"leaving"}`)
	r.clk.Advance(2999 * time.Millisecond)
	r.checkList("a live 1, b live 1")
	r.clk.Advance(time.Millisecond)
	r.checkList("a leaving 1, b live 1")
	r.send(http.MethodPut, "/instances/a", `{"phase":"down"}`)
	r.send(http.MethodPut, "/instances/a", `{"phase":"live"}`)
	r.clk.Advance(3 * time.Second)
	r.checkList("a live 2, b live 1")
}

// Guards against an outage that is reported as an empty list, and against a reboot whose answer
// is lost and that is reported as not done.
func TestUnreachable(t *testing.T) {
	r := start(t)
	r.send(http.MethodPut, "/faults", `{"down":true}`)
	_, err := r.c.List(t.Context())
	assert.Assert(t, ports.ErrList.Has(err), "%v", err)
	assert.Assert(t, ports.ErrList.Has(r.c.Reboot(t.Context(), "a")))
	r.send(http.MethodPut, "/faults", `{"down":false,"lose":1,"reboot":1000}`)
	r.checkList("a live 1, b live 1")
	assert.Assert(t, ports.ErrList.Has(r.c.Reboot(t.Context(), "a")))
	r.waitForPhase("a leaving 1")
	assert.Equal(t, r.fleet.MaxUnavailable("a"), 1)
}

// Guards against wrong phases in the list that change the actual state of the fake, and
// against instances that return from a reboot although the fake was set to keep them down.
func TestWrongAndStuck(t *testing.T) {
	r := start(t)
	r.send(http.MethodPut, "/faults", `{"wrong":{"b":"down"},"stuck":["a"],"reboot":1000}`)
	r.checkList("a live 1, b down 1")
	assert.Equal(t, r.fleet.MaxUnavailable("b"), 0)
	assert.NilError(t, r.c.Reboot(t.Context(), "a"))
	r.waitForPhase("a leaving 1")
	r.clk.Advance(0)
	r.waitForPhase("a down 1")
	r.clk.Advance(time.Hour)
	r.checkList("a down 1, b down 1")
	r.send(http.MethodDelete, "/faults", "")
	for {
		if _, ok := r.fleet.SetPhase("a", ports.Live); ok {
			break
		}
	}
	r.waitForPhase("a live 2")
	r.checkList("a live 2, b live 1")
}

// Guards against a list that contains an instance twice, against an unknown phase that counts
// as available, and against a malformed list that is read as empty.
func FuzzList(f *testing.F) {
	f.Add([]byte(`[{"name":"a","phase":"live","boot":1},{"name":"b","phase":"lost"}]`))
	f.Add([]byte(`null`))
	f.Add([]byte(`[{"name":"a"},{"name":"a"}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		all, err := parseList(body)
		if err != nil {
			assert.Assert(t, ports.ErrList.Has(err))
			return
		}
		seen := map[string]bool{}
		for _, e := range all {
			assert.Assert(t, e.Name != "" && !seen[e.Name])
			seen[e.Name] = true
			known := e.Phase == ports.Live || e.Phase == ports.Leaving || e.Phase == ports.Down
			assert.Assert(t, known, "phase %q", e.Phase)
		}
	})
}
