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
	d := &pairedQueues{
		queue: admit.New(admit.WithReserveFraction(0.2), admit.WithUrgencyWeights(1, 4, 16),
			admit.WithLongestWait(2*time.Second, time.Second, time.Second), admit.WithPriorRunTime(50*time.Millisecond)),
		fair: &refq.Fair{Reserve: 0.2, Prior: 50 * time.Millisecond, Weights: [3]float64{1, 4, 16}},
	}
	return d
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

func (d *pairedQueues) configure(t *rapid.T) {
	services, teams := shares(t, "service"), shares(t, "team")
	d.queue.Configure(services, teams)
	d.fair.Configure(services, teams)
}

func (d *pairedQueues) slots(t *rapid.T) {
	n := rapid.IntRange(0, 20).Draw(t, "slots")
	d.queue.SetSlots(n)
	d.fair.SetSlots(n)
}

func (d *pairedQueues) push(t *rapid.T) {
	c := admit.Class{
		Service: name(t, "service", 4),
		Team:    name(t, "team", 4),
		Urgency: admit.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
	}
	ticket, err := d.queue.Push(d.now, c, 0)
	if err == nil {
		d.waiting = append(d.waiting, pair{ticket, d.fair.Push(c, ticket.Expiry())})
	}
}

func (d *pairedQueues) cancel(t *rapid.T) {
	if len(d.waiting) == 0 {
		return
	}
	p := rapid.SampledFrom(d.waiting).Draw(t, "waiting")
	assert.Equal(t, d.queue.Cancel(p.ticket), d.fair.Cancel(p.entry))
}

func (d *pairedQueues) pop(t *rapid.T) {
	ticket, dropped := d.queue.Pop(d.now)
	entry, late := d.fair.Pop(d.now)
	assert.Equal(t, len(dropped), len(late))
	for i := range dropped {
		assert.Assert(t, d.entry(dropped[i]) == late[i])
	}
	assert.Equal(t, ticket == nil, entry == nil)
	if ticket == nil {
		return
	}
	assert.DeepEqual(t, ticket.Class(), entry.Class)
	assert.Assert(t, d.entry(ticket) == entry)
	d.running = append(d.running, pair{ticket, entry})
}

func (d *pairedQueues) entry(ticket *admit.Ticket) *refq.Entry {
	for _, p := range d.waiting {
		if p.ticket == ticket {
			return p.entry
		}
	}
	return nil
}

func (d *pairedQueues) done(t *rapid.T) {
	if len(d.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.running)-1).Draw(t, "running")
	p := d.running[i]
	d.running = append(d.running[:i], d.running[i+1:]...)
	d.queue.Done(d.now, p.ticket)
	d.fair.Done(d.now, p.entry)
}

// Guards against decisions that differ from those of the reference queue, which recomputes
// everything for each decision. Covers shares, tiers, quotas, reserve, order, expiry and
// configuration changes.
func TestChoosesAsReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newPairedQueues()
		d.slots(t)
		d.configure(t)
		t.Repeat(map[string]func(*rapid.T){
			"configure": d.configure,
			"slots":     d.slots,
			"push":      d.push,
			"push2":     d.push,
			"push3":     d.push,
			"cancel":    d.cancel,
			"pop":       d.pop,
			"pop2":      d.pop,
			"done":      d.done,
			"wait": func(t *rapid.T) {
				d.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
			},
			"": func(t *rapid.T) {
				assert.Equal(t, d.queue.Running(), len(d.running))
			},
		})
	})
}
