package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fake/local"
)

type listedInstance struct {
	Name  string      `json:"name"`
	Phase ports.Phase `json:"phase"`
	Boot  uint64      `json:"boot"`
}

func (f *Fleet) list(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	down := f.faults.Down
	view := f.laggedView()
	f.mu.Unlock()
	if down {
		local.Fail(w, http.StatusServiceUnavailable, "down")
		return
	}
	// Encoding a slice of plain fields can't fail.
	data, _ := json.Marshal(view)
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	local.WriteJSON(w, http.StatusOK, view)
}

// laggedView returns the state of all instances as it was a lag ago, with the phases from the
// settings where they replace the actual ones. The caller holds mu.
func (f *Fleet) laggedView() []listedInstance {
	at := f.now() - local.Millis(f.faults.Lag)
	view := make([]listedInstance, 0, len(f.names))
	for _, n := range f.names {
		e := f.stateAt(n, at)
		if p, ok := f.faults.ShownPhases[n]; ok {
			e.Phase = p
		}
		view = append(view, listedInstance{n, e.Phase, e.Boot})
	}
	return view
}

// reboot serves a request for a reboot: the instance is leaving at once, then down, then live with
// the next boot number.
func (f *Fleet) reboot(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	f.mu.Lock()
	if f.faults.Down {
		f.mu.Unlock()
		local.Fail(w, http.StatusServiceUnavailable, "down")
		return
	}
	if len(f.events[name]) == 0 {
		f.mu.Unlock()
		local.Fail(w, http.StatusNotFound, "no such instance")
		return
	}
	if f.rebooting[name] {
		f.mu.Unlock()
		local.Fail(w, http.StatusConflict, "a reboot is under way")
		return
	}
	f.startReboot(name)
	lost := f.faults.LoseAnswers > 0 && f.rng.Float64() < f.faults.LoseAnswers
	f.mu.Unlock()
	if lost {
		local.Cut()
	}
	w.WriteHeader(http.StatusAccepted)
}

// startReboot starts a reboot. Both timers are subscribed before it returns, so that a test can
// advance a fake clock at once. An instance that is down already is not set leaving. The caller
// holds mu.
func (f *Fleet) startReboot(name string) {
	f.rebooting[name] = true
	e := f.stateAt(name, f.now())
	if e.Phase != ports.Down {
		e = f.record(name, ports.Leaving, e.Boot)
	}
	leave := local.Millis(f.faults.Leave)
	down := f.clk.After(leave)
	live := f.clk.After(leave + local.Millis(f.faults.Reboot))
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		defer down.Close()
		defer live.Close()
		f.hook(name, e.Phase, e.Boot)
		if f.enterPhase(down, name, ports.Down, e.Boot) {
			f.enterPhase(live, name, ports.Live, e.Boot+1)
		}
		f.mu.Lock()
		delete(f.rebooting, name)
		f.mu.Unlock()
	}()
}

// enterPhase waits for a timer and then sets the phase of an instance. It returns false if the
// fake is closed. An instance that is set as stuck stays down.
func (f *Fleet) enterPhase(t *clock.Subscription, name string, p ports.Phase, boot uint64) bool {
	select {
	case <-t.C:
	case <-f.quit:
		return false
	}
	f.mu.Lock()
	if p == ports.Live && slices.Contains(f.faults.Stuck, name) {
		f.mu.Unlock()
		return true
	}
	f.record(name, p, boot)
	f.mu.Unlock()
	f.hook(name, p, boot)
	return true
}

// put serves a request to set the actual phase of an instance.
func (f *Fleet) put(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Phase ports.Phase `json:"phase"`
	}
	if !local.ReadJSON(w, r, &o) {
		return
	}
	if o.Phase != ports.Live && o.Phase != ports.Leaving && o.Phase != ports.Down {
		local.Fail(w, http.StatusBadRequest, "phase is none of live, leaving, down")
		return
	}
	e, ok := f.SetPhase(r.PathValue("name"), o.Phase)
	if !ok {
		local.Fail(w, http.StatusConflict, "a reboot is under way")
		return
	}
	local.WriteJSON(w, http.StatusOK, listedInstance{e.Name, e.Phase, e.Boot})
}

// SetPhase sets the actual phase of an instance, which is added if it is new, and calls the hook.
// The boot number of an instance that changes from down to live is incremented. It returns false
// if a reboot of the instance is in progress.
func (f *Fleet) SetPhase(name string, p ports.Phase) (Event, bool) {
	f.mu.Lock()
	if f.rebooting[name] {
		f.mu.Unlock()
		return Event{}, false
	}
	boot := uint64(1)
	if len(f.events[name]) == 0 {
		f.names = append(f.names, name)
	} else {
		old := f.stateAt(name, f.now())
		boot = old.Boot
		if p == ports.Live && old.Phase == ports.Down {
			boot++
		}
	}
	e := f.record(name, p, boot)
	f.mu.Unlock()
	f.hook(name, p, boot)
	return e, true
}
