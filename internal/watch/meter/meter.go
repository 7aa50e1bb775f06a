// Package meter sets up the metrics scope of an entry and the HTTP handler that serves its
// metrics in the Prometheus text format.
package meter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/zeebo/errs"
)

// Err is the class of failures to close the metrics scope.
var Err = errs.Class("metrics")

// flushInterval is the time between updates of the values that the HTTP handler serves.
const flushInterval = 500 * time.Millisecond

// Meter holds the root scope of an entry's metrics.
type Meter struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns a meter whose metrics have the entry's name as a label.
func New(entry string) *Meter {
	// A registry for each meter allows several entries in one process.
	reg := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "chervilgauge",
		Tags:            map[string]string{"entry": entry},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// Operators don't need the cardinality metrics of the library.
		OmitCardinalityMetrics: true,
	}, flushInterval)
	return &Meter{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Scope returns the root scope.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler returns the handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close publishes the remaining values and waits for the reporting goroutine to end. It
// returns an Err.
func (m *Meter) Close() error { return Err.Wrap(m.closer.Close()) }
