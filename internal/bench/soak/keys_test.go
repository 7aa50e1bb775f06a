package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
)

// Guards against checks that miss a removed key that is accepted or a valid one that is refused, and
// against findings about calls within the time that a change may take.
func TestChecksFindWrongAnswersToKeys(t *testing.T) {
	// The key is removed at 10 s and added again at 20 s.
	o := &operator{all: []written{{keys: [accounts]bool{true}}, {at: 10 * time.Second}, {at: 20 * time.Second, keys: [accounts]bool{true}}}}
	for _, c := range []struct {
		versions, status int
		sent             time.Duration
		want             string
	}{
		{1, http.StatusUnauthorized, time.Second, "KEY"}, {1, http.StatusOK, time.Second, ""},
		{2, http.StatusOK, 10*time.Second + revoke, ""}, {2, http.StatusOK, 10*time.Second + revoke + 1, "REVOKED"},
		{2, http.StatusUnauthorized, 10 * time.Second, ""}, {2, http.StatusServiceUnavailable, 19 * time.Second, ""},
		{3, http.StatusUnauthorized, 20*time.Second + revoke, ""}, {3, http.StatusUnauthorized, 20*time.Second + revoke + 1, "KEY"}, {3, http.StatusOK, 20 * time.Second, ""},
	} {
		r := &run{clk: clock.NewFake(time.Unix(0, 0)), operator: &operator{all: o.all[:c.versions]}}
		r.checkKey("entry-0", 0, c.status, c.sent)
		rule := ""
		for _, f := range r.findings {
			rule = f.Rule
		}
		assert.Equal(t, rule, c.want, "%+v", c)
	}
}
