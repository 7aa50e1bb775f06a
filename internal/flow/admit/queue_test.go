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

// Guards against a ticket that runs although it was cancelled, expired or had no slot.
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

// Guards against requests that wait although it is known that they can't run in time.
func TestRefusesAtOnceWhatCannotRunInTime(t *testing.T) {
	q := admit.New(admit.WithPriorRun(time.Second), admit.WithMaxWaiting(3),
		admit.WithLongestWait(10*time.Second, 10*time.Second, time.Second))
	q.SetSlots(1)
	reason := func(c admit.Class, deadline time.Duration) (admit.Reason, time.Duration) {
		t.Helper()
		_, err := q.Push(time.Second, c, deadline)
		var refused *admit.RefusedError
		assert.Assert(t, errors.As(err, &refused))
		return refused.Reason, refused.After
	}
	r, _ := reason(admit.Class{}, time.Second)
	assert.Equal(t, r, admit.Deadline)
	urgent := admit.Class{Urgency: admit.Urgent}
	push(t, q, time.Second, urgent, 0)
	push(t, q, time.Second, urgent, 0)
	r, after := reason(urgent, 0)
	assert.Equal(t, r, admit.TooLong)
	assert.Equal(t, after, time.Second)
	r, after = reason(urgent, 3500*time.Millisecond)
	assert.Equal(t, r, admit.TooLong)
	push(t, q, time.Second, admit.Class{}, 0)
	r, _ = reason(admit.Class{}, 0)
	assert.Equal(t, r, admit.Full)
	_ = after
}
