package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/flow/claim"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
)

// Headers of a call.
const (
	headerID         = "Request-Id"
	headerIdempotent = "Idempotent"
	headerUrgency    = "Urgency"
	headerTeam       = "Team"
	headerTimeout    = "Request-Timeout"
	headerAttempt    = "Attempt"
)

const (
	maxName     = 63
	maxID       = 128
	defaultTeam = "default"
	defaultKind = "application/octet-stream"
)

// badCall says why a call is refused before admission.
type badCall struct {
	status int
	reason flows.Reason
}

func bad(reason flows.Reason) *badCall { return &badCall{http.StatusBadRequest, reason} }

// parse reads everything about a call, the body last. The call is returned with a
// refusal too, because what it says depends on the attempt number.
func (h *handler) parse(c echo.Context) (*flows.Call, *badCall) {
	head := c.Request().Header
	call := &flows.Call{
		Service: c.Param("service"),
		Pool:    c.QueryParam("pool"),
		Team:    head.Get(headerTeam),
		Kind:    head.Get(echo.HeaderContentType),
		Timeout: h.limits.Run,
	}
	if call.Team == "" {
		call.Team = defaultTeam
	}
	if call.Kind == "" {
		call.Kind = defaultKind
	}
	if len(call.Service) > maxName || len(call.Team) > maxName {
		return call, bad("bad-name")
	}
	for _, step := range []func(*flows.Call, http.Header) *badCall{attempt, h.timeout, urgency, h.identity} {
		if b := step(call, head); b != nil {
			return call, b
		}
	}
	return call, h.body(call, c.Request())
}

func (h *handler) timeout(call *flows.Call, head http.Header) *badCall {
	text := head.Get(headerTimeout)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return bad("bad-timeout")
	}
	if ms <= 0 {
		return bad("expired-deadline")
	}
	call.Timeout = min(time.Duration(ms)*time.Millisecond, h.limits.Run)
	return nil
}

func urgency(call *flows.Call, head http.Header) *badCall {
	switch head.Get(headerUrgency) {
	case "", "normal":
		call.Urgency = admit.Normal
	case "urgent":
		call.Urgency = admit.Urgent
	case "deferrable":
		call.Urgency = admit.Deferrable
	default:
		return bad("bad-urgency")
	}
	return nil
}

// attempt reads whether an earlier ask with the same id may have run.
func attempt(call *flows.Call, head http.Header) *badCall {
	text := head.Get(headerAttempt)
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || n == 0 {
		return bad("bad-attempt")
	}
	call.Repeated = n > 1
	return nil
}

// identity reads the id. A request is non-idempotent unless it says otherwise, and
// needs an id of version 7 then.
func (h *handler) identity(call *flows.Call, head http.Header) *badCall {
	call.Text = head.Get(headerID)
	switch head.Get(headerIdempotent) {
	case "true":
		return freeID(call)
	case "", "false":
	default:
		return bad("bad-idempotent")
	}
	id, err := claim.ParseID(call.Text)
	if err != nil {
		return bad("bad-id")
	}
	call.ID = id
	call.Text = id.String()
	if id.AgeAt(h.wall().UnixMilli()) == claim.Future {
		return bad("id-in-future")
	}
	return nil
}

func freeID(call *flows.Call) *badCall {
	call.Idempotent = true
	if call.Text == "" {
		call.Text = claim.NewID().String()
		return nil
	}
	if len(call.Text) > maxID || !printable(call.Text) {
		return bad("bad-id")
	}
	return nil
}

func printable(s string) bool {
	for _, r := range []byte(s) {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}

func (h *handler) body(call *flows.Call, r *http.Request) *badCall {
	if r.ContentLength > h.limits.Body {
		return &badCall{http.StatusRequestEntityTooLarge, "body-too-large"}
	}
	data, err := readBody(r, h.limits.Body)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &badCall{http.StatusRequestEntityTooLarge, "body-too-large"}
	}
	if err != nil {
		return bad("body-not-received")
	}
	call.Body = data
	return nil
}

// readBody reads the body with one allocation if its length is declared.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength >= 0 {
		data := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, data)
		return data, err
	}
	return io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
}
