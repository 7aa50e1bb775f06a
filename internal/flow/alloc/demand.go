package alloc

// spareSlots is the number of slots of a pool that an entry wants above its demand. With half a
// standard deviation of the demand instead, more slots were idle while one entry was flooded; see
// docs/routing.md.
const spareSlots = 1

// SetPoolDemand sets the wanted slots of the endpoints of one pool from the demand of the entry
// there: its requests in flight and queued. Slots that the entry already has are counted first, so
// that a steady demand moves no slots. Missing slots are requested from the endpoints in turn,
// starting at another one each time, because some may have none to allocate.
func (h *Holder) SetPoolDemand(instances []string, total int) {
	rest := total + spareSlots
	h.pool = h.pool[:0]
	for _, name := range instances {
		s, ok := h.holdings[name]
		if !ok || !s.listed {
			continue
		}
		s.newWant = s.inFlight
		rest -= s.inFlight
		h.pool = append(h.pool, s)
	}
	for _, s := range h.pool {
		n := max(min(rest, s.limit-s.newWant), 0)
		s.newWant += n
		rest -= n
	}
	h.spreadDemand(rest)
	for _, s := range h.pool {
		h.SetWant(s.instance, s.newWant)
	}
}

// spreadDemand adds the rest to the wanted slots of the pool, one slot at a time.
func (h *Holder) spreadDemand(rest int) {
	n := len(h.pool)
	if n == 0 {
		return
	}
	h.nextStart++
	full := 0
	for i := h.nextStart; rest > 0 && full < n; i++ {
		s := h.pool[i%n]
		if s.newWant >= s.slots {
			full++
			continue
		}
		full = 0
		s.newWant++
		rest--
	}
}
