package admit_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/flow/refq"
)

// pair is one request in the queue and in the reference queue.
type pair struct {
	ticket *admit.Ticket
	entry  *refq.Entry
}

// pairedQueues applies the same operations to the queue and to the reference queue.
type pairedQueues struct {
	now     time.Duration
	queue   *admit.Queue
	fair    *refq.Fair
	waiting []pair
	running []pair
}

func newPairedQueues() *pairedQueues {
	q := &pairedQueues{
		queue: admit.New(admit.WithReserveFraction(0.2), admit.WithUrgencyWeights(1, 4, 16),
			admit.WithLongestWait(2*time.Second, time.Second, time.Second), admit.WithPriorRunTime(50*time.Millisecond)),
		fair: &refq.Fair{Reserve: 0.2, Prior: 50 * time.Millisecond, Weights: [3]float64{1, 4, 16}},
	}
	return q
}

func name(t *rapid.T, kind string, n int) string {
	return fmt.Sprintf("%s%d", kind, rapid.IntRange(0, n).Draw(t, kind))
}

func shares(t *rapid.T, kind string) map[string]admit.Share {
	m := map[string]admit.Share{}
	for range rapid.IntRange(0, 3).Draw(t, "listed") {
		m[name(t, kind, 3)] = admit.Share{
			Weight: rapid.Uint32Range(0, 4).Draw(t, "weight"),
			Quota:  rapid.SampledFrom([]uint32{0, 0, 1, 2, 5}).Draw(t, "quota"),
		}
	}
	return m
}

func (q *pairedQueues) configure(t *rapid.T) {
	services, teams := shares(t, "service"), shares(t, "team")
	q.queue.Configure(services, teams)
	q.fair.Configure(services, teams)
}

func (q *pairedQueues) slots(t *rapid.T) {
	n := rapid.IntRange(0, 20).Draw(t, "slots")
	q.queue.SetSlots(n)
	q.fair.SetSlots(n)
}

func (q *pairedQueues) push(t *rapid.T) {
	c := admit.Class{
		Service: name(t, "service", 4),
		Team:    name(t, "team", 4),
		Urgency: admit.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
	}
	ticket, err := q.queue.Push(q.now, c, 0)
	if err == nil {
		q.waiting = append(q.waiting, pair{ticket, q.fair.Push(c, ticket.Expiry())})
	}
}

func (q *pairedQueues) cancel(t *rapid.T) {
	if len(q.waiting) == 0 {
		return
	}
	p := rapid.SampledFrom(q.waiting).Draw(t, "waiting")
	assert.Equal(t, q.queue.Cancel(p.ticket), q.fair.Cancel(p.entry))
}

func (q *pairedQueues) pop(t *rapid.T) {
	ticket, dropped := q.queue.Pop(q.now)
	entry, late := q.fair.Pop(q.now)
	assert.Equal(t, len(dropped), len(late))
	for i := range dropped {
		assert.Assert(t, q.entry(dropped[i]) == late[i])
	}
	assert.Equal(t, ticket == nil, entry == nil)
	if ticket == nil {
		return
	}
	assert.DeepEqual(t, ticket.Class(), entry.Class)
	assert.Assert(t, q.entry(ticket) == entry)
	q.running = append(q.running, pair{ticket, entry})
}

func (q *pairedQueues) entry(ticket *admit.Ticket) *refq.Entry {
	for _, p := range q.waiting {
		if p.ticket == ticket {
			return p.entry
		}
	}
	return nil
}

func (q *pairedQueues) done(t *rapid.T) {
	if len(q.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(q.running)-1).Draw(t, "running")
	p := q.running[i]
	q.running = append(q.running[:i], q.running[i+1:]...)
	q.queue.Done(q.now, p.ticket)
	q.fair.Done(q.now, p.entry)
}

// Guards against decisions that differ from those of the reference queue, which recomputes
// everything for each decision. Covers shares, tiers, quotas, reserve, order, expiry and
// configuration changes.
func TestChoosesAsReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newPairedQueues()
		q.slots(t)
		q.configure(t)
		t.Repeat(map[string]func(*rapid.T){
			"configure": q.configure,
			"slots":     q.slots,
			"push":      q.push,
			"push2":     q.push,
			"push3":     q.push,
			"cancel":    q.cancel,
			"pop":       q.pop,
			"pop2":      q.pop,
			"done":      q.done,
			"wait": func(t *rapid.T) {
				q.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
			},
			"": func(t *rapid.T) {
				assert.Equal(t, q.queue.Running(), len(q.running))
			},
		})
	})
}
