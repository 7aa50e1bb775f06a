package waves

// domain is a rack or data centre within a pool, or the whole pool if both are empty.
type domain struct {
	pool, rack, centre string
}

// ledger counts unavailable instances per domain against the budgets.
type ledger struct {
	budgets map[string]Budget
	out     map[domain]int
	// size counts the instances of each pool.
	size map[string]int
	// taken holds the instances chosen for draining by this call.
	taken map[string]bool
}

func newLedger(in Input) *ledger {
	l := &ledger{
		budgets: in.Budgets,
		out:     make(map[domain]int),
		size:    make(map[string]int),
		taken:   make(map[string]bool),
	}
	for i := range in.Instances {
		inst := &in.Instances[i]
		l.size[inst.Pool]++
		if inst.Available() {
			continue
		}
		l.charge(inst)
	}
	return l
}

func domains(i *Instance) [3]domain {
	return [3]domain{
		{pool: i.Pool},
		{pool: i.Pool, centre: i.Centre},
		{pool: i.Pool, rack: i.Rack, centre: i.Centre},
	}
}

func (l *ledger) charge(i *Instance) {
	for _, d := range domains(i) {
		l.out[d]++
	}
}

// limits returns the limits of the pool, a data centre and a rack, in instances.
// A separate limit never exceeds the wider one, because it could not be used up.
func (b Budget) limits() [3]int {
	centre := narrower(b.Centre, b.Total)
	return [3]int{b.Total, centre, narrower(b.Rack, centre)}
}

func narrower(limit, wider int) int {
	if limit <= 0 || limit > wider {
		return wider
	}
	return limit
}

// allows says whether one more instance like i may become unavailable.
func (l *ledger) allows(i *Instance) bool {
	limits := l.budgets[i.Pool].limits()
	for k, d := range domains(i) {
		if l.out[d] >= limits[k] {
			return false
		}
	}
	return true
}
