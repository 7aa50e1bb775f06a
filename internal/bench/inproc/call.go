package world

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/claim"
)

// Call is one request of a caller.
type Call struct {
	Service    string
	ID         string
	Idempotent bool
	Urgency    string
	Team       string
	Body       []byte
	Timeout    time.Duration
	Attempt    int
}

// Reply is what the caller was told.
type Reply struct {
	Status  int
	Outcome string
	Body    []byte
	// Err is set if no whole answer was received.
	Err error
}

// NewID returns a request id of version 7.
func NewID() string { return claim.NewID().String() }

// Send sends a call to an entry's callers' address.
func Send(ctx context.Context, h *http.Client, addr string, c Call) Reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+addr+"/v1/call/"+c.Service, bytes.NewReader(c.Body))
	if err != nil {
		return Reply{Err: err}
	}
	set(req.Header, c)
	resp, err := h.Do(req)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Reply{Status: resp.StatusCode, Outcome: resp.Header.Get("Outcome"), Body: body, Err: err}
}

func set(h http.Header, c Call) {
	if c.ID != "" {
		h.Set("Request-Id", c.ID)
	}
	h.Set("Idempotent", strconv.FormatBool(c.Idempotent))
	if c.Urgency != "" {
		h.Set("Urgency", c.Urgency)
	}
	if c.Team != "" {
		h.Set("Team", c.Team)
	}
	if c.Timeout > 0 {
		h.Set("Request-Timeout", strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	}
	if c.Attempt > 0 {
		h.Set("Attempt", strconv.Itoa(c.Attempt))
	}
}
