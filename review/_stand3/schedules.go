package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memoryMB is memory_mb of the settings.
const memoryMB = 284

// killAbove is the memory from which a process is killed.
var killAbove = func() int {
	if n, err := strconv.Atoi(os.Getenv("KILL_ABOVE")); err == nil {
		return n
	}
	return memoryMB
}()

// rss returns the resident memory of the process in MiB, 0 if it has ended.
func (e *entry) rss() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.Atoi(f[1])
			return n >> 10
		}
	}
	return 0
}

// watchMemory kills processes that exceed memory_mb, as the platform does, and starts them again after a second.
func (w *world) watchMemory(kills, peak map[string]int) {
	for {
		select {
		case <-w.quit:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, e := range w.entries {
			if e.stoppedNow {
				continue
			}
			mb := e.rss()
			w.mu.Lock()
			peak[e.name] = max(peak[e.name], mb)
			w.mu.Unlock()
			if mb <= killAbove {
				continue
			}
			w.mu.Lock()
			kills[e.name]++
			w.record("MEMORY %s has %d MiB of %d and is killed", e.name, mb, memoryMB)
			w.mu.Unlock()
			e.stoppedNow = true
			e.kill()
			time.AfterFunc(time.Second, func() {
				select {
				case <-w.quit:
					return
				default:
				}
				e.run()
				e.stoppedNow = false
			})
		}
	}
}

// schedules hands in submissions of one small subtask every second since twelve hours ago, and kills the leader once.
func schedules(dir string, _ uint64) int {
	w := newWorld(dir, defaults())
	w.mu.Lock()
	w.brief = true
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
	time.Sleep(2 * time.Second)
	kills, peak := map[string]int{}, map[string]int{}
	go w.watchMemory(kills, peak)
	n, err := strconv.Atoi(os.Getenv("SCHEDULES"))
	if err != nil {
		n = 22
	}
	start := time.Now().Add(-12 * time.Hour).UnixMilli()
	var all sync.WaitGroup
	var jobs []*job
	for i := range n {
		j := newJob(w.queues[0], 50*time.Millisecond, submission{Phases: []*step{{Count: 1, amount: amount{200, 64, 0}, Estimate: 50}}, Repeats: 86400, Start: start, Period: 1000})
		jobs = append(jobs, j)
		all.Go(func() { w.submit(j, i) })
		time.Sleep(40 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(5 * time.Second)
	if e := w.leader(); trouble && e != nil {
		w.mark("SIGKILL to the leader "+e.name, time.Second)
		e.stoppedNow = true
		e.kill()
		time.Sleep(time.Second)
		e.run()
		e.stoppedNow = false
	}
	time.Sleep(30 * time.Second)
	// From here on no process is disturbed, and each submission is asked for once.
	answered := map[string]bool{}
	for i, j := range jobs {
		all.Go(func() {
			if s := w.ask(j, i); s != "" {
				w.mu.Lock()
				answered[j.id] = true
				w.mu.Unlock()
			}
		})
	}
	all.Wait()
	w.mu.Lock()
	accepted := 0
	for _, j := range jobs {
		if !j.accepted {
			continue
		}
		accepted++
		if !answered[j.id] {
			w.violate("LOST", "%s gets no answer 30 s after the end of the traffic (finish_s is 14)", j.id)
		}
	}
	w.record("ACCEPTED %d of %d; %d of them have a state 30 s after the disruption", accepted, n, len(answered))
	w.record("PEAK MiB %v, ends by themselves %v", peak, kills)
	fmt.Println("peak MiB", peak, "ends", kills, "accepted", accepted, "answered", len(answered))
	often := 0
	for _, k := range kills {
		if k >= 3 {
			often++
		}
	}
	if often >= 2 {
		w.violate("Fault", "the processes of %d machines of %d have ended by themselves three times or more", often, len(w.entries))
	}
	w.mu.Unlock()
	return w.finish()
}
