// Package meter sets up counters and the scrape handler that shows them in the
// Prometheus text format.
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

// flushInterval is how often counters reach the scrape handler.
const flushInterval = 500 * time.Millisecond

// Meter holds the root scope of an entry's metrics.
type Meter struct {
	scope  tally.Scope
	closer io.Closer
	page   http.Handler
}

// New returns a meter whose metrics carry the entry's name.
func New(entry string) *Meter {
	// A registry of its own lets several entries run in one process.
	reg := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "chervilgauge",
		Tags:            map[string]string{"entry": entry},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// The scope's own cardinality metrics are of no use to operators.
		OmitCardinalityMetrics: true,
	}, flushInterval)
	return &Meter{scope: scope, closer: closer, page: reporter.HTTPHandler()}
}

// Scope returns the root scope.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler { return m.page }

// Close reports what is left and waits for the reporting goroutine to end. It
// returns an Err.
func (m *Meter) Close() error { return Err.Wrap(m.closer.Close()) }
