// Package lister implements ports.Instances over the HTTP protocol of the platform's
// instance list.
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/ports"
)

var (
	// ErrBase is the class of base URLs that are not usable.
	ErrBase = errs.Class("instance list base URL")
	// errAnswer is the class of answers that break the protocol. It is wrapped in
	// a ports.ErrList.
	errAnswer = errs.Class("malformed instance list")
)

const (
	defaultTimeout = 5 * time.Second
	// maxAnswer bounds the bytes of an answer that are read into memory.
	maxAnswer = 16 << 20
)

// Client is a ports.Instances. It makes exactly one attempt for each call.
type Client struct {
	base    *url.URL
	http    http.Client
	owned   *http.Transport
	timeout time.Duration

	// mu guards the last list and its entity tag. At the two-year size a list takes
	// 70 KB, and most reads find it unchanged.
	mu   sync.Mutex
	tag  string
	last []ports.Listed
}

var _ ports.Instances = (*Client)(nil)

// Option changes a Client at construction.
type Option func(*Client)

// WithHTTP sets the HTTP client. Its redirect policy is replaced, and it is not closed
// by Close.
func WithHTTP(h *http.Client) Option { return func(c *Client) { c.http = *h } }

// WithTimeout bounds each call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the list at a base URL such as http://10.0.0.1:9001. It
// returns an ErrBase.
func New(base string, opts ...Option) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, ErrBase.Wrap(err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, ErrBase.New("%q is not an absolute HTTP URL", base)
	}
	c := &Client{base: u, timeout: defaultTimeout}
	for _, o := range opts {
		o(c)
	}
	if c.http.Transport == nil {
		c.owned = &http.Transport{IdleConnTimeout: time.Minute}
		c.http.Transport = c.owned
	}
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c, nil
}

// Close closes the idle connections unless the HTTP client was given by WithHTTP.
func (c *Client) Close() {
	if c.owned != nil {
		c.owned.CloseIdleConnections()
	}
}

// List returns the listed instances, which must not be modified. A list that has not
// changed is not sent again. It returns a ports.ErrList.
func (c *Client) List(ctx context.Context) ([]ports.Listed, error) {
	tag, last := c.cached()
	r, err := c.do(ctx, http.MethodGet, c.base.JoinPath("instances"), tag)
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusNotModified && tag != "" {
		return last, nil
	}
	if r.status != http.StatusOK {
		return nil, ports.ErrList.New("status %d", r.status)
	}
	list, err := parseList(r.body)
	if err != nil {
		return nil, err
	}
	c.cache(r.tag, list)
	return list, nil
}

func (c *Client) cached() (string, []ports.Listed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.last
}

func (c *Client) cache(tag string, list []ports.Listed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag, c.last = tag, list
}

// Reboot orders a reboot. It returns a ports.ErrList, after which the order may or may
// not have been carried out.
func (c *Client) Reboot(ctx context.Context, name string) error {
	r, err := c.do(ctx, http.MethodPost, c.base.JoinPath("instances", url.PathEscape(name), "reboot"), "")
	if err != nil {
		return err
	}
	if r.status != http.StatusAccepted {
		return ports.ErrList.New("reboot of %q: status %d", name, r.status)
	}
	return nil
}

// reply is a whole answer.
type reply struct {
	status int
	tag    string
	body   []byte
}

// do makes one attempt and reads the whole answer. A tag, if not empty, is that of the
// list at hand. A POST without an Idempotency-Key
// header is not replayed by the transport once a byte was written.
func (c *Client) do(ctx context.Context, method string, u *url.URL, tag string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), http.NoBody)
	if err != nil {
		return reply{}, ports.ErrList.Wrap(err)
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, ports.ErrList.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return reply{}, ports.ErrList.Wrap(err)
	}
	return reply{resp.StatusCode, resp.Header.Get("ETag"), body}, nil
}

// parseList parses the list. A phase that is not known is taken as down, because an
// instance in an unknown state counts as unavailable.
func parseList(body []byte) ([]ports.Listed, error) {
	var a []struct {
		Name  string      `json:"name"`
		Phase ports.Phase `json:"phase"`
		Boot  uint64      `json:"boot"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, ports.ErrList.Wrap(errAnswer.Wrap(err))
	}
	if a == nil {
		return nil, ports.ErrList.Wrap(errAnswer.New("null"))
	}
	seen := make(map[string]bool, len(a))
	all := make([]ports.Listed, 0, len(a))
	for _, e := range a {
		if e.Name == "" || seen[e.Name] {
			return nil, ports.ErrList.Wrap(errAnswer.New("instance name %q is empty or repeated", e.Name))
		}
		seen[e.Name] = true
		if e.Phase != ports.Live && e.Phase != ports.Leaving {
			e.Phase = ports.Down
		}
		all = append(all, ports.Listed{Name: e.Name, Phase: e.Phase, Boot: e.Boot})
	}
	return all, nil
}
