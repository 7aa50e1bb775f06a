package front

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/platform"
)

// Guards against a request that is given up at once because the caller waits too long: the number of
// milliseconds overflowed.
func TestLongTimeoutIsNoShortOne(t *testing.T) {
	for ms, want := range map[string]string{
		"9223372036854775807": "59m59.95s", "9223372036855": "59m59.95s", "99999999999999999999": "3s", "-1": "3s", "10": "5ms",
	} {
		r := &http.Request{Header: http.Header{platform.TimeoutHeader: {ms}}}
		assert.Equal(t, callerTimeout(r).String(), want, ms)
	}
}

// Whatever a caller sends gets one answer with a status of the protocol, in time, and at most one log
// line. Only a submission that can be decoded is accepted.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/q/0123456789abcdef", "jobs.example:80", "500", []byte(`{"spec":"x","phases":[{"count":2}]}`))
	f.Add("GET", "/q/", "jobs.example", "", []byte(""))
	f.Add("DELETE", "/q/0123456789ABCDEF", "jobs.example", "x", []byte(""))
	f.Add("PUT", "/q/%30", "[::1", "-5", []byte("{"))
	f.Fuzz(func(t *testing.T, method, path, host, timeout string, body []byte) {
		r, err := http.NewRequest(method, "http://h/", bytes.NewReader(body))
		if err != nil {
			return
		}
		r.URL.Path, r.Host = path, host
		r.Header.Set(platform.TimeoutHeader, timeout)
		d := callerTimeout(r)
		assert.Assert(t, d >= 0 && d <= maxTimeout, d)
		var log bytes.Buffer
		w := httptest.NewRecorder()
		newHandler(stubJobs{}, zerolog.New(&log)).router().ServeHTTP(w, r)
		assert.Assert(t, w.Code >= 200 && w.Code < 600)
		assert.Assert(t, strings.Count(log.String(), "\n") <= 1)
		if _, err := platform.DecodeJob(body); method == http.MethodPost && w.Code == http.StatusOK {
			assert.NilError(t, err)
			assert.Assert(t, isID(path[len(path)-idDigits:]))
		}
	})
}
