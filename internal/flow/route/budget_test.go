package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// simulateOutage sends one request per millisecond for a minute to a pool that fails every attempt,
// with up to three retries per request. It returns the attempts per request, over the whole minute
// and in the worst 10 s.
func simulateOutage(allow func(now time.Duration) bool, offer func(now time.Duration)) (mean, worst float64) {
	var at []int
	total := 0
	for ms := range 60000 {
		now := time.Duration(ms) * time.Millisecond
		offer(now)
		n := 1
		for n < 4 && allow(now) {
			n++
		}
		total += n
		at = append(at, total)
		if ms >= 10000 {
			worst = max(worst, float64(total-at[ms-10000])/10000)
		}
	}
	return float64(total) / 60000, worst
}

// Guards against retries that multiply the load of a pool during an outage.
func TestOutageLoad(t *testing.T) {
	var b RetryBudget
	mean, worst := simulateOutage(b.TakeRetry, b.CountRequest)
	assert.Assert(t, mean <= 1.1 && worst <= 1.1, "mean %.3f, worst 10 s %.3f", mean, worst)
	always := func(time.Duration) bool { return true }
	unlimited, _ := simulateOutage(always, func(time.Duration) {})
	assert.Equal(t, unlimited, 4.0)
	t.Logf("attempts per request: budget mean %.3f, worst 10 s %.3f; unlimited %.3f", mean, worst, unlimited)
}

// Guards against bucket arithmetic that allows more retries than the share in a window that ends at
// a retry. Compares with a list of the times of all requests and retries.
func TestBudgetWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		var offers, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			for range rapid.IntRange(0, 60).Draw(t, "offers") {
				b.CountRequest(now)
				offers = append(offers, now)
			}
			for b.TakeRetry(now) {
				retries = append(retries, now)
				most := max(countWithin(offers, now)/10, minRetries)
				assert.Assert(t, countWithin(retries, now) <= most)
			}
		}
	})
}

func countWithin(times []time.Duration, now time.Duration) int {
	n := 0
	for _, x := range times {
		n += boolToInt(x > now-10*time.Second)
	}
	return n
}
