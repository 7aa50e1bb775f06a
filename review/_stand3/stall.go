package main

import (
	"fmt"
	"sync"
	"time"
)

// idleSince is since when a submission has nothing running although a subtask's turn has come.
type idleSince map[*job]time.Time

// watchIdle checks that submissions that are not done have something running. A subtask's turn has come once the
// steps before it are done; each submission here has one step.
func (w *world) watchIdle(jobs []*job, from time.Time, limit time.Duration) {
	idle := idleSince{}
	reported := map[*job]bool{}
	for {
		select {
		case <-w.quit:
			return
		case <-time.After(50 * time.Millisecond):
		}
		now := time.Now()
		w.mu.Lock()
		var used, capacity int64
		most := amount{}
		for _, m := range w.machines {
			if e := m.exec; e != nil && !e.dead {
				used += e.used().CPU
				capacity += e.capacity.CPU
				if free := e.capacity.CPU - e.used().CPU; free > most.CPU {
					most = amount{free, e.capacity.Mem - e.used().Mem, 0}
				}
			}
		}
		for _, j := range jobs {
			running := false
			need := j.body.Phases[0].amount
			for _, t := range j.tasks {
				running = running || t.done
				for _, r := range t.runs {
					running = running || !r.ended && !r.exec.dead
				}
			}
			fits := need.plus(need).fits(most) && 2*used < capacity
			switch {
			case !j.accepted || running || !fits || now.Before(from):
				delete(idle, j)
			case idle[j].IsZero():
				idle[j] = now
			case now.Sub(idle[j]) > limit && !reported[j]:
				reported[j] = true
				w.violate("LOST", "%s has had nothing running for %v, with %d of %d cpu in use", j.id, now.Sub(idle[j]).Round(time.Millisecond), used, capacity)
			}
		}
		w.mu.Unlock()
	}
}

// stall plays subtasks of 300 s without an estimate, or with one where there is no trouble.
func stall(dir string, _ uint64) int {
	w := newWorld(dir, defaults())
	w.mu.Lock()
	w.addService("svca", 4, amount{8000, 16384, 2}, true)
	w.queues = []*queue{{"ra", "a.example", "/qa/", "svca", 3, 0}}
	w.putConfig()
	w.mu.Unlock()
	go w.beat()
	for range 3 {
		w.addEntry(w.storeAddr)
	}
	defer w.close()
	w.awaitReady()
	time.Sleep(2 * time.Second)
	var jobs []*job
	var all sync.WaitGroup
	for i := range 6 {
		s := &step{Count: 1, amount: amount{1000, 512, 0}}
		work := 300 * time.Second
		if !trouble {
			s.Estimate = float64(work.Milliseconds())
		}
		j := newJob(w.queues[0], work, submission{Phases: []*step{s}})
		j.exact = true
		jobs = append(jobs, j)
		all.Go(func() { w.submit(j, i) })
	}
	all.Wait()
	go w.watchIdle(jobs, time.Now().Add(14*time.Second), 3*time.Second)
	time.Sleep(60 * time.Second)
	done := 0
	for i, j := range jobs {
		if w.ask(j, i) == "complete" {
			done++
		}
	}
	w.mu.Lock()
	starts := 0
	for _, j := range jobs {
		for _, t := range j.tasks {
			starts += len(t.runs)
		}
	}
	w.record("DONE %d of %d, starts %d", done, len(jobs), starts)
	fmt.Println("done", done, "of", len(jobs), "starts", starts)
	w.mu.Unlock()
	return w.finish()
}
