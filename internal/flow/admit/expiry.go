package admit

import "container/heap"

// expiryHeap orders waiting tickets by expiry, then by arrival.
type expiryHeap []*Ticket

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if h[i].expiry != h[j].expiry {
		return h[i].expiry < h[j].expiry
	}
	return h[i].seq < h[j].seq
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos = i
	h[j].pos = j
}

// Push appends the *Ticket x.
func (h *expiryHeap) Push(x any) {
	t := x.(*Ticket)
	t.pos = len(*h)
	*h = append(*h, t)
}

// Pop removes the last ticket.
func (h *expiryHeap) Pop() any {
	old := *h
	n := len(old) - 1
	t := old[n]
	old[n] = nil
	*h = old[:n]
	t.pos = -1
	return t
}

func (h *expiryHeap) add(t *Ticket) { heap.Push(h, t) }

func (h *expiryHeap) remove(t *Ticket) { heap.Remove(h, t.pos) }
