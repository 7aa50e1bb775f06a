package procs

import (
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// maxUnavailable returns the highest number of instances that were not live at the same time,
// according to the actual state of the fake instance list.
func (c *cluster) maxUnavailable() int {
	resp, err := http.Get(c.list + "/history")
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	var h struct {
		Out int `json:"out"`
	}
	assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&h))
	return h.Out
}

// Guards against a wave that makes more than one instance unavailable, which is the budget, or
// that never finishes, when an entry or a part of the platform fails meanwhile.
func TestWaveUnderFaults(t *testing.T) {
	log := func(c *cluster, query string, down bool) {
		c.sendControl(http.MethodPut, c.log+"/faults"+query, map[string]any{"down": down})
	}
	for _, one := range []struct {
		name         string
		fault, clear func(c *cluster)
	}{
		{"killed", func(c *cluster) { c.entries[1].stop(c.t, syscall.SIGKILL) }, func(*cluster) {}},
		{"frozen", func(c *cluster) { c.entries[1].signal(syscall.SIGSTOP) },
			func(c *cluster) { c.entries[1].signal(syscall.SIGCONT) }},
		{"log down", func(c *cluster) { log(c, "", true) }, func(c *cluster) { log(c, "", false) }},
		{"cut off", func(c *cluster) { log(c, "?client=entry-1", true) },
			func(c *cluster) { log(c, "?client=entry-1", false) }},
		{"lost appends", func(c *cluster) {
			c.sendControl(http.MethodPut, c.log+"/faults", map[string]any{"lose": 0.3, "duplicate": 0.3, "seed": 5})
		}, func(*cluster) {}},
		{"list down", func(c *cluster) { c.sendControl(http.MethodPut, c.list+"/faults", map[string]any{"down": true}) },
			func(c *cluster) { c.sendControl(http.MethodPut, c.list+"/faults", map[string]any{"down": false}) }},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := newCluster(t, 3, 4, 5)
			c.sendControl(http.MethodPut, c.list+"/faults", map[string]any{"leave": 50, "reboot": 300})
			_, err := c.operators(c.entries[0]).Order(context.Background(),
				&recpb.Wave{Name: "w", Pools: []string{"main"}, Order: recpb.Wave_START})
			assert.NilError(t, err)
			c.waitUntil("no instance is rebooted", func() bool { return c.maxUnavailable() > 0 })
			one.fault(c)
			time.Sleep(3 * time.Second)
			one.clear(c)
			c.waitUntil("wave does not finish", func() bool { return c.status(c.entries[0]).GetWaves()[0].GetPhase() == "finished" })
			assert.Equal(t, c.maxUnavailable(), 1)
		})
	}
}
