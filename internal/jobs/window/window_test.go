package window

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// link is a network link that carries one order after the other.
type link struct {
	perOrder time.Duration
	free     time.Duration // when the orders sent so far have passed
}

func (l *link) send(now time.Duration) time.Duration {
	l.free = max(l.free, now) + l.perOrder
	return l.free
}

type flight struct{ sent, answered time.Duration }

// play offers a backlog of orders to a link for a while and returns how many were answered within
// the timeout, how many were given up, and the longest queue of the link. A nil window sends all
// that is offered in each step.
func play(w *Window, perOrder, length time.Duration) (answered, lost int, longest time.Duration) {
	const step, timeout, perStep = 4 * time.Millisecond, 350 * time.Millisecond, 64
	l := link{perOrder: perOrder}
	var flights []flight
	for now := time.Duration(0); now < length; now += step {
		rest := flights[:0]
		for _, f := range flights {
			end := min(f.answered, f.sent+timeout)
			if end > now {
				rest = append(rest, f)
				continue
			}
			if f.answered <= end {
				answered++
			} else {
				lost++
			}
			if w != nil {
				w.Done(end - f.sent)
			}
		}
		flights = rest
		n := perStep
		if w != nil {
			n = min(n, w.Room())
		}
		for range n {
			flights = append(flights, flight{now, l.send(now)})
			if w != nil {
				w.Send()
			}
		}
		longest = max(longest, l.free-now)
	}
	return answered, lost, longest
}

// Guards against a backlog after a takeover that fills the leader's link with orders: their time limits
// end in its queue, and so do those of the renewals of the lease.
func TestBacklogDoesNotFillASlowLink(t *testing.T) {
	const perOrder, length = 6 * time.Millisecond, 10 * time.Second // 1.5 KB at 2 Mbit/s
	const renewalTimeout = 600 * time.Millisecond
	answered, lost, longest := play(nil, perOrder, length)
	assert.Assert(t, longest > renewalTimeout, longest)
	assert.Assert(t, lost > answered, "%d of %d", lost, answered)
	w := &Window{}
	answered, lost, longest = play(w, perOrder, length)
	assert.Assert(t, longest < renewalTimeout, longest)
	assert.Assert(t, answered > int(length/perOrder)*8/10, "%d of %d", answered, length/perOrder)
	assert.Assert(t, lost < answered/20, "%d of %d", lost, answered)
}

// Guards against a limit that a fast link's leader would notice.
func TestWindowGrowsWhereAnswersAreFast(t *testing.T) {
	const perOrder, length = 50 * time.Microsecond, time.Second
	all, _, _ := play(nil, perOrder, length)
	limited, lost, _ := play(&Window{}, perOrder, length)
	assert.Equal(t, lost, 0)
	assert.Assert(t, limited > all*9/10, "%d of %d", limited, all)
}

// Guards against executors that do not answer and lower the limit for all others.
func TestFewUnansweredOrdersDoNotLowerTheLimit(t *testing.T) {
	w := &Window{}
	for i := range 1000 {
		w.Room()
		w.Send()
		took := 2 * time.Millisecond
		if i%3 == 0 {
			took = 350 * time.Millisecond
		}
		assert.Assert(t, !w.Done(took))
	}
	assert.Equal(t, w.Size(), initialSize)
}
