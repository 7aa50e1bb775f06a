// Package budget decides whether one more instance of a pool, rack or data centre
// may be taken out of service.
package budget

// Limits are the availability limits of a pool, in instances.
type Limits struct {
	// Total is the limit for the pool.
	Total uint32
	// Rack is the limit for each rack within the pool, 0 for no separate limit.
	Rack uint32
	// Centre is the limit for each data centre within the pool, 0 for no separate limit.
	Centre uint32
}

// Valid says whether the limits can ever allow an instance to be taken out.
func (l Limits) Valid() bool { return l.Total > 0 }

// Count is the number of instances in one scope, which is a pool, a rack of a pool
// or a data centre of a pool.
type Count struct {
	// Size is the number of instances.
	Size uint32
	// Available is the number of instances that serve and are known to be up.
	Available uint32
	// Arriving is the number of instances that were moved in and are not known to
	// be up yet. They are unavailable, but no planned action took them out here.
	Arriving uint32
}

// Unavailable returns the number of instances that are not available.
func (c Count) Unavailable() uint32 { return c.Size - c.Available }

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count {
	return Count{c.Size + o.Size, c.Available + o.Available, c.Arriving + o.Arriving}
}

// Sub returns the difference of two counts.
func (c Count) Sub(o Count) Count {
	return Count{c.Size - o.Size, c.Available - o.Available, c.Arriving - o.Arriving}
}

// Counts are the counts of the three scopes of one instance.
type Counts struct {
	Pool, Rack, Centre Count
}

// Scope names what a limit applies to.
type Scope uint8

// Scopes of limits. None means that no limit is reached.
const (
	None Scope = iota
	Pool
	Rack
	Centre
)

// String returns the name of the scope.
func (s Scope) String() string {
	switch s {
	case Pool:
		return "pool"
	case Rack:
		return "rack"
	case Centre:
		return "data centre"
	}
	return "none"
}

// Allows says whether an instance may be taken out, and which limit forbids it.
// The counts include the instance. An instance that is unavailable already is
// charged once, so that an instance that is down can be drained within the budget.
func Allows(l Limits, c Counts, available bool) (Scope, bool) {
	var add uint32
	if available {
		add = 1
	}
	switch {
	case c.Pool.Unavailable()+add > l.Total:
		return Pool, false
	case l.Rack > 0 && c.Rack.Unavailable()+add > l.Rack:
		return Rack, false
	case l.Centre > 0 && c.Centre.Unavailable()+add > l.Centre:
		return Centre, false
	}
	return None, true
}
