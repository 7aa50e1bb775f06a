// Package crew keeps what is known of the executors: their room, whether they take new
// tasks, and how well they do. It holds no clock and makes no calls.
package crew

import (
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/book"
	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// Contact is what is known of the way to an executor.
type Contact uint8

// Contacts with an executor.
const (
	// Unheard executors have not answered this leader.
	Unheard Contact = iota
	Live
	// Silent executors left calls unanswered since they last answered.
	Silent
	// Dead executors have ended, for certain: all that ran there has ended.
	Dead
)

const (
	// failRow is how many runs of different jobs must fail in a row before an executor
	// is set aside. Jobs that can never be done are a few in a hundred, so two different
	// ones in a row are rare, and three show that it is the executor.
	failRow = 3
	// asideFirst and asideMost bound how long it is set aside; the time doubles each
	// time. Executors that fail do so for some seconds.
	asideFirst = 3 * time.Second
	asideMost  = 12 * time.Second
	// unwellPause holds starts back after an executor refused one as unwell.
	unwellPause = 300 * time.Millisecond
	// speedWeight is the weight of a new run in the mean slowness.
	speedWeight = 0.3
)

// Member is one incarnation of an executor.
type Member struct {
	model.Executor
	// Key tells incarnations apart.
	Key string
	// Used is the room of all runs that may be there, and Lasting that of those that run
	// until they are cancelled.
	Used    model.Amount
	Lasting model.Amount
	Contact Contact
	// Listed says that the store lists it.
	Listed bool
	// Leaving says that its instance is to be emptied, for a move or an upkeep.
	Leaving bool
	// Strays is the number of runs in its last list that no job needs: those of jobs that
	// were over when the leader took over, for example. Their room is not known, and stays
	// taken until they have ended.
	Strays int
	// Slow is its mean run time compared with the estimates' mean, 1 for usual.
	Slow float64
	// AsideUntil keeps new tasks away after failures.
	AsideUntil time.Duration
	aside      time.Duration
	failedJobs []string
}

// Takes says whether the executor takes new tasks.
func (m *Member) Takes(now time.Duration) bool {
	return m.Contact == Live && m.Listed && !m.Draining && !m.Leaving && m.Strays == 0 && now >= m.AsideUntil
}

// Free returns the room that is left.
func (m *Member) Free() model.Amount { return m.Capacity.Minus(m.Used) }

// Succeeded notes a run that ended well.
func (m *Member) Succeeded() {
	m.failedJobs = nil
	m.aside = 0
}

// Failed notes a failed run and says whether the executor is set aside now.
func (m *Member) Failed(job string, now time.Duration) bool {
	for _, j := range m.failedJobs {
		if j == job {
			return false
		}
	}
	m.failedJobs = append(m.failedJobs, job)
	if len(m.failedJobs) < failRow {
		return false
	}
	// After its time one more failure sets it aside again.
	m.failedJobs = m.failedJobs[1:]
	m.aside = min(max(m.aside*2, asideFirst), asideMost)
	m.AsideUntil = now + m.aside
	return true
}

// Unwell notes that the executor refused a start and does nothing at present.
func (m *Member) Unwell(now time.Duration) {
	m.AsideUntil = max(m.AsideUntil, now+unwellPause)
}

// Ran notes how long a run took compared with its estimate.
func (m *Member) Ran(took, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	m.Slow += speedWeight * (float64(took)/float64(estimate) - m.Slow)
}

// Add notes a run of a step that may be there.
func (m *Member) Add(s *book.Step) {
	m.Used = m.Used.Plus(s.Room())
	if s.Lasts {
		m.Lasting = m.Lasting.Plus(s.Room())
	}
}

// Remove notes that a run of a step is not there any more.
func (m *Member) Remove(s *book.Step) {
	m.Used = m.Used.Minus(s.Room())
	if s.Lasts {
		m.Lasting = m.Lasting.Minus(s.Room())
	}
}
