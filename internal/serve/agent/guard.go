package agent

import (
	"net/http"
	"time"

	"chervilgauge.example/chervilgauge/internal/serve/guard"
	"chervilgauge.example/chervilgauge/internal/serve/relay"
)

const (
	// auxHeaderTimeout and auxTimeout bound the reading of a header, and of a whole request and the writing
	// of its answer, on the ports for readiness and metrics. The platform waits for a second.
	auxHeaderTimeout = 1 * time.Second
	auxTimeout       = 10 * time.Second
	// auxIdleTimeout closes connections there that are not used. The platform asks each second, and
	// collectors of metrics at least each minute or on new connections.
	auxIdleTimeout = 90 * time.Second
	// auxHeaderBytes bounds a header there.
	auxHeaderBytes = 4 << 10
	// largeJobRetry is the Retry-After time of a large job without a leader: a takeover takes some 2 s.
	largeJobRetry = 3 * time.Second
)

// newAuxServer returns a server for the readiness or the metrics.
func newAuxServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: auxHeaderTimeout, ReadTimeout: auxTimeout, WriteTimeout: auxTimeout,
		IdleTimeout: auxIdleTimeout, MaxHeaderBytes: auxHeaderBytes,
	}
}

// memoryAnswer is the answer to a submission of another entry that the leader has no memory for.
var memoryAnswer = relay.Answer{Verdict: relay.Refused, RetryAfter: guard.RetryAfter, Cause: "leader has no memory for another request"}

// largeJobAnswer is the answer to the submission of a large job that no leader has decided on. It is not stored
// without the leader: the next one would have to load it, and several of them can exceed its memory.
func largeJobAnswer(notRun bool) relay.Answer {
	a := relay.Answer{Verdict: relay.Unknown, RetryAfter: largeJobRetry, Cause: "the leader has not answered for a large job"}
	if notRun {
		a.Verdict = relay.Refused
	}
	return a
}
