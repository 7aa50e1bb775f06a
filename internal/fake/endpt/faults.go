package endpt

import (
	"math/rand/v2"
	"net/http"

	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// Faults are the orders that can be given to an endpoint.
type Faults struct {
	// Run is the run time in milliseconds, its mean if Exp is set.
	Run float64 `json:"run"`
	// Exp draws run times from an exponential distribution.
	Exp bool `json:"exp"`
	// Size is the least size of answer bodies in bytes.
	Size int `json:"size"`
	// Trailer sends the digest as a trailer, without a declared length.
	Trailer bool `json:"trailer"`
	// Leaving refuses new requests and announces that in every answer.
	Leaving bool `json:"leaving"`
	// Refuse closes the port for requests. Connections are closed after the answer
	// to the request that is in flight on them.
	Refuse bool `json:"refuse"`

	// Share is the share of requests, 0 to 1, on which the orders below fall; 0
	// stands for all requests.
	Share float64 `json:"share"`
	// Fail answers at once with status 500, a whole body and header Failed.
	Fail bool `json:"fail"`
	// Hang never answers. The request keeps its slot until the orders change.
	Hang bool `json:"hang"`
	// Truncate sends half of the body and cuts the connection.
	Truncate bool `json:"truncate"`
	// Corrupt changes one byte of the body after the digest was computed.
	Corrupt bool `json:"corrupt"`
	// Swap sends the whole answer to a request with another id.
	Swap bool `json:"swap"`
	// Double sends the bytes of the answer twice on the connection.
	Double bool `json:"double"`
	// Late holds every other answer back until the next one has been sent.
	Late bool `json:"late"`

	// Seed starts the sequence of run times and of the share.
	Seed uint64 `json:"seed"`
}

// plan is what happens to one request.
type plan struct {
	Faults
	// hit is set if the orders that fall on a share fall on this request.
	hit bool
	// lifted is closed when the orders change.
	lifted <-chan struct{}
	// life is the life of the endpoint in which the request began.
	life int
}

// plan draws what happens to a request. The caller holds mu.
func (e *Endpoint) plan() plan {
	p := plan{e.faults, true, e.lifted, e.life}
	if p.Exp {
		p.Run *= e.rng.ExpFloat64()
	}
	if p.Share > 0 {
		p.hit = e.rng.Float64() < p.Share
	}
	return p
}

// Faults returns the present orders.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the orders. Requests that hang are cut off and an answer that is
// held back is sent. It returns a local.ErrListen if the port for requests can't be
// opened again.
func (e *Endpoint) SetFaults(f Faults) error {
	e.gate.Lock()
	defer e.gate.Unlock()
	e.setFaults(f)
	if f.Refuse {
		e.shut()
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
		e.counts.left = e.clk.Now()
	}
	e.faults = f
	close(e.lifted)
	e.lifted = make(chan struct{})
}

// orderFaults changes the fields that the order holds.
func (e *Endpoint) orderFaults(w http.ResponseWriter, r *http.Request) {
	f := e.Faults()
	if !local.ReadOrder(w, r, &f) {
		return
	}
	e.answerOrder(w, r, e.SetFaults(f))
}

// clearFaults sets the orders to those at the start.
func (e *Endpoint) clearFaults(w http.ResponseWriter, r *http.Request) {
	e.answerOrder(w, r, e.SetFaults(e.initial))
}

func (e *Endpoint) answerOrder(w http.ResponseWriter, r *http.Request, err error) {
	if err != nil {
		local.Fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	e.showFaults(w, r)
}

func (e *Endpoint) showFaults(w http.ResponseWriter, _ *http.Request) {
	local.WriteJSON(w, http.StatusOK, e.Faults())
}
