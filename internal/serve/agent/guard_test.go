package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/serve/leader"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
)

// Guards against large jobs that are stored while there is no leader, which the next one could not refuse, against
// an untrue refusal of a job that a leader may have stored, and against ordinary jobs that are taken for large.
func TestLargeJobsNeedALeader(t *testing.T) {
	assert.Assert(t, leader.IsLargeJob([]byte(`{"phases":[{"count":100000}]}`)))
	assert.Assert(t, leader.IsLargeJob([]byte(`{"phases":[`+strings.Repeat(`{"count":1},`, 19_999)+`{"count":1}]}`)))
	assert.Assert(t, !leader.IsLargeJob([]byte(`{"phases":[{"count":64},{"count":64,"after":[0]}]}`)))
	for notRun, want := range map[bool]relay.Verdict{true: relay.Refused, false: relay.Unknown} {
		a := largeJobAnswer(notRun)
		assert.Equal(t, a.Verdict, want)
		assert.Assert(t, a.RetryAfter > 0)
	}
}

// Guards against the ports for readiness and metrics that keep connections or headers without a bound.
func TestAuxServersAreBounded(t *testing.T) {
	s := newAuxServer(http.NotFoundHandler())
	assert.Assert(t, s.ReadHeaderTimeout > 0 && s.ReadTimeout > 0 && s.WriteTimeout > 0 && s.IdleTimeout > 0)
	w := httptest.NewRecorder()
	s.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	assert.Equal(t, w.Code, http.StatusNotFound)
}
