package share

import "math"

// Demand sets what the entry wants of the endpoints of one pool from its demand there:
// the requests in flight and queued. Some slots above the demand are wanted as a
// reserve for the next ask interval. Slots that the entry has come first, so that a
// steady demand moves nothing; what is missing is asked of the endpoints in turn,
// from another one each time, because some may have nothing to lend.
func (h *Holder) Demand(instances []string, total int) {
	rest := total + reserve(total)
	h.pool = h.pool[:0]
	for _, name := range instances {
		s, ok := h.slots[name]
		if !ok || !s.listed {
			continue
		}
		s.next = s.flight
		rest -= s.flight
		h.pool = append(h.pool, s)
	}
	for _, s := range h.pool {
		n := max(min(rest, s.limit-s.next), 0)
		s.next += n
		rest -= n
	}
	h.spread(rest)
	for _, s := range h.pool {
		h.Want(s.instance, s.next)
	}
}

// spread adds the rest to the wants of the pool, one slot at a time.
func (h *Holder) spread(rest int) {
	n := len(h.pool)
	if n == 0 {
		return
	}
	h.turn++
	full := 0
	for i := h.turn; rest > 0 && full < n; i++ {
		s := h.pool[i%n]
		if s.next >= s.slots {
			full++
			continue
		}
		full = 0
		s.next++
		rest--
	}
}

// reserve returns the slots wanted above a demand: half a standard deviation of a
// random demand of that mean. A whole one made idle entries keep slots that a busy
// entry waited for; see docs/routing.md.
func reserve(total int) int {
	return int(math.Ceil(math.Sqrt(float64(max(total, 0))) / 2))
}
