package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

const testKey = "a-key-of-20-letters-"

// keyConfig has a queue that needs keys and one that does not, and an account with the keys.
func keyConfig(keys ...string) *model.Config {
	a := model.Account{Name: "acme"}
	for _, k := range keys {
		a.Keys = append(a.Keys, model.DigestKey(k))
	}
	return model.Config{
		ChecksKeys: true, Accounts: []model.Account{a}, Queues: []model.Queue{
			{Name: "q", Host: "jobs.example", Prefix: "/q/"}, {Name: "open", Host: "jobs.example", Prefix: "/open/", Anonymous: true},
		},
	}.Indexed()
}

// keyJobs has a view that a test sets, and records the submissions.
type keyJobs struct {
	stubJobs
	view      View
	submitted []relay.Submission
}

func (j *keyJobs) View() View { return j.view }

func (j *keyJobs) Submit(_ context.Context, s relay.Submission, _ *model.Queue) relay.Answer {
	j.submitted = append(j.submitted, s)
	return relay.Answer{Verdict: relay.Stored}
}

// server returns a function that sends a request with key headers, and the log.
func (j *keyJobs) server(scope tally.Scope) (func(method, path string, body io.Reader, keys ...string) *httptest.ResponseRecorder, *bytes.Buffer) {
	var log bytes.Buffer
	h := newHandler(j, zerolog.New(&log), WithMetrics(scope)).router()
	return func(method, path string, body io.Reader, keys ...string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, "http://jobs.example"+path, body)
		r.Header[platform.KeyHeader] = keys
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}, &log
}

const (
	testID   = "0123456789abcdef"
	testBody = `{"spec":"x","phases":[{"count":2}]}`
)

// Guards against a call that is served without a valid key, against answers that tell why a key is not
// valid, against an anonymous queue that refuses callers or forgets their account, and against keys in
// the log and in answers.
func TestCallsNeedAValidKey(t *testing.T) {
	long := strings.Repeat("k", platform.MaxKeyBytes+1)
	scope := tally.NewTestScope("", nil)
	// The configuration would accept the overlong key, if it could be decoded.
	j := &keyJobs{view: View{Config: keyConfig(testKey, long)}}
	send, log := j.server(scope)
	answers := map[string]bool{}
	for _, keys := range [][]string{nil, {""}, {"other"}, {testKey, testKey}, {testKey, "other"}, {long}, {testKey + "x"}, {testKey + ", " + testKey}} {
		for _, to := range []struct{ method, path string }{{"POST", "/q/" + testID}, {"GET", "/q/" + testID}, {"DELETE", "/q/" + testID}, {"GET", "/q/"}, {"PUT", "/q/" + testKey}} {
			w := send(to.method, to.path, strings.NewReader(testBody), keys...)
			assert.Equal(t, w.Code, http.StatusUnauthorized)
			answers[w.Body.String()] = true
		}
		assert.Equal(t, send("POST", "/open/"+testID, strings.NewReader(testBody), keys...).Code, http.StatusOK)
		assert.Equal(t, j.submitted[len(j.submitted)-1].Account, "")
		assert.Equal(t, send("GET", "/none/"+testKey, nil, keys...).Code, http.StatusNotFound)
	}
	assert.Equal(t, len(answers), 1)
	assert.Equal(t, len(j.submitted), 8) // those to the anonymous queue
	for _, path := range []string{"/q/", "/open/"} {
		assert.Equal(t, send("POST", path+testID, strings.NewReader(testBody), testKey).Code, http.StatusOK)
		assert.Equal(t, j.submitted[len(j.submitted)-1].Account, "acme")
	}
	assert.Equal(t, send("GET", "/q/"+testKey, nil, testKey).Code, http.StatusBadRequest)
	assert.Assert(t, !strings.Contains(log.String(), testKey) && !strings.Contains(log.String(), long))
	assert.Equal(t, scope.Snapshot().Counters()["calls_refused+cause=key"].Value(), int64(40))
}

// Guards against a deployment without accounts whose callers need keys, or are refused for an old view.
func TestConfigurationWithoutAccountsNeedsNoKeys(t *testing.T) {
	j := &keyJobs{view: View{Config: stubJobs{}.View().Config, Strict: true, Revoke: time.Second}}
	send, log := j.server(tally.NoopScope)
	for _, keys := range [][]string{nil, {"x"}, {"x", "y"}} {
		assert.Equal(t, send("POST", "/q/"+testID, strings.NewReader(testBody), keys...).Code, http.StatusOK)
	}
	assert.Equal(t, log.String(), "")
	j.view.Config = nil
	assert.Equal(t, send("GET", "/q/", nil).Code, http.StatusServiceUnavailable)
}

// Guards against keys that are accepted by a view which is too old, against calls to anonymous queues
// that are refused for it, and against a log line for each call.
func TestStaleViewRefusesKeys(t *testing.T) {
	j := &keyJobs{view: View{Config: keyConfig(testKey), Strict: true, Revoke: 5 * time.Second}}
	scope := tally.NewTestScope("", nil)
	send, log := j.server(scope)
	for _, c := range []struct {
		age   time.Duration
		known bool
		want  int
	}{
		{0, false, 503}, {0, true, 200}, {4749 * time.Millisecond, true, 200}, {4750 * time.Millisecond, true, 503}, {time.Hour, true, 503}, {time.Second, true, 200},
	} {
		j.view.Age, j.view.HasAge = c.age, c.known
		w := send("GET", "/q/", nil, testKey)
		assert.Equal(t, w.Code, c.want)
		assert.Equal(t, w.Header().Get("Retry-After") != "", c.want == 503)
		assert.Equal(t, send("GET", "/q/", nil).Code, http.StatusUnauthorized)
		assert.Equal(t, send("GET", "/open/", nil, testKey).Code, http.StatusOK)
	}
	assert.Equal(t, scope.Snapshot().Counters()["calls_refused+cause=view"].Value(), int64(3))
	assert.Equal(t, strings.Count(log.String(), "is too old"), 2)
	assert.Equal(t, strings.Count(log.String(), "is good again"), 2)
	j.view = View{Config: j.view.Config, Age: time.Hour, Revoke: 5 * time.Second}
	assert.Equal(t, send("GET", "/q/", nil, testKey).Code, http.StatusOK, "views don't expire")
}

// slowBody calls a function before its end is read.
type slowBody struct {
	io.Reader
	before func()
}

func (b *slowBody) Read(p []byte) (int, error) {
	b.before()
	return b.Reader.Read(p)
}

// Guards against a job that is stored although its key was removed, or the view became too old, while the
// body arrived.
func TestKeyIsCheckedAfterTheBody(t *testing.T) {
	for want, next := range map[int]View{
		http.StatusUnauthorized:       {Config: keyConfig("other"), HasAge: true, Strict: true, Revoke: 5 * time.Second},
		http.StatusServiceUnavailable: {Config: keyConfig(testKey), HasAge: true, Age: 5 * time.Second, Strict: true, Revoke: 5 * time.Second},
	} {
		j := &keyJobs{view: View{Config: keyConfig(testKey), HasAge: true, Strict: true, Revoke: 5 * time.Second}}
		send, _ := j.server(tally.NoopScope)
		w := send("POST", "/q/"+testID, &slowBody{strings.NewReader(testBody), func() { j.view = next }}, testKey)
		assert.Equal(t, w.Code, want)
		assert.Equal(t, len(j.submitted), 0)
	}
}
