package assign

import "chervilgauge.example/chervilgauge/internal/jobs/track"

// placeProbe places one task, or one gang, of a job that will probably never succeed, so that it ends
// with the fewest runs. Its other tasks wait. It returns false for any other job.
func (p *plan) placeProbe(j *track.Job) bool {
	if !j.IsPoison() {
		return false
	}
	t := j.Probe()
	if t == nil {
		return true
	}
	p.held = false
	defer p.noteHeld(t.Step)
	switch {
	case p.now < t.NotBefore:
	case t.Step.Gang:
		p.placeGang(t.Step)
	case p.allow.Fits(t.Step):
		placed := runsByExecutor(t.Step)
		if sl := p.bestSlot(t.Step, t, placed); sl != nil {
			p.placeTask(sl, t.Step, t, placed, 0)
			p.allow.Take(t.Step)
		}
	}
	return true
}
