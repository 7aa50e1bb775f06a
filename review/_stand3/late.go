package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// lateWrites carries out some of the writes late and answers none of them, until a time.
type lateWrites struct {
	w        *world
	from, to time.Time
	// slowFrom is from when the leader's appends are late, and victims are the submissions whose records are.
	slowFrom  time.Time
	victims   []*job
	delay     time.Duration
	mu        sync.Mutex
	all, late int
}

// isLate reports whether a write is done and not answered.
func (l *lateWrites) isLate(r *http.Request, body []byte) bool {
	q := r.URL.Query()
	if q.Get("topic") != "keyed.chervilgauge.jobs" {
		return false
	}
	if q.Get("producer") != "" {
		return time.Now().After(l.slowFrom)
	}
	for _, j := range l.victims {
		if bytes.Contains(body, []byte(j.id)) {
			return true
		}
	}
	return false
}

func (l *lateWrites) serve(h http.Handler, rw http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if !strings.HasSuffix(r.URL.Path, "log-append") || now.Before(l.from) || now.After(l.to) {
		h.ServeHTTP(rw, r)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	isLate := l.isLate(r, b)
	l.mu.Lock()
	l.all++
	if isLate {
		l.late++
	}
	l.mu.Unlock()
	r = r.Clone(context.WithoutCancel(r.Context()))
	r.Body = io.NopCloser(bytes.NewReader(b))
	if !isLate {
		h.ServeHTTP(rw, r)
		return
	}
	l.w.mu.Lock()
	l.w.record("STORE does not answer %s and carries it out after %v", r.URL.RawQuery, l.delay)
	l.w.mu.Unlock()
	time.Sleep(l.delay)
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	l.w.mu.Lock()
	l.w.record("STORE has carried out %s: %d", r.URL.RawQuery, rec.Code)
	l.w.mu.Unlock()
	panic(http.ErrAbortHandler) // the channel returns nothing further
}

// clientWait is how long clients wait for a response.
const clientWait = 2 * time.Second

// lateCancel plays submissions without an answer, which their clients then cancel.
func lateCancel(dir string, _ uint64) int {
	w := newWorld(dir, defaults())
	w.mu.Lock()
	w.addService("svca", 6, amount{8000, 16384, 2}, true)
	w.queues = []*queue{{"ra", "a.example", "/qa/", "svca", 3, 0}}
	w.putConfig()
	w.mu.Unlock()
	go w.beat()
	for range 3 {
		w.addEntry(w.storeAddr)
	}
	defer w.close()
	w.awaitReady()
	time.Sleep(4 * time.Second)
	small := func() *job {
		return newJob(w.queues[0], 300*time.Millisecond, submission{Phases: []*step{{Count: 1, amount: amount{500, 256, 0}, Estimate: 300}}})
	}
	const disturbed = 4500 * time.Millisecond
	begin := time.Now()
	faults := &lateWrites{w: w, from: begin, to: begin, slowFrom: begin.Add(2 * time.Second), delay: 6 * time.Second}
	for range 3 {
		faults.victims = append(faults.victims, small())
	}
	if trouble {
		faults.to = begin.Add(disturbed)
		w.mark("store: some writes have no answer and are carried out 6 s later, for 4.5 s", disturbed)
	}
	w.mu.Lock()
	w.lateWrites = faults
	w.calmFrom = begin.Add(disturbed + 3*time.Second)
	w.mu.Unlock()
	var all sync.WaitGroup
	cancelled := 0
	send := func(j *job, e *entry) {
		w.mu.Lock()
		w.jobs[j.id] = j
		w.record("SUBMIT %s to %s", j.id, e.name)
		w.mu.Unlock()
		status, _ := e.call("POST", j.queue.prefix+j.id, j.queue.host, j.raw, clientWait)
		w.mu.Lock()
		w.record("ANSWER %s by %s: %d", j.id, e.name, status)
		w.mu.Unlock()
		if status/100 == 2 {
			return
		}
		w.mu.Lock()
		cancelled++
		w.mu.Unlock()
		w.cancel(j, 0)
	}
	for i := 0; time.Since(begin) < 8*time.Second; i++ {
		all.Go(func() { send(small(), w.entries[i%3]) })
		if i == 50 {
			for k, j := range faults.victims {
				all.Go(func() { send(j, w.entries[k]) })
			}
		}
		time.Sleep(40 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(8 * time.Second)
	w.mu.Lock()
	w.record("WRITES %d in the disturbance, %d of them late; submissions %d, cancelled without an answer %d", faults.all, faults.late, len(w.jobs), cancelled)
	fmt.Println("writes", faults.all, "late", faults.late, "submissions", len(w.jobs), "cancelled", cancelled)
	w.mu.Unlock()
	return w.finish()
}
