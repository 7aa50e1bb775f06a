// Package guard keeps the connections of an entry, and what it holds for unfinished requests, within
// the memory and the descriptors of its machine. It closes the connections that hold the most or have
// made no progress for longest, rather than refuse new ones.
package guard

import "time"

const (
	// DefaultMemory is the memory in MiB of an entry whose settings don't say it: that of the smallest
	// instance.
	DefaultMemory = 184
	// defaultDescriptors is the number of descriptors of an entry whose settings don't say it: that of
	// the smallest instance.
	defaultDescriptors = 4100

	// softShare is the share of the memory that is the collector's soft limit. All budgets and
	// baseBytes fit below it.
	softShare = 0.6
	// baseBytes is the memory of the program without clients and jobs: 23 MiB resident.
	baseBytes = 24 << 20
	// connBytes is the memory of an idle connection: 3,000 of them took 13 to 16 KB each.
	connBytes = 16 << 10
	// connShare, heldShare, decodeShare and jobShare are the shares of the memory for connections, for
	// unfinished requests, for decoding and for the leader's jobs.
	connShare, heldShare, decodeShare, jobShare = 0.12, 0.08, 0.07, 0.25
	// maxConnBytes, maxHeldBytes and maxDecodeBytes are budgets above which more memory serves
	// no ordinary client, and is left to the leader's jobs.
	maxConnBytes, maxHeldBytes, maxDecodeBytes = 24 << 20, 32 << 20, 24 << 20
	// minBudget is the least budget in bytes: it holds one request of the largest legal size.
	minBudget = 4 << 20
	// descriptorShare is the share of the descriptors for accepted connections. The others are for
	// those that the entry opens: to the store, the executors and the other entries.
	descriptorShare = 0.75
	// auxConns is the number of connections on the readiness port, and on the metrics port. The
	// platform needs one or two on each.
	auxConns = 32
	// callShare is the share of the other descriptors for calls to executors that other entries order, and
	// minCalls the least number of such calls at a time.
	callShare, minCalls = 0.75, 64
	// specShare is the share of the memory for the specifications of jobs that other entries order to start. It
	// is part of what jobs may take in the leader, which makes such calls through other entries.
	specShare = 0.12
	// minConns is the least number of connections on the ports of callers and of entries.
	minConns = 64

	// decodeFactor is what decoding a body allocates for each of its bytes, and objectBytes what it
	// allocates besides for each object in it. TestDecodeEstimate compares them with what is allocated:
	// 21,840 steps in 262 KB took 20 MB.
	decodeFactor, objectBytes = 20, 750
	// leastStep is the size of the shortest valid step with its comma, {"count":1},.
	leastStep = 12
	// checkedSize is the size of a body from which the number of its objects is checked.
	checkedSize = 16 << 10

	// fieldBytes is what a field of a header takes besides its text, and maxHeaderScan bounds the headers in
	// which fields are counted: net/http allows 4 KB more than the 16 KB of its limit.
	fieldBytes, maxHeaderScan = 128, 24 << 10

	// progressTimeout is how long an unfinished request may go without a byte, and an answer without being
	// read if connections are short. A client within the
	// page's limits sends its request at once; 5 s cover a lost packet's retransmissions.
	progressTimeout = 5 * time.Second
	// stallTime is the time without progress from which an unfinished request is closed before
	// larger ones that still make progress, if memory is short.
	stallTime = 1 * time.Second
	// writeTimeout is how long a request may take to be answered when connections are short. No
	// answer takes longer than a call to the leader and an append, 3.2 s, unless nothing is known.
	writeTimeout = 30 * time.Second
	// peerIdleTime is the time without a byte from which a connection between entries that has served
	// calls can be closed if connections are short. Entries close theirs after 30 s.
	peerIdleTime = 45 * time.Second
	// peerStallBytes is what a connection between entries must hold to be closed for a lack of
	// progress. The messages of a long stream that were not answered yet are smaller.
	peerStallBytes = 64 << 10
	// lowWater is the share of the budget down to which connections are closed once it is exceeded,
	// so that the search for them is rare.
	lowWater = 0.875
	// fullShare is the share of the budget that whole requests in progress may hold. Further ones are
	// refused, so that the budget is not used up by requests that can't be closed.
	fullShare = 0.5
	// RetryAfter is the time after which a request that was refused for lack of memory can be tried again:
	// whole requests take some 30 ms, and stalled ones are closed within this time.
	RetryAfter = 1 * time.Second
	// decodeWait is how long a request waits for its turn to be decoded. The largest takes 10 to 20 ms.
	decodeWait = 1 * time.Second
	// tickInterval is the resolution of the time of the last progress.
	tickInterval = 500 * time.Millisecond
)

// Limits are the budgets of an entry.
type Limits struct {
	// Conns are the numbers of connections on each kind of port.
	Conns [Kinds]int
	// Held is the number of bytes received for requests that are not answered, Decode that of decoded
	// forms at the same time, and Jobs that of the leader's accepted jobs.
	Held, Decode, Jobs int64
	// Calls is the number of calls to executors in progress for other entries, and Specs the number of bytes of
	// the specifications for them.
	Calls int
	Specs int64
}

// NewLimits returns the limits of an entry with a memory in MiB and a number of descriptors, each 0 if
// it is not known.
func NewLimits(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	bytes := float64(memory << 20)
	share := func(s, most float64) int64 { return int64(max(min(s*bytes, most), minBudget)) }
	conns := share(connShare, maxConnBytes)
	l := Limits{Held: share(heldShare, maxHeldBytes), Decode: share(decodeShare, maxDecodeBytes)}
	rest := softShare*bytes - float64(baseBytes+conns+l.Held+l.Decode)
	l.Jobs = share(jobShare, rest)
	l.Specs = min(share(specShare, bytes), l.Jobs)
	l.Calls = max(int(callShare*(1-descriptorShare)*float64(descriptors)), minCalls)
	n := min(int(conns/connBytes), int(descriptorShare*float64(descriptors)))
	each := max((n-2*auxConns)/2, minConns)
	l.Conns = [Kinds]int{Callers: each, Entries: each, Readiness: auxConns, Metrics: auxConns}
	return l
}
