package endpt

import "chervilgauge.example/chervilgauge/internal/core/ports"

// Follow makes the endpoint do what its instance does in a phase: it stops with its
// running requests when the instance is down, and resumes when it is back.
func (e *Endpoint) Follow(p ports.Phase) {
	if p == ports.Down {
		e.Stop()
		return
	}
	f := e.Faults()
	f.Leaving = p == ports.Leaving
	// An endpoint whose port was taken meanwhile stays stopped, as a broken one would.
	_ = e.SetFaults(f)
	_ = e.Resume()
}
