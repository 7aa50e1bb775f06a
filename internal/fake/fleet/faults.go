package fleet

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// Faults are the settings of the instance list, most of them injected faults. Clients change them
// at /faults.
type Faults struct {
	// Lag is the age of the state that the list shows, in milliseconds.
	Lag float64 `json:"lag"`
	// Leave and Reboot are how long a rebooting instance is leaving and then down,
	// in milliseconds.
	Leave  float64 `json:"leave"`
	Reboot float64 `json:"reboot"`
	// Down answers reads of the list and reboots with 503 and without effect.
	Down bool `json:"down"`
	// LoseAnswers is the share of reboots, 0 to 1, that are carried out and whose connection
	// is then closed without an answer.
	LoseAnswers float64 `json:"lose"`
	// ShownPhases holds phases that the list shows instead of the actual ones, by instance.
	ShownPhases map[string]ports.Phase `json:"wrong"`
	// Stuck names the instances that stay down after a reboot until their phase is
	// set to live.
	Stuck []string `json:"stuck"`
	// Seed seeds the random choice of the reboots whose answers are lost.
	Seed uint64 `json:"seed"`
}

// clone returns a copy that shares no map or slice.
func (o Faults) clone() Faults {
	o.ShownPhases = maps.Clone(o.ShownPhases)
	o.Stuck = slices.Clone(o.Stuck)
	return o
}

// Faults returns a copy of the current settings.
func (f *Fleet) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.clone()
}

// SetFaults replaces the settings.
func (f *Fleet) SetFaults(o Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Seed != f.faults.Seed {
		f.rng = rand.New(rand.NewPCG(o.Seed, 0))
	}
	f.faults = o.clone()
}

// updateFaults serves PUT /faults: it changes the fields in the body and keeps the others. A map
// or list is replaced as a whole.
func (f *Fleet) updateFaults(w http.ResponseWriter, r *http.Request) {
	o := f.Faults()
	wrong := o.ShownPhases
	o.ShownPhases = nil
	if !local.ReadJSON(w, r, &o) {
		return
	}
	if o.ShownPhases == nil {
		o.ShownPhases = wrong
	}
	f.SetFaults(o)
	f.showFaults(w, r)
}

// resetFaults restores the initial settings.
func (f *Fleet) resetFaults(w http.ResponseWriter, r *http.Request) {
	f.SetFaults(f.initial)
	f.showFaults(w, r)
}

func (f *Fleet) showFaults(w http.ResponseWriter, _ *http.Request) {
	local.WriteJSON(w, http.StatusOK, f.Faults())
}
