package admit

// flow sums up the services for the reserve. Rates are whole numbers so that sums which are
// adjusted for years stay exact.
type flow struct {
	unclaimed int   // guaranteed slots that the listed services do not use
	own       int   // slots in use by services within their share
	ownRate   int64 // their requests per 1e6 s
	rate      int64 // requests of all services that end per 1e6 s
}

// add adds a service, with n = -1 it takes it out before a change.
func (f *flow) add(s *service, n int) {
	rate := int64(n) * int64(s.running) * int64(1e6/s.run.mean)
	f.rate += rate
	if s.listed {
		f.unclaimed += n * max(s.guarantee-s.running, 0)
	}
	if s.rank() != lent {
		f.own += n * s.running
		f.ownRate += rate
	}
}

// mayWait is the part of the requests of services within their share that may find no free
// slot. It is under half of 1% because their p99 wait is to stay as if nothing was lent.
const mayWait = 0.004

// reserve returns the number of slots that lending leaves free. Slots are not preempted, so
// without it a service within its guaranteed share waits for a lent slot to come back.
//
// While borrowers take every slot beyond a reserve of n, the number of slots taken from the
// reserve is a birth-death process: up at the rate of requests within guaranteed shares, down
// at the rate at which running requests end. With p as the ratio of the rates, a request
// finds no free slot with probability p^n, and n - (p + ... + p^n) slots are free on average.
// The reserve is the least n for which the first is at most mayWait, unless the second would
// be more than part of the slots that borrowers could have.
func (f *flow) reserve(slots int, part float64) int {
	most := part * float64(slots-f.own)
	p := 0.0
	if f.rate > 0 {
		p = float64(f.ownRate) / float64(f.rate)
	}
	n := 0
	idle := 0.0
	for wait := 1.0; wait > mayWait && n < f.unclaimed; n++ {
		wait *= p
		idle += 1 - wait
		if idle > most {
			break
		}
	}
	return n
}
