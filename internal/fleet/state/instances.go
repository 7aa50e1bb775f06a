package state

import (
	"chervilgauge.example/chervilgauge/internal/fleet/budget"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// Phase is the phase of an instance.
type Phase uint8

// Phases of an instance.
const (
	// Serving instances accept work.
	Serving Phase = iota + 1
	// Draining instances get no new work and may have work in flight.
	Draining
	// Drained instances have no work. An instance that was moved stays drained until
	// it is observed to be up in its new pool.
	Drained
	// Restarting instances were ordered to reboot and have not returned.
	Restarting
)

// String returns the name of the phase.
func (p Phase) String() string {
	names := [...]string{"none", "serving", "draining", "drained", "restarting"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Health is the last observed health of an instance.
type Health uint8

// Health of an instance. Unknown means that there was no observation since the instance
// was registered or got another address, rack or data centre.
const (
	Unknown Health = iota
	Up
	Down
)

// String returns the name of the health.
func (h Health) String() string {
	names := [...]string{"unknown", "up", "down"}
	if int(h) < len(names) {
		return names[h]
	}
	return "unknown"
}

// Instance is a registered instance.
type Instance struct {
	Name string
	// Version is the offset of the last put, drain, move, return or cancellation.
	// Health records don't change it: they are frequent and would make operators'
	// changes conflict.
	Version uint64
	// Addr is the IP address and port of the endpoint.
	Addr string
	Pool string
	// Home is the last spare pool that the instance was in, empty if there was none. The
	// instance belongs to it also while it serves in another pool. The pool may have been
	// removed, or marked as not spare, since.
	Home   string
	Rack   string
	Centre string
	Slots  uint32
	Conns  uint32
	Phase  Phase
	Health Health
	// Boot is the newest observed boot number, 0 if none was observed.
	Boot uint64
	// Grant is the drain in progress, nil if there is none.
	Grant *Grant
}

// IsAvailable reports whether the instance is serving and its last observed health is up.
func (i *Instance) IsAvailable() bool { return i.Phase == Serving && i.Health == Up }

// IsArriving reports whether the instance was moved and has not been observed to be up
// in its new pool.
func (i *Instance) IsArriving() bool { return i.Grant != nil && i.Grant.Moved }

// WithHealth returns the instance with an observed health and boot number.
func (i *Instance) WithHealth(h Health, boot uint64) *Instance {
	n := *i
	n.Health, n.Boot = h, boot
	return &n
}

// WithPhase returns the instance with a phase and a grant, nil for no grant.
func (i *Instance) WithPhase(p Phase, g *Grant) *Instance {
	n := *i
	n.Phase, n.Grant = p, g
	return &n
}

// WithVersion returns the instance with another version.
func (i *Instance) WithVersion(version uint64) *Instance {
	n := *i
	n.Version = version
	return &n
}

// WithPool returns the instance in another pool.
func (i *Instance) WithPool(pool string) *Instance {
	n := *i
	n.Pool = pool
	return &n
}

// WithHome returns the instance with a spare pool as its home.
func (i *Instance) WithHome(pool string) *Instance {
	n := *i
	n.Home = pool
	return &n
}

func (i *Instance) key() string { return i.Name }

func (i *Instance) code(c *coder) {
	c.str(&i.Name)
	c.u64(&i.Version)
	c.str(&i.Addr)
	c.str(&i.Pool)
	c.str(&i.Home)
	c.str(&i.Rack)
	c.str(&i.Centre)
	c.u32(&i.Slots)
	c.u32(&i.Conns)
	codeEnum(c, &i.Phase)
	codeEnum(c, &i.Health)
	c.u64(&i.Boot)
	has := i.Grant != nil
	c.boolean(&has)
	if !has {
		return
	}
	if c.decode {
		i.Grant = &Grant{}
	}
	i.Grant.code(c)
}

// count returns what the instance adds to the budget counts of its pool, rack and data
// centre.
func (i *Instance) count() budget.Count {
	n := budget.Count{Size: 1}
	if i.IsAvailable() {
		n.Available = 1
	}
	if i.IsArriving() {
		n.Arriving = 1
	}
	return n
}

func (s *State) applyInstance(offset uint64, r *recpb.Instance) Verdict {
	if !isValidName(r.GetName()) {
		return malformed
	}
	old, ok := s.instances.get(r.GetName())
	var current uint64
	if ok {
		current = old.Version
	}
	if v, ok := checkBase(r.GetEdit(), current); !ok {
		return v
	}
	if r.GetEdit().GetRemove() {
		return s.removeInstance(old)
	}
	if r.GetAddr() == "" {
		return malformed
	}
	if _, ok := s.pools.get(r.GetPool()); !ok {
		return refused(NotFound)
	}
	n := &Instance{
		Name: r.GetName(), Version: offset, Addr: r.GetAddr(), Pool: r.GetPool(), Rack: r.GetRack(),
		Centre: r.GetCentre(), Slots: r.GetSlots(), Conns: r.GetConns(), Phase: Serving,
	}
	if ok {
		return s.replaceInstance(old, s.withSpareHome(n.WithHome(old.Home)))
	}
	s.setInstance(s.withSpareHome(n))
	return accepted
}

// withSpareHome returns the instance with its pool as its home if that is a spare pool,
// otherwise the instance as it is.
func (s *State) withSpareHome(i *Instance) *Instance {
	if p, ok := s.pools.get(i.Pool); ok && p.Spare {
		return i.WithHome(i.Pool)
	}
	return i
}

// replaceInstance refuses to change the address, rack or data centre of an available
// instance. Such a change resets the health to unknown and would make the instance
// unavailable without a check of the budget.
func (s *State) replaceInstance(old, n *Instance) Verdict {
	if old.Pool != n.Pool {
		return refused(PoolFixed)
	}
	if old.Grant != nil {
		return refused(UnderGrant)
	}
	if old.Addr == n.Addr && old.Rack == n.Rack && old.Centre == n.Centre {
		s.setInstance(n.WithHealth(old.Health, old.Boot))
		return accepted
	}
	if old.IsAvailable() {
		return refused(NotDrained)
	}
	s.setInstance(n)
	return accepted
}

// removeInstance refuses to remove an instance that is available, or that is draining
// and may have work in flight.
func (s *State) removeInstance(old *Instance) Verdict {
	if old == nil {
		return refused(NotFound)
	}
	if old.IsAvailable() || old.Phase == Draining {
		return refused(NotDrained)
	}
	s.instances = s.instances.unset(old.Name)
	return accepted
}

func (s *State) setInstance(i *Instance) { s.instances = s.instances.set(i) }

func (s *State) applyHealth(offset uint64, r *recpb.Health) Verdict {
	i, ok := s.instances.get(r.GetName())
	if !ok {
		return refused(NotFound)
	}
	// The instance list lags, so a lower boot number comes from an older observation.
	if r.GetBoot() < i.Boot {
		return refused(OldBoot)
	}
	h := Down
	if r.GetUp() {
		h = Up
	}
	n := i.WithHealth(h, r.GetBoot())
	if h == Up && n.IsArriving() {
		n = n.WithPhase(Serving, nil).WithVersion(offset)
	}
	s.setInstance(n)
	return accepted
}
