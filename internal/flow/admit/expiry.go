package admit

import "time"

// expiryHeap orders waiting tickets by expiry, then by arrival. container/heap reads two tickets
// for each comparison; with 100,000 waiting tickets these cache misses took most of the time of a
// decision. Here the keys are stored in the slice itself and each node has four children, so that
// one level of the heap costs about one cache line.
type expiryHeap []expiryItem

type expiryItem struct {
	at     time.Duration
	ticket *Ticket
}

// arity is the number of children of a heap node.
const arity = 4

func (a expiryItem) before(b expiryItem) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.ticket.seq < b.ticket.seq
}

func (h *expiryHeap) add(t *Ticket) {
	x := expiryItem{at: t.expiry, ticket: t}
	*h = append(*h, x)
	h.siftUp(len(*h)-1, x)
}

func (h *expiryHeap) remove(t *Ticket) {
	n := len(*h) - 1
	last := (*h)[n]
	(*h)[n] = expiryItem{}
	*h = (*h)[:n]
	if t.pos < n {
		h.siftDown(t.pos, last)
	}
	t.pos = -1
}

// siftUp stores x at i or at the ancestor of i where the heap order holds.
func (h expiryHeap) siftUp(i int, x expiryItem) {
	for i > 0 {
		parent := (i - 1) / arity
		if !x.before(h[parent]) {
			break
		}
		h.set(i, h[parent])
		i = parent
	}
	h.set(i, x)
}

// siftDown stores x at i, or below or above it, where the heap order holds.
func (h expiryHeap) siftDown(i int, x expiryItem) {
	start := i
	for {
		first := arity*i + 1
		if first >= len(h) {
			break
		}
		least := first
		for c := first + 1; c < min(first+arity, len(h)); c++ {
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
		h.siftUp(i, x)
		return
	}
	h.set(i, x)
}

func (h expiryHeap) set(i int, x expiryItem) {
	h[i] = x
	x.ticket.pos = i
}
