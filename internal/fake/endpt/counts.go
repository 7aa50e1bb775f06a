package endpt

import (
	"maps"
	"net"
	"net/http"
	"time"

	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// maxAfterLeaving is the highest number of recorded arrivals at a leaving endpoint.
const maxAfterLeaving = 10000

// counts are the counters of an endpoint, guarded by its mutex mu.
type counts struct {
	runs         map[string]int
	total        int
	refused      map[string]int
	running      int
	maxRun       int
	open         int
	maxOpen      int
	leavingSince time.Duration
	afterLeaving []time.Duration
}

func newCounts() counts {
	return counts{runs: map[string]int{}, refused: map[string]int{}}
}

// Counts is a copy of an endpoint's counters.
type Counts struct {
	// Runs is the number of executions, and IDs the number for each request id.
	Runs int
	IDs  map[string]int
	// Refused is the number of refusals for each reason.
	Refused map[string]int
	// Running is the number of requests that run now, and MaxRunning the highest so far.
	Running, MaxRunning int
	// Open is the number of connections for requests that are open now, and MaxOpen
	// the highest so far.
	Open, MaxOpen int
	// AfterLeaving holds when requests arrived, counted from when the endpoint was set
	// leaving, including refused requests. Only the first 10000 are kept.
	AfterLeaving []time.Duration
}

// Counts returns a copy of the counters.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.counts
	return Counts{
		Runs:         c.total,
		IDs:          maps.Clone(c.runs),
		Refused:      maps.Clone(c.refused),
		Running:      c.running,
		MaxRunning:   c.maxRun,
		Open:         c.open,
		MaxOpen:      c.maxOpen,
		AfterLeaving: append([]time.Duration(nil), c.afterLeaving...),
	}
}

// countArrival records the arrival of a request if the endpoint is leaving.
func (e *Endpoint) countArrival() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Leaving && len(e.counts.afterLeaving) < maxAfterLeaving {
		e.counts.afterLeaving = append(e.counts.afterLeaving, e.clk.Now()-e.counts.leavingSince)
	}
}

// connState counts the open connections, and resends an answer that must be sent twice once the
// server has written it.
func (e *Endpoint) connState(c net.Conn, s http.ConnState) {
	rc, _ := c.(*replayConn)
	if s == http.StateIdle && rc != nil {
		rc.replay()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		e.counts.open++
		e.counts.maxOpen = max(e.counts.maxOpen, e.counts.open)
	case http.StateClosed, http.StateHijacked:
		e.counts.open--
	}
}

// showCounts answers with the counters. It includes the executions of every id only with the
// query ids=1, but always those of ids that ran more than once.
func (e *Endpoint) showCounts(w http.ResponseWriter, r *http.Request) {
	c := e.Counts()
	again := map[string]int{}
	for id, n := range c.IDs {
		if n > 1 {
			again[id] = n
		}
	}
	if r.URL.Query().Get("ids") == "" {
		c.IDs = nil
	}
	late := make([]float64, len(c.AfterLeaving))
	for i, d := range c.AfterLeaving {
		late[i] = float64(d) / float64(time.Millisecond)
	}
	local.WriteJSON(w, http.StatusOK, struct {
		Runs    int            `json:"runs"`
		Again   map[string]int `json:"again"`
		IDs     map[string]int `json:"ids,omitempty"`
		Refused map[string]int `json:"refused"`
		Running int            `json:"running"`
		MaxRun  int            `json:"maxrun"`
		Open    int            `json:"open"`
		MaxOpen int            `json:"maxopen"`
		Late    []float64      `json:"late"`
	}{c.Runs, again, c.IDs, c.Refused, c.Running, c.MaxRunning, c.Open, c.MaxOpen, late})
}

// resetCounts resets the counters, except for the requests that run and the connections that are
// open now.
func (e *Endpoint) resetCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	old := e.counts
	e.counts = newCounts()
	e.counts.running, e.counts.maxRun = old.running, old.running
	e.counts.open, e.counts.maxOpen = old.open, old.open
	e.counts.leavingSince = old.leavingSince
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
