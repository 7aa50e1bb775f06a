package lister

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

// rig is a fake fleet of the instances a and b on a fake clock with its client. The
// phases that each instance enters arrive on its channel of hooks.
type rig struct {
	t     *testing.T
	base  string
	clk   *clock.Fake
	fleet *fleet.Fleet
	c     *Client
	hooks map[string]chan string
}

func start(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, clk: clock.NewFake(time.Unix(0, 0)), hooks: map[string]chan string{"a": make(chan string, 9), "b": make(chan string, 9)}}
	hook := func(name string, p ports.Phase, boot uint64) { r.hooks[name] <- fmt.Sprint(name, " ", p, " ", boot) }
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

func (r *rig) order(method, path, body string) {
	r.t.Helper()
	assert.NilError(r.t, local.Order(method, r.base+path, body))
}

// shows checks the list.
func (r *rig) shows(want string) {
	r.t.Helper()
	all, err := r.c.List(r.t.Context())
	assert.NilError(r.t, err)
	s := []string{}
	for _, e := range all {
		s = append(s, fmt.Sprint(e.Name, " ", e.Phase, " ", e.Boot))
	}
	assert.Equal(r.t, strings.Join(s, ", "), want)
}

// enters waits until an instance has entered a phase.
func (r *rig) enters(want string) {
	r.t.Helper()
	assert.Equal(r.t, <-r.hooks[want[:1]], want)
}

// Guards against a reboot whose phases, boot number or times are not those ordered.
func TestReboot(t *testing.T) {
	r := start(t)
	r.order(http.MethodPut, "/faults", `{"leave":1000,"reboot":5000}`)
	assert.NilError(t, r.c.Reboot(t.Context(), "a"))
	r.enters("a leaving 1")
	r.shows("a leaving 1, b live 1")
	assert.Assert(t, ports.ErrList.Has(r.c.Reboot(t.Context(), "a")), "second reboot under way")
	r.clk.Advance(time.Second)
	r.enters("a down 1")
	assert.NilError(t, r.c.Reboot(t.Context(), "b"))
	r.enters("b leaving 1")
	r.clk.Advance(5 * time.Second)
	r.enters("a live 2")
	r.enters("b down 1")
	r.shows("a live 2, b down 1")
	assert.Equal(t, r.fleet.MostOut(), 2)
	assert.Equal(t, r.fleet.MostOut("a"), 1)
	last := r.fleet.History()[len(r.fleet.History())-1]
	assert.Equal(t, last.At, 6*time.Second)
	assert.Assert(t, ports.ErrList.Has(r.c.Reboot(t.Context(), "none")))
}

// Guards against a list that shows the present instead of the past.
func TestLag(t *testing.T) {
	r := start(t)
	r.order(http.MethodPut, "/faults", `{"lag":3000}`)
	r.order(http.MethodPut, "/instances/a", `{"phase":"leaving"}`)
	r.clk.Advance(2999 * time.Millisecond)
	r.shows("a live 1, b live 1")
	r.clk.Advance(time.Millisecond)
	r.shows("a leaving 1, b live 1")
	r.order(http.MethodPut, "/instances/a", `{"phase":"down"}`)
	r.order(http.MethodPut, "/instances/a", `{"phase":"live"}`)
	r.clk.Advance(3 * time.Second)
	r.shows("a live 2, b live 1")
}

// Guards against an outage that is taken for an empty list, and a reboot whose answer
// is lost that is taken for one that was not done.
func TestUnreachable(t *testing.T) {
	r := start(t)
	r.order(http.MethodPut, "/faults", `{"down":true}`)
	_, err := r.c.List(t.Context())
	assert.Assert(t, ports.ErrList.Has(err), "%v", err)
	assert.Assert(t, ports.ErrList.Has(r.c.Reboot(t.Context(), "a")))
	r.order(http.MethodPut, "/faults", `{"down":false,"lose":1,"reboot":1000}`)
	r.shows("a live 1, b live 1")
	assert.Assert(t, ports.ErrList.Has(r.c.Reboot(t.Context(), "a")))
	r.enters("a leaving 1")
	assert.Equal(t, r.fleet.MostOut("a"), 1)
}

// Guards against wrong phases that alter the truth, and instances that come back
// although they were ordered not to.
func TestWrongAndStuck(t *testing.T) {
	r := start(t)
	r.order(http.MethodPut, "/faults", `{"wrong":{"b":"down"},"stuck":["a"],"reboot":1000}`)
	r.shows("a live 1, b down 1")
	assert.Equal(t, r.fleet.MostOut("b"), 0)
	assert.NilError(t, r.c.Reboot(t.Context(), "a"))
	r.enters("a leaving 1")
	r.clk.Advance(0)
	r.enters("a down 1")
	r.clk.Advance(time.Hour)
	r.shows("a down 1, b down 1")
	r.order(http.MethodDelete, "/faults", "")
	for {
		if _, ok := r.fleet.Set("a", ports.Live); ok {
			break
		}
	}
	r.enters("a live 2")
	r.shows("a live 2, b live 1")
}

// Guards against a list that names an instance twice, holds an unknown phase as
// available, or is taken as empty although it is malformed.
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
