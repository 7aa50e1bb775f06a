// Package insts implements ports.Instances over the HTTP API of the platform's instance list.
package insts

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/plat/httpc"
)

// errAnswer is the class of answers that violate the protocol. It is wrapped in a
// ports.ErrList.
var errAnswer = errs.Class("malformed instance list")

const (
	defaultTimeout = 5 * time.Second
	// maxIdle is the maximum number of idle connections: one for the list and some for
	// reboots.
	maxIdle = 4
)

// Client implements ports.Instances. It makes exactly one attempt for each call.
type Client struct {
	remote  *httpc.Client
	timeout time.Duration

	// mu guards the last list and its entity tag. They are kept because the list of a large
	// deployment has 70 KB and is unchanged at most reads.
	mu   sync.Mutex
	tag  string
	last []ports.Instance
}

var _ ports.Instances = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the longest time for each call, 5 s by default.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the instance list at a base URL such as http://10.0.0.1:9001. It
// returns an httpc.ErrBase.
func New(base string, opts ...Option) (*Client, error) {
	r, err := httpc.New(base, maxIdle)
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

// List returns the instances in the list. The caller must not modify the result, which is
// returned again while the entity tag of the list is unchanged. It returns a ports.ErrList.
func (c *Client) List(ctx context.Context) ([]ports.Instance, error) {
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

func (c *Client) cached() (string, []ports.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tag, c.last
}

func (c *Client) cache(tag string, list []ports.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag, c.last = tag, list
}

// Reboot requests a reboot. It returns a ports.ErrList, after which the reboot may or may not
// have started.
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

// do makes one attempt. The tag is the entity tag of the cached list, or empty. It returns a
// ports.ErrList.
func (c *Client) do(ctx context.Context, method, tag string, path ...string) (httpc.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	header := http.Header{}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	a, err := c.remote.Do(ctx, method, c.remote.URL(path...), nil, header)
	return a, ports.ErrList.Wrap(err)
}

// parseList parses the list. It treats an unknown phase as down, because an instance in an
// unknown state counts as unavailable. It returns a ports.ErrList.
func parseList(body []byte) ([]ports.Instance, error) {
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
	all := make([]ports.Instance, 0, len(a))
	for _, e := range a {
		if e.Name == "" || seen[e.Name] {
			return nil, ports.ErrList.Wrap(errAnswer.New("instance name %q is empty or repeated", e.Name))
		}
		seen[e.Name] = true
		if e.Phase != ports.Live && e.Phase != ports.Leaving {
			e.Phase = ports.Down
		}
		all = append(all, ports.Instance{Name: e.Name, Phase: e.Phase, Boot: e.Boot})
	}
	return all, nil
}
