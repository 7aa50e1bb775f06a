package endpt

import (
	"maps"
	"net"
	"net/http"
	"time"

	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// maxLate bounds the list of arrivals at a leaving endpoint.
const maxLate = 10000

// counts is what the endpoint counts. It is guarded by the mutex of the endpoint.
type counts struct {
	runs    map[string]int
	total   int
	refused map[string]int
	running int
	maxRun  int
	open    int
	maxOpen int
	left    time.Duration
	late    []time.Duration
}

func newCounts() counts {
	return counts{runs: map[string]int{}, refused: map[string]int{}}
}

// Counts is a copy of what an endpoint counted.
type Counts struct {
	// Runs is the number of executions, and IDs the number for each request id.
	Runs int
	IDs  map[string]int
	// Refused is the number of refusals for each reason.
	Refused map[string]int
	// Running is the number of requests that run now, and MaxRun the highest so far.
	Running, MaxRun int
	// Open is the number of connections for requests that are open now, and MaxOpen
	// the highest so far.
	Open, MaxOpen int
	// Late holds the times at which requests arrived since the endpoint was set
	// leaving, refused ones included. Only the first 10000 are kept.
	Late []time.Duration
}

// Counts returns a copy of the counts.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &e.counts
	return Counts{
		Runs:    c.total,
		IDs:     maps.Clone(c.runs),
		Refused: maps.Clone(c.refused),
		Running: c.running,
		MaxRun:  c.maxRun,
		Open:    c.open,
		MaxOpen: c.maxOpen,
		Late:    append([]time.Duration(nil), c.late...),
	}
}

// arrive notes the arrival of a request.
func (e *Endpoint) arrive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Leaving && len(e.counts.late) < maxLate {
		e.counts.late = append(e.counts.late, e.clk.Now()-e.counts.left)
	}
}

// connState counts the open connections, and sends doubled answers again once the
// server has sent them.
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

// showCounts answers with the counts. The executions of every id are part of it only
// with the query ids=1; those of ids that ran more than once always are.
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
	late := make([]float64, len(c.Late))
	for i, d := range c.Late {
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
	}{c.Runs, again, c.IDs, c.Refused, c.Running, c.MaxRun, c.Open, c.MaxOpen, late})
}

// clearCounts starts the counts anew. What runs and is open now stays counted.
func (e *Endpoint) clearCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	old := e.counts
	e.counts = newCounts()
	e.counts.running, e.counts.maxRun = old.running, old.running
	e.counts.open, e.counts.maxOpen = old.open, old.open
	e.counts.left = old.left
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
