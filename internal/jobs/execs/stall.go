package crew

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
)

const (
	// stallLeast is the least time without progress after which a run is taken to stand
	// still. Runs are looked at about once a second.
	stallLeast = 1300 * time.Millisecond
	// stallShare is the share of the usual run time that a run may stand still: one per
	// cent of progress, the least that is shown, takes a hundredth of it.
	stallShare = 0.5
)

// IsStalled says whether a run stands still, on an executor that was last heard at
// heard. usual is how long such runs usually take. Tasks that last show no progress, and
// members of a gang wait for one another.
func IsStalled(r *book.Run, heard, usual time.Duration) bool {
	s := r.Task.Step
	if r.Phase != book.Running || s.Lasts || s.Gang || s.Fills {
		return false
	}
	return heard-r.Progress > max(stallLeast, time.Duration(stallShare*float64(usual)))
}

// Stalled notes a run that stood still, and says whether the executor is set aside now.
func (m *Member) Stalled(job string, now time.Duration) bool { return m.Failed(job, now) }
