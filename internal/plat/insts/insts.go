// Package lister implements ports.Instances over the HTTP protocol of the platform's
// instance list.
package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/plat/remote"
)

// errAnswer is the class of answers that break the protocol. It is wrapped in a
// ports.ErrList.
var errAnswer = errs.Class("malformed instance list")

const (
	defaultTimeout = 5 * time.Second
	// maxIdle is the number of idle connections kept: one for the list and some for
	// orders.
	maxIdle = 4
)

// Client is a ports.Instances. It makes exactly one attempt for each call.
type Client struct {
	remote  *remote.Client
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

// WithTimeout bounds each call.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the list at a base URL such as http://10.0.0.1:9001. It
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

// List returns the listed instances, which must not be modified. A list that has not
// changed is not sent again. It returns a ports.ErrList.
func (c *Client) List(ctx context.Context) ([]ports.Listed, error) {
	tag, last := c.cached()
	r, err := c.do(ctx, http.MethodGet, tag, "instances")
	if err != nil {
		return nil, err
	}
	if r.Status == http.StatusNotModified && tag != "" {
		return last, nil
	}
	if r.Status != http.StatusOK {
		return nil, ports.ErrList.New("status %d", r.Status)
	}
	list, err := parseList(r.Body)
	if err != nil {
		return nil, err
	}
	c.cache(r.Tag, list)
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
	r, err := c.do(ctx, http.MethodPost, "", "instances", name, "reboot")
	if err != nil {
		return err
	}
	if r.Status != http.StatusAccepted {
		return ports.ErrList.New("reboot of %q: status %d", name, r.Status)
	}
	return nil
}

// do makes one attempt. A tag, if not empty, is that of the list at hand.
func (c *Client) do(ctx context.Context, method, tag string, path ...string) (remote.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	head := http.Header{}
	if tag != "" {
		head.Set("If-None-Match", tag)
	}
	a, err := c.remote.Do(ctx, method, c.remote.URL(path...), nil, head)
	return a, ports.ErrList.Wrap(err)
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
