package execs

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

// Remaining returns how much longer a run is expected to take, by the expected run time of the whole of it, 0 if that
// is not known. A run that has taken longer is expected to take as long again: estimates can be missing, or
// wrong by any factor.
func Remaining(r *track.Run, expected, now time.Duration) time.Duration {
	if r.Phase == track.Stopping {
		return 0
	}
	took := now - r.PhaseSince
	if left := expected - took; left > 0 {
		return left
	}
	return took
}

// Freed returns what the runs that are expected to end within a time reserve, without those of long-running
// tasks.
func Freed(runs map[*track.Run]struct{}, expected func(*track.Run) time.Duration, within, now time.Duration) model.Amount {
	var sum model.Amount
	for r := range runs {
		if s := r.Task.Step; !s.LongRunning && Remaining(r, expected(r), now) <= within {
			sum = sum.Plus(s.Reservation())
		}
	}
	return sum
}
