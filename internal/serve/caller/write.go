package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"chervilgauge.example/chervilgauge/internal/serve/flows"
)

// headerOutcome carries the outcome of a call; docs/api.md lists the values.
const headerOutcome = "Outcome"

// headerStatus carries the endpoint's status of a failed call.
const headerStatus = "Endpoint-Status"

// Values of the Outcome header.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "failed"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// writeResult writes the result of a call.
func writeResult(c echo.Context, r flows.Result) error {
	switch r := r.(type) {
	case flows.Answered:
		return writeAnswer(c, r, r.Status, outcomeAnswered)
	case flows.Failed:
		c.Response().Header().Set(headerStatus, strconv.Itoa(r.Status))
		return writeAnswer(c, r.Answered, http.StatusBadGateway, outcomeFailed)
	case flows.NotRun:
		return writeNotRun(c, statusOf(r.Reason), r.Reason, r.RetryAfter)
	case flows.Unknown:
		return writeProblem(c, http.StatusGatewayTimeout, outcomeUnknown, r.Reason, 0)
	}
	return nil
}

func statusOf(r flows.Reason) int {
	switch r {
	case flows.UnknownService:
		return http.StatusNotFound
	case flows.WrongPool:
		return http.StatusConflict
	case flows.Busy:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func writeNotRun(c echo.Context, status int, reason flows.Reason, after time.Duration) error {
	return writeProblem(c, status, outcomeNotRun, reason, after)
}

func writeProblem(c echo.Context, status int, outcome string, reason flows.Reason, after time.Duration) error {
	head := c.Response().Header()
	head.Set(headerOutcome, outcome)
	if after > 0 {
		seconds := (after + time.Second - 1) / time.Second
		head.Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	return c.JSON(status, struct {
		Outcome string       `json:"outcome"`
		Reason  flows.Reason `json:"reason"`
		After   int64        `json:"after,omitempty"` // milliseconds
	}{outcome, reason, after.Milliseconds()})
}

// writeAnswer writes an answer of the endpoint. If a streamed answer is truncated it aborts the
// connection, so that the caller's HTTP client detects the truncated body.
func writeAnswer(c echo.Context, a flows.Answered, status int, outcome string) error {
	head := c.Response().Header()
	head.Set(headerOutcome, outcome)
	head.Set(echo.HeaderContentType, a.ContentType)
	if a.Length >= 0 {
		head.Set(echo.HeaderContentLength, strconv.FormatInt(a.Length, 10))
	}
	c.Response().WriteHeader(status)
	if a.Body == nil {
		_, err := c.Response().Write(a.Whole)
		return abortOnError(err)
	}
	_, err := io.Copy(c.Response(), a.Body)
	return abortOnError(errors.Join(err, a.Body.Close()))
}

func abortOnError(err error) error {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// handleError answers paths and methods that are not part of the interface with "not run". After
// any other error, the outcome of the call is unknown.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) && he.Code < http.StatusInternalServerError {
		_ = writeProblem(c, he.Code, outcomeNotRun, "no-such-path", 0)
		return
	}
	_ = writeProblem(c, http.StatusInternalServerError, outcomeUnknown, "internal", 0)
}
