package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/platform/fake"
)

var machines = []string{"m-a-0", "m-a-1", "m-b-0"}

// Guards against a plan that a seed does not determine, so that a failure can't be played again.
func TestSeedDeterminesThePlan(t *testing.T) {
	a, b := NewPlan(7, time.Minute, 4, 5, machines, ""), NewPlan(7, time.Minute, 4, 5, machines, "")
	assert.Assert(t, len(a) > 20)
	assert.DeepEqual(t, a, b)
	other := NewPlan(8, time.Minute, 4, 5, machines, "")
	assert.Assert(t, other[0].String() != a[0].String())
	overlaps := 0
	for i, f := range a {
		assert.Assert(t, f.At >= calmStart && f.At+f.For <= time.Minute, "%s", f)
		if i > 0 && f.At < a[i-1].At+a[i-1].For {
			overlaps++
		}
	}
	assert.Assert(t, overlaps > 0)
	for _, f := range NewPlan(7, time.Minute, 2, 5, machines, string(Restart)) {
		assert.Equal(t, f.Action.(MachineFault).Kind, Restart)
	}
	assert.DeepEqual(t, newJob(rand.New(rand.NewPCG(7, 1)), true).body, newJob(rand.New(rand.NewPCG(7, 1)), true).body)
}

// build returns the path of a program that runs entries.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "chervilgauge")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/chervilgauge").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return program
}

// play plays a run that must find nothing.
func play(t *testing.T, c Config) {
	t.Helper()
	var text strings.Builder
	report, err := Run(context.Background(), c, &text)
	assert.NilError(t, err)
	assert.NilError(t, report.Write(&text))
	assert.Equal(t, len(report.Findings), 0, "%s", text.String())
	assert.Assert(t, report.Accepted > 20, "%s", text.String())
	assert.Equal(t, report.Callers > 0, c.delegates(), "%s", text.String())
}

// Guards against jobs that are lost or run twice, and all else that the soak checks, under faults
// that overlap.
func TestShortSoak(t *testing.T) {
	program := build(t)
	for _, c := range []Config{
		{Seed: 1, Entries: 3, Series: 4}, {Seed: 2, Entries: 3, Series: 4},
		{Seed: 3, Entries: 5, Small: 2, Executors: 105, Series: 4},
	} {
		t.Run(fmt.Sprintf("seed%d", c.Seed), func(t *testing.T) {
			c.Program, c.Length = program, 10*time.Second
			play(t, c)
		})
	}
}

// Guards against a former leader that may still act and starts tasks on executors which have restarted.
func TestSplitLeadersStartNoTaskTwice(t *testing.T) {
	play(t, Config{Program: build(t), Seed: 7001, Length: 20 * time.Second, Entries: 6, Executors: 120, Series: 2, Only: "SplitLeader"})
}

// Guards against checks that find nothing: a job that is shown in a state without cause, and one
// that was refused and runs.
func TestChecksFindBrokenPromises(t *testing.T) {
	r := &run{clk: clock.NewSystem(), jobs: &registry{byID: map[string]*job{}}}
	r.platform = fake.NewPlatform(map[string]int{}, fake.WithPlan(r.jobs.plan))
	defer r.platform.Close()
	rules := func() string {
		var out []string
		for _, f := range r.findings {
			out = append(out, f.Rule)
		}
		r.findings = nil
		return strings.Join(out, " ")
	}
	j := newJob(rand.New(rand.NewPCG(1, 1)), true)
	r.jobs.add(j)
	for _, c := range []struct{ state, rules string }{
		{"complete", "MIXED"}, {"failed", "LOST"}, {"cancelled", "LOST"}, {"active", ""}, {"queued", ""}, {"", ""},
	} {
		r.checkState(j, c.state, 0)
		assert.Equal(t, rules(), c.rules, c.state)
	}
	assert.Assert(t, !j.view().refused)
	j.beginSubmit()
	j.recordSubmit(503, 0)
	assert.Assert(t, j.view().refused)
	j.beginSubmit()
	assert.Assert(t, !j.view().refused, "the attempt in flight may be accepted")
	j.recordSubmit(0, 0)
	assert.Assert(t, !j.view().refused, "an attempt without an answer may have been accepted")
}

// Guards against starts on executors of another service, and of tasks that nobody sent, that are not found.
func TestStartsThatNobodyAskedForAreFound(t *testing.T) {
	jobs := &registry{byID: map[string]*job{}}
	w := fake.NewPlatform(pools(MinExecutors), fake.WithPlan(jobs.plan))
	defer w.Close()
	j := newJob(rand.New(rand.NewPCG(1, 1)), false)
	jobs.add(j)
	start := func(pool, task, spec string) string {
		seen := len(w.Violations())
		body := fmt.Sprintf(`{"task":%q,"spec":%q,"attempt":1,"deadline_ms":9000}`, task, spec)
		w.Executor("m-"+pool+"-0").ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/chervilgauge/run-start", strings.NewReader(body)))
		rules := ""
		for _, v := range w.Violations()[seen:] {
			rule, _, _ := strings.Cut(v, " ")
			rules += rule
		}
		return rules
	}
	assert.Equal(t, start(j.service, j.id+".0.0.0", j.id), "")
	assert.Equal(t, start("rest", j.id+".0.0.0", j.id), "TWICEROUTE")
	assert.Equal(t, start(j.service, j.id+".0.0.99", j.id), "UNASKED")
	assert.Equal(t, start(j.service, j.id+".0.0.98", ""), "UNASKED")
	assert.Equal(t, start(j.service, "00000000000000aa.0.0.0", j.id), "UNASKED")
}

// Guards against a link that does not hold data back, or does not reset connections.
func TestLinkFaults(t *testing.T) {
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
	c, err := net.Dial("tcp", l.Addr())
	assert.NilError(t, err)
	echo := func(wait time.Duration) error {
		_, err := c.Write([]byte{1})
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
		_, err = io.ReadFull(c, make([]byte, 1))
		return err
	}
	assert.NilError(t, echo(5*time.Second))
	for _, f := range []LinkFaults{{NoCalls: true}, {NoAnswers: true}} {
		l.Set(f)
		assert.ErrorIs(t, echo(50*time.Millisecond), os.ErrDeadlineExceeded)
		l.Set(LinkFaults{})
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = io.ReadFull(c, make([]byte, 1))
		assert.NilError(t, err)
	}
	l.Set(LinkFaults{Reset: true})
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !os.IsTimeout(err))
}
