package admit_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

func push(t *testing.T, q *admit.Queue, now time.Duration, c admit.Class, deadline time.Duration) *admit.Ticket {
	t.Helper()
	tk, err := q.Push(now, c, deadline)
	assert.NilError(t, err)
	return tk
}

func pop(t *testing.T, q *admit.Queue, now time.Duration) *admit.Ticket {
	t.Helper()
	tk, dropped := q.Pop(now)
	assert.Equal(t, len(dropped), 0)
	return tk
}

// Guards against a ticket that runs although it was cancelled, had expired or had no free slot.
func TestTicketRunsOnlyWhileItMay(t *testing.T) {
	q := admit.New()
	a := push(t, q, 0, admit.Class{}, 0)
	assert.Assert(t, pop(t, q, 0) == nil)
	q.SetSlots(1)
	b := push(t, q, 0, admit.Class{}, 500*time.Millisecond)
	c := push(t, q, 0, admit.Class{}, 0)
	assert.Assert(t, q.Cancel(a))
	assert.Assert(t, !q.Cancel(a))
	run, dropped := q.Pop(500 * time.Millisecond)
	assert.Assert(t, run == c)
	assert.DeepEqual(t, len(dropped), 1)
	assert.Assert(t, dropped[0] == b)
	assert.Assert(t, !q.Cancel(c))
	assert.Equal(t, q.Running(), 1)
	q.Done(time.Second, c)
	q.Done(time.Second, c)
	assert.Equal(t, q.Running(), 0)
}

// Guards against accepting requests that are not expected to run in time, and against a wrong
// reason or retry time in the refusal.
func TestRefusesAtOnceWhatCannotRunInTime(t *testing.T) {
	const sec = time.Second
	q := admit.New(admit.WithPriorRunTime(sec), admit.WithMaxWaiting(4), admit.WithLongestWait(10*sec, 10*sec, 2*sec))
	q.SetSlots(1)
	refused := func(c admit.Class, deadline time.Duration, want admit.RefusedError) {
		t.Helper()
		_, err := q.Push(sec, c, deadline)
		var got *admit.RefusedError
		assert.Assert(t, errors.As(err, &got), "not refused: %v", err)
		assert.Equal(t, *got, want)
	}
	normal := admit.Class{Urgency: admit.Normal}
	urgent := admit.Class{Urgency: admit.Urgent}
	refused(normal, sec, admit.RefusedError{Reason: admit.Deadline})
	push(t, q, sec, urgent, 0)
	push(t, q, sec, urgent, 0)
	refused(urgent, 0, admit.RefusedError{Reason: admit.TooLong, RetryAfter: 200 * time.Millisecond})
	push(t, q, sec, normal, 1500*time.Millisecond)
	refused(normal, 4*sec, admit.RefusedError{Reason: admit.Deadline, RetryAfter: sec})
	push(t, q, sec, normal, 0)
	refused(admit.Class{}, 0, admit.RefusedError{Reason: admit.Full})
	for name, c := range q.ServiceCounts() {
		assert.Equal(t, name, "")
		assert.DeepEqual(t, c, admit.Counts{Waiting: 4, Accepted: 4, Refused: [3]uint64{2, 1, 1}})
	}
}

// Guards against borrowed slots that stay with the borrower while their owner has waiting requests.
func TestBorrowedSlotsReturnWithinOneRunTime(t *testing.T) {
	const run = 200 * time.Millisecond
	q := admit.New(admit.WithReserveFraction(0))
	q.Configure(map[string]admit.Share{"a": {}, "b": {Weight: 3}}, map[string]admit.Share{"x": {}, "y": {}})
	q.SetSlots(100)
	var tickets []*admit.Ticket
	inUse := map[admit.Class]int{}
	for now := time.Duration(0); now < 3*run; now += run / 100 {
		for len(tickets) > 0 && tickets[0].Owner.(time.Duration) <= now {
			inUse[tickets[0].Class()]--
			q.Done(now, tickets[0])
			tickets = tickets[1:]
		}
		classes := []admit.Class{{Service: "a", Team: "x"}}
		if now >= run {
			classes = append(classes, admit.Class{Service: "a", Team: "y"}, admit.Class{Service: "b", Team: "x"})
		}
		for _, c := range classes {
			for range 4 {
				_, _ = q.Push(now, c, 0)
			}
		}
		for tk := pop(t, q, now); tk != nil; tk = pop(t, q, now) {
			tk.Owner = now + run
			inUse[tk.Class()]++
			tickets = append(tickets, tk)
		}
		if now == run {
			assert.Equal(t, inUse[admit.Class{Service: "a", Team: "x"}] > 90, true)
		}
		if now >= 2*run+run/10 {
			assert.Assert(t, inUse[admit.Class{Service: "b", Team: "x"}] >= 74, "%v: %v", now, inUse)
			assert.Assert(t, inUse[admit.Class{Service: "a", Team: "y"}] >= 11, "%v: %v", now, inUse)
		}
	}
}

// Guards against an urgency that starves the others of its team, or that is not preferred by its
// weight.
func TestUrgenciesShareByWeight(t *testing.T) {
	q := admit.New()
	q.SetSlots(1)
	started := map[admit.Urgency]int{}
	for i := range 210 {
		now := time.Duration(i) * time.Millisecond
		for u := admit.Deferrable; u <= admit.Urgent; u++ {
			_, _ = q.Push(now, admit.Class{Urgency: u}, 0)
		}
		tk := pop(t, q, now)
		started[tk.Class().Urgency]++
		q.Done(now+time.Millisecond, tk)
	}
	assert.DeepEqual(t, started, map[admit.Urgency]int{admit.Deferrable: 10, admit.Normal: 40, admit.Urgent: 160})
}

// Guards against a call that holds the mutex of the owner while thousands of tickets expire, and
// against an expired ticket that runs because not all expired tickets were dropped.
func TestDropsInParts(t *testing.T) {
	q := admit.New(admit.WithPriorRunTime(time.Millisecond))
	q.SetSlots(1)
	for range 600 {
		push(t, q, 0, admit.Class{}, time.Second)
	}
	for _, n := range []int{256, 256, 88, 0} {
		run, dropped := q.Pop(time.Second)
		assert.Assert(t, run == nil)
		assert.Equal(t, len(dropped), n)
	}
}
