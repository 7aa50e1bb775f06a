package share

// reserve is the number of slots of a pool that an entry wants above its demand. Half
// a standard deviation of the demand instead left more slots idle while one entry was
// flooded; see docs/routing.md.
const reserve = 1

// Demand sets what the entry wants of the endpoints of one pool from its demand there:
// the requests in flight and queued. Slots that the entry has come first, so that a
// steady demand moves nothing; what is missing is asked of the endpoints in turn,
// from another one each time, because some may have nothing to lend.
func (h *Holder) Demand(instances []string, total int) {
	rest := total + reserve
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
