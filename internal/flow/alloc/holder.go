package alloc

import (
	"slices"
	"strings"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// Holder keeps the slots that one entry may use at all endpoints.
type Holder struct {
	self     Member
	view     View
	serial   uint64
	holdings map[string]*holding
	// unreported holds the endpoints that must be reported.
	unreported map[string]*holding
	// pool and nextStart are used by SetPoolDemand.
	pool      []*holding
	nextStart int
}

// holding is the part of one endpoint that the entry has.
type holding struct {
	instance  string
	allocator string
	listed    bool
	// slots is the number of slots of the endpoint over all entries.
	slots int
	// limit is the number of slots that the entry may use.
	limit    int
	inFlight int
	want     int
	// limitBefore is the limit before the latest reduction, until SetInFlight confirms that the
	// reduction is in force.
	limitBefore int
	// lastSerial is the serial of the latest ask under the epoch, 0 for none.
	lastSerial uint64
	// reportedWant and reportedHeld are the demand and the held slots in the latest ask.
	reportedWant, reportedHeld int
	// newWant is the demand while SetPoolDemand computes it.
	newWant int
}

// NewHolder returns the Holder of an entry, without slots.
func NewHolder(name string, incarnation uint64) *Holder {
	return &Holder{
		self:       Member{name, incarnation},
		holdings:   map[string]*holding{},
		unreported: map[string]*holding{},
	}
}

// SetView sets the members, and the number of slots of the endpoints by instance. A view of an
// older epoch is ignored. It returns the instances whose limit changed: the limit of an endpoint
// that is no longer listed becomes 0.
func (h *Holder) SetView(v View, targets map[string]int) []string {
	if v.Epoch < h.view.Epoch {
		return nil
	}
	fresh := v.Epoch > h.view.Epoch
	h.view = v
	for name, n := range targets {
		h.holdingFor(name).slots = n
	}
	var lost []string
	for name, s := range h.holdings {
		_, s.listed = targets[name]
		if fresh {
			h.reassign(s)
		}
		if s.listed {
			continue
		}
		s.want = 0
		if s.limit > 0 {
			h.setLimit(s, 0)
			lost = append(lost, name)
		}
		h.markIfChanged(s)
		h.removeReturned(s)
	}
	slices.Sort(lost)
	return lost
}

// reassign finds the allocator of the holding under a new epoch and marks the holding to be
// reported to it.
func (h *Holder) reassign(s *holding) {
	s.allocator = AllocatorOf(h.view, s.instance)
	s.lastSerial = 0
	s.reportedWant = 0
	s.reportedHeld = 0
	delete(h.unreported, s.instance)
	h.markIfChanged(s)
}

// SetWant sets the number of slots that the entry could use at the endpoint. Unknown instances are
// ignored.
func (h *Holder) SetWant(instance string, n int) {
	s, ok := h.holdings[instance]
	if !ok || !s.listed {
		return
	}
	s.want = max(n, 0)
	h.markIfChanged(s)
}

// SetInFlight sets the number of slots in use at the endpoint. The caller must read that number
// after it put the current Limit in force, since the call confirms a reduction.
func (h *Holder) SetInFlight(instance string, n int) {
	s, ok := h.holdings[instance]
	if !ok {
		return
	}
	s.inFlight = max(n, 0)
	s.limitBefore = 0
	h.markIfChanged(s)
	h.removeReturned(s)
}

// Limit returns the number of slots that the entry may use at the endpoint now.
func (h *Holder) Limit(instance string) int {
	s, ok := h.holdings[instance]
	if !ok {
		return 0
	}
	return s.limit
}

// Asks returns the next ask to each allocator, by its name. An ask without slots is sent as well,
// because its reply may contain a recall. Each ask is sent once; its reports are repeated in later
// asks until they are answered. Asks are due every 250 ms, and every 50 ms while requests of the
// entry wait for a slot.
func (h *Holder) Asks() map[string]*peerpb.SlotAsk {
	asks := h.ChangedAsks()
	for _, l := range [2][]Member{h.view.Active, h.view.Evicted} {
		for _, m := range l {
			if asks[m.Name] == nil {
				asks[m.Name] = h.newAsk()
			}
		}
	}
	return asks
}

// ChangedAsks returns the asks that have something to report, by allocator. They are due as soon as
// a change that ApplyReply returned is in force, since other entries may wait for the recalled
// slots.
func (h *Holder) ChangedAsks() map[string]*peerpb.SlotAsk {
	h.serial++
	asks := map[string]*peerpb.SlotAsk{}
	for _, s := range h.unreported {
		if s.allocator == "" {
			continue
		}
		a := asks[s.allocator]
		if a == nil {
			a = h.newAsk()
			asks[s.allocator] = a
		}
		a.Slots = append(a.Slots, h.makeReport(s))
	}
	for _, a := range asks {
		slices.SortFunc(a.Slots, func(x, y *peerpb.Slot) int {
			return strings.Compare(x.GetInstance(), y.GetInstance())
		})
	}
	return asks
}

// newAsk returns an ask without slots.
func (h *Holder) newAsk() *peerpb.SlotAsk {
	return &peerpb.SlotAsk{
		Name:        h.self.Name,
		Incarnation: h.self.Incarnation,
		Epoch:       h.view.Epoch,
	}
}

// makeReport returns the report about one holding and records what it contains.
func (h *Holder) makeReport(s *holding) *peerpb.Slot {
	s.lastSerial = h.serial
	s.reportedWant = s.want
	s.reportedHeld = s.held()
	return &peerpb.Slot{
		Instance: s.instance,
		Held:     uint32(s.reportedHeld),
		Want:     uint32(s.reportedWant),
		Serial:   h.serial,
	}
}

// ApplyReply applies the reply of an allocator and returns the instances whose limit changed.
// Replies of another epoch are ignored, and so are grants for an ask that is not the latest one
// about the endpoint.
func (h *Holder) ApplyReply(from string, r *peerpb.SlotReply) []string {
	if r.GetEpoch() != h.view.Epoch {
		return nil
	}
	var names []string
	for _, g := range r.GetGrants() {
		s := h.grantedHolding(from, g)
		if s == nil || g.GetSerial() != s.lastSerial {
			continue
		}
		_, open := h.unreported[s.instance]
		delete(h.unreported, s.instance)
		n := int(g.GetLimit())
		changed := n != s.limit && (s.listed || n < s.limit)
		if changed {
			h.setLimit(s, n)
			names = append(names, s.instance)
		}
		// A further grant for an ask that was answered before means that the allocator has counted
		// a grant without knowing whether it arrived. Only a new report corrects the count.
		if changed || !open {
			h.unreported[s.instance] = s
		}
		h.markIfChanged(s)
		h.removeReturned(s)
	}
	return names
}

// grantedHolding returns the holding that a grant applies to, or nil if the grant is not valid.
func (h *Holder) grantedHolding(from string, g *peerpb.Grant) *holding {
	s, ok := h.holdings[g.GetInstance()]
	if !ok || s.allocator != from {
		return nil
	}
	return s
}

// setLimit changes the limit. After a reduction, the previous limit counts as held until
// SetInFlight is called.
func (h *Holder) setLimit(s *holding, n int) {
	if n < s.limit {
		s.limitBefore = max(s.limitBefore, s.limit)
	}
	s.limit = n
}

// held returns the number of slots that are usable or in use.
func (s *holding) held() int {
	return max(s.limit, s.inFlight, s.limitBefore)
}

// markIfChanged marks the holding as unreported if it must be reported. An increase of the demand
// by one slot within the limit is not reported, since it moves no slot and is the most frequent
// change. A decrease is reported at once: requests move between the endpoints of a pool, and
// unreported decreases at each of them added up and left a busy entry short of slots.
func (h *Holder) markIfChanged(s *holding) {
	rise := s.want - s.reportedWant
	if rise == 1 && s.want <= s.limit {
		rise = 0
	}
	if s.held() != s.reportedHeld || rise != 0 {
		h.unreported[s.instance] = s
	}
}

// holdingFor returns the holding of the instance and creates it if needed.
func (h *Holder) holdingFor(instance string) *holding {
	s, ok := h.holdings[instance]
	if !ok {
		s = &holding{instance: instance, allocator: AllocatorOf(h.view, instance)}
		h.holdings[instance] = s
	}
	return s
}

// removeReturned removes a holding that is no longer listed, once all its slots are returned and
// the allocator has confirmed that.
func (h *Holder) removeReturned(s *holding) {
	_, open := h.unreported[s.instance]
	if s.listed || open || s.held() > 0 || s.reportedWant > 0 {
		return
	}
	delete(h.holdings, s.instance)
}
