package admit

// serviceTotals are the sums over all services that the reserve depends on. Rates are integers, so
// that sums that are adjusted for years stay exact.
type serviceTotals struct {
	unusedGuarantee int   // guaranteed slots that the listed services do not use
	ownRunning      int   // slots in use by services that do not borrow
	ownRate         int64 // requests of these services that end per 1e6 s
	rate            int64 // requests of all services that end per 1e6 s
}

// add adds the values of a service. With n = -1 it subtracts them, which is done before a change of
// the service.
func (t *serviceTotals) add(s *service, n int) {
	rate := int64(n) * int64(s.running) * int64(1e6/s.run.mean)
	t.rate += rate
	if s.listed {
		t.unusedGuarantee += n * max(s.guarantee-s.running, 0)
	}
	if s.currentTier() != borrowing {
		t.ownRunning += n * s.running
		t.ownRate += rate
	}
}

// maxWaitFraction is the fraction of the requests of services within their share that may find no
// free slot. It is below 0.5% so that borrowing does not raise the p99 wait of these services.
const maxWaitFraction = 0.004

// reserve returns the number of slots that borrowing services must leave free. Running requests are
// not preempted, so without a reserve a service within its guaranteed share waits for a borrowed
// slot to be freed.
//
// While borrowers use every slot beyond a reserve of n, the number of reserved slots in use is a
// birth-death process: it increases at the rate of requests within guaranteed shares and decreases
// at the rate at which running requests end. With p as the ratio of these rates, a request finds no
// free slot with probability p^n, and n - (p + ... + p^n) slots are free on average. The reserve is
// the smallest n with p^n of at most maxWaitFraction. It is smaller if the average number of free
// slots would otherwise exceed the given fraction of the slots that borrowers could use.
func (t *serviceTotals) reserve(slots int, fraction float64) int {
	limit := fraction * float64(slots-t.ownRunning)
	p := 0.0
	if t.rate > 0 {
		p = float64(t.ownRate) / float64(t.rate)
	}
	n := 0
	idle := 0.0
	for wait := 1.0; wait > maxWaitFraction && n < t.unusedGuarantee; n++ {
		wait *= p
		idle += 1 - wait
		if idle > limit {
			break
		}
	}
	return n
}
