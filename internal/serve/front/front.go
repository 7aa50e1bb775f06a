// Package front serves callers: it reads their requests about jobs, has them carried
// out, and writes the answers.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
	"chervilgauge.example/chervilgauge/platform"
)

// Err is the class of failures of the callers' listener.
var Err = errs.Class("callers")

const (
	// defaultWait is how long a caller waits that does not say so.
	defaultWait = 3 * time.Second
	// waitSlack is kept for the way of the answer.
	waitSlack = 50 * time.Millisecond
	// idleTimeout closes connections without requests. The configuration's time is for
	// the platform's own connections to callers.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds the reading of a request's header, and readTimeout that of
	// the whole request.
	headerTimeout = 5 * time.Second
	readTimeout   = 10 * time.Second
	// maxHeader and maxBody are in bytes, where the configuration says nothing.
	maxHeader = 16 << 10
	maxBody   = 256 << 10
	// idDigits is the length of a job's id.
	idDigits = 16
	// startPause is when a caller may try again that came before the configuration.
	startPause = 1 * time.Second
)

// Jobs carries out what callers ask for.
type Jobs interface {
	Config() *model.Config
	Submit(ctx context.Context, s relay.Submission, q *model.Queue) relay.Answer
	// Query returns false if the state is not known at present.
	Query(ctx context.Context, id string) (model.State, bool)
	Cancel(ctx context.Context, id string) relay.Verdict
	// Pending returns false if the number is not known at present.
	Pending(queue string) (int, bool)
}

// Server is the callers' listener.
type Server struct {
	srv  *http.Server
	h    *handler
	done chan error
}

type handler struct {
	jobs Jobs
	log  zerolog.Logger
	// leaving says that each connection is closed after its next answer.
	leaving atomic.Bool
}

// Serve starts to serve callers.
func Serve(lis net.Listener, j Jobs, log zerolog.Logger) *Server {
	h := &handler{jobs: j, log: log}
	e := echo.New()
	e.Any("/*", h.handle)
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		status := http.StatusInternalServerError
		if he := (*echo.HTTPError)(nil); errors.As(err, &he) {
			status = he.Code
		}
		h.fail(c, status, "", err.Error(), 0)
	}
	s := &Server{h: h, done: make(chan error, 1), srv: &http.Server{
		Handler: e, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}}
	go func() { s.done <- s.srv.Serve(lis) }()
	return s
}

// Leave closes each connection after its next answer. It closes no idle ones: a request
// may be on its way, or wait to be read while the processor is busy.
func (s *Server) Leave() { s.h.leaving.Store(true) }

// Close stops accepting, finishes the requests in flight and closes idle connections.
// At the end of the context the remaining connections are cut. It returns an Err.
func (s *Server) Close(ctx context.Context) error {
	err := s.srv.Shutdown(ctx)
	if err != nil {
		err = errs.Combine(err, s.srv.Close())
	}
	<-s.done
	return Err.Wrap(err)
}

// Cut closes the listener and all connections at once.
func (s *Server) Cut() {
	_ = s.srv.Close() // it is closed either way
	<-s.done
}

func (h *handler) handle(c echo.Context) error {
	r := c.Request()
	conf := h.jobs.Config()
	if conf == nil {
		h.fail(c, http.StatusServiceUnavailable, "", "no configuration yet", startPause)
		return nil
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	q, id := conf.Match(host, r.URL.Path)
	if q == nil {
		h.fail(c, http.StatusNotFound, "", "no such queue", 0)
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitOf(r))
	defer cancel()
	switch {
	case id == "" && r.Method == http.MethodGet:
		h.pending(c, q)
	case !isID(id):
		h.fail(c, http.StatusBadRequest, id, "the id is not 16 hexadecimal digits", 0)
	case r.Method == http.MethodPost:
		h.submit(ctx, c, conf, q, id)
	case r.Method == http.MethodGet:
		h.query(ctx, c, id)
	case r.Method == http.MethodDelete:
		h.cancel(ctx, c, id)
	default:
		h.fail(c, http.StatusMethodNotAllowed, id, "the method is not POST, GET or DELETE", 0)
	}
	return nil
}

func waitOf(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(platform.WaitHeader), 10, 64)
	if err != nil || ms <= 0 {
		return defaultWait
	}
	d := time.Duration(ms) * time.Millisecond
	return max(d-waitSlack, d/2)
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
		limit = maxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	if err != nil {
		h.fail(c, http.StatusBadRequest, id, "the body can't be read: "+err.Error(), 0)
		return
	}
	if _, err := platform.DecodeWork(body); err != nil {
		h.fail(c, http.StatusBadRequest, id, err.Error(), 0)
		return
	}
	a := h.jobs.Submit(ctx, relay.Submission{ID: id, Queue: q.Name, Body: body}, q)
	switch a.Verdict {
	case relay.Taken:
		h.write(c, http.StatusOK, []byte("{}"))
	case relay.Refused:
		h.fail(c, http.StatusServiceUnavailable, id, a.Cause, a.After)
	case relay.Elsewhere, relay.Unsure, relay.Gone:
		h.fail(c, http.StatusGatewayTimeout, id, a.Cause, a.After)
	}
}

func (h *handler) query(ctx context.Context, c echo.Context, id string) {
	s, ok := h.jobs.Query(ctx, id)
	switch {
	case !ok:
		h.fail(c, http.StatusServiceUnavailable, id, "the state is not known at present", startPause)
	case s == model.Unknown:
		h.fail(c, http.StatusGone, id, "no such job", 0)
	default:
		h.write(c, http.StatusOK, platform.EncodeState(s))
	}
}

func (h *handler) cancel(ctx context.Context, c echo.Context, id string) {
	switch v := h.jobs.Cancel(ctx, id); v {
	case relay.Taken:
		h.write(c, http.StatusOK, []byte("{}"))
	case relay.Gone:
		h.fail(c, http.StatusGone, id, "no such job", 0)
	case relay.Refused:
		h.fail(c, http.StatusServiceUnavailable, id, "the cancel can't be stored", startPause)
	case relay.Elsewhere, relay.Unsure:
		h.fail(c, http.StatusGatewayTimeout, id, "outcome of the cancel is not known", 0)
	}
}

func (h *handler) pending(c echo.Context, q *model.Queue) {
	n, ok := h.jobs.Pending(q.Name)
	if !ok {
		h.fail(c, http.StatusServiceUnavailable, "", "the number is not known at present", startPause)
		return
	}
	h.write(c, http.StatusOK, platform.EncodePending(n))
}

func (h *handler) write(c echo.Context, status int, body []byte) {
	w := c.Response()
	if h.leaving.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	w.Header()["Content-Type"] = []string{echo.MIMEApplicationJSON}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		h.log.Debug().Err(err).Msg("answer was not written")
	}
}

// fail answers with a reason. after is when the caller may come back, 0 for never.
func (h *handler) fail(c echo.Context, status int, id, cause string, after time.Duration) {
	if c.Response().Committed {
		return
	}
	if after > 0 {
		s := int((after + time.Second - 1) / time.Second) // the header has whole seconds
		c.Response().Header()["Retry-After"] = []string{strconv.Itoa(s)}
	}
	h.log.Info().Str("job", id).Str("method", c.Request().Method).Str("path", c.Request().URL.Path).Int("status", status).
		Str("cause", cause).Msg("request is refused")
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{cause})
	if err != nil {
		body = []byte("{}")
	}
	h.write(c, status, body)
}
