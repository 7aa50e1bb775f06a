// Package front serves callers' HTTP requests about jobs: it checks them, passes them to Jobs and
// writes the responses.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

// Err is the class of failures of the callers' listener.
var Err = errs.Class("callers")

const (
	// defaultTimeout is the timeout of callers that do not send one.
	defaultTimeout = 3 * time.Second
	// maxTimeout bounds the timeouts of callers.
	maxTimeout = 1 * time.Hour
	// answerMargin is the part of the caller's timeout that is kept for sending the response.
	answerMargin = 50 * time.Millisecond
	// idleTimeout closes connections without requests. The time in the configuration applies to the
	// platform's own connections to callers.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds the reading of a request's header, and readTimeout the reading of the
	// whole request.
	headerTimeout = 5 * time.Second
	readTimeout   = 10 * time.Second
	// maxHeaderBytes bounds a request's header, and maxBodyBytes its body if the configuration sets
	// no limit.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 256 << 10
	// maxBodyLimit bounds the limit in the configuration: a message between entries holds no more.
	maxBodyLimit = 4 << 20
	// idDigits is the length of a job's id in hexadecimal digits.
	idDigits = 16
	// unavailableRetry is the Retry-After time of responses that say that the entry can't answer at
	// present.
	unavailableRetry = 1 * time.Second
)

// Jobs carries out callers' requests.
type Jobs interface {
	// View returns the configuration in force. Its age must not be newer than the configuration.
	View() View
	Submit(ctx context.Context, s relay.Submission, q *model.Queue) relay.Answer
	// Query returns false if the state is unknown at present.
	Query(ctx context.Context, id string) (model.State, bool)
	Cancel(ctx context.Context, id string) relay.Verdict
	// Pending returns the number of pending jobs of a queue, or false if it is unknown at present.
	Pending(queue string) (int, bool)
}

// Server is the HTTP server for callers.
type Server struct {
	srv  *http.Server
	h    *handler
	done chan error
}

type handler struct {
	jobs Jobs
	log  zerolog.Logger
	// guard limits the memory for bodies, nil for no limit.
	guard *guard.Guard
	// draining reports whether each connection is closed after its next response.
	draining atomic.Bool
	// stale reports whether the view was too old for the last call that was checked.
	stale    atomic.Bool
	refusals map[Refusal]tally.Counter
}

// Serve starts to serve callers on a listener, until Close or CloseNow.
func Serve(lis net.Listener, j Jobs, log zerolog.Logger, opts ...Option) *Server {
	h := newHandler(j, log, opts...)
	s := &Server{h: h, done: make(chan error, 1), srv: &http.Server{
		Handler: h.router(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: withConn,
	}}
	go func() { s.done <- s.srv.Serve(lis) }()
	return s
}

// Drain makes the server close each connection after its next response. It closes no idle
// connections: a request may be on its way, or wait to be read while the processor is busy.
func (s *Server) Drain() { s.h.draining.Store(true) }

// Close stops accepting connections, finishes the requests in flight and closes idle connections.
// At the end of the context it closes the remaining connections. It returns an Err.
func (s *Server) Close(ctx context.Context) error {
	err := s.srv.Shutdown(ctx)
	if err != nil {
		err = errs.Combine(err, s.srv.Close())
	}
	<-s.done
	return Err.Wrap(err)
}

// CloseNow closes the listener and all connections at once.
func (s *Server) CloseNow() {
	_ = s.srv.Close() // the listener is closed even if there is an error
	<-s.done
}

func (h *handler) router() http.Handler {
	e := echo.New()
	e.Any("/*", h.handle)
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		status := http.StatusInternalServerError
		if he := (*echo.HTTPError)(nil); errors.As(err, &he) {
			status = he.Code
		}
		h.writeError(c, status, "", err.Error(), 0)
	}
	return e
}

func (h *handler) handle(c echo.Context) error {
	r := c.Request()
	conf := h.jobs.View().Config
	if conf == nil {
		h.writeError(c, http.StatusServiceUnavailable, "", "no configuration yet", unavailableRetry)
		return nil
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	q, id := conf.Match(host, r.URL.Path)
	if q == nil {
		h.writeError(c, http.StatusNotFound, "", "no such queue", 0)
		return nil
	}
	if _, why := h.checkKey(r, q); why != Accepted {
		h.refuseKey(c, why)
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), callerTimeout(r))
	defer cancel()
	if r.Method != http.MethodPost {
		markComplete(r)
	}
	switch {
	case id == "" && r.Method == http.MethodGet:
		h.pending(c, q)
	case !isID(id):
		h.writeError(c, http.StatusBadRequest, id, "the id is not 16 hexadecimal digits", 0)
	case r.Method == http.MethodPost:
		h.submit(ctx, c, conf, q, id)
	case r.Method == http.MethodGet:
		h.query(ctx, c, id)
	case r.Method == http.MethodDelete:
		h.cancel(ctx, c, id)
	default:
		h.writeError(c, http.StatusMethodNotAllowed, id, "the method is not POST, GET or DELETE", 0)
	}
	return nil
}

func callerTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(platform.TimeoutHeader), 10, 64)
	if err != nil || ms <= 0 {
		return defaultTimeout
	}
	d := time.Duration(min(ms, maxTimeout.Milliseconds())) * time.Millisecond
	return max(d-answerMargin, d/2)
}

func isID(s string) bool {
	if len(s) != idDigits {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

func (h *handler) submit(ctx context.Context, c echo.Context, conf *model.Config, q *model.Queue, id string) {
	limit := conf.BodyLimit
	if limit <= 0 {
		limit = maxBodyBytes
	}
	body, ok := h.readBody(c, id, min(limit, maxBodyLimit))
	if !ok || !h.checkJob(ctx, c, id, body) {
		return
	}
	// The key may have been removed while the body arrived.
	account, why := h.checkKey(c.Request(), q)
	if why != Accepted {
		h.refuseKey(c, why)
		return
	}
	a := h.jobs.Submit(ctx, relay.Submission{ID: id, Queue: q.Name, Body: body, Account: account}, q)
	switch a.Verdict {
	case relay.Stored:
		h.write(c, http.StatusOK, []byte("{}"))
	case relay.Refused:
		h.writeError(c, http.StatusServiceUnavailable, id, a.Cause, a.RetryAfter)
	case relay.Limited:
		h.writeError(c, http.StatusTooManyRequests, id, a.Cause, a.RetryAfter)
	case relay.NotLeader, relay.Unknown, relay.NotFound:
		h.writeError(c, http.StatusGatewayTimeout, id, a.Cause, a.RetryAfter)
	}
}

// refuseKey answers a call that is refused because of its key.
func (h *handler) refuseKey(c echo.Context, why Refusal) {
	if why == StaleView {
		h.writeError(c, http.StatusServiceUnavailable, "", "keys can't be checked at present", unavailableRetry)
		return
	}
	h.writeError(c, http.StatusUnauthorized, "", "no valid key", 0)
}

func (h *handler) query(ctx context.Context, c echo.Context, id string) {
	s, ok := h.jobs.Query(ctx, id)
	switch {
	case !ok:
		h.writeError(c, http.StatusServiceUnavailable, id, "the state is not known at present", unavailableRetry)
	case s == model.Unknown:
		h.writeError(c, http.StatusGone, id, "no such job", 0)
	default:
		h.write(c, http.StatusOK, platform.EncodeState(s))
	}
}

func (h *handler) cancel(ctx context.Context, c echo.Context, id string) {
	switch v := h.jobs.Cancel(ctx, id); v {
	case relay.Stored:
		h.write(c, http.StatusOK, []byte("{}"))
	case relay.NotFound:
		h.writeError(c, http.StatusGone, id, "no such job", 0)
	case relay.Refused:
		h.writeError(c, http.StatusServiceUnavailable, id, "the cancel can't be stored", unavailableRetry)
	case relay.NotLeader, relay.Unknown, relay.Limited:
		h.writeError(c, http.StatusGatewayTimeout, id, "outcome of the cancel is not known", 0)
	}
}

func (h *handler) pending(c echo.Context, q *model.Queue) {
	n, ok := h.jobs.Pending(q.Name)
	if !ok {
		h.writeError(c, http.StatusServiceUnavailable, "", "the number is not known at present", unavailableRetry)
		return
	}
	h.write(c, http.StatusOK, platform.EncodePending(n))
}

func (h *handler) write(c echo.Context, status int, body []byte) {
	w := c.Response()
	if h.draining.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	w.Header()["Content-Type"] = []string{echo.MIMEApplicationJSON}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		h.log.Debug().Err(err).Msg("response was not written")
	}
}

// writeError writes an error response with its cause. retryAfter is the time after which the caller
// may try again, 0 for no Retry-After header.
func (h *handler) writeError(c echo.Context, status int, id, cause string, retryAfter time.Duration) {
	if c.Response().Committed {
		return
	}
	if retryAfter > 0 {
		s := int((retryAfter + time.Second - 1) / time.Second) // the header holds whole seconds
		c.Response().Header()["Retry-After"] = []string{strconv.Itoa(s)}
	}
	h.log.Info().Str("job", h.loggable(id, id)).Str("method", c.Request().Method).Str("path", h.loggable(id, c.Request().URL.Path)).Int("status", status).
		Str("cause", cause).Msg("request is refused")
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{cause})
	if err != nil {
		body = []byte("{}")
	}
	h.write(c, status, body)
}

// loggable returns a part of a request's path for the log. Where calls have keys, it is empty unless the
// request has a well-formed id: other paths may hold a key that is in the wrong place.
func (h *handler) loggable(id, part string) string {
	if conf := h.jobs.View().Config; (conf == nil || conf.ChecksKeys) && !isID(id) {
		return ""
	}
	return part
}
