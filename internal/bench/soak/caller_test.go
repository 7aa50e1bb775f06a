package soak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/serve/agent"
)

// Guards against a request that a stopping entry cuts and that the HTTP client sends again without notice.
func TestOpenConnectionIsUsedUntilTheEnd(t *testing.T) {
	var calls atomic.Int64
	var first atomic.Value
	ended := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		first.CompareAndSwap(nil, req.RemoteAddr)
		if n := calls.Add(1); n != 5 {
			assert.Check(t, n > 5 || first.Load() == req.RemoteAddr, "a call comes on another connection")
			return
		}
		time.Sleep(2 * cutSlack)
		close(ended)
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err == nil)
		assert.Check(t, conn.Close() == nil)
	}))
	defer srv.Close()
	r := &run{clk: clock.NewSystem(), net: agent.TCP{}, jobs: &registry{byID: map[string]*job{}}, signals: newCalendar(), answers: map[string]int{}}
	e := &entry{name: "entry-0", front: strings.TrimPrefix(srv.URL, "http://")}
	r.entries = []*entry{e}
	c := r.openCaller(e)
	c.useUntil(e, ended)
	assert.Equal(t, calls.Load(), int64(6), "the client sends the cut request again")
	assert.Equal(t, len(r.findings), 1)
	assert.Equal(t, r.findings[0].Rule, "CUT")
	r.findings = nil
	now := r.clk.Now()
	e.stopAt = now
	r.signals.begin(0)
	r.signals.end(0, now+1)
	closed := &tries{clk: r.clk, cut: 2 * cutSlack}
	assert.Assert(t, !c.isCut(e, now+time.Second, closed), "the process was paused after its SIGTERM")
	e.stopAt = now + 2
	assert.Assert(t, c.isCut(e, now+time.Second, closed))
	e.front = "127.0.0.1:1"
	status, _ := c.call(0, http.MethodGet, "/", nil, callTimeout)
	assert.Equal(t, status, 0)
	assert.Equal(t, len(r.findings), 0, "a refused connection cuts no request")
}

// Guards against a job that ran twice in several tasks and is reported with one.
func TestFindingsOfAJobAreRecordedTogether(t *testing.T) {
	r := &run{clk: clock.NewSystem()}
	for _, text := range []string{"a", "b", "a", "b", "c"} {
		r.found("TWICE", "j", "%s", text)
	}
	r.found("TWICE", "k", "a")
	r.found("FAULT", "", "a")
	r.found("FAULT", "", "a")
	assert.Equal(t, len(r.findings), 3)
	assert.DeepEqual(t, r.findings[0].More, []string{"b", "c"})
	assert.Equal(t, strings.Count(r.findings[0].String(), "also"), 2)
}
