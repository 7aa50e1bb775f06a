package admit_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"chervilgauge.example/chervilgauge/internal/flow/admit"
)

// size is a number of services, teams, waiting tickets and slots.
type size struct {
	name                            string
	services, teams, waiting, slots int
}

var sizes = []size{
	{"today", 5, 10, 1_000, 400},
	{"today-10k", 5, 10, 10_000, 400},
	{"today-100k", 5, 10, 100_000, 400},
	{"two-year", 30, 200, 100_000, 4_000},
}

// fill returns a queue with z.waiting + z.slots waiting tickets of random classes, the tickets and
// the classes.
func (z size) fill(b *testing.B) (*admit.Queue, []*admit.Ticket, []admit.Class) {
	b.Helper()
	q := admit.New(admit.WithLongestWait(24*time.Hour, 24*time.Hour, 24*time.Hour),
		admit.WithMaxWaiting(100*z.waiting), admit.WithReserveFraction(0))
	shares := [2]map[string]admit.Share{{}, {}}
	for i := range z.services {
		shares[0][strconv.Itoa(i)] = admit.Share{Weight: uint32(i%4 + 1)}
	}
	for i := range z.teams {
		shares[1][strconv.Itoa(i)] = admit.Share{Weight: uint32(i%3 + 1), Quota: uint32(z.slots)}
	}
	q.Configure(shares[0], shares[1])
	q.SetSlots(z.slots)
	rnd := rand.New(rand.NewPCG(1, 1))
	classes := make([]admit.Class, 1<<16)
	for i := range classes {
		classes[i] = admit.Class{
			Service: strconv.Itoa(rnd.IntN(z.services)),
			Team:    strconv.Itoa(rnd.IntN(z.teams)),
			Urgency: admit.Urgency(rnd.IntN(3)),
		}
	}
	tickets := make([]*admit.Ticket, 0, z.waiting+z.slots)
	for i := range z.waiting + z.slots {
		t, err := q.Push(time.Duration(i), classes[i%len(classes)], 0)
		if err != nil {
			b.Fatal(err)
		}
		tickets = append(tickets, t)
	}
	return q, tickets, classes
}

func BenchmarkDecision(b *testing.B) {
	for _, z := range sizes {
		b.Run(z.name, func(b *testing.B) {
			q, _, classes := z.fill(b)
			running := make([]*admit.Ticket, 0, z.slots)
			now := time.Second
			for t, _ := q.Pop(now); t != nil; t, _ = q.Pop(now) {
				running = append(running, t)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now += 500 * time.Microsecond
				if _, err := q.Push(now, classes[i%len(classes)], 0); err != nil {
					b.Fatal(err)
				}
				n := i % len(running)
				q.Done(now, running[n])
				running[n], _ = q.Pop(now)
				i++
			}
		})
	}
}

func BenchmarkCancel(b *testing.B) {
	for _, z := range sizes {
		b.Run(z.name, func(b *testing.B) {
			q, tickets, classes := z.fill(b)
			rnd := rand.New(rand.NewPCG(2, 2))
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				n := rnd.IntN(len(tickets))
				q.Cancel(tickets[n])
				tickets[n], _ = q.Push(time.Duration(len(tickets)+i), classes[i%len(classes)], 0)
				i++
			}
		})
	}
}

// BenchmarkCancelWave cancels 50,000 of 100,000 waiting tickets at once.
func BenchmarkCancelWave(b *testing.B) {
	for range b.N {
		b.StopTimer()
		q, tickets, _ := sizes[3].fill(b)
		order := rand.New(rand.NewPCG(3, 3)).Perm(len(tickets))[:50_000]
		b.StartTimer()
		for _, n := range order {
			q.Cancel(tickets[n])
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/50_000, "ns/cancel")
}
