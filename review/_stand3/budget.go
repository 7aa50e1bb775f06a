package main

import (
	"fmt"
	"sync"
	"time"
)

// budget plays wide submissions all of whose runs fail, beside small ones.
func budget(dir string, _ uint64) int {
	w := newWorld(dir, defaults())
	w.mu.Lock()
	w.addService("svca", 12, amount{8000, 65536, 0}, true)
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
	var all sync.WaitGroup
	var wide []*job
	for i := range 3 {
		s := func() *step { return &step{Count: 8000, amount: amount{5, 1, 0}, Estimate: 12000} }
		j := newJob(w.queues[0], 12*time.Second, submission{Phases: []*step{s(), s()}})
		j.exact, j.allFail = true, true
		wide = append(wide, j)
		all.Go(func() { w.submit(j, i) })
	}
	begin := time.Now()
	for i := 0; time.Since(begin) < 95*time.Second; i++ {
		j := w.short(100)
		all.Go(func() { w.submit(j, i) })
		time.Sleep(time.Second)
	}
	all.Wait()
	for i, j := range wide {
		fmt.Println(j.id, w.ask(j, i))
	}
	return w.finish()
}
