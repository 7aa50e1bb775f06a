package orders

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

const answerTime = 300 * time.Millisecond

// viewRig is a reader of orders whose store takes answerTime on the reader's clock for each answer.
type viewRig struct {
	*Orders
	t     *testing.T
	clk   *clock.Fake
	store *fake.Store
	log   bytes.Buffer
	// failAfter is the number of calls after which the store refuses calls, 0 for never.
	failAfter int
}

func newViewRig(t *testing.T) *viewRig {
	w := fake.NewPlatform(nil)
	r := &viewRig{t: t, clk: clock.NewFake(time.Unix(0, 0)), store: w.Store}
	r.clk.Advance(time.Minute)
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		r.clk.Advance(answerTime)
		if calls++; r.failAfter > 0 && calls > r.failAfter {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Store.ServeHTTP(rw, req)
	}))
	s := w.Settings("self", 1, 2, 3)
	s.Store.Addr = srv.Listener.Addr().String()
	c := platform.NewClient(s)
	t.Cleanup(func() {
		c.Close()
		srv.Close()
		w.Close()
	})
	r.Orders = &Orders{client: c, log: zerolog.New(&r.log), clk: r.clk, waves: map[int64]Wave{}}
	return r
}

func (r *viewRig) put(key, value string) {
	r.store.Put(platform.OperatorTopic, key, []byte(value))
}

func (r *viewRig) assertAge(want time.Duration) {
	r.t.Helper()
	age, ok := r.ViewAge()
	assert.Assert(r.t, ok)
	assert.Equal(r.t, age, want)
}

// Guards against a view that counts from the answer of a read, which may be late, that survives a
// suspension, or that an earlier answer moves back.
func TestViewCountsFromTheSendOfTheRead(t *testing.T) {
	r := newViewRig(t)
	r.put(platform.ConfigKey, `{"version":1}`)
	_, ok := r.ViewAge()
	assert.Assert(t, !ok)
	from, err := r.ReadAll(context.Background())
	assert.NilError(t, err)
	r.assertAge(answerTime)
	r.clk.Advance(time.Hour) // the entry is suspended
	r.assertAge(time.Hour + answerTime)
	r.put(platform.ConfigKey, `{"version":2}`)
	_, err = r.ReadNext(context.Background(), from, readWait)
	assert.NilError(t, err)
	r.assertAge(answerTime)
	r.ExtendView(r.clk.Now() - time.Second)
	r.assertAge(answerTime)
	r.ExtendView(r.clk.Now() - time.Millisecond)
	r.assertAge(time.Millisecond)
}

// Guards against a view that is extended by a read which failed, which was answered with a part of the
// records, or whose records were deleted.
func TestOnlyWholeReadsExtendTheView(t *testing.T) {
	ctx := context.Background()
	r := newViewRig(t)
	const keys = 501 // more than a page
	for i := range keys {
		r.put(fmt.Sprint("other/", i), strings.Repeat("x", 4<<10))
	}
	r.put(platform.ConfigKey, `{"version":1}`)
	r.failAfter = 1
	_, err := r.ReadAll(ctx)
	assert.Assert(t, err != nil)
	_, ok := r.ViewAge()
	assert.Assert(t, !ok, "only the first page was read")

	r.failAfter = 0
	from, err := r.ReadNext(ctx, 0, readWait)
	assert.NilError(t, err)
	assert.Assert(t, from < keys+1)
	_, ok = r.ViewAge()
	assert.Assert(t, !ok, "a part of the records was read")
	for from < keys+1 {
		from, err = r.ReadNext(ctx, from, readWait)
		assert.NilError(t, err)
	}
	r.assertAge(answerTime)

	r.put(platform.ConfigKey, `{"version":2}`)
	r.store.Set(fake.Faults{Busy: true})
	_, err = r.ReadNext(ctx, from, readWait)
	assert.Assert(t, err != nil)
	r.assertAge(2 * answerTime)
	r.store.Set(fake.Faults{})
	r.store.Truncate(platform.OperatorTopic, 0)
	_, err = r.ReadNext(ctx, from, readWait)
	gone := (*platform.GoneError)(nil)
	assert.Assert(t, errors.As(err, &gone))
	r.assertAge(3 * answerTime)
	_, err = r.ReadAll(ctx)
	assert.NilError(t, err)
	assert.Equal(t, r.Config().Version, int64(2))
	r.assertAge(2 * answerTime) // two pages
}

// Guards against a configuration with an error that removes accounts, or ends the service of keys, and
// against keys in the log or in what other entries get.
func TestFaultyConfigurationKeepsThePreviousOne(t *testing.T) {
	r := newViewRig(t)
	const key = "the-key-of-an-account"
	r.put(platform.ConfigKey, `{"version":1,"tenants":[{"name":"a","api_keys":["`+key+`"]}]}`)
	from, err := r.ReadAll(context.Background())
	assert.NilError(t, err)
	for i, accounts := range []string{
		`[{"name":"a","api_keys":["` + key + `","` + key + `"]}]`, `[{"name":"a","API_KEYS":["` + key + `"]}]`,
		`[{"name":"a","api_keys":"` + key + `"}]`, `["` + key + `"]`, `"` + key, `{"` + key + `":1}`,
	} {
		r.put(platform.ConfigKey, fmt.Sprintf(`{"version":%d,"tenants":%s}`, i+2, accounts))
		from, err = r.ReadNext(context.Background(), from, readWait)
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(r.log.String(), "can't be decoded"), i+1)
		r.assertAge(answerTime)
		assert.Equal(t, r.Config().AccountByKey(model.DigestKey(key)).Name, "a")
	}
	assert.Assert(t, !strings.Contains(r.log.String(), key), r.log.String())
	assert.Assert(t, !bytes.Contains(r.RawConfig(), []byte(key)))
	passedOn := &Orders{log: zerolog.Nop(), clk: r.clk}
	assert.NilError(t, passedOn.SetConfig(r.RawConfig()))
	assert.DeepEqual(t, passedOn.Config().Accounts, r.Config().Accounts)
}

// Guards against a removed key that stays valid because the list of newest records has a configuration that
// can't be decoded in place of the one that removed the key: after deleted history, and in a new process
// that gets an old configuration of a leader. Also guards against keys that are refused after deleted
// history although nothing was missed.
func TestMissedConfigurationsStopTheView(t *testing.T) {
	const faulty = `{"version":3,"tenants":[{"name":"a","api_keys":[""]}]}`
	ctx := context.Background()
	r := newViewRig(t)
	r.put(platform.ConfigKey, `{"version":1,"tenants":[{"name":"a","api_keys":["k"]}]}`)
	from, err := r.ReadAll(ctx)
	assert.NilError(t, err)
	r.put(platform.ConfigKey, `{"version":2,"tenants":[{"name":"a","api_keys":["other"]}]}`)
	r.put(platform.ConfigKey, faulty)
	r.store.Compact()
	_, err = r.ReadNext(ctx, from, readWait)
	gone := (*platform.GoneError)(nil)
	assert.Assert(t, errors.As(err, &gone))
	from, err = r.ReadAll(ctx)
	assert.NilError(t, err)
	r.assertAge(3 * answerTime)
	assert.Assert(t, r.MayLackConfig())
	_, err = r.ReadNext(ctx, from, readWait)
	assert.NilError(t, err)
	r.assertAge(4 * answerTime)

	started := &Orders{client: r.client, log: zerolog.Nop(), clk: r.clk, waves: map[int64]Wave{}}
	from, err = started.ReadAll(ctx)
	assert.NilError(t, err)
	_, ok := started.ViewAge()
	assert.Assert(t, !ok && started.MayLackConfig())
	// A leader's view of before the gap doesn't end it, and a later one does.
	started.ExtendView(r.clk.Now() - time.Second)
	assert.Assert(t, started.MayLackConfig())
	assert.NilError(t, started.SetConfig([]byte(`{"version":2}`)))
	// So doesn't one that is of the time of the gap or appears to be later only by the rate of a slow clock.
	started.ExtendView(r.clk.Now())
	assert.Assert(t, started.MayLackConfig())
	r.clk.Advance(3 * time.Second)
	started.ExtendView(r.clk.Now() - 3*time.Second + 3*time.Millisecond)
	assert.Assert(t, started.MayLackConfig())
	started.ExtendView(r.clk.Now())
	assert.Assert(t, !started.MayLackConfig())
	r.store.Compact()
	from, err = started.ReadNext(ctx, from, readWait)
	assert.NilError(t, err)
	_, err = started.ReadAll(ctx)
	assert.NilError(t, err)
	age, _ := started.ViewAge()
	assert.Equal(t, age, answerTime, "nothing was missed")

	r.put(platform.ConfigKey, `{"version":4}`)
	_, err = r.ReadNext(ctx, from, readWait)
	assert.NilError(t, err)
	r.assertAge(answerTime)
	assert.Assert(t, !r.MayLackConfig())
}

// Guards against keys that are refused while configurations are written as fast as they can be read: no read
// gets to the end of the log then.
func TestViewIsExtendedWhileReadsDontReachTheEnd(t *testing.T) {
	ctx := context.Background()
	r := newViewRig(t)
	from, err := r.ReadAll(ctx)
	assert.NilError(t, err)
	large := strings.Repeat("x", 600<<10) // two records are an answer
	for i := range 30 {
		for range 2 {
			r.put("other/", large)
		}
		if i == 0 {
			r.put("other/", large)
		}
		next, err := r.ReadNext(ctx, from, readWait)
		assert.NilError(t, err)
		assert.Equal(t, next, from+2)
		from = next
		age, ok := r.ViewAge()
		assert.Assert(t, ok && age <= 4*answerTime, "age %v after %d reads", age, i+1)
	}
	// A read that is answered with a part doesn't extend the view to its own time.
	r.assertAge(2 * answerTime)
}
