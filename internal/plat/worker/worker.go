// Package worker implements ports.Workers over the HTTP API of the platform's workers.
package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/plat/httpc"
)

// errAnswer is the class of answers that violate the protocol. It is wrapped in a
// ports.ErrWorkers.
var errAnswer = errs.Class("malformed answer of the workers")

const (
	defaultTimeout = 5 * time.Second
	// maxIdle is the maximum number of idle connections. The planner makes up to 64 calls
	// at a time.
	maxIdle = 64
)

// Client implements ports.Workers. It makes exactly one attempt for each call.
type Client struct {
	remote  *httpc.Client
	timeout time.Duration
}

var _ ports.Workers = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the longest time for each call, 5 s by default.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// New returns a client of the workers API at a base URL such as http://10.0.0.1:9002. It
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

// resources is the JSON form of an amount of resources.
type resources struct {
	Cores        int64 `json:"cores"`
	Memory       int64 `json:"memory"`
	Accelerators int64 `json:"accelerators"`
}

// Start starts a task. It returns a *ports.StaleTaskError, a *ports.NotStartedError or
// a ports.ErrWorkers.
func (c *Client) Start(ctx context.Context, k ports.TaskKey, s ports.TaskSpec) error {
	status, body, err := c.do(ctx, http.MethodPut, c.tasksURL(k), struct {
		Job        string    `json:"job"`
		Token      uint64    `json:"token"`
		Boot       uint64    `json:"boot"`
		Lease      float64   `json:"lease"`
		Need       resources `json:"need"`
		Checkpoint bool      `json:"checkpoint"`
	}{k.Job, k.Token, s.Boot, float64(s.Lease) / float64(time.Millisecond), resources(s.Need), s.Checkpoint})
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK, http.StatusCreated:
		return nil
	case http.StatusConflict:
		return parseStale(k, body)
	case http.StatusNotFound, http.StatusGone, http.StatusTooManyRequests:
		return &ports.NotStartedError{Key: k, Reason: parseReason(body)}
	}
	return ports.ErrWorkers.New("start of %q on %s: status %d", k.Job, k.Worker, status)
}

// Command throttles, restores, checkpoints, stops or forgets a task and returns its resulting
// phase. It returns a *ports.NoTaskError or a ports.ErrWorkers.
func (c *Client) Command(ctx context.Context, k ports.TaskKey, kind ports.CommandKind) (ports.TaskPhase, error) {
	status, body, err := c.do(ctx, http.MethodPost, c.tasksURL(k).JoinPath(string(kind)), struct {
		Job   string `json:"job"`
		Token uint64 `json:"token"`
	}{k.Job, k.Token})
	if err != nil {
		return "", err
	}
	switch status {
	case http.StatusOK:
		return parsePhase(body)
	case http.StatusNotFound, http.StatusGone:
		return "", &ports.NoTaskError{Key: k}
	}
	return "", ports.ErrWorkers.New("%s of %q on %s: status %d", kind, k.Job, k.Worker, status)
}

// tasksURL returns the URL of a worker's tasks. The name of the job is sent in the body and not
// in the path, because operators may choose any name, also one such as "..".
func (c *Client) tasksURL(k ports.TaskKey) *url.URL {
	return c.remote.URL("workers", k.Worker, "tasks")
}

// parsePhase parses the phase of a task from an answer. It returns a ports.ErrWorkers.
func parsePhase(body []byte) (ports.TaskPhase, error) {
	var a struct {
		Phase ports.TaskPhase `json:"phase"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return "", ports.ErrWorkers.Wrap(errAnswer.Wrap(err))
	}
	return a.Phase, checkPhase(a.Phase)
}

// checkPhase rejects an unknown phase, because a job could be ended wrongly if it were treated
// as another one. It returns a ports.ErrWorkers.
func checkPhase(p ports.TaskPhase) error {
	switch p {
	case ports.TaskRunning, ports.TaskSucceeded, ports.TaskFailed, ports.TaskStopped:
		return nil
	}
	return ports.ErrWorkers.Wrap(errAnswer.New("task phase %q", p))
}

// parseStale parses the newest token from a refusal. It returns a *ports.StaleTaskError, or a
// ports.ErrWorkers if the refusal is malformed.
func parseStale(k ports.TaskKey, body []byte) error {
	var a struct {
		Token uint64 `json:"token"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return ports.ErrWorkers.Wrap(errAnswer.Wrap(err))
	}
	if a.Token < k.Token {
		return ports.ErrWorkers.Wrap(errAnswer.New("token %d refused because of the older %d", k.Token, a.Token))
	}
	return &ports.StaleTaskError{Key: k, Newest: a.Token}
}

// parseReason returns the reason of a refusal, empty if it has none.
func parseReason(body []byte) string {
	var a struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(body, &a)
	return a.Error
}

// do makes one attempt and reads the whole answer. A nil v sends no body. It returns a
// ports.ErrWorkers.
func (c *Client) do(ctx context.Context, method string, u *url.URL, v any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body []byte
	if v != nil {
		data, err := json.Marshal(v)
		if err != nil {
			return 0, nil, ports.ErrWorkers.Wrap(err)
		}
		body = data
	}
	a, err := c.remote.Do(ctx, method, u, body, nil)
	return a.Status, a.Body, ports.ErrWorkers.Wrap(err)
}
