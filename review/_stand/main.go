package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// running are the entries that cannotRun has to end.
var running []*entry

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	for _, e := range running {
		e.end()
	}
	os.Exit(couldNot)
}

// cases are the cases by their names. trouble is false for the same case without its disruption.
var cases = map[string]func(w *world, dir string, trouble bool){
	"advice": playAdvice, "gang": playGang, "upkeep": playUpkeep, "reserve": playReserve, "moved": playMoved,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: review-stand CASE FOLDER")
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		cannotRun("record: %v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("folder: %v", err)
	}
	w := newWorld(record)
	trouble := os.Getenv("TROUBLE") != "0"
	w.say("case %s, disruption %t", os.Args[1], trouble)
	go w.beat()
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-ended:
			cannotRun("interrupted")
		case <-time.After(longest):
			cannotRun("longer than %v", longest)
		}
	}()
	cases[os.Args[1]](w, dir, trouble)
	for _, e := range running {
		e.end()
	}
	w.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs of the entries:", dir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) > 0 {
		fmt.Printf("broken:\n%s\n", strings.Join(w.violations, "\n"))
		os.Exit(broken)
	}
	w.say("no rule was broken")
	fmt.Println("held")
	os.Exit(held)
}

// configure writes a configuration with two queues of one service. The route of the first one has further
// fields.
func (w *world) configure(further string) {
	w.write(1, []string{pool}, route("r-anu6wsj", prefix, pool, further), route("r-8nbkxxm", plainPrefix, pool, ""))
}

func route(name, prefix, service, further string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":"unsafe","timeout_ms":3000,"target_runtime_ms":600,`+
		`"priority":0,"service":%q,"max_attempts":2,"slack_factor":1.6%s}`, name, host, prefix, service, further)
}

// write writes a version of the configuration.
func (w *world) write(version int, services []string, routes ...string) {
	var list []string
	for _, s := range services {
		list = append(list, fmt.Sprintf(`{"name":%q,"health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_control":true,"standby":false}`, s))
	}
	w.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, strings.Join(routes, ","), strings.Join(list, ",")))
}

const (
	prefix      = "/puxa400/"
	plainPrefix = "/tije37/"
	pool        = "huvo11a"
)

// begin starts machines and entries, and waits until they are ready.
func (w *world) begin(dir string, machines int) *client {
	w.addMachines(pool, machines)
	running = w.startEntries(3, dir)
	w.awaitReady(running)
	time.Sleep(stabilityWindow)
	return newClient(w, running)
}

// playAdvice hands in submissions of a queue with advice, each of which may run on one machine. One of
// the executors fails all that it starts for a while.
func playAdvice(w *world, dir string, trouble bool) {
	w.needTickets = true
	w.configure(adviceInConfig)
	const machines = 12
	c := w.begin(dir, machines)
	setFailing := func(fails bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		m := w.machines[3]
		m.exec.fails = fails
		w.disturb("srv_grey (errors): executor %s on %s fails all that it starts: %t", m.exec.id, m.name, fails)
	}
	if trouble {
		setFailing(true)
		time.AfterFunc(6*time.Second, func() { setFailing(false) })
	}
	var jobs []*submission
	for i := range 30 {
		s := &submission{Prefix: prefix, Steps: []step{{Count: 1, CPU: 4600, Memory: 2500, Estimate: 1000}}, Work: time.Second, Allowed: i % machines}
		if c.submit(s) {
			jobs = append(jobs, s)
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.say("the traffic has ended")
	time.Sleep(finishTime)
	w.checkLost(c, pool, jobs)
}

// playGang hands in a submission with a gang that writes checkpoints. An executor of a member crashes.
func playGang(w *world, dir string, trouble bool) {
	w.configure("")
	c := w.begin(dir, 8)
	s := &submission{
		Prefix: prefix, Work: 8 * time.Second, Allowed: -1,
		Steps: []step{{Count: 4, CPU: 9900, Memory: 7100, Estimate: 8000, Gang: true, Checkpoints: true, PerServer: 1}},
	}
	if !c.submit(s) {
		cannotRun("the submission was not accepted")
	}
	time.Sleep(4800 * time.Millisecond)
	if trouble {
		w.mu.Lock()
		var m *machine
		for _, x := range w.machines {
			if m == nil && len(x.exec.runs) > 0 {
				m = x
			}
		}
		w.mu.Unlock()
		if m == nil {
			cannotRun("the gang does not run")
		}
		w.crash(m, 4500*time.Millisecond)
	}
	time.Sleep(4500*time.Millisecond + stabilityWindow + 8*time.Second)
	w.say("the traffic has ended")
	time.Sleep(finishTime)
	w.checkLost(c, pool, []*submission{s})
	if state := c.state(s); state != "complete" {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.say("the submission is %s, %.1f s after its ack", state, time.Since(s.Accepted).Seconds())
	}
}

// playUpkeep has a wave of upkeep with one machine at once, under load. An order of it is carried out late,
// while another machine of the wave is down, and the entry that sent it is killed.
func playUpkeep(w *world, dir string, trouble bool) {
	w.configure("")
	w.waveLimit = 1
	c := w.begin(dir, 9)
	end := time.Now().Add(40 * time.Second)
	go func() {
		for time.Now().Before(end) {
			s := &submission{Prefix: prefix, Steps: []step{{Count: 12, CPU: 4600, Memory: 2500, Estimate: 1000}}, Work: time.Second, Allowed: -1}
			go c.submit(s)
			time.Sleep(150 * time.Millisecond)
		}
	}()
	time.Sleep(stabilityWindow)
	w.mu.Lock()
	if trouble {
		w.lateUpkeep = true
		w.onLate = func(holder string) {
			for _, e := range running {
				if e.name == holder {
					w.disturb("node_kill (leader): the process of %s is killed", holder)
					go e.signal(syscall.SIGKILL)
				}
			}
		}
	}
	var names []string
	for _, m := range w.machines {
		names = append(names, fmt.Sprintf("%q", m.name))
	}
	w.mu.Unlock()
	w.store.Put("keyed.op", "wave/1", fmt.Appendf(nil, `{"wave":1,"machines":[%s],"deadline_s":26,"max_count":1}`, strings.Join(names, ",")))
	w.say("wave 1 of %d machines is ordered, one at once, within 26 s", len(names))
	time.Sleep(time.Until(end))
}

// playReserve has subtasks that last on the only machine that their queue's policy allows. The machine is
// lost for good. Submissions of another queue of the same service, without advice, come before and after.
func playReserve(w *world, dir string, trouble bool) {
	w.needTickets = true
	w.configure(adviceInConfig)
	c := w.begin(dir, 9)
	const allowed = 4
	for range 2 {
		s := &submission{Prefix: prefix, Steps: []step{{Count: 5, CPU: 3000, Memory: 8700, Estimate: 500, Lasts: true}}, Allowed: allowed}
		if !c.submit(s) {
			cannotRun("a submission was not accepted")
		}
	}
	time.Sleep(2 * time.Second)
	var jobs []*submission
	for i := range 40 {
		if i == 10 && trouble {
			w.lose(w.machines[allowed])
		}
		s := &submission{Prefix: plainPrefix, Steps: []step{{Count: 2, CPU: 4600, Memory: 2500, Estimate: 1000}}, Work: time.Second, Allowed: -1}
		if c.submit(s) {
			jobs = append(jobs, s)
		}
		time.Sleep(300 * time.Millisecond)
	}
	w.say("the traffic has ended")
	time.Sleep(finishTime)
	w.checkLost(c, pool, jobs)
}

// playMoved has a queue that the configuration moves to a second service, where subtasks start, and then to
// a third one. All processes of the system are killed at once and start again.
func playMoved(w *world, dir string, trouble bool) {
	services := []string{pool, "kafi81c", "lovo22d"}
	move := func(version int) {
		w.say("configuration %d: the queue belongs to %s", version, services[version-1])
		w.write(version, services, route("r-anu6wsj", prefix, services[version-1], ""))
	}
	move(1)
	w.addMachines(services[1], 12)
	w.addMachines(services[2], 3)
	c := w.begin(dir, 3)
	s := &submission{
		Prefix: prefix, Work: 9 * time.Second, Allowed: -1,
		Steps: []step{
			{Count: 1, CPU: 9900, Memory: 7100, Estimate: 9000},
			{Count: 12, CPU: 9900, Memory: 7100, Estimate: 9000, After: []int{0}, PerServer: 1},
		},
	}
	if !c.submit(s) {
		cannotRun("the submission was not accepted")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		move(2)
	}
	time.Sleep(9 * time.Second)
	if trouble {
		move(3)
		time.Sleep(3 * time.Second)
		w.cut(w.machines[:2], 5500*time.Millisecond)
		w.mu.Lock()
		w.disturb("herd_kill: all processes are killed")
		w.mu.Unlock()
		for _, e := range running {
			e.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(25 * time.Second)
	w.say("GET %s%s: %s", s.Prefix, s.ID, c.state(s))
}
