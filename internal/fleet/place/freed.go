package place

// kept is the number of events that are kept. A queue that was last tried before them
// is tried again as a whole.
const kept = 64

// event says that resources came free on a worker and in a team's quota. Without a
// worker and a team, anything may have changed.
type event struct {
	worker *worker
	team   *team
}

func (p *Placer) freed(w *worker, t *team) {
	p.epoch++
	p.idle = false
	if len(p.events) == kept {
		copy(p.events, p.events[kept/2:])
		p.events = p.events[:kept/2]
	}
	p.events = append(p.events, event{w, t})
}

// unchanged says whether a need that nothing could serve at an epoch can not be served
// now either. Only what came free since then is looked at, which is what keeps a
// decision on a full fleet independent of the number of workers and queues.
func (p *Placer) unchanged(since uint64, need Amount, t *team, room bool) bool {
	n := p.epoch - since
	if since == 0 || n > uint64(len(p.events)) {
		return false
	}
	for _, e := range p.events[uint64(len(p.events))-n:] {
		if e.worker == nil || e.team == t {
			return false
		}
		if e.worker.gone {
			continue
		}
		at := &p.tree.nodes[p.tree.size+e.worker.index]
		if need.within(at.free) || room && need.within(at.room) {
			return false
		}
	}
	return true
}
