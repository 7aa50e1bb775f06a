package oplog

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"chervilgauge.example/chervilgauge/internal/fake/local"
)

const (
	// maxRecord is the largest accepted record in bytes.
	maxRecord = 1 << 20
	// maxItems and maxAnswer limit the answer to a read, in records and in bytes. An answer
	// holds at least one record if there is one.
	maxItems  = 10000
	maxAnswer = 4 << 20
	// maxWait is the longest time that a read waits for a record.
	maxWait = time.Minute
)

type item struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type batch struct {
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
	Items []item `json:"items"`
}

// append serves an append. It carries out the append even if the client disconnects during the
// delay, as a service does whose answer is lost.
func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	f := l.requestFaults(r)
	if f.Down {
		local.Fail(w, http.StatusServiceUnavailable, "down")
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		local.Fail(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !l.takeToken() {
		w.Header().Set("Retry-After", "1")
		local.Fail(w, http.StatusTooManyRequests, "rate limit")
		return
	}
	if !local.Pause(l.clk, local.Millis(f.SlowAppend), l.quit) {
		local.Cut()
	}
	offset, lost := l.add(r.PathValue("name"), data, f)
	if lost {
		local.Cut()
	}
	local.WriteJSON(w, http.StatusOK, struct {
		Offset uint64 `json:"offset"`
	}{offset})
}

// takeToken reports whether the rate limit of the service permits an append now.
func (l *Log) takeToken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.AllowN(l.clk.Wall(), 1)
}

// add appends a record and reports whether the answer must be lost.
func (l *Log) add(name string, data []byte, f Faults) (offset uint64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset = s.next()
	s.data = append(s.data, data)
	if l.drawShare(f.Duplicate) {
		s.data = append(s.data, data)
	}
	if n := l.limits.Retain; n > 0 && len(s.data) > n {
		s.truncate(s.next() - uint64(n))
	}
	s.notify()
	return offset, l.drawShare(f.LoseAnswers)
}

// truncate deletes the records before the offset first.
func (s *stream) truncate(first uint64) {
	if first <= s.first {
		return
	}
	if n := s.next(); first > n {
		first = n
	}
	n := first - s.first
	clear(s.data[:n])
	s.data = s.data[n:]
	s.first = first
}

// notify makes every waiting read check the stream and the faults again.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		local.Fail(w, http.StatusBadRequest, "from is not an offset")
		return
	}
	limit := parseNumber(q.Get("limit"), maxItems, maxItems)
	wait := time.Duration(parseNumber(q.Get("wait"), 0, int(maxWait/time.Millisecond))) * time.Millisecond
	if !local.Pause(l.clk, local.Millis(l.requestFaults(r).SlowRead), l.quit) {
		local.Cut()
	}
	end := l.clk.After(wait)
	defer end.Close()
	expired := wait <= 0
	for {
		// The channel is read before the faults are checked, so that a change of the faults
		// in between ends the wait.
		b, wake := l.batch(r.PathValue("name"), from, limit)
		if l.requestFaults(r).Down {
			local.Fail(w, http.StatusServiceUnavailable, "down")
			return
		}
		if from < b.First {
			local.WriteJSON(w, http.StatusGone, struct {
				First uint64 `json:"first"`
			}{b.First})
			return
		}
		if len(b.Items) > 0 || expired {
			local.WriteJSON(w, http.StatusOK, b)
			return
		}
		select {
		case <-wake:
		case <-end.C:
			expired = true
		case <-r.Context().Done():
			return
		case <-l.quit:
			local.Cut()
		}
	}
}

// parseNumber parses a whole number and returns at most most. It returns fallback if s is not a
// number or is negative.
func parseNumber(s string, fallback, most int) int {
	n, err := strconv.Atoi(s)
	if err != nil || n < 0 {
		return fallback
	}
	return min(n, most)
}

// batch returns the records from an offset on, and the channel that is closed on the next change.
func (l *Log) batch(name string, from uint64, limit int) (batch, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	b := batch{First: s.first, Next: s.next(), Items: []item{}}
	size := 0
	for o := from; o >= b.First && o < b.Next && len(b.Items) < limit; o++ {
		data := s.data[o-b.First]
		size += len(data)
		if size > maxAnswer && len(b.Items) > 0 {
			break
		}
		b.Items = append(b.Items, item{o, data})
	}
	return b, s.changed
}
