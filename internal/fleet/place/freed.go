package place

// maxEvents limits the number of stored events. A queue that was last tried before the
// oldest stored event is tried again without them.
const maxEvents = 64

// event records that resources became free on a worker and in a team's quota. If both are
// nil, anything may have changed.
type event struct {
	worker *worker
	team   *team
}

func (p *Placer) recordFreed(w *worker, t *team) {
	p.epoch++
	p.idle = false
	if len(p.events) == maxEvents {
		copy(p.events, p.events[maxEvents/2:])
		p.events = p.events[:maxEvents/2]
	}
	p.events = append(p.events, event{w, t})
}

// stillBlocked reports whether a need that could not be served at epoch since can't be
// served now either. It checks only the resources that became free since then, so the cost
// of a decision on a full fleet does not grow with the number of workers and queues.
// canPreempt is set if the job may preempt others.
func (p *Placer) stillBlocked(since uint64, need Amount, t *team, canPreempt bool) bool {
	n := p.epoch - since
	if since == 0 || n > uint64(len(p.events)) {
		return false
	}
	for _, e := range p.events[uint64(len(p.events))-n:] {
		if e.worker == nil || e.team == t {
			return false
		}
		if e.worker.removed {
			continue
		}
		at := &p.tree.nodes[p.tree.size+e.worker.index]
		if need.fitsIn(at.free) || canPreempt && need.fitsIn(at.preemptible) {
			return false
		}
	}
	return true
}
