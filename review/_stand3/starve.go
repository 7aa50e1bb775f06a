package main

import (
	"fmt"
	"sync"
	"time"
)

// newPool returns a world with one service of four executors, and three entries that are ready.
func newPool(dir string) *world {
	w := newWorld(dir, defaults())
	w.mu.Lock()
	w.addService("svca", 4, amount{8000, 16384, 0}, true)
	w.queues = []*queue{{"ra", "a.example", "/qa/", "svca", 3, 0}}
	w.putConfig()
	w.mu.Unlock()
	go w.beat()
	for range 3 {
		w.addEntry(w.storeAddr)
	}
	w.awaitReady()
	time.Sleep(2 * time.Second)
	return w
}

// long returns a submission of subtasks of five minutes on different executors.
func (w *world) long(count int, cpu int64) *job {
	work := 300 * time.Second
	j := newJob(w.queues[0], work, submission{Phases: []*step{{Count: count, amount: amount{cpu, 1024, 0}, Estimate: float64(work.Milliseconds()), MaxPerServer: 1}}})
	j.exact = true
	return j
}

// short returns a submission of one subtask of one second.
func (w *world) short(cpu int64) *job {
	work := time.Second
	j := newJob(w.queues[0], work, submission{Phases: []*step{{Count: 1, amount: amount{cpu, 512, 0}, Estimate: float64(work.Milliseconds())}}})
	j.exact = true
	return j
}

// conclude watches submissions from finish_s after the end of the traffic on, and records how they end.
func (w *world) conclude(jobs []*job, length time.Duration) int {
	go w.watchIdle(jobs, time.Now().Add(14*time.Second), 3*time.Second)
	time.Sleep(length)
	done := 0
	var all sync.WaitGroup
	for i, j := range jobs {
		all.Go(func() {
			if w.ask(j, i) == "complete" {
				w.mu.Lock()
				done++
				w.mu.Unlock()
			}
		})
	}
	all.Wait()
	w.mu.Lock()
	w.record("COMPLETE %d of %d", done, len(jobs))
	fmt.Println("complete", done, "of", len(jobs))
	w.mu.Unlock()
	return w.finish()
}

// avoid plays a subtask that fails once on the only executor with room for it.
func avoid(dir string, _ uint64) int {
	w := newPool(dir)
	defer w.close()
	w.submit(w.long(3, 5200), 0)
	time.Sleep(time.Second)
	j := w.short(3000)
	if trouble {
		j.fails["0.0.0"] = 1
	}
	w.submit(j, 1)
	return w.conclude([]*job{j}, 60*time.Second)
}

// reserve plays short submissions beside one that lasts and has no room.
func reserve(dir string, _ uint64) int {
	w := newPool(dir)
	defer w.close()
	w.submit(w.long(4, 3900), 0)
	time.Sleep(time.Second)
	if trouble {
		w.submit(newJob(w.queues[0], time.Second, submission{Phases: []*step{{Count: 4, amount: amount{4800, 1024, 0}, LongRunning: true, MaxPerServer: 1}}}), 1)
		time.Sleep(time.Second)
	}
	var jobs []*job
	for i := range 5 {
		j := w.short(500)
		jobs = append(jobs, j)
		w.submit(j, i)
	}
	return w.conclude(jobs, 60*time.Second)
}
