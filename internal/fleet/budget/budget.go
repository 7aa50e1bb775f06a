// Package budget decides whether the availability limits of a pool allow one more of its
// instances to be taken out of service.
package budget

// Limits are the maximum numbers of unavailable instances of a pool.
type Limits struct {
	// Total is the limit for the pool.
	Total uint32
	// Rack is the limit for each rack within the pool, 0 for no separate limit.
	Rack uint32
	// Centre is the limit for each data centre within the pool, 0 for no separate limit.
	Centre uint32
}

// IsValid reports whether the limits can ever allow an instance to be taken out of service.
func (l Limits) IsValid() bool { return l.Total > 0 }

// Count holds the numbers of instances in one scope, which is a pool, a rack of a pool or
// a data centre of a pool.
type Count struct {
	// Size is the number of instances.
	Size uint32
	// Available is the number of instances that are serving and were observed to be up.
	Available uint32
	// Arriving is the number of instances that were moved in and have not been observed
	// to be up since. They are unavailable, but no drain in this scope made them so.
	Arriving uint32
}

// Unavailable returns the number of instances that are not available.
func (c Count) Unavailable() uint32 { return c.Size - c.Available }

// Add returns the sum of two counts, field by field.
func (c Count) Add(o Count) Count {
	return Count{c.Size + o.Size, c.Available + o.Available, c.Arriving + o.Arriving}
}

// Sub returns the difference of two counts, field by field.
func (c Count) Sub(o Count) Count {
	return Count{c.Size - o.Size, c.Available - o.Available, c.Arriving - o.Arriving}
}

// Counts holds the counts of the three scopes that include one instance.
type Counts struct {
	Pool, Rack, Centre Count
}

// Scope is the scope of a limit.
type Scope uint8

// Scopes of limits. None means that no limit would be exceeded.
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

// Allows reports whether an instance may be taken out of service. If not, it returns the
// scope whose limit forbids it, otherwise None. The counts must include the instance. An
// instance that is unavailable already is not counted a second time, so that an instance
// that is down can be drained within the limits.
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
