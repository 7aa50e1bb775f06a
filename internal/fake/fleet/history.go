package fleet

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

// History returns all changes of the actual state in order of time. The first ones, at time 0,
// are the initial states.
func (f *Fleet) History() []Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []Event
	for _, n := range f.names {
		all = append(all, f.events[n]...)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return all
}

// MaxUnavailable returns the highest number of instances that were not live at the same time,
// according to the actual state. It counts the named instances, or all if there are no names.
func (f *Fleet) MaxUnavailable(names ...string) int {
	out := map[string]bool{}
	most := 0
	for _, e := range f.History() {
		if len(names) > 0 && !slices.Contains(names, e.Name) {
			continue
		}
		if e.Phase == ports.Live {
			delete(out, e.Name)
		} else {
			out[e.Name] = true
		}
		most = max(most, len(out))
	}
	return most
}

func (f *Fleet) showHistory(w http.ResponseWriter, r *http.Request) {
	type event struct {
		At    float64     `json:"at"`
		Wall  time.Time   `json:"wall"`
		Name  string      `json:"name"`
		Phase ports.Phase `json:"phase"`
		Boot  uint64      `json:"boot"`
	}
	names := r.URL.Query()["name"]
	base := f.clk.Wall().Add(-f.now())
	events := []event{}
	for _, e := range f.History() {
		if len(names) > 0 && !slices.Contains(names, e.Name) {
			continue
		}
		ms := float64(e.At) / float64(time.Millisecond)
		events = append(events, event{ms, base.Add(e.At).UTC(), e.Name, e.Phase, e.Boot})
	}
	local.WriteJSON(w, http.StatusOK, struct {
		Out    int     `json:"out"`
		Events []event `json:"events"`
	}{f.MaxUnavailable(names...), events})
}
