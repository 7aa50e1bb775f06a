package admit

import "time"

// expiryHeap orders waiting tickets by expiry, then by arrival. It is not container/heap
// because that reads two tickets for each comparison: with 100,000 waiting tickets most of
// the time of a decision went into these cache misses. Here the keys lie side by side and
// each vertex has four children, so that one level costs about one cache line.
type expiryHeap []expiryItem

type expiryItem struct {
	at     time.Duration
	ticket *Ticket
}

const children = 4

func (a expiryItem) before(b expiryItem) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.ticket.seq < b.ticket.seq
}

func (h *expiryHeap) add(t *Ticket) {
	x := expiryItem{at: t.expiry, ticket: t}
	*h = append(*h, x)
	h.up(len(*h)-1, x)
}

func (h *expiryHeap) remove(t *Ticket) {
	n := len(*h) - 1
	last := (*h)[n]
	(*h)[n] = expiryItem{}
	*h = (*h)[:n]
	if t.pos < n {
		h.down(t.pos, last)
	}
	t.pos = -1
}

// up stores x at i or at the place of the vertex above that x goes before.
func (h expiryHeap) up(i int, x expiryItem) {
	for i > 0 {
		parent := (i - 1) / children
		if !x.before(h[parent]) {
			break
		}
		h.set(i, h[parent])
		i = parent
	}
	h.set(i, x)
}

// down stores x at i or at the place of the vertex below that goes before x, or above it.
func (h expiryHeap) down(i int, x expiryItem) {
	start := i
	for {
		first := children*i + 1
		if first >= len(h) {
			break
		}
		least := first
		for c := first + 1; c < min(first+children, len(h)); c++ {
			if h[c].before(h[least]) {
				least = c
			}
		}
		if !h[least].before(x) {
			break
		}
		h.set(i, h[least])
		i = least
	}
	if i == start {
		h.up(i, x)
		return
	}
	h.set(i, x)
}

func (h expiryHeap) set(i int, x expiryItem) {
	h[i] = x
	x.ticket.pos = i
}
