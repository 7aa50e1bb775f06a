// Package window limits the orders that a leader has in flight. Orders beyond what its link, its
// processor or the entries that make its calls can carry wait in queues, where their time limits end,
// and delay the renewals of the lease. The limit follows the time that answers take, as the
// congestion window of TCP does.
package window

import "time"

const (
	// initialSize is the limit before any answer is known, in orders.
	initialSize = 64
	// minSize is the least limit.
	minSize = 8
	// maxSize bounds the limit. It is above what a leader can have in flight with fast answers.
	maxSize = 4096
	// lateAfter is the time from which an answer counts as late. It is below the time limit of a
	// start. Executors answer within some milliseconds, so the rest is time in queues.
	lateAfter = 250 * time.Millisecond
	// queueAfter is the time from which an answer shows that a queue has formed.
	queueAfter = 50 * time.Millisecond
	// lateShare is the share of late answers from which the limit is lowered. Executors that do not
	// answer are fewer.
	lateShare = 0.4
	// growthShare is the share of late answers up to which the limit may grow: a queue is longer for
	// the last orders of a round than for the first.
	growthShare = 0.1
	// lowered is the factor by which the limit is lowered.
	lowered = 0.6
	// minRound is the least number of answers from which a share is computed.
	minRound = 8
	// slowGrowth is the part of the limit by which it grows in a round if there is a queue. It doubles
	// otherwise.
	slowGrowth = 1.0 / 16
)

// Window is a limit of orders in flight. The zero value is ready for use.
type Window struct {
	size     float64 // 0 before the first use
	inFlight int
	answers  int           // in this round, which lasts for half a window of answers
	late     int           // of these, those that were late or did not arrive
	longest  time.Duration // the longest time of an answer in this round
	limiting bool          // no order could be sent at some time in this round
}

// Room returns how many more orders may be sent now.
func (w *Window) Room() int {
	if w.size == 0 {
		w.size = initialSize
	}
	room := max(int(w.size)-w.inFlight, 0)
	w.limiting = w.limiting || room == 0
	return room
}

// Size returns the limit in orders.
func (w *Window) Size() int { return int(w.size) }

// Send records an order that is sent.
func (w *Window) Send() { w.inFlight++ }

// Done records the end of an order after took, answered or given up. It returns true if the limit
// was lowered.
func (w *Window) Done(took time.Duration) bool {
	w.inFlight--
	w.answers++
	if took > lateAfter {
		w.late++
	}
	w.longest = max(w.longest, took)
	if w.answers < max(int(w.size/2), minRound) {
		return false
	}
	share := float64(w.late) / float64(w.answers)
	isLate := share > lateShare
	switch {
	case isLate:
		w.size = max(w.size*lowered, minSize)
	case !w.limiting || share > growthShare:
	case w.longest > queueAfter:
		w.size = min(w.size+max(w.size*slowGrowth, 1), maxSize)
	default:
		w.size = min(2*w.size, maxSize)
	}
	w.answers, w.late, w.longest, w.limiting = 0, 0, 0, false
	return isLate
}
