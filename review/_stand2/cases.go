package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var cases = map[string]func(w *world, dir string, trouble bool) bool{
	"array": array, "wrap": wrap, "mix": mix, "memory": memory, "again": again, "cancel": cancel,
}

func id(n int) string { return fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15) }

func always(took time.Duration, result string) func(string, int, *executor) plan {
	return func(string, int, *executor) plan { return plan{took, result} }
}

func (w *world) startEntries(dir string, n, memory, status int) {
	for i := range n {
		w.newEntry(dir, i, memory, status).start(w)
	}
	awaitReady()
}

// array: one submission of many subtasks, all of which fail, and others beside it.
func array(w *world, dir string, trouble bool) bool {
	const count, took = 24000, 12 * time.Second
	for i := range 12 {
		w.addMachine(fmt.Sprintf("m-%02d", i), "svc", 32000, 65536, "a", fmt.Sprint("r1-", i/4))
	}
	w.config(1, map[string]obj{"array": {"max_attempts": 3}, "small": nil}, "svc")
	w.startEntries(dir, 3, 284, 120)
	result := "done"
	if trouble {
		result = "failed"
	}
	big := w.add(&job{id: id(1), queue: "array", max: 3, phases: []phase{{Count: count, CPU: 5, Mem: 1, Estimate: int(took.Milliseconds())}}, plan: always(took, result)})
	w.note("one submission with %d subtasks that end %s after %v: accepted=%v", count, result, took, w.submit(big))
	var small []*job
	begin := time.Now()
	for n := 0; time.Since(begin) < 60*time.Second; n++ {
		j := w.add(&job{id: id(100 + n), queue: "small", phases: []phase{{Count: 4, CPU: 500, Mem: 64, Estimate: 400}, {Count: 4, CPU: 500, Mem: 64, Estimate: 400, After: []int{0}}}, plan: always(400*time.Millisecond, "done")})
		if w.submit(j) {
			small = append(small, j)
		}
		if n%5 == 0 {
			w.noteCounts()
		}
		time.Sleep(time.Second)
	}
	w.note("no more submissions; finish_s passes")
	time.Sleep(14 * time.Second)
	w.noteCounts()
	lost := w.lost(append(small, big))
	acks := w.unnoted()
	w.mu.Lock()
	defer w.mu.Unlock()
	return lost || acks || len(w.broken) > 0
}

// unnoted checks the rule on acks: more than a fifth of the ends that executors list aren't taken note of. It is
// called when neither the store nor a link has been disturbed for longer than ack_ms.
func (w *world) unnoted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ends, noted := 0, 0
	for what, n := range w.counts {
		switch {
		case what == "ends gone":
		case strings.HasPrefix(what, "ends "):
			ends += n
		case strings.HasPrefix(what, "noted "):
			noted += n
		}
	}
	w.note("%d of %d ends that executors list were not taken note of", ends-noted, ends)
	return (ends-noted)*5 > ends
}

func (w *world) noteCounts() {
	w.mu.Lock()
	w.note("starts %d; ends done %d, failed %d; taken note of: done %d, failed %d", w.counts["starts"], w.counts["ends done"], w.counts["ends failed"], w.counts["noted done"], w.counts["noted failed"])
	w.mu.Unlock()
	w.store.mu.Lock()
	w.note("store: largest record sent %d bytes; appends refused because a record is above record_bytes (%d): %d", w.store.largest, recordBytes, w.store.tooLarge)
	w.store.mu.Unlock()
}

// lost checks the rule LOST: for 3 s, a submission has nothing running while a subtask's turn has come, there is
// capacity for it twice over, and under half of the service's capacity is in use.
func (w *world) lost(js []*job) bool {
	states := map[*job]string{}
	for _, j := range js {
		states[j] = w.state(j)
	}
	waiting := map[*job]string{}
	for i := range 16 {
		w.mu.Lock()
		var cpu, used int
		for _, m := range w.machines {
			if m.state == "up" {
				c, _ := w.used(m.e)
				used += c
				cpu += m.cpu
			}
		}
		for _, j := range js {
			task := w.turn(j)
			if j.cancelSent || states[j] == "complete" || states[j] == "failed" || task == "" || 2*used >= cpu {
				task = ""
			}
			if i == 0 {
				waiting[j] = task
			} else if task == "" {
				waiting[j] = ""
			}
		}
		w.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
	n, open, shown := 0, 0, 0
	for _, j := range js {
		if s := states[j]; s != "complete" && s != "failed" {
			open++
		}
		if waiting[j] == "" {
			continue
		}
		n++
		if shown++; shown <= 10 {
			w.note("LOST %s of queue %s: state %q; for 3 s nothing of it runs, and it is the turn of %s", j.id, j.queue, states[j], waiting[j])
		}
	}
	w.note("%d of %d accepted submissions are not shown as over; %d of them break LOST", open, len(js), n)
	return n > 0
}

// turn returns a subtask of a submission whose turn has come and for which there is capacity twice over, empty if
// there is none or if anything of the submission runs. The caller holds mu.
func (w *world) turn(j *job) string {
	for _, t := range j.tasks {
		if t.running != nil {
			return ""
		}
	}
	for step, p := range j.phases {
		ready := true
		for _, a := range p.After {
			for i := range j.phases[a].Count {
				ready = ready && j.task(name(j, 0, a, i)).done
			}
		}
		for i := 0; ready && i < p.Count; i++ {
			t := j.task(name(j, 0, step, i))
			if t.done || t.failures >= j.max && !p.Long {
				continue
			}
			places := 0
			for _, m := range w.machines {
				if m.state == "up" && !m.e.silent && (p.Label == "" || contains(m.labels, p.Label)) {
					cpu, mem := w.used(m.e)
					places += min((m.cpu-cpu)/max(p.CPU, 1), (m.mem-mem)/max(p.Mem, 1))
				}
			}
			if places >= 2 {
				return name(j, 0, step, i)
			}
		}
	}
	return ""
}

// judge reads the states of submissions and reports whether one is not over although it should be.
func (w *world) judge(js []*job) bool {
	bad := 0
	for _, j := range js {
		s := w.state(j)
		w.mu.Lock()
		done, total := 0, 0
		for _, p := range j.phases {
			total += p.Count
		}
		for _, t := range j.tasks {
			if t.done {
				done++
			}
		}
		w.mu.Unlock()
		if s == "complete" || s == "failed" || s == "cancelled" {
			continue
		}
		bad++
		w.note("submission %s of queue %s: state %q, %d of %d subtasks have ended done", j.id, j.queue, s, done, total)
	}
	w.note("%d of %d accepted submissions are not over", bad, len(js))
	return bad > 0
}

// wrapStart is where the log of the claims begins: its earlier records have expired. A leader adds a record
// each 0.3 s, so that the log gets there in three and a half days.
const wrapStart = 1<<20 - 130

// wrap: a submission whose subtask lasts, and whose runs end by themselves now and then, over changes of the
// leader. At the last one the executor that runs the subtask crashes for good.
func wrap(w *world, dir string, trouble bool) bool {
	const topic = "chervilgauge.leader"
	begin := int64(wrapStart)
	if os.Getenv("LOG_AT_0") != "" { // a control: the same with a log that has just begun
		begin = 0
	}
	w.store.startAt(topic, "0", begin)
	for i := range 8 {
		w.addMachine(fmt.Sprintf("m-%02d", i), "svc", 32000, 65536, "a", fmt.Sprint("r1-", i/4))
	}
	w.config(1, map[string]obj{"lasting": {"max_attempts": 3}}, "svc")
	w.startEntries(dir, 3, 284, 120)
	var failing atomic.Bool
	j := w.add(&job{id: id(7), queue: "lasting", max: 3, phases: []phase{{Count: 1, CPU: 2000, Mem: 4000, Estimate: 700, Long: true, Label: "r1-0"}}})
	j.plan = func(_ string, starts int, e *executor) plan {
		if failing.Load() {
			return plan{1500 * time.Millisecond, "failed"}
		}
		return plan{}
	}
	if !w.submit(j) {
		fail("the submission was not accepted")
	}
	task := name(j, 0, 0, 0)
	running := func() *run {
		w.mu.Lock()
		defer w.mu.Unlock()
		return j.task(task).running
	}
	await := func(what string, limit time.Duration, ok func() bool) {
		for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				fail("%s: not reached", what)
			}
		}
	}
	attemptsBefore := int(begin) // far below the attempts of a leader that claims there
	await("first run", 5*time.Second, func() bool { return running() != nil })
	time.Sleep(time.Second)
	// A subtask that lasts may fail at any time. It does so until it has run on all four executors of its rack. What
	// an executor keeps of the attempts that the first leader counted from 1 is too low to matter, so that all
	// four get an attempt of a later leader.
	for round := range 2 {
		if trouble {
			l := leader()
			l.kill(w)
			time.Sleep(1500 * time.Millisecond)
			l.start(w)
		}
		time.Sleep(2 * time.Second)
		least := 0
		if trouble && round == 1 {
			least = attemptsBefore
		}
		failing.Store(true)
		w.mu.Lock()
		if r := j.task(task).running; r != nil {
			w.finish(r, "failed")
		}
		w.mu.Unlock()
		await("runs on four executors", 30*time.Second, func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			n := 0
			for _, m := range w.machines {
				if m.e.high[task] > least {
					n++
				}
			}
			return n == 4
		})
		failing.Store(false)
		await("a run that lasts", 10*time.Second, func() bool { return running() != nil && running().result == "" })
	}
	for w.store.endOf(topic, "0") < begin+150 {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	w.note("the log of the claims ends at offset %d", w.store.endOf(topic, "0"))
	if trouble {
		r := running()
		l := leader()
		l.kill(w)
		w.crash(r.e.m.name, 0)
		time.Sleep(2 * time.Second)
		l.start(w)
	}
	// The bound is 3 s, from 6 s after the last run.
	time.Sleep(30 * time.Second)
	w.mu.Lock()
	w.note("starts that were refused as old: %d", w.counts["refused old"])
	w.mu.Unlock()
	lost := w.lost([]*job{j})
	w.mu.Lock()
	defer w.mu.Unlock()
	return lost || len(w.broken) > 0
}

// memory: submissions with many subtasks come at once. A process above its memory_mb is killed, and restarted after
// a short delay, as DEPLOY.md says.
func memory(w *world, dir string, trouble bool) bool {
	const limit, submissions = 284, 18 // MB
	for i := range 12 {
		w.addMachine(fmt.Sprintf("m-%02d", i), "svc", 32000, 65536, "a", fmt.Sprint("r1-", i/4))
	}
	w.config(1, map[string]obj{"q": nil}, "svc")
	w.startEntries(dir, 3, limit, 120)
	kills, highest := map[string]int{}, 0
	quit, gone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(gone)
		for {
			select {
			case <-quit:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, e := range entries {
				mb := e.rss()
				highest = max(highest, mb)
				if mb > limit {
					w.note("%s has %d MB resident, and is killed by the platform", e.name, mb)
					e.kill(w)
					kills[e.name]++
					time.Sleep(300 * time.Millisecond)
					e.start(w)
				}
			}
		}
	}()
	count := 20
	if trouble {
		count = 100000
	}
	var js []*job
	for n := range submissions {
		j := w.add(&job{id: id(1000 + n), queue: "q", phases: []phase{{Count: count, CPU: 1000, Mem: 1000, Estimate: 1000}}, plan: always(time.Second, "done")})
		if w.submit(j) {
			js = append(js, j)
		}
		time.Sleep(time.Second)
	}
	w.note("%d submissions with %d subtasks each were accepted", len(js), count)
	time.Sleep(30 * time.Second)
	var answered atomic.Int64
	var wg sync.WaitGroup
	for _, j := range js {
		wg.Go(func() {
			if s := w.state(j); s != "no answer" && s != "410" {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	close(quit)
	<-gone
	often := 0
	for name, n := range kills {
		w.note("%s was killed %d times", name, n)
		if n >= 3 {
			often++
		}
	}
	w.note("highest resident memory %d MB; the state of %d of %d accepted submissions could be read", highest, answered.Load(), len(js))
	w.mu.Lock()
	defer w.mu.Unlock()
	// LOST: finish_s and longer after the end of the traffic, a submission that is asked for gets no answer in time.
	return often >= 2 || int(answered.Load()) < len(js) || len(w.broken) > 0
}

// again: submissions that entries stored while there was no leader have ended, and the time for which their
// state must be shown is over. The store is down when the leader deletes them, and forgets its history later.
func again(w *world, dir string, trouble bool) bool {
	const status = 20 // seconds
	for i := range 6 {
		w.addMachine(fmt.Sprintf("m-%02d", i), "svc", 32000, 65536, "a", fmt.Sprint("r1-", i/2))
	}
	w.config(1, map[string]obj{"q": nil}, "svc")
	w.startEntries(dir, 3, 284, status)
	n := 0
	submit := func() {
		n++
		w.submit(w.add(&job{id: id(n), queue: "q", phases: []phase{{Count: 2, CPU: 500, Mem: 64, Estimate: 300}}, plan: always(300*time.Millisecond, "done")}))
	}
	for range 5 {
		submit()
	}
	l := leader()
	if trouble {
		l.kill(w)
	}
	for begin := time.Now(); time.Since(begin) < 1500*time.Millisecond; {
		submit()
	}
	if trouble {
		l.start(w)
	}
	time.Sleep(3 * time.Second)
	// The leader forgets a submission status_s + 30 s after its end.
	ended := time.Now()
	time.Sleep(time.Until(ended.Add((status + 24) * time.Second)))
	if trouble {
		w.note("the store is down")
		w.store.setBusy(true)
	}
	time.Sleep(4500 * time.Millisecond)
	w.store.setBusy(false)
	w.note("the store is up")
	time.Sleep(6 * time.Second)
	for range 3 {
		submit()
	}
	l = leader()
	if trouble {
		w.note("freeze %s", l.name)
		_ = l.cmd.Process.Signal(syscall.SIGSTOP)
	}
	var wg sync.WaitGroup
	for begin := time.Now(); time.Since(begin) < 1100*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		n++
		j := w.add(&job{id: id(n), queue: "q", phases: []phase{{Count: 2, CPU: 500, Mem: 64, Estimate: 300}}, plan: always(300*time.Millisecond, "done")})
		wg.Go(func() { w.submitAt(j, others(l)) })
	}
	if trouble {
		w.note("the store forgets its history")
		w.store.expire("keyed.chervilgauge.jobs", "0")
		w.store.expire("keyed.chervilgauge.jobs", "1")
		w.note("wake %s", l.name)
		_ = l.cmd.Process.Signal(syscall.SIGCONT)
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.broken) > 0
}

// mix plays random submissions of all kinds with random disturbances.
func mix(w *world, dir string, trouble bool) bool {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	const machines = 8
	for i := range machines {
		w.addMachine(fmt.Sprintf("m-%02d", i), "svc", 16000, 32768, "a", fmt.Sprint("r1-", i/2))
	}
	w.config(1, map[string]obj{"q": nil, "g": {"max_attempts": 3}}, "svc")
	w.startEntries(dir, 3, 284, 120)
	var all []*job
	var mu sync.Mutex
	mk := func(n int) *job {
		j := &job{id: id(n), queue: "q"}
		fails := 0
		if rng.IntN(4) == 0 {
			fails = rng.IntN(2) + 1
		}
		took := time.Duration(200+rng.IntN(1500)) * time.Millisecond
		switch rng.IntN(5) {
		case 0, 1:
			j.phases = []phase{{Count: 2 + rng.IntN(5), CPU: 1000, Mem: 500, Estimate: 800, Gang: true, Checkpoints: rng.IntN(2) == 0, MaxPer: rng.IntN(3)}}
			if rng.IntN(2) == 0 {
				j.phases = append(j.phases, phase{Count: 3, CPU: 500, Mem: 64, Estimate: 300, After: []int{0}})
			}
			j.queue, j.max = "g", 3
		case 2:
			j.phases = []phase{{Count: 1 + rng.IntN(4), CPU: 500, Mem: 64, Estimate: 300}}
			j.repeats, j.start, j.period = 2+rng.IntN(4), time.Now().Add(time.Duration(rng.IntN(2000))*time.Millisecond).UnixMilli(), 700
		case 3:
			j.phases = []phase{{Count: 1 + rng.IntN(6), CPU: 1000, Mem: 64, Estimate: 500, Checkpoints: true, MaxPer: 1}, {Count: 4, CPU: 500, Mem: 64, After: []int{0}, Estimate: 500}}
		case 4:
			j.phases = []phase{{Count: 1 + rng.IntN(3), CPU: 1000, Mem: 64, Estimate: 500, Label: fmt.Sprint("r1-", rng.IntN(4))}, {Count: 2, CPU: 500, Mem: 64, After: []int{0}, Estimate: 500}, {Count: 2, CPU: 500, Mem: 64, After: []int{0, 1}, Estimate: 500}}
		}
		seed := rng.IntN(1000)
		j.plan = func(task string, starts int, e *executor) plan {
			if fails > 0 && (len(task)+int(task[len(task)-1])+seed)%4 == 0 && starts <= fails {
				return plan{time.Duration(seed%2) * 300 * time.Millisecond, "failed"}
			}
			return plan{took, "done"}
		}
		return j
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 4 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				j := w.add(mk(100000*(c+1) + n))
				wait, cancel := time.Duration(rng.IntN(400))*time.Millisecond, rng.IntN(15) == 0
				mu.Unlock()
				if w.submit(j) {
					mu.Lock()
					all = append(all, j)
					mu.Unlock()
					if cancel {
						time.Sleep(wait)
						w.cancel(j)
					}
				}
				time.Sleep(wait)
			}
		})
	}
	end := time.Now().Add(45 * time.Second)
	for trouble && time.Now().Before(end) {
		time.Sleep(time.Duration(500+rng.IntN(3500)) * time.Millisecond)
		switch rng.IntN(5) {
		case 0:
			if e := leader(); e != nil {
				e.kill(w)
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				e.start(w)
			}
		case 1:
			m := w.order[rng.IntN(machines)]
			if w.machines[m].state == "up" {
				w.crash(m, time.Duration(500+rng.IntN(4000))*time.Millisecond)
			}
		case 2:
			w.note("store busy")
			w.store.setBusy(true)
			time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
			w.store.setBusy(false)
			w.note("store good")
		case 3:
			m := w.machines[w.order[rng.IntN(machines)]]
			w.mu.Lock()
			e := m.e
			w.note("cut %s", e.id)
			e.silent = true
			w.mu.Unlock()
			time.AfterFunc(5*time.Second, func() {
				w.mu.Lock()
				e.silent = false
				w.note("healed %s", e.id)
				w.mu.Unlock()
			})
		case 4:
			// all processes at once
			for _, e := range entries {
				e.kill(w)
			}
			for _, e := range entries {
				e.start(w)
			}
		}
	}
	if !trouble {
		time.Sleep(time.Until(end))
	}
	close(stop)
	wg.Wait()
	time.Sleep(17 * time.Second)
	bad := w.judge(all)
	w.note("%v", strings.Join(w.broken, "\n"))
	w.note("%v", w.counts)
	return bad || len(w.broken) > 0
}

// cancel: a large submission is cancelled while its subtasks run.
func cancel(w *world, dir string, trouble bool) bool {
	const count, mayBeAway = 60000, 1
	const bound = cancelBound + 900*time.Millisecond // cancel_ms and stop_timeout_ms
	for i := range 12 {
		w.addMachine(fmt.Sprintf("m-%02d", i), "svc", 32000, 65536, "a", fmt.Sprint("r1-", i/4))
	}
	w.config(1, map[string]obj{"array": nil, "small": nil, "lasting": {"max_attempts": 3}}, "svc")
	w.startEntries(dir, 3, 284, 120)
	last := w.add(&job{id: id(5), queue: "lasting", max: 3, phases: []phase{{Count: 5, CPU: 2000, Mem: 4000, Estimate: 700, Long: true, MaxPer: 1, MaxAway: mayBeAway}}, plan: always(0, "")})
	w.note("a submission with 5 subtasks that last: accepted=%v", w.submit(last))
	big := w.add(&job{id: id(1), queue: "array", phases: []phase{{Count: count, CPU: 4, Mem: 1, Estimate: 90000}}, plan: always(90*time.Second, "done")})
	w.note("a submission with %d subtasks of 90 s: accepted=%v", count, w.submit(big))
	for n := range 10 {
		w.submit(w.add(&job{id: id(100 + n), queue: "small", phases: []phase{{Count: 4, CPU: 500, Mem: 64, Estimate: 400}}, plan: always(400*time.Millisecond, "done")}))
	}
	for begin := time.Now(); time.Since(begin) < 60*time.Second && w.runningOf(big) < count; {
		time.Sleep(200 * time.Millisecond)
	}
	w.note("running: %d of the large submission, %d that last", w.runningOf(big), w.runningOf(last))
	time.Sleep(3 * time.Second)
	if !trouble {
		time.Sleep(20 * time.Second)
		w.note("running: %d of the large submission, %d that last; ends %v", w.runningOf(big), w.runningOf(last), w.ends())
		return w.ends()["lapsed"] > 0 || len(w.broken) > 0
	}
	if !w.cancel(big) {
		fail("the cancel was not acknowledged")
	}
	acked := time.Now()
	w.note("the cancel was acknowledged")
	time.Sleep(time.Until(acked.Add(bound)))
	still := w.runningOf(big)
	w.note("%v after that, %d subtasks of the cancelled submission run on", bound, still)
	silent := time.Duration(0)
	for time.Since(acked) < 45*time.Second {
		begin := time.Now()
		s := w.state(last)
		if s == "no answer" {
			silent = time.Since(acked)
		}
		w.note("state of the submission that lasts: %s; running: %d that last, %d cancelled; ends %v", s, w.runningOf(last), w.runningOf(big), w.ends())
		time.Sleep(time.Until(begin.Add(2 * time.Second)))
	}
	w.note("no entry could say the state of a submission until %v after the cancel", silent.Round(100*time.Millisecond))
	// The subtasks that last were at work on sound executors, and their leases lapsed.
	lapsed := 0
	w.mu.Lock()
	for _, t := range last.tasks {
		lapsed += min(t.lapses, 1)
	}
	w.mu.Unlock()
	w.note("the leases of %d of 5 subtasks that last have lapsed; %d may be away", lapsed, mayBeAway)
	return lapsed > mayBeAway || still > 0 || len(w.broken) > 0
}

// runningOf returns how many subtasks of a submission run.
func (w *world) runningOf(j *job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range j.tasks {
		if t.running != nil {
			n++
		}
	}
	return n
}

// ends returns how many runs have ended, by how they did.
func (w *world) ends() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	for what, n := range w.counts {
		if how, ok := strings.CutPrefix(what, "ends "); ok {
			out[how] = n
		}
	}
	return out
}
