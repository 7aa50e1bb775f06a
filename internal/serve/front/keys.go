package front

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
)

const (
	// viewMargin is the part of the time until a revocation must be in force that is not used, at most
	// the share 1/viewMarginShare of it. It covers the difference between the rates of this entry's and
	// a caller's clock, which is below 0.1%, and the time between the check and the answer.
	viewMargin      = 250 * time.Millisecond
	viewMarginShare = 10
)

// View is the configuration in force and how old the knowledge is that no newer one exists.
type View struct {
	// Config is nil if there is no configuration yet.
	Config *model.Config
	// Age is only set if HasAge is: otherwise it is not known that the configuration is the newest one.
	Age    time.Duration
	HasAge bool
	// Strict is set if keys must not be accepted from Revoke after their removal on, also while the
	// configuration can't be read.
	Strict bool
	Revoke time.Duration
}

// isStale reports whether a key may have been removed so long ago that it must not be accepted.
func (v View) isStale() bool {
	return v.Strict && (!v.HasAge || v.Age >= v.Revoke-min(viewMargin, v.Revoke/viewMarginShare))
}

// Refusal is the reason for which a call is refused because of its key. The values are those of a label
// of the metric.
type Refusal string

// Reasons of refusals.
const (
	// Accepted means that the call is not refused.
	Accepted Refusal = ""
	// InvalidKey means that the call has no valid key.
	InvalidKey Refusal = "key"
	// StaleView means that the key may have been removed too long ago.
	StaleView Refusal = "view"
)

// CheckKey returns the client account of a call to a queue, empty for none, or why the call is refused.
// The keys are the values of the call's key headers. A call without a usable key is refused as such
// also by a stale view, because no configuration would accept it.
func (v View) CheckKey(q *model.Queue, keys []string) (string, Refusal) {
	if !v.Config.ChecksKeys {
		return "", Accepted
	}
	usable := len(keys) == 1 && keys[0] != "" && len(keys[0]) <= platform.MaxKeyBytes
	var a *model.Account
	if usable {
		a = v.Config.AccountByKey(model.DigestKey(keys[0]))
	}
	switch {
	case q.Anonymous && a == nil:
		return "", Accepted
	case q.Anonymous:
		return a.Name, Accepted
	case !usable:
		return "", InvalidKey
	case v.isStale():
		return "", StaleView
	case a == nil:
		return "", InvalidKey
	}
	return a.Name, Accepted
}

// checkKey checks a request with the configuration that is in force now. The queue is the one that was
// found for the request, whose settings may have changed since.
func (h *handler) checkKey(r *http.Request, q *model.Queue) (string, Refusal) {
	v := h.jobs.View()
	if now := v.Config.Queue(q.Name); now != nil {
		q = now
	}
	account, why := v.CheckKey(q, r.Header[platform.KeyHeader])
	if v.Config.ChecksKeys && v.Strict {
		h.logStaleness(v.isStale())
	}
	if why != Accepted {
		h.refusals[why].Inc(1)
	}
	return account, why
}

// logStaleness logs when the view becomes stale and when it is good again.
func (h *handler) logStaleness(stale bool) {
	switch was := h.stale.Swap(stale); {
	case stale && !was:
		h.log.Warn().Msg("view of the configuration is too old; calls with keys are refused")
	case was && !stale:
		h.log.Info().Msg("view of the configuration is good again")
	}
}

// Option configures a Server.
type Option func(*handler)

// WithMetrics makes the server count refused calls in a scope.
func WithMetrics(s tally.Scope) Option {
	return func(h *handler) {
		for _, why := range []Refusal{InvalidKey, StaleView} {
			h.refusals[why] = s.Tagged(map[string]string{"cause": string(why)}).Counter("calls_refused")
		}
	}
}

func newHandler(j Jobs, log zerolog.Logger, opts ...Option) *handler {
	h := &handler{jobs: j, log: log, refusals: map[Refusal]tally.Counter{}}
	for _, o := range append([]Option{WithMetrics(tally.NoopScope)}, opts...) {
		o(h)
	}
	return h
}
