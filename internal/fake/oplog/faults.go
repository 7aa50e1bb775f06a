package oplog

import (
	"maps"
	"math/rand/v2"
	"net/http"

	"golang.org/x/time/rate"

	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// Faults are the orders that can be given for all clients or for one of them.
type Faults struct {
	// SlowAppend and SlowRead delay requests, in milliseconds. An append takes
	// effect after its delay.
	SlowAppend float64 `json:"slowappend"`
	SlowRead   float64 `json:"slowread"`
	// Down answers every request of the protocol with 503 and without effect.
	Down bool `json:"down"`
	// Lose is the share of appends, 0 to 1, that are done and whose connection is
	// then cut without an answer.
	Lose float64 `json:"lose"`
	// Duplicate is the share of appends, 0 to 1, whose record is appended twice.
	Duplicate float64 `json:"duplicate"`
}

// Limits are the orders that hold for the whole service.
type Limits struct {
	// Rate is the limit in appends per second, 0 for none.
	Rate float64 `json:"rate"`
	// Retain is the number of records that each stream retains, 0 for all.
	Retain int `json:"retain"`
	// Seed starts the sequence that decides which appends a share falls on.
	Seed uint64 `json:"seed"`
}

// order is the body of PUT /faults. Fields that are absent keep their values.
type order struct {
	Faults
	Limits
}

// SetFaults replaces the orders for one client, or for all clients without own
// orders if client is empty.
func (l *Log) SetFaults(client string, f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setFaults(client, f)
}

func (l *Log) setFaults(client string, f Faults) {
	if client == "" {
		l.general = f
	} else {
		l.clients[client] = f
	}
	l.wakeAll()
}

// SetLimits replaces the orders for the whole service.
func (l *Log) SetLimits(n Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLimits(n)
}

func (l *Log) setLimits(n Limits) {
	if n.Seed != l.limits.Seed {
		l.rng = rand.New(rand.NewPCG(n.Seed, 0))
	}
	changed := n.Rate != l.limits.Rate
	l.limits = n
	if changed {
		l.applyRate()
	}
	for _, s := range l.streams {
		if n.Retain > 0 && len(s.data) > n.Retain {
			s.cut(s.next() - uint64(n.Retain))
		}
	}
	l.wakeAll()
}

// applyRate sets the token bucket, which holds the appends of a tenth of a second.
func (l *Log) applyRate() {
	r := l.limits.Rate
	if r <= 0 {
		l.limit = rate.NewLimiter(rate.Inf, 1)
		return
	}
	l.limit = rate.NewLimiter(rate.Limit(r), max(1, int(r/10)))
}

func (l *Log) wakeAll() {
	for _, s := range l.streams {
		s.notify()
	}
}

// hit decides whether an event falls into a share. The caller holds mu.
func (l *Log) hit(share float64) bool { return share > 0 && l.rng.Float64() < share }

// effective returns the orders that hold for a request: those of its client if it
// has own ones, the general ones otherwise.
func (l *Log) effective(r *http.Request) Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faultsOf(r.Header.Get("Client"))
}

func (l *Log) faultsOf(client string) Faults {
	if f, ok := l.clients[client]; ok {
		return f
	}
	return l.general
}

// orderFaults changes the orders of the client that the query names, or the general
// ones. The first order for a client starts from the general ones.
func (l *Log) orderFaults(w http.ResponseWriter, r *http.Request) {
	client := r.URL.Query().Get("client")
	l.mu.Lock()
	o := order{l.faultsOf(client), l.limits}
	l.mu.Unlock()
	if !local.ReadOrder(w, r, &o) {
		return
	}
	l.mu.Lock()
	l.setFaults(client, o.Faults)
	l.setLimits(o.Limits)
	l.mu.Unlock()
	l.showFaults(w, r)
}

func (l *Log) showFaults(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	o := struct {
		Faults
		Limits
		Clients map[string]Faults `json:"clients"`
	}{l.general, l.limits, maps.Clone(l.clients)}
	l.mu.Unlock()
	local.WriteJSON(w, http.StatusOK, o)
}

// clearFaults lifts the orders of one client, or sets all orders to those at the
// start if none is named.
func (l *Log) clearFaults(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if c := r.URL.Query().Get("client"); c != "" {
		delete(l.clients, c)
	} else {
		clear(l.clients)
		l.general = Faults{}
		l.setLimits(l.initial)
	}
	l.wakeAll()
	l.mu.Unlock()
	l.showFaults(w, r)
}

func (l *Log) cut(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Stream string `json:"stream"`
		First  uint64 `json:"first"`
	}
	if !local.ReadOrder(w, r, &o) {
		return
	}
	l.mu.Lock()
	s := l.stream(o.Stream)
	s.cut(o.First)
	s.notify()
	first, next := s.first, s.next()
	l.mu.Unlock()
	local.WriteJSON(w, http.StatusOK, struct {
		First uint64 `json:"first"`
		Next  uint64 `json:"next"`
	}{first, next})
}
