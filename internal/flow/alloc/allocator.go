package alloc

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilgauge.example/chervilgauge/internal/wire/peerpb"
)

// Allocator divides the slots of the endpoints that one entry is responsible for.
type Allocator struct {
	name   string
	maxRun time.Duration
	view   View
	// complete is set when all slots of each endpoint are available.
	complete  bool
	holders   map[Member]*holderState
	endpoints map[string]*endpoint
	parts     []part
}

// holderState is the state of one active member as a holder.
type holderState struct {
	reported bool
	// serial is the largest serial processed.
	serial uint64
	// rankSeed is the hash of the member, from which its ranks are computed.
	rankSeed uint64
	// pending holds the endpoints for which the member has not yet confirmed its limit.
	pending map[*endpoint]struct{}
}

// endpoint is the division of the slots of one endpoint.
type endpoint struct {
	instance string
	hash     uint64
	slots    int
	// reported is the sum of the held slots in the first reports under the epoch.
	reported    int
	allocations map[*holderState]*allocation
	// allocated is the sum of the bounds.
	allocated int
}

// allocation is the part of one endpoint that one member has.
type allocation struct {
	held, want int
	serial     uint64
	// bound is the most that the member can hold: the larger of its latest report and the grants
	// made since.
	bound int
}

// NewAllocator returns the Allocator of an entry. The slots of a fenced member are held back for
// maxRun, the longest run time of a request.
func NewAllocator(name string, maxRun time.Duration) *Allocator {
	return &Allocator{
		name:      name,
		maxRun:    maxRun,
		holders:   map[Member]*holderState{},
		endpoints: map[string]*endpoint{},
	}
}

// SetView sets the members, and the number of slots of all endpoints by instance. A view of an
// older epoch is ignored. A newer epoch restarts the collection of reports.
func (al *Allocator) SetView(now time.Duration, v View, targets map[string]int) {
	if v.Epoch < al.view.Epoch {
		return
	}
	if v.Epoch > al.view.Epoch {
		al.reset(v)
	}
	for name, n := range targets {
		if AllocatorOf(v, name) == al.name {
			al.endpointFor(name).slots = n
		}
	}
	for name, e := range al.endpoints {
		if _, ok := targets[name]; !ok {
			e.slots = 0
		}
	}
	al.checkComplete(now)
	al.updateAllPending()
}

// reset clears everything that was reported under the previous epoch.
func (al *Allocator) reset(v View) {
	al.view = v
	al.complete = false
	clear(al.holders)
	clear(al.endpoints)
	for _, m := range v.Active {
		al.holders[m] = &holderState{
			rankSeed: mixBits(xxhash.Sum64String(m.Name) ^ m.Incarnation),
			pending:  map[*endpoint]struct{}{},
		}
	}
}

// checkComplete checks whether the slots of each endpoint are all accounted for.
func (al *Allocator) checkComplete(now time.Duration) {
	if al.complete || len(al.view.Evicted) > 0 {
		return
	}
	for _, f := range al.view.Fenced {
		if now < f.At+al.maxRun {
			return
		}
	}
	for _, h := range al.holders {
		if !h.reported {
			return
		}
	}
	al.complete = true
	al.updateAllPending()
}

// IsComplete reports whether all slots can be allocated: each active member has reported under the
// epoch and no slots are held back.
func (al *Allocator) IsComplete() bool { return al.complete }

// MembersToNotify returns the sorted names of the active members that have not yet confirmed a
// limit.
func (al *Allocator) MembersToNotify() []string {
	var names []string
	for m, h := range al.holders {
		if len(h.pending) > 0 {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// HandleAsk processes an ask and returns the limits that the asking entry has not yet confirmed.
// The reply to an ask of another epoch, or of an entry that is not active, contains only the epoch.
func (al *Allocator) HandleAsk(now time.Duration, a *peerpb.SlotAsk) *peerpb.SlotReply {
	r := &peerpb.SlotReply{Epoch: al.view.Epoch}
	h := al.holders[Member{a.GetName(), a.GetIncarnation()}]
	if h == nil || a.GetEpoch() != al.view.Epoch {
		return r
	}
	first := !h.reported
	h.reported = true
	var asked []*endpoint
	for _, s := range a.GetSlots() {
		e := al.endpointFor(s.GetInstance())
		if s.GetSerial() < h.serial || !e.recordReport(h, s) {
			continue
		}
		h.serial = s.GetSerial()
		if first {
			e.reported += int(s.GetHeld())
		}
		asked = append(asked, e)
	}
	al.checkComplete(now)
	for _, e := range asked {
		al.updatePending(e)
		h.pending[e] = struct{}{}
	}
	for e := range h.pending {
		r.Grants = append(r.Grants, al.makeGrant(h, e))
	}
	slices.SortFunc(r.Grants, func(a, b *peerpb.Grant) int {
		return strings.Compare(a.GetInstance(), b.GetInstance())
	})
	return r
}

// recordReport stores the report of a member about the endpoint. It returns false if a newer one
// was stored before.
func (e *endpoint) recordReport(h *holderState, s *peerpb.Slot) bool {
	a := e.allocationOf(h)
	if s.GetSerial() <= a.serial {
		return false
	}
	a.serial = s.GetSerial()
	a.held = int(s.GetHeld())
	a.want = int(s.GetWant())
	e.allocated += a.held - a.bound
	a.bound = a.held
	return true
}

// makeGrant returns the current limit of the member and counts it as allocated.
func (al *Allocator) makeGrant(h *holderState, e *endpoint) *peerpb.Grant {
	a := e.allocationOf(h)
	n := al.limitFor(h, e)
	if n > a.bound {
		e.allocated += n - a.bound
		a.bound = n
	}
	if a.isSettled(n) {
		delete(h.pending, e)
	}
	return &peerpb.Grant{
		Instance: e.instance,
		Limit:    uint32(n),
		Serial:   a.serial,
	}
}

// limitFor returns the limit that may be granted to the member now: its share, as far as it is not
// allocated to others.
func (al *Allocator) limitFor(h *holderState, e *endpoint) int {
	al.computeParts(e)
	for i := range al.parts {
		if al.parts[i].holder == h {
			return al.allowedNow(e, &al.parts[i])
		}
	}
	return 0
}

// allowedNow returns the share in x, as far as it is not allocated to others.
func (al *Allocator) allowedNow(e *endpoint, x *part) int {
	if x.granted <= x.held {
		return x.granted
	}
	free := max(al.available(e)-e.allocated, 0)
	return min(x.granted, x.held+free)
}

// computeParts computes the division of the slots of the endpoint into c.parts.
func (al *Allocator) computeParts(e *endpoint) {
	al.parts = al.parts[:0]
	for _, h := range al.holders {
		if !h.reported {
			continue
		}
		x := part{holder: h, rank: mixBits(h.rankSeed ^ e.hash)}
		if a := e.allocations[h]; a != nil {
			x.want = a.want
			x.held = a.bound
		}
		al.parts = append(al.parts, x)
	}
	divide(al.available(e), al.parts)
}

// updatePending marks the members whose limit at the endpoint differs from what they last
// confirmed.
func (al *Allocator) updatePending(e *endpoint) {
	al.computeParts(e)
	for i := range al.parts {
		x := &al.parts[i]
		if e.allocationOf(x.holder).isSettled(al.allowedNow(e, x)) {
			delete(x.holder.pending, e)
			continue
		}
		x.holder.pending[e] = struct{}{}
	}
}

// updateAllPending updates all endpoints and removes those that have no slots, no holders and no
// demand.
func (al *Allocator) updateAllPending() {
	for name, e := range al.endpoints {
		al.updatePending(e)
		if e.slots == 0 && e.isIdle() {
			al.removeEndpoint(name, e)
		}
	}
}

// removeEndpoint removes an endpoint.
func (al *Allocator) removeEndpoint(name string, e *endpoint) {
	delete(al.endpoints, name)
	for _, h := range al.holders {
		delete(h.pending, e)
	}
}

// available returns the number of slots of the endpoint that may be allocated in total.
func (al *Allocator) available(e *endpoint) int {
	if al.complete {
		return e.slots
	}
	return min(e.reported, e.slots)
}

// endpointFor returns the endpoint on the instance and creates it, without slots, if needed.
func (al *Allocator) endpointFor(instance string) *endpoint {
	e, ok := al.endpoints[instance]
	if !ok {
		e = &endpoint{
			instance:    instance,
			hash:        xxhash.Sum64String(instance),
			allocations: map[*holderState]*allocation{},
		}
		al.endpoints[instance] = e
	}
	return e
}

// allocationOf returns the allocation of the member and creates it if needed.
func (e *endpoint) allocationOf(h *holderState) *allocation {
	a, ok := e.allocations[h]
	if !ok {
		a = &allocation{}
		e.allocations[h] = a
	}
	return a
}

// isSettled reports whether the member is known to have exactly n slots.
func (a *allocation) isSettled(n int) bool {
	return n == a.held && n == a.bound
}

// isIdle reports whether no member holds or wants slots of the endpoint.
func (e *endpoint) isIdle() bool {
	for _, a := range e.allocations {
		if a.bound > 0 || a.want > 0 {
			return false
		}
	}
	return true
}

// mixBits distributes the bits of a rank; it is the finalizer of the splitmix64 generator.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
