// Package stream implements ports.Log over the HTTP protocol of the platform's log.
package stream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/plat/remote"
)

// errAnswer is the class of answers that break the protocol. It is wrapped in a
// ports.ErrLog.
var errAnswer = errs.Class("malformed answer of the log")

const (
	defaultTimeout = 5 * time.Second
	// maxIdle is the number of idle connections kept: an entry tails up to 9
	// streams and appends at the same time.
	maxIdle = 16
)

// Client is a ports.Log. It makes exactly one attempt for each call.
type Client struct {
	remote  *remote.Client
	timeout time.Duration
	name    string
}

var _ ports.Log = (*Client)(nil)

// Option changes a Client at construction.
type Option func(*Client)

// WithTimeout bounds each call; a read may take this time on top of its wait.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithName sets the value of the Client header, by which the log tells its clients
// apart.
func WithName(name string) Option { return func(c *Client) { c.name = name } }

// New returns a client of the log at a base URL such as http://10.0.0.1:9000. It
// returns a remote.ErrBase.
func New(base string, opts ...Option) (*Client, error) {
	r, err := remote.New(base, maxIdle)
	if err != nil {
		return nil, err
	}
	c := &Client{remote: r, timeout: defaultTimeout}
	for _, o := range opts {
		o(c)
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.remote.Close() }

// Append adds a record to the end of a stream and returns its offset. It returns a
// ports.ErrThrottled if the log refused the record and a ports.ErrLog if the outcome
// is unknown.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	status, body, err := c.do(ctx, http.MethodPost, c.remote.URL("streams", stream), data)
	if err != nil {
		return 0, err
	}
	if status == http.StatusTooManyRequests {
		return 0, ports.ErrThrottled.New("stream %q", stream)
	}
	if status != http.StatusOK {
		return 0, ports.ErrLog.New("append to stream %q: status %d", stream, status)
	}
	return parseOffset(body)
}

// Read returns up to limit records from an offset, and waits up to the given time if
// there are none. It returns a *ports.RetentionError if the offset is no longer retained
// and a ports.ErrLog if no valid answer arrives.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (ports.Batch, error) {
	wait = max(wait, 0)
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	u := c.remote.URL("streams", stream)
	q := url.Values{"from": {strconv.FormatUint(from, 10)}, "wait": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	if limit > 0 {
		q.Set("limit", strconv.Itoa(limit))
	}
	u.RawQuery = q.Encode()
	status, body, err := c.do(ctx, http.MethodGet, u, nil)
	if err != nil {
		return ports.Batch{}, err
	}
	switch status {
	case http.StatusOK:
		return parseBatch(body, from, limit)
	case http.StatusGone:
		return ports.Batch{}, parseRetention(body, stream, from)
	}
	return ports.Batch{}, ports.ErrLog.New("read of stream %q: status %d", stream, status)
}

// do makes one attempt and reads the whole answer.
func (c *Client) do(ctx context.Context, method string, u *url.URL, data []byte) (int, []byte, error) {
	head := http.Header{}
	if c.name != "" {
		head.Set("Client", c.name)
	}
	a, err := c.remote.Do(ctx, method, u, data, head)
	return a.Status, a.Body, ports.ErrLog.Wrap(err)
}

// parseOffset parses the answer to an append.
func parseOffset(body []byte) (uint64, error) {
	var a struct {
		Offset uint64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, ports.ErrLog.Wrap(errAnswer.Wrap(err))
	}
	if a.Offset == 0 {
		return 0, ports.ErrLog.Wrap(errAnswer.New("append answered without an offset"))
	}
	return a.Offset, nil
}

// parseRetention parses the answer to a read of an offset that is not retained.
func parseRetention(body []byte, stream string, from uint64) error {
	var a struct {
		First uint64 `json:"first"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return ports.ErrLog.Wrap(errAnswer.Wrap(err))
	}
	if a.First <= from {
		return ports.ErrLog.Wrap(errAnswer.New("first %d, but offset %d is not retained", a.First, from))
	}
	return &ports.RetentionError{Stream: stream, From: from, First: a.First}
}

// parseBatch parses the answer to a read. The records must be those from the offset
// on without a gap, no more than limit if that is positive, and end at or before next.
func parseBatch(body []byte, from uint64, limit int) (ports.Batch, error) {
	var a struct {
		First uint64       `json:"first"`
		Next  uint64       `json:"next"`
		Items []ports.Item `json:"items"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return ports.Batch{}, ports.ErrLog.Wrap(errAnswer.Wrap(err))
	}
	if a.First == 0 || a.Next < a.First {
		return ports.Batch{}, ports.ErrLog.Wrap(errAnswer.New("first %d, next %d", a.First, a.Next))
	}
	if limit > 0 && len(a.Items) > limit {
		return ports.Batch{}, ports.ErrLog.Wrap(errAnswer.New("%d records, limit %d", len(a.Items), limit))
	}
	for i, it := range a.Items {
		if it.Offset != from+uint64(i) || it.Offset < a.First || it.Offset >= a.Next {
			return ports.Batch{}, ports.ErrLog.Wrap(errAnswer.New("record %d of the read from %d has offset %d", i, from, it.Offset))
		}
	}
	return ports.Batch{Items: a.Items, First: a.First, Next: a.Next}, nil
}
