// Package remote is what the adapters of the platform's HTTP services share: a base URL
// and a client that makes exactly one attempt for each call.
package remote

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"
)

var (
	// ErrBase is the class of base URLs that are not usable.
	ErrBase = errs.Class("base URL")
	// ErrCall is the class of calls without a whole answer. Their effect is unknown.
	ErrCall = errs.Class("platform")
)

const (
	// maxAnswer bounds the bytes of an answer that are read into memory. A list of
	// 1,500 workers with 64 tasks each is about 12 MB.
	maxAnswer   = 64 << 20
	idleTimeout = time.Minute
)

// Client calls one service of the platform.
type Client struct {
	base      *url.URL
	http      http.Client
	transport *http.Transport
}

// New returns a client of the service at a base URL such as http://10.0.0.1:9000, which
// keeps up to the given number of idle connections. It returns an ErrBase.
func New(base string, idle int) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, ErrBase.Wrap(err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, ErrBase.New("%q is not an absolute HTTP URL", base)
	}
	t := &http.Transport{MaxIdleConns: idle, MaxIdleConnsPerHost: idle, IdleConnTimeout: idleTimeout}
	c := &Client{base: u, transport: t}
	c.http.Transport = t
	// A redirected call would be a second attempt.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// URL returns the URL of a path below the base. Elements are escaped.
func (c *Client) URL(elems ...string) *url.URL {
	escaped := make([]string, len(elems))
	for n, e := range elems {
		escaped[n] = url.PathEscape(e)
	}
	return c.base.JoinPath(escaped...)
}

// Answer is a whole answer.
type Answer struct {
	Status int
	// Tag is the entity tag, empty if there is none.
	Tag  string
	Body []byte
}

// Do makes one attempt and reads the whole answer. A nil body sends none. It returns an
// ErrCall.
func (c *Client) Do(ctx context.Context, method string, u *url.URL, body []byte, head http.Header) (Answer, error) {
	var r io.Reader = http.NoBody
	if body != nil {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), r)
	if err != nil {
		return Answer{}, ErrCall.Wrap(err)
	}
	// Without GetBody the transport can't replay a call.
	req.GetBody = nil
	for name := range head {
		req.Header.Set(name, head.Get(name))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, ErrCall.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return Answer{}, ErrCall.Wrap(err)
	}
	return Answer{Status: resp.StatusCode, Tag: resp.Header.Get("ETag"), Body: data}, nil
}
