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

// usage is the resource usage of a process so far.
type usage struct {
	cpu time.Duration
	// read and written are in bytes, nearly all of them on sockets.
	read, written int64
	// memory is the resident memory in bytes.
	memory int64
}

// clockTick is the unit of CPU times under /proc.
const clockTick = 10 * time.Millisecond

func readUsage(t testing.TB, p *process) usage {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat := readFields(t, dir+"stat")
	u := usage{cpu: time.Duration(parseInt(t, stat[13])+parseInt(t, stat[14])) * clockTick}
	io := readFields(t, dir+"io")
	u.read, u.written = parseInt(t, io[1]), parseInt(t, io[3])
	statm := readFields(t, dir+"statm")
	u.memory = parseInt(t, statm[1]) * int64(os.Getpagesize())
	return u
}

func readFields(t testing.TB, path string) []string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return strings.Fields(string(data))
}

func parseInt(t testing.TB, s string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	assert.NilError(t, err)
	return n
}

// capacityWindow is how long the usage is measured at each size.
const capacityWindow = 15 * time.Second

// TestCapacity prints the resources that entries use for the control plane at several sizes. It
// asserts nothing: docs/CAPACITY.md compares the figures of one run with the limits.
func TestCapacity(t *testing.T) {
	if os.Getenv("CAPACITY") == "" {
		t.Skip("set CAPACITY=1 to measure what control costs")
	}
	t.Logf("%7s %9s %9s | %s | planner: %s", "entries", "instances", "changes/s", usageHeader, usageHeader)
	for _, size := range measurements(t) {
		c := newCluster(t, size.entries, 1, 0)
		c.addInstances(size.instances)
		time.Sleep(3 * time.Second)
		c.measure(size.instances, size.changes)
		for _, m := range c.entries {
			m.stop(t, 9)
		}
	}
}

const usageHeader = "  core %  in KB/s out KB/s       MB"

// measurement is the size of a deployment to measure, and the rate of changes per second.
type measurement struct{ entries, instances, changes int }

// measurements parses the environment variable CAPACITY, such as "3x50x0,8x1500x10"; 1 stands for
// the sizes in docs/CAPACITY.md.
func measurements(t testing.TB) []measurement {
	list := os.Getenv("CAPACITY")
	if list == "1" {
		list = "3x50x0,8x50x0,8x400x0,8x1500x0,8x1500x10"
	}
	var out []measurement
	for _, text := range strings.Split(list, ",") {
		var s measurement
		_, err := fmt.Sscanf(text, "%dx%dx%d", &s.entries, &s.instances, &s.changes)
		assert.NilError(t, err, "%s", text)
		out = append(out, s)
	}
	return out
}

// addInstances registers n instances, which all have the address of the only endpoint.
func (c *cluster) addInstances(n int) {
	names := make([]string, n)
	ops := c.operators(c.entries[0])
	for k := range names {
		names[k] = fmt.Sprintf("w%04d", k)
		_, err := ops.PutInstance(context.Background(), &recpb.Instance{Name: names[k], Pool: "main",
			Addr: c.endpoints[0].addr, Rack: fmt.Sprintf("r%d", k/4), Centre: "north", Slots: 8, Conns: 64})
		assert.NilError(c.t, err)
	}
	c.list = c.listAsLive(names)
}

// listAsLive adds the instances to the instance list as live, waits until they are available and
// returns the URL of the list.
func (c *cluster) listAsLive(names []string) string {
	for _, n := range names {
		c.sendControl("PUT", c.list+"/instances/"+n, map[string]any{"phase": "live"})
	}
	for end := time.Now().Add(3 * time.Minute); c.availableInstances(c.entries[0]) <= len(names); {
		assert.Assert(c.t, time.Now().Before(end), "instances are not up")
		time.Sleep(time.Second)
	}
	return c.list
}

// measure logs the usage of entries during the window.
func (c *cluster) measure(instances, changes int) {
	before := make([]usage, len(c.entries))
	for n, m := range c.entries {
		before[n] = readUsage(c.t, m.process)
	}
	c.makeChanges(changes)
	// The entry that transfers most bytes is the planner; the others are averaged.
	var rest, most usage
	for n, m := range c.entries {
		u := readUsage(c.t, m.process)
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

// makeChanges makes configuration changes for the window, at a rate per second.
func (c *cluster) makeChanges(rate int) {
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
