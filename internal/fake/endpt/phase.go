package endpt

import "chervilgauge.example/chervilgauge/internal/core/ports"

// ApplyPhase sets the endpoint to the phase of its instance: it stops and abandons its running
// requests when the instance is down, and otherwise accepts connections, leaving or not.
func (e *Endpoint) ApplyPhase(p ports.Phase) {
	if p == ports.Down {
		e.Stop()
		return
	}
	f := e.Faults()
	f.Leaving = p == ports.Leaving
	// If another process took the port meanwhile, the endpoint stays stopped, like one that
	// does not come back.
	_ = e.SetFaults(f)
	_ = e.Resume()
}
