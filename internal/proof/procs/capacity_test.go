package procs

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// usage is what a process has used so far.
type usage struct {
	cpu time.Duration
	// read and written are bytes, nearly all of them on sockets.
	read, written int64
	// memory is its resident memory in bytes.
	memory int64
}

// clockTick is the unit of processor times under /proc.
const clockTick = 10 * time.Millisecond

func usageOf(t testing.TB, p *process) usage {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat := fieldsOf(t, dir+"stat")
	u := usage{cpu: time.Duration(number(t, stat[13])+number(t, stat[14])) * clockTick}
	io := fieldsOf(t, dir+"io")
	u.read, u.written = number(t, io[1]), number(t, io[3])
	statm := fieldsOf(t, dir+"statm")
	u.memory = number(t, statm[1]) * int64(os.Getpagesize())
	return u
}

func fieldsOf(t testing.TB, path string) []string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return strings.Fields(string(data))
}

func number(t testing.TB, s string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	assert.NilError(t, err)
	return n
}

// capacityWindow is how long each size is observed.
const capacityWindow = 15 * time.Second

// TestCapacity prints what entries use for control at several sizes. It asserts
// nothing: docs/CAPACITY.md holds the figures of one run beside the limits.
func TestCapacity(t *testing.T) {
	if os.Getenv("CAPACITY") == "" {
		t.Skip("set CAPACITY=1 to measure what control costs")
	}
	t.Logf("%7s %9s %9s | %s | planner: %s", "entries", "instances", "changes/s", header, header)
	for _, size := range sizes(t) {
		c := newCluster(t, size.entries, 1, 0)
		c.grow(size.instances)
		time.Sleep(3 * time.Second)
		c.observe(size.instances, size.changes)
		for _, m := range c.entries {
			m.stop(t, 9)
		}
	}
}

const header = "  core %  in KB/s out KB/s       MB"

// size is one measurement.
type size struct{ entries, instances, changes int }

// sizes reads CAPACITY, such as "3x50x0,8x1500x10" or 1 for the sizes of the page.
func sizes(t testing.TB) []size {
	list := os.Getenv("CAPACITY")
	if list == "1" {
		list = "3x50x0,8x50x0,8x400x0,8x1500x0,8x1500x10"
	}
	var out []size
	for _, text := range strings.Split(list, ",") {
		var s size
		_, err := fmt.Sscanf(text, "%dx%dx%d", &s.entries, &s.instances, &s.changes)
		assert.NilError(t, err, "%s", text)
		out = append(out, s)
	}
	return out
}

// grow registers instances that share the one endpoint.
func (c *cluster) grow(n int) {
	names := make([]string, n)
	ops := c.operators(c.entries[0])
	for k := range names {
		names[k] = fmt.Sprintf("w%04d", k)
		_, err := ops.PutInstance(context.Background(), &recpb.Instance{Name: names[k], Pool: "main",
			Addr: c.endpoints[0].addr, Rack: fmt.Sprintf("r%d", k/4), Centre: "north", Slots: 8, Conns: 64})
		assert.NilError(c.t, err)
	}
	c.list = c.addToList(names)
}

// addToList makes the list name the instances as live.
func (c *cluster) addToList(names []string) string {
	for _, n := range names {
		c.order("PUT", c.list+"/instances/"+n, map[string]any{"phase": "live"})
	}
	for end := time.Now().Add(3 * time.Minute); c.serving(c.entries[0]) <= len(names); {
		assert.Assert(c.t, time.Now().Before(end), "instances are not up")
		time.Sleep(time.Second)
	}
	return c.list
}

func (c *cluster) observe(instances, changes int) {
	before := make([]usage, len(c.entries))
	for n, m := range c.entries {
		before[n] = usageOf(c.t, m.process)
	}
	c.change(changes)
	// The entry that uses most is the planner; the others are averaged.
	var rest, most usage
	for n, m := range c.entries {
		u := usageOf(c.t, m.process)
		u.cpu -= before[n].cpu
		u.read -= before[n].read
		u.written -= before[n].written
		rest = usage{rest.cpu + u.cpu, rest.read + u.read, rest.written + u.written, rest.memory + u.memory}
		if u.read+u.written > most.read+most.written {
			most = u
		}
	}
	k := int64(len(c.entries) - 1)
	rest = usage{(rest.cpu - most.cpu) / time.Duration(k), (rest.read - most.read) / k,
		(rest.written - most.written) / k, (rest.memory - most.memory) / k}
	row := func(u usage) string {
		rate := func(n int64) float64 { return float64(n) / 1000 / capacityWindow.Seconds() }
		return fmt.Sprintf("%8.2f %8.2f %8.2f %8.1f", 100*u.cpu.Seconds()/capacityWindow.Seconds(),
			rate(u.read), rate(u.written), float64(u.memory)/1e6)
	}
	c.t.Logf("%7d %9d %9d | %s | planner: %s", len(c.entries), instances, changes, row(rest), row(most))
}

// change makes changes at a rate for the window.
func (c *cluster) change(rate int) {
	end := time.Now().Add(capacityWindow)
	ops := c.operators(c.entries[1])
	for n := 0; time.Now().Before(end); n++ {
		if rate == 0 {
			time.Sleep(time.Until(end))
			return
		}
		_, err := ops.PutTeam(context.Background(), &recpb.Team{Name: fmt.Sprintf("t%d", n), Weight: 1})
		assert.NilError(c.t, err)
		time.Sleep(time.Second / time.Duration(rate))
	}
}
