package share

import (
	"slices"
	"strings"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// Holder is one entry's part of the slots of all endpoints.
type Holder struct {
	self   Member
	view   View
	serial uint64
	slots  map[string]*holding
	// changed holds the endpoints that must be reported.
	changed map[string]*holding
	// pool and turn are used by Demand.
	pool []*holding
	turn int
}

// holding is the holder's part of one endpoint.
type holding struct {
	instance  string
	custodian string
	listed    bool
	// slots is the number of slots of the endpoint over all entries.
	slots int
	// limit is the number of slots that the entry may use.
	limit  int
	flight int
	want   int
	// before is the limit before the last reduction until InFlight confirms that
	// the reduction is in force.
	before int
	// asked is the serial of the latest ask under the epoch, 0 for none.
	asked uint64
	// told is the demand in the latest ask and heldTold the holding in it.
	told, heldTold int
	// next is the demand that is being computed.
	next int
}

// NewHolder returns the Holder of an entry, without slots.
func NewHolder(name string, incarnation uint64) *Holder {
	return &Holder{
		self:    Member{name, incarnation},
		slots:   map[string]*holding{},
		changed: map[string]*holding{},
	}
}

// Epoch sets the members and the slots of the endpoints by instance. A view of an older epoch is ignored. It returns the instances whose
// limit changed: an endpoint that is no longer listed is left with limit 0.
func (h *Holder) Epoch(v View, targets map[string]int) []string {
	if v.Epoch < h.view.Epoch {
		return nil
	}
	fresh := v.Epoch > h.view.Epoch
	h.view = v
	for name, n := range targets {
		h.holding(name).slots = n
	}
	var lost []string
	for name, s := range h.slots {
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
		h.mark(s)
		h.forget(s)
	}
	slices.Sort(lost)
	return lost
}

// reassign makes the holding known to its custodian under a new epoch.
func (h *Holder) reassign(s *holding) {
	s.custodian = CustodianOf(h.view, s.instance)
	s.asked = 0
	s.told = 0
	s.heldTold = 0
	delete(h.changed, s.instance)
	h.mark(s)
}

// Want sets the number of slots that the entry could use at the endpoint. Unknown
// instances are ignored.
func (h *Holder) Want(instance string, n int) {
	s, ok := h.slots[instance]
	if !ok || !s.listed {
		return
	}
	s.want = max(n, 0)
	h.mark(s)
}

// InFlight sets the number of slots in use at the endpoint. It must be read after
// the present Limit was put into force, since it confirms a reduction.
func (h *Holder) InFlight(instance string, n int) {
	s, ok := h.slots[instance]
	if !ok {
		return
	}
	s.flight = max(n, 0)
	s.before = 0
	h.mark(s)
	h.forget(s)
}

// Limit returns the number of slots that the entry may use at the endpoint now.
func (h *Holder) Limit(instance string) int {
	s, ok := h.slots[instance]
	if !ok {
		return 0
	}
	return s.limit
}

// Asks returns the next ask to each custodian, by its name. An ask with no slots is
// sent as well, because its answer may carry a recall. An ask is sent once; what it
// reports is repeated in later asks until it is answered. Asks are due every 250 ms,
// and every 50 ms while requests of the entry wait for a slot.
func (h *Holder) Asks() map[string]*peerpb.SlotAsk {
	asks := h.Reports()
	for _, l := range [2][]Member{h.view.Active, h.view.Evicted} {
		for _, m := range l {
			if asks[m.Name] == nil {
				asks[m.Name] = h.ask()
			}
		}
	}
	return asks
}

// Reports returns the asks that have something to report, by custodian. They are due
// at once when Take has returned a change and it was put into force, since others may
// wait for the slots recalled.
func (h *Holder) Reports() map[string]*peerpb.SlotAsk {
	h.serial++
	asks := map[string]*peerpb.SlotAsk{}
	for _, s := range h.changed {
		if s.custodian == "" {
			continue
		}
		a := asks[s.custodian]
		if a == nil {
			a = h.ask()
			asks[s.custodian] = a
		}
		a.Slots = append(a.Slots, h.report(s))
	}
	for _, a := range asks {
		slices.SortFunc(a.Slots, func(x, y *peerpb.Slot) int {
			return strings.Compare(x.GetInstance(), y.GetInstance())
		})
	}
	return asks
}

// ask returns an ask without slots.
func (h *Holder) ask() *peerpb.SlotAsk {
	return &peerpb.SlotAsk{
		Name:        h.self.Name,
		Incarnation: h.self.Incarnation,
		Epoch:       h.view.Epoch,
	}
}

// report returns the message about one holding and notes what it says.
func (h *Holder) report(s *holding) *peerpb.Slot {
	s.asked = h.serial
	s.told = s.want
	s.heldTold = s.held()
	return &peerpb.Slot{
		Instance: s.instance,
		Held:     uint32(s.heldTold),
		Want:     uint32(s.told),
		Serial:   h.serial,
	}
}

// Take applies the answer of a custodian and returns the instances whose limit
// changed. Answers of another epoch or to an ask that is not the latest one about
// the endpoint are ignored.
func (h *Holder) Take(from string, r *peerpb.SlotReply) []string {
	if r.GetEpoch() != h.view.Epoch {
		return nil
	}
	var names []string
	for _, g := range r.GetGrants() {
		s := h.granted(from, g)
		if s == nil || g.GetSerial() != s.asked {
			continue
		}
		_, open := h.changed[s.instance]
		delete(h.changed, s.instance)
		n := int(g.GetLimit())
		changed := n != s.limit && (s.listed || n < s.limit)
		if changed {
			h.setLimit(s, n)
			names = append(names, s.instance)
		}
		// A grant after the first one for an ask says that the custodian counts
		// with a grant that it cannot know to have arrived; only a report settles it.
		if changed || !open {
			h.changed[s.instance] = s
		}
		h.mark(s)
		h.forget(s)
	}
	return names
}

// granted returns the holding that a grant is about, or nil if it is not valid.
func (h *Holder) granted(from string, g *peerpb.Grant) *holding {
	s, ok := h.slots[g.GetInstance()]
	if !ok || s.custodian != from {
		return nil
	}
	return s
}

// setLimit changes the limit. What was usable before a reduction counts as held
// until InFlight is called.
func (h *Holder) setLimit(s *holding, n int) {
	if n < s.limit {
		s.before = max(s.before, s.limit)
	}
	s.limit = n
}

// held returns the number of slots that are usable or in use.
func (s *holding) held() int {
	return max(s.limit, s.flight, s.before)
}

// mark notes whether the holding must be reported. A rise in demand by one slot that
// the limit covers is not, since it moves nothing and is most of the changes. A lower
// demand is reported at once: requests move between the endpoints of a pool, and
// demands held back at each of them added up and kept a busy entry short of slots.
func (h *Holder) mark(s *holding) {
	rise := s.want - s.told
	if rise == 1 && s.want <= s.limit {
		rise = 0
	}
	if s.held() != s.heldTold || rise != 0 {
		h.changed[s.instance] = s
	}
}

// holding returns the holding of the instance and creates it if needed.
func (h *Holder) holding(instance string) *holding {
	s, ok := h.slots[instance]
	if !ok {
		s = &holding{instance: instance, custodian: CustodianOf(h.view, instance)}
		h.slots[instance] = s
	}
	return s
}

// forget drops a holding that is no longer listed once all of it was returned and
// the custodian knows.
func (h *Holder) forget(s *holding) {
	_, open := h.changed[s.instance]
	if s.listed || open || s.held() > 0 || s.told > 0 {
		return
	}
	delete(h.slots, s.instance)
}
