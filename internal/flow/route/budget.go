package route

import "time"

const (
	// retryShare is the number of retries allowed for each request offered.
	retryShare = 0.1
	// retryFloor is the number of retries in a window that is allowed at any rate,
	// so that a service with few requests can retry at all.
	retryFloor = 3
	// windowLen is the length of the sliding window in buckets of bucketTime, 10 s.
	windowLen  = 20
	bucketTime = 500 * time.Millisecond
)

// Budget limits the retries of one service to a tenth of the requests offered over a
// sliding window of 10 s. The zero value is ready for use.
type Budget struct {
	// The ring has one bucket more than the window: requests are counted in the
	// newest windowLen buckets and retries in all, so that rounding to buckets
	// never allows more than the share.
	offers, retries [windowLen + 1]int
	offered, retry  int
	// last is the number of the newest bucket since time zero.
	last int64
}

// Offer counts one request of a caller.
func (b *Budget) Offer(now time.Duration) {
	b.advance(now)
	b.offers[b.slot(b.last)]++
	b.offered++
}

// Allow reports whether a retry may be sent, and counts it if so.
func (b *Budget) Allow(now time.Duration) bool {
	b.advance(now)
	old := b.offers[b.slot(b.last+1)]
	most := max(int(retryShare*float64(b.offered-old)), retryFloor)
	if b.retry >= most {
		return false
	}
	b.retries[b.slot(b.last)]++
	b.retry++
	return true
}

// advance empties the buckets that have left the window.
func (b *Budget) advance(now time.Duration) {
	n := int64(now / bucketTime)
	steps := min(n-b.last, windowLen+1)
	for i := range max(steps, 0) {
		s := b.slot(n - i)
		b.offered -= b.offers[s]
		b.retry -= b.retries[s]
		b.offers[s] = 0
		b.retries[s] = 0
	}
	b.last = max(b.last, n)
}

// slot returns the place of a bucket in the ring.
func (b *Budget) slot(bucket int64) int {
	return int(bucket % (windowLen + 1))
}
