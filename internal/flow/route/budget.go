package route

import "time"

const (
	// retryShare is the number of retries allowed for each request counted.
	retryShare = 0.1
	// minRetries is the number of retries that is always allowed in a window, so that a service
	// with few requests can retry at all.
	minRetries = 3
	// windowBuckets is the length of the sliding window, 10 s, in buckets of bucketLength.
	windowBuckets = 20
	bucketLength  = 500 * time.Millisecond
)

// RetryBudget limits the retries of one service to a tenth of its requests over a sliding window of
// 10 s. The zero value is ready for use.
type RetryBudget struct {
	// The ring has one bucket more than the window. Requests are counted in the newest
	// windowBuckets buckets and retries in all of them, so that rounding to buckets never allows
	// more retries than the share.
	requests, retries        [windowBuckets + 1]int
	requestCount, retryCount int
	// last is the number of the newest bucket, counted from time zero.
	last int64
}

// CountRequest counts one request of a caller.
func (b *RetryBudget) CountRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.ringIndex(b.last)]++
	b.requestCount++
}

// TakeRetry reports whether a retry may be sent, and counts the retry if so.
func (b *RetryBudget) TakeRetry(now time.Duration) bool {
	b.advance(now)
	oldest := b.requests[b.ringIndex(b.last+1)]
	limit := max(int(retryShare*float64(b.requestCount-oldest)), minRetries)
	if b.retryCount >= limit {
		return false
	}
	b.retries[b.ringIndex(b.last)]++
	b.retryCount++
	return true
}

// advance clears the buckets that have left the window.
func (b *RetryBudget) advance(now time.Duration) {
	n := int64(now / bucketLength)
	steps := min(n-b.last, windowBuckets+1)
	for i := range max(steps, 0) {
		s := b.ringIndex(n - i)
		b.requestCount -= b.requests[s]
		b.retryCount -= b.retries[s]
		b.requests[s] = 0
		b.retries[s] = 0
	}
	b.last = max(b.last, n)
}

// ringIndex returns the index of a bucket in the ring.
func (b *RetryBudget) ringIndex(bucket int64) int {
	return int(bucket % (windowBuckets + 1))
}
