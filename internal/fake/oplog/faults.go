package oplog

import (
	"maps"
	"math/rand/v2"
	"net/http"

	"golang.org/x/time/rate"

	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// Faults are the faults that can be set for all clients or for one of them.
type Faults struct {
	// SlowAppend and SlowRead delay requests, in milliseconds. An append takes
	// effect after its delay.
	SlowAppend float64 `json:"slowappend"`
	SlowRead   float64 `json:"slowread"`
	// Down answers every request of the protocol with 503 and without effect.
	Down bool `json:"down"`
	// LoseAnswers is the share of appends, 0 to 1, that are carried out and whose connection
	// is then closed without an answer.
	LoseAnswers float64 `json:"lose"`
	// Duplicate is the share of appends, 0 to 1, whose record is appended twice.
	Duplicate float64 `json:"duplicate"`
}

// Limits are the settings for the whole service.
type Limits struct {
	// Rate is the limit in appends per second, 0 for no limit.
	Rate float64 `json:"rate"`
	// Retain is the number of records that each stream retains, 0 for all.
	Retain int `json:"retain"`
	// Seed seeds the random choice of the appends that a fault affects.
	Seed uint64 `json:"seed"`
}

// faultsBody is the body of PUT /faults. Fields that are absent keep their values.
type faultsBody struct {
	Faults
	Limits
}

// SetFaults replaces the faults for one client. If client is empty, it replaces the common faults,
// which apply to clients without faults of their own.
func (l *Log) SetFaults(client string, f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setFaults(client, f)
}

func (l *Log) setFaults(client string, f Faults) {
	if client == "" {
		l.commonFaults = f
	} else {
		l.clientFaults[client] = f
	}
	l.notifyAll()
}

// SetLimits replaces the settings for the whole service.
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
			s.truncate(s.next() - uint64(n.Retain))
		}
	}
	l.notifyAll()
}

// applyRate sets the rate limiter. Its burst is the appends of a tenth of a second, at least one.
func (l *Log) applyRate() {
	r := l.limits.Rate
	if r <= 0 {
		l.limiter = rate.NewLimiter(rate.Inf, 1)
		return
	}
	l.limiter = rate.NewLimiter(rate.Limit(r), max(1, int(r/10)))
}

func (l *Log) notifyAll() {
	for _, s := range l.streams {
		s.notify()
	}
}

// drawShare draws whether a fault affects an event, with a probability of share. The caller
// holds mu.
func (l *Log) drawShare(share float64) bool { return share > 0 && l.rng.Float64() < share }

// requestFaults returns the faults for a request: those of its client if they were set, the
// common ones otherwise.
func (l *Log) requestFaults(r *http.Request) Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faultsOf(r.Header.Get("Client"))
}

func (l *Log) faultsOf(client string) Faults {
	if f, ok := l.clientFaults[client]; ok {
		return f
	}
	return l.commonFaults
}

// updateFaults changes the faults of the client in the query, or the common ones if there is
// none, and the limits. Fields that are absent keep their values; the first change for a client
// starts from the common faults.
func (l *Log) updateFaults(w http.ResponseWriter, r *http.Request) {
	client := r.URL.Query().Get("client")
	l.mu.Lock()
	o := faultsBody{l.faultsOf(client), l.limits}
	l.mu.Unlock()
	if !local.ReadJSON(w, r, &o) {
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
	}{l.commonFaults, l.limits, maps.Clone(l.clientFaults)}
	l.mu.Unlock()
	local.WriteJSON(w, http.StatusOK, o)
}

// resetFaults removes the faults of the client in the query. Without a client it removes all
// faults and restores the initial limits.
func (l *Log) resetFaults(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if c := r.URL.Query().Get("client"); c != "" {
		delete(l.clientFaults, c)
	} else {
		clear(l.clientFaults)
		l.commonFaults = Faults{}
		l.setLimits(l.initial)
	}
	l.notifyAll()
	l.mu.Unlock()
	l.showFaults(w, r)
}

func (l *Log) truncate(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Stream string `json:"stream"`
		First  uint64 `json:"first"`
	}
	if !local.ReadJSON(w, r, &o) {
		return
	}
	l.mu.Lock()
	s := l.stream(o.Stream)
	s.truncate(o.First)
	s.notify()
	first, next := s.first, s.next()
	l.mu.Unlock()
	local.WriteJSON(w, http.StatusOK, struct {
		First uint64 `json:"first"`
		Next  uint64 `json:"next"`
	}{first, next})
}
