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
	maxNameLength      = 63
	maxIDLength        = 128
	defaultTeam        = "default"
	defaultContentType = "application/octet-stream"
)

// invalidCall is why a call is refused before admission.
type invalidCall struct {
	status int
	reason flows.Reason
}

func badRequest(reason flows.Reason) *invalidCall { return &invalidCall{http.StatusBadRequest, reason} }

// parse reads a call, the body last. It returns the call also with a refusal, because the outcome
// to report depends on the attempt number.
func (h *handler) parse(c echo.Context) (*flows.Call, *invalidCall) {
	head := c.Request().Header
	call := &flows.Call{
		Service:     c.Param("service"),
		Pool:        c.QueryParam("pool"),
		Team:        head.Get(headerTeam),
		ContentType: head.Get(echo.HeaderContentType),
		Timeout:     h.limits.MaxRunTime,
	}
	if call.Team == "" {
		call.Team = defaultTeam
	}
	if call.ContentType == "" {
		call.ContentType = defaultContentType
	}
	if len(call.Service) > maxNameLength || len(call.Team) > maxNameLength {
		return call, badRequest("bad-name")
	}
	for _, step := range []func(*flows.Call, http.Header) *invalidCall{parseAttempt, h.parseTimeout, parseUrgency, h.parseID} {
		if b := step(call, head); b != nil {
			return call, b
		}
	}
	return call, h.parseBody(call, c.Request())
}

func (h *handler) parseTimeout(call *flows.Call, head http.Header) *invalidCall {
	text := head.Get(headerTimeout)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return badRequest("bad-timeout")
	}
	if ms <= 0 {
		return badRequest("expired-deadline")
	}
	call.Timeout = min(time.Duration(ms)*time.Millisecond, h.limits.MaxRunTime)
	return nil
}

func parseUrgency(call *flows.Call, head http.Header) *invalidCall {
	switch head.Get(headerUrgency) {
	case "", "normal":
		call.Urgency = admit.Normal
	case "urgent":
		call.Urgency = admit.Urgent
	case "deferrable":
		call.Urgency = admit.Deferrable
	default:
		return badRequest("bad-urgency")
	}
	return nil
}

// parseAttempt reads the attempt number, which shows whether an earlier request with the same id
// may have run.
func parseAttempt(call *flows.Call, head http.Header) *invalidCall {
	text := head.Get(headerAttempt)
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 16)
	if err != nil || n == 0 {
		return badRequest("bad-attempt")
	}
	call.Repeated = n > 1
	return nil
}

// parseID reads the id. A request counts as non-idempotent unless its header says otherwise, and
// then needs an id of version 7.
func (h *handler) parseID(call *flows.Call, head http.Header) *invalidCall {
	call.RequestID = head.Get(headerID)
	switch head.Get(headerIdempotent) {
	case "true":
		return parseIdempotentID(call)
	case "", "false":
	default:
		return badRequest("bad-idempotent")
	}
	id, err := claim.ParseID(call.RequestID)
	if err != nil {
		return badRequest("bad-id")
	}
	call.ID = id
	call.RequestID = id.String()
	if id.AgeAt(h.wall().UnixMilli()) == claim.Future {
		return badRequest("id-in-future")
	}
	return nil
}

func parseIdempotentID(call *flows.Call) *invalidCall {
	call.Idempotent = true
	if call.RequestID == "" {
		call.RequestID = claim.NewID().String()
		return nil
	}
	if len(call.RequestID) > maxIDLength || !isPrintable(call.RequestID) {
		return badRequest("bad-id")
	}
	return nil
}

func isPrintable(s string) bool {
	for _, r := range []byte(s) {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}

func (h *handler) parseBody(call *flows.Call, r *http.Request) *invalidCall {
	if r.ContentLength > h.limits.MaxBody {
		return &invalidCall{http.StatusRequestEntityTooLarge, "body-too-large"}
	}
	data, err := readBody(r, h.limits.MaxBody)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &invalidCall{http.StatusRequestEntityTooLarge, "body-too-large"}
	}
	if err != nil {
		return badRequest("body-not-received")
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
