// Package state computes an immutable state from the records of the control stream, and a
// verdict on each record. Readers that apply the same records at the same offsets reach
// the same states and verdicts.
package state

import (
	"iter"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
)

// State is the control state as of an offset. It is immutable: Apply returns a new State
// that shares all unchanged objects with the old one. The objects that the methods return
// must not be modified. The zero value is the state before the first record.
type State struct {
	applied   uint64
	epoch     uint64
	lastLeave uint64
	skipped   Skips
	lease     Lease
	removed   []Incarnation

	pools     table[*Pool]
	services  table[*Service]
	teams     table[*Team]
	instances table[*Instance]
	members   table[*Member]
	waves     table[*Wave]
	jobs      table[*Job]
	ids       verdictTable
	changes   verdictTable
	// endedJobs holds the names of ended jobs by the offset of their end.
	endedJobs tree[uint64, string]
}

// Skips holds the numbers of records that were skipped, by reason.
type Skips struct {
	// Malformed counts records without a valid id or with a missing field.
	Malformed uint64
	// Unknown counts records with a body that this version does not support.
	Unknown uint64
	// Newer counts records with a newer schema version. An entry must not plan if this
	// is above 0, because its state lacks the effect of those records.
	Newer uint64
}

func (s *Skips) code(c *coder) {
	c.u64(&s.Malformed)
	c.u64(&s.Unknown)
	c.u64(&s.Newer)
}

// New returns the state before the first record.
func New() *State { return &State{} }

// Applied returns the offset of the last applied record, 0 before the first one.
func (s *State) Applied() uint64 { return s.applied }

// Epoch returns the offset of the last accepted join, leave, evict or fence.
func (s *State) Epoch() uint64 { return s.epoch }

// LastLeave returns the offset of the last record by which a member left or was replaced
// by a new incarnation, 0 if there was none.
func (s *State) LastLeave() uint64 { return s.lastLeave }

// Skipped returns the counts of skipped records.
func (s *State) Skipped() Skips { return s.skipped }

// Lease returns the planner's lease. Its holder may no longer be an active member.
func (s *State) Lease() Lease { return s.lease }

// IsPlanner reports whether an incarnation is an active member that holds the planner's
// lease.
func (s *State) IsPlanner(i Incarnation) bool { return s.lease.Holder == i && s.isActive(i) }

// Pool returns a pool by its name.
func (s *State) Pool(name string) (*Pool, bool) { return s.pools.get(name) }

// Pools iterates over the pools in the order of their names.
func (s *State) Pools() iter.Seq[*Pool] { return s.pools.values() }

// Service returns a service by its name.
func (s *State) Service(name string) (*Service, bool) { return s.services.get(name) }

// Services iterates over the services in the order of their names.
func (s *State) Services() iter.Seq[*Service] { return s.services.values() }

// ServicesOf iterates over the services of a pool in the order of their names.
func (s *State) ServicesOf(pool string) iter.Seq[*Service] {
	return filter(s.Services(), func(v *Service) bool { return v.Pool == pool })
}

// Team returns a team by its name.
func (s *State) Team(name string) (*Team, bool) { return s.teams.get(name) }

// Teams iterates over the teams in the order of their names.
func (s *State) Teams() iter.Seq[*Team] { return s.teams.values() }

// Instance returns an instance by its name.
func (s *State) Instance(name string) (*Instance, bool) { return s.instances.get(name) }

// Instances iterates over the instances in the order of their names.
func (s *State) Instances() iter.Seq[*Instance] { return s.instances.values() }

// InstancesOf iterates over the instances of a pool in the order of their names.
func (s *State) InstancesOf(pool string) iter.Seq[*Instance] {
	return filter(s.Instances(), func(i *Instance) bool { return i.Pool == pool })
}

// Grant returns the grant that an instance is under.
func (s *State) Grant(instance string) (*Grant, bool) {
	i, ok := s.instances.get(instance)
	if !ok || i.Grant == nil {
		return nil, false
	}
	return i.Grant, true
}

// Counts returns the counts of instances in the pool of an instance, and in its rack and
// data centre within that pool, as the availability budget needs them.
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

// BudgetAllows reports whether the availability budget allows a drain of an instance. If
// not, it returns the scope whose limit forbids the drain.
func (s *State) BudgetAllows(i *Instance) (budget.Scope, bool) {
	p, ok := s.pools.get(i.Pool)
	if !ok {
		return budget.Pool, false
	}
	return budget.Allows(p.Budget, s.Counts(i), i.IsAvailable())
}

// PoolCount returns the counts of instances in a pool.
func (s *State) PoolCount(pool string) budget.Count {
	var n budget.Count
	for i := range s.InstancesOf(pool) {
		n = n.Add(i.count())
	}
	return n
}

// Member returns the member with a name.
func (s *State) Member(name string) (*Member, bool) { return s.members.get(name) }

// Members iterates over the members in the order of their names, including evicted ones.
func (s *State) Members() iter.Seq[*Member] { return s.members.values() }

// MemberCount returns the number of members, including evicted ones.
func (s *State) MemberCount() int { return s.members.size }

// Wave returns a wave by its name.
func (s *State) Wave(name string) (*Wave, bool) { return s.waves.get(name) }

// Waves iterates over the waves in the order of their names, including the last 16
// finished ones.
func (s *State) Waves() iter.Seq[*Wave] { return s.waves.values() }

// Job returns a job by its name.
func (s *State) Job(name string) (*Job, bool) { return s.jobs.get(name) }

// Jobs iterates over the jobs in the order of their names, including the last 1000 ended
// ones.
func (s *State) Jobs() iter.Seq[*Job] { return s.jobs.values() }

// JobCount returns the number of jobs, including the ended ones that are kept.
func (s *State) JobCount() int { return s.jobs.size }

// filter iterates over the elements for which a condition holds.
func filter[T any](seq iter.Seq[T], cond func(T) bool) iter.Seq[T] {
	return func(yield func(T) bool) {
		for v := range seq {
			if cond(v) && !yield(v) {
				return
			}
		}
	}
}
