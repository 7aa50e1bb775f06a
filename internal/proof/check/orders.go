package check

import (
	"fmt"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/elect"
)

// OrderRace is a history of two orders for one instance: the last one of a former leader and the
// first one of its successor. Times count from when the former leader decided on its order.
type OrderRace struct {
	// Stored, Sent and Arrived are when the order of the former leader was stored, sent, and carried
	// out by the instance service.
	Stored, Sent, Arrived time.Duration
	// TookOver is when the successor had loaded the record, and Next when its order is carried out.
	TookOver, Next time.Duration
	// Ahead is how far the former leader's wall clock is ahead of the successor's.
	Ahead time.Duration
}

// String returns the history for a trace.
func (r OrderRace) String() string {
	return fmt.Sprintf("stored %s, sent %s, carried out %s; taken over %s, next order %s; clock ahead by %s", r.Stored, r.Sent, r.Arrived, r.TookOver, r.Next, r.Ahead)
}

const raceStep = 100 * time.Millisecond

// SearchOrders visits all histories of two orders in steps of raceStep. interval is the least time
// between orders of two leaders. Where fenced is set, the instance service refuses an order with a
// lower fencing token than it has seen. It returns the number of histories, and one that breaks the
// interval or their order, if there is any.
//
// It assumes that an order is carried out within elect.OrderTimeout or never. The decision of
// Leader.mayOrder is written out once more.
func SearchOrders(interval time.Duration, fenced bool) (int, *OrderRace) {
	n := 0
	end := elect.HandoverEnd(0, interval) + elect.MaxClockSkew
	for stored := time.Duration(0); elect.MaySend(0, stored); stored += raceStep {
		for sent := stored; elect.MaySend(0, sent); sent += raceStep {
			for arrived := sent; arrived <= sent+elect.OrderTimeout; arrived += raceStep {
				for tookOver := stored; tookOver <= end; tookOver += raceStep {
					for ahead := -elect.MaxClockSkew; ahead <= elect.MaxClockSkew; ahead += raceStep {
						n++
						next := tookOver
						for !mayOrder(ahead, tookOver, next, interval) {
							next += raceStep
						}
						refused := fenced && next <= arrived
						if !refused && next < arrived+interval {
							return n, &OrderRace{stored, sent, arrived, tookOver, next, ahead}
						}
					}
				}
			}
		}
	}
	return n, nil
}

// mayOrder follows Leader.mayOrder, for an order that another entry recorded at a time of its wall
// clock.
func mayOrder(recorded, tookOver, now, interval time.Duration) bool {
	// Leader.loadOrder takes no stored order for one of its own.
	return now >= elect.HandoverEnd(min(recorded, tookOver), interval)
}
