package stream

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/local"
	"chervilgauge.example/chervilgauge/internal/fake/oplog"
	"chervilgauge.example/chervilgauge/internal/plat/remote"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start returns the base URL of a fake log on a fake clock and a client.
func start(t *testing.T, opts ...Option) (string, *clock.Fake, *Client) {
	t.Helper()
	clk := clock.NewFake(time.Unix(0, 0))
	l := oplog.New(oplog.WithClock(clk))
	base, err := l.Start()
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	return base, clk, dial(t, base, opts...)
}

func dial(t *testing.T, base string, opts ...Option) *Client {
	t.Helper()
	c, err := New(base, opts...)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

func order(t *testing.T, method, url, body string) {
	t.Helper()
	assert.NilError(t, local.Order(method, url, body))
}

// texts returns the retained records of stream s.
func texts(t *testing.T, c *Client, from uint64) []string {
	t.Helper()
	b, err := c.Read(t.Context(), "s", from, 0, 0)
	assert.NilError(t, err)
	all := []string{}
	for i, it := range b.Items {
		assert.Equal(t, it.Offset, from+uint64(i))
		all = append(all, string(it.Data))
	}
	return all
}

func appendAll(t *testing.T, c *Client, texts ...string) {
	t.Helper()
	for _, s := range texts {
		_, err := c.Append(t.Context(), "s", []byte(s))
		assert.NilError(t, err)
	}
}

// cancelSent returns a context that is canceled as soon as a request was sent.
func cancelSent(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { cancel() }})
}

// Guards against offsets that don't start at 1, gaps, and limits that are ignored.
func TestRead(t *testing.T) {
	_, _, c := start(t)
	b, err := c.Read(t.Context(), "s", 1, 10, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, b, ports.Batch{Items: []ports.Item{}, First: 1, Next: 1})
	appendAll(t, c, "a", "", "c")
	b, err = c.Read(t.Context(), "s", 2, 1, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, b, ports.Batch{Items: []ports.Item{{Offset: 2, Data: []byte{}}}, First: 1, Next: 4})
	assert.DeepEqual(t, texts(t, c, 9), []string{})
	off, err := c.Append(t.Context(), "a/b ?", []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, off, uint64(1))
}

// Guards against a read that waits although a record arrives or its time is over.
func TestWait(t *testing.T) {
	_, clk, c := start(t)
	got := make(chan ports.Batch)
	read := func(from uint64) {
		b, err := c.Read(t.Context(), "s", from, 10, 10*time.Second)
		assert.Check(t, err)
		got <- b
	}
	go read(1)
	appendAll(t, c, "a")
	assert.Equal(t, len((<-got).Items), 1)
	go read(2)
	for waiting := true; waiting; {
		select {
		case b := <-got:
			assert.Equal(t, len(b.Items), 0)
			waiting = false
		default:
			clk.Advance(10 * time.Second)
		}
	}
}

// Guards against an append that has an effect or an error type other than the order
// says: an unknown outcome that is reported as a refusal could be repeated wrongly.
func TestAppendFaults(t *testing.T) {
	tests := []struct {
		order   string
		has     func(error) bool
		records int
	}{
		{`{"down":true}`, ports.ErrLog.Has, 0},
		{`{"lose":1}`, ports.ErrLog.Has, 1},
		{`{"duplicate":1}`, func(err error) bool { return err == nil }, 2},
		{`{"slowappend":1000}`, ports.ErrLog.Has, 1},
	}
	for _, tt := range tests {
		t.Run(tt.order, func(t *testing.T) {
			base, clk, c := start(t)
			order(t, http.MethodPut, base+"/faults", tt.order)
			ctx := t.Context()
			if strings.Contains(tt.order, "slow") {
				ctx = cancelSent(ctx)
			}
			_, err := c.Append(ctx, "s", []byte("a"))
			assert.Assert(t, tt.has(err), "%v", err)
			order(t, http.MethodDelete, base+"/faults", "")
			// A delayed append takes effect after its client has gone.
			for len(texts(t, c, 1)) < tt.records {
				clk.Advance(time.Second)
			}
			assert.Equal(t, len(texts(t, c, 1)), tt.records)
		})
	}
}

// Guards against a refused append that is in the log, and a limit that never resets.
func TestRate(t *testing.T) {
	base, clk, c := start(t)
	order(t, http.MethodPut, base+"/faults", `{"rate":10}`)
	appendAll(t, c, "a")
	_, err := c.Append(t.Context(), "other", []byte("b"))
	assert.Assert(t, ports.ErrThrottled.Has(err) && !ports.ErrLog.Has(err), "%v", err)
	clk.Advance(100 * time.Millisecond)
	appendAll(t, c, "c")
	assert.DeepEqual(t, texts(t, c, 1), []string{"a", "c"})
	b, err := c.Read(t.Context(), "other", 1, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Items), 0)
}

// Guards against a reader that silently misses records that are no longer retained.
func TestRetention(t *testing.T) {
	base, _, c := start(t)
	appendAll(t, c, "a", "b", "c", "d")
	order(t, http.MethodPost, base+"/cut", `{"stream":"s","first":2}`)
	_, err := c.Read(t.Context(), "s", 1, 0, 0)
	var cut *ports.RetentionError
	assert.Assert(t, errors.As(err, &cut), "%v", err)
	assert.Equal(t, cut.First, uint64(2))
	assert.DeepEqual(t, texts(t, c, 2), []string{"b", "c", "d"})
	order(t, http.MethodPut, base+"/faults", `{"retain":1}`)
	assert.DeepEqual(t, texts(t, c, 4), []string{"d"})
	appendAll(t, c, "e")
	_, err = c.Read(t.Context(), "s", 4, 0, 0)
	assert.Assert(t, errors.As(err, &cut), "%v", err)
	assert.Equal(t, cut.First, uint64(5))
}

// Guards against an order for one client that holds for others, and a waiting read
// that outlives an outage.
func TestClient(t *testing.T) {
	base, _, c1 := start(t, WithName("entry-1"))
	c2 := dial(t, base, WithName("entry-2"))
	failed := make(chan error)
	go func() {
		_, err := c1.Read(t.Context(), "s", 1, 0, 10*time.Second)
		failed <- err
	}()
	order(t, http.MethodPut, base+"/faults?client=entry-1", `{"down":true}`)
	err := <-failed
	assert.Assert(t, ports.ErrLog.Has(err), "%v", err)
	_, err = c1.Append(t.Context(), "s", []byte("a"))
	assert.Assert(t, ports.ErrLog.Has(err), "%v", err)
	appendAll(t, c2, "b")
	order(t, http.MethodDelete, base+"/faults?client=entry-1", "")
	assert.DeepEqual(t, texts(t, c1, 1), []string{"b"})
	order(t, http.MethodPut, base+"/faults", `{"slowread":1000}`)
	_, err = c1.Read(cancelSent(t.Context()), "s", 1, 0, 0)
	assert.Assert(t, ports.ErrLog.Has(err), "%v", err)
}

// Guards against a redirect that makes a second attempt, and unusable base URLs.
func TestNew(t *testing.T) {
	for _, s := range []string{"", "ftp://x", "http://", "10.0.0.1:9000", "http://%zz"} {
		_, err := New(s)
		assert.Assert(t, remote.ErrBase.Has(err), "%q", s)
	}
}

// Guards against a batch that does not hold the records that were asked for, and an
// append that is reported with an offset that no record can have.
func FuzzBatch(f *testing.F) {
	f.Add([]byte(`{"first":1,"next":3,"items":[{"offset":2,"data":"YQ=="}]}`), uint64(2), 1)
	f.Add([]byte(`{"first":5,"next":5,"items":[]}`), uint64(5), 0)
	f.Add([]byte(`{"first":1,"next":18446744073709551615,"items":[{"offset":0}]}`), uint64(1<<64-1), 0)
	f.Add([]byte(`null`), uint64(1), 0)
	f.Add([]byte(`{"offset":1}`), uint64(1), 0)
	f.Fuzz(func(t *testing.T, body []byte, from uint64, limit int) {
		n, err := parseOffset(body)
		assert.Equal(t, n > 0, err == nil)
		b, err := parseBatch(body, from, limit)
		if err != nil {
			assert.Assert(t, ports.ErrLog.Has(err))
			return
		}
		assert.Assert(t, b.First >= 1 && b.First <= b.Next)
		assert.Assert(t, limit <= 0 || len(b.Items) <= limit)
		for i, it := range b.Items {
			assert.Equal(t, it.Offset, from+uint64(i))
			assert.Assert(t, b.First <= it.Offset && it.Offset < b.Next)
		}
	})
}
