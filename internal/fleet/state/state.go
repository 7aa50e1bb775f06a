// Package state folds the control stream into an immutable state. Every reader that
// applies the same records at the same offsets reaches the same state and verdicts.
package state

import (
	"iter"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
)

// State is the folded control state as of an offset. It is immutable: Apply returns
// a new State that shares all that did not change. The objects that it returns must
// not be modified. The zero value is the state before the first record.
type State struct {
	applied uint64
	epoch   uint64
	left    uint64
	skipped Skips
	lease   Lease
	gone    []Incarnation

	pools     table[*Pool]
	services  table[*Service]
	teams     table[*Team]
	instances table[*Instance]
	members   table[*Member]
	waves     table[*Wave]
	jobs      table[*Job]
	ids       memory
	changes   memory
	// ended holds the names of ended jobs by the offset of their end.
	ended tree[uint64, string]
}

// Skips counts the records that were skipped.
type Skips struct {
	// Malformed counts records without a valid id or with a missing field.
	Malformed uint64
	// Unknown counts records with a body that this version does not know.
	Unknown uint64
	// Newer counts records with a newer schema version. An entry whose state has
	// skipped any must not plan.
	Newer uint64
}

func (k *Skips) code(c *coder) {
	c.u64(&k.Malformed)
	c.u64(&k.Unknown)
	c.u64(&k.Newer)
}

// New returns the state before the first record.
func New() *State { return &State{} }

// Applied returns the offset of the last applied record, 0 before the first one.
func (s *State) Applied() uint64 { return s.applied }

// Epoch returns the offset of the last accepted join, leave, evict or fence.
func (s *State) Epoch() uint64 { return s.epoch }

// Left returns the offset of the last accepted leave, 0 if there was none.
func (s *State) Left() uint64 { return s.left }

// Skipped returns the counts of skipped records.
func (s *State) Skipped() Skips { return s.skipped }

// Lease returns the planner's lease. Its holder may no longer be an active member.
func (s *State) Lease() Lease { return s.lease }

// Planner says whether an incarnation is an active member that holds the lease.
func (s *State) Planner(i Incarnation) bool { return s.lease.Holder == i && s.active(i) }

// Pool returns a pool.
func (s *State) Pool(name string) (*Pool, bool) { return s.pools.get(name) }

// Pools iterates over the pools by name.
func (s *State) Pools() iter.Seq[*Pool] { return s.pools.values() }

// Service returns a service.
func (s *State) Service(name string) (*Service, bool) { return s.services.get(name) }

// Services iterates over the services by name.
func (s *State) Services() iter.Seq[*Service] { return s.services.values() }

// ServicesOf iterates over the services of a pool by name.
func (s *State) ServicesOf(pool string) iter.Seq[*Service] {
	return where(s.Services(), func(v *Service) bool { return v.Pool == pool })
}

// Team returns a team.
func (s *State) Team(name string) (*Team, bool) { return s.teams.get(name) }

// Teams iterates over the teams by name.
func (s *State) Teams() iter.Seq[*Team] { return s.teams.values() }

// Instance returns an instance.
func (s *State) Instance(name string) (*Instance, bool) { return s.instances.get(name) }

// Instances iterates over the instances by name.
func (s *State) Instances() iter.Seq[*Instance] { return s.instances.values() }

// InstancesOf iterates over the instances of a pool by name.
func (s *State) InstancesOf(pool string) iter.Seq[*Instance] {
	return where(s.Instances(), func(i *Instance) bool { return i.Pool == pool })
}

// Grant returns the grant that an instance is under.
func (s *State) Grant(instance string) (*Grant, bool) {
	i, ok := s.instances.get(instance)
	if !ok || i.Grant == nil {
		return nil, false
	}
	return i.Grant, true
}

// Counts returns the counts of an instance's pool and of its rack and data centre
// within the pool, as the availability budget counts them.
func (s *State) Counts(i *Instance) budget.Counts {
	var n budget.Counts
	for o := range s.InstancesOf(i.Pool) {
		one := o.count()
		n.Pool = n.Pool.Add(one)
		if o.Rack == i.Rack && o.Centre == i.Centre {
			n.Rack = n.Rack.Add(one)
		}
		if o.Centre == i.Centre {
			n.Centre = n.Centre.Add(one)
		}
	}
	return n
}

// Allows says whether the availability budget allows a drain of an instance, and
// which limit forbids it.
func (s *State) Allows(i *Instance) (budget.Scope, bool) {
	p, ok := s.pools.get(i.Pool)
	if !ok {
		return budget.Pool, false
	}
	return budget.Allows(p.Budget, s.Counts(i), i.Available())
}

// PoolCount returns the count of a pool.
func (s *State) PoolCount(pool string) budget.Count {
	var n budget.Count
	for i := range s.InstancesOf(pool) {
		n = n.Add(i.count())
	}
	return n
}

// Member returns the member of a name.
func (s *State) Member(name string) (*Member, bool) { return s.members.get(name) }

// Members iterates over the members by name, those in eviction included.
func (s *State) Members() iter.Seq[*Member] { return s.members.values() }

// MemberCount returns the number of members, those in eviction included.
func (s *State) MemberCount() int { return s.members.size }

// Wave returns a wave.
func (s *State) Wave(name string) (*Wave, bool) { return s.waves.get(name) }

// Waves iterates over the waves by name. Finished ones are kept for some time.
func (s *State) Waves() iter.Seq[*Wave] { return s.waves.values() }

// Job returns a job.
func (s *State) Job(name string) (*Job, bool) { return s.jobs.get(name) }

// Jobs iterates over the jobs by name. Ended ones are kept for some time.
func (s *State) Jobs() iter.Seq[*Job] { return s.jobs.values() }

// JobCount returns the number of jobs, those that ended and are kept included.
func (s *State) JobCount() int { return s.jobs.size }

// where iterates over the elements that a condition holds for.
func where[T any](seq iter.Seq[T], cond func(T) bool) iter.Seq[T] {
	return func(yield func(T) bool) {
		for v := range seq {
			if cond(v) && !yield(v) {
				return
			}
		}
	}
}
