package endpt

import (
	"math/rand/v2"
	"net/http"

	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// Faults are the settings of an endpoint, most of them injected faults. Clients change them at
// /faults.
type Faults struct {
	// Run is the run time in milliseconds, its mean if Exp is set.
	Run float64 `json:"run"`
	// Exp draws run times from an exponential distribution.
	Exp bool `json:"exp"`
	// Size is the minimum size of answer bodies, in bytes.
	Size int `json:"size"`
	// Trailer sends the digest as a trailer, without a declared length.
	Trailer bool `json:"trailer"`
	// Leaving refuses new requests and announces in every answer that the endpoint leaves.
	Leaving bool `json:"leaving"`
	// Refuse closes the port for requests. Open connections are closed after the answer to
	// the request in flight on them.
	Refuse bool `json:"refuse"`

	// Share is the share of requests, 0 to 1, that the faults below affect; 0 stands for all
	// requests.
	Share float64 `json:"share"`
	// Fail answers at once with status 500, a whole body and header Failed.
	Fail bool `json:"fail"`
	// Hang never answers. The request keeps its slot until the settings change.
	Hang bool `json:"hang"`
	// Truncate sends half of the body and closes the connection.
	Truncate bool `json:"truncate"`
	// Corrupt changes one byte of the body after the digest was computed.
	Corrupt bool `json:"corrupt"`
	// Swap sends the whole answer to another request id.
	Swap bool `json:"swap"`
	// Double sends the bytes of the answer twice on the connection.
	Double bool `json:"double"`
	// Reorder holds every other answer back until the next one has been sent.
	Reorder bool `json:"late"`

	// Seed seeds the random run times and the random choice of affected requests.
	Seed uint64 `json:"seed"`
}

// plan is how the endpoint handles one request.
type plan struct {
	Faults
	// affected is set if the faults that depend on Share affect this request.
	affected bool
	// faultsChanged is closed when the faults change.
	faultsChanged <-chan struct{}
	// incarnation is that of the endpoint when the request began.
	incarnation int
}

// drawPlan returns the plan of a new request, with random values drawn. The caller holds mu.
func (e *Endpoint) drawPlan() plan {
	p := plan{e.faults, true, e.faultsChanged, e.incarnation}
	if p.Exp {
		p.Run *= e.rng.ExpFloat64()
	}
	if p.Share > 0 {
		p.affected = e.rng.Float64() < p.Share
	}
	return p
}

// Faults returns the current settings.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the settings. The connections of hanging requests are closed, and an answer
// that is held back is sent. It returns an error of class local.ErrListen if the port for
// requests can't be reopened.
func (e *Endpoint) SetFaults(f Faults) error {
	e.portsMu.Lock()
	defer e.portsMu.Unlock()
	e.setFaults(f)
	if f.Refuse {
		e.stopListening()
	}
	if e.control == nil {
		return nil
	}
	return e.listen()
}

func (e *Endpoint) setFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Seed != e.faults.Seed {
		e.rng = rand.New(rand.NewPCG(f.Seed, 0))
	}
	if f.Leaving && !e.faults.Leaving {
		e.counts.leavingSince = e.clk.Now()
	}
	e.faults = f
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
}

// updateFaults serves PUT /faults: it changes the fields in the body and keeps the others.
func (e *Endpoint) updateFaults(w http.ResponseWriter, r *http.Request) {
	f := e.Faults()
	if !local.ReadJSON(w, r, &f) {
		return
	}
	e.answerUpdate(w, r, e.SetFaults(f))
}

// resetFaults restores the initial settings.
func (e *Endpoint) resetFaults(w http.ResponseWriter, r *http.Request) {
	e.answerUpdate(w, r, e.SetFaults(e.initial))
}

func (e *Endpoint) answerUpdate(w http.ResponseWriter, r *http.Request, err error) {
	if err != nil {
		local.Fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	e.showFaults(w, r)
}

func (e *Endpoint) showFaults(w http.ResponseWriter, _ *http.Request) {
	local.WriteJSON(w, http.StatusOK, e.Faults())
}
