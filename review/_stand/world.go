// Command review-stand plays one case of the review: it starts entries of chervilgauge as processes and
// stands in for the platform, the executors, the advice service and the clients on loopback.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"chervilgauge.example/chervilgauge/platform/fake"
)

type obj = map[string]any

// Bounds of the small deployments, from the settings of lse-cuciture.
const (
	stabilityWindow = 3 * time.Second
	finishTime      = 14 * time.Second
	gangTimeout     = 3 * time.Second
	maxLease        = 10 * time.Second
	restoreTime     = 250 * time.Millisecond
	stopTime        = 200 * time.Millisecond
	upkeepTime      = 2 * time.Second
	heartbeat       = 1500 * time.Millisecond
	leastLate       = 2 * time.Second // of orders that are carried out late
	mostLate        = 12 * time.Second
	silentBeats     = 3
)

// step is a step of a submission as the client sends it.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	Memory      int    `json:"mem_mb"`
	Estimate    int    `json:"estimate_ms"`
	After       []int  `json:"after,omitempty"`
	Checkpoints bool   `json:"checkpoints,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	PerServer   int    `json:"max_per_server,omitempty"`
	Label       string `json:"required_label,omitempty"`
	Lasts       bool   `json:"long_running,omitempty"`
}

// submission is a submission with what its subtasks do.
type submission struct {
	ID, Prefix string
	Spec       string
	Steps      []step
	Work       time.Duration // of each subtask
	// Allowed is the machine that the queue's policy allows, -1 for every one.
	Allowed  int
	Accepted time.Time
	State    string
}

// mayRunOn reports whether the policy allows a submission on a machine.
func (s *submission) mayRunOn(machine int) bool { return s.Allowed < 0 || s.Allowed == machine }

// world holds the stand-ins. mu guards all state of the executors and machines.
type world struct {
	mu          sync.Mutex
	start       time.Time
	record      *os.File
	store       *fake.Store
	storeAddr   string
	cloudAddr   string
	adviceAddr  string
	machines    []*machine
	jobs        map[string]*submission
	gangs       map[string]*gang
	tokens      map[string]uint64 // by machine
	waves       map[string]map[string]bool
	waveLimit   int
	interval    time.Duration // of checkpoints
	violations  []string
	needTickets bool
	// lateUpkeep is set if the next order of an upkeep is not answered and carried out late. onLate is
	// called then, with its holder. late carries it out, nil if none waits, from when mayBeLate is set.
	lateUpkeep  bool
	onLate      func(holder string)
	late        func()
	mayBeLate   atomic.Bool
	disturbedAt []time.Time
	servers     []*http.Server
	closed      bool
}

type machine struct {
	name, pool, state string
	zone              string
	exec              *executor
	wave              string
	boots             int
}

func newWorld(record *os.File) *world {
	w := &world{
		start: time.Now(), record: record, store: fake.NewStore(), jobs: map[string]*submission{}, gangs: map[string]*gang{},
		tokens: map[string]uint64{}, waves: map[string]map[string]bool{}, interval: 500 * time.Millisecond,
	}
	w.storeAddr = w.serve("127.0.0.1:0", w.store)
	cloud := http.NewServeMux()
	cloud.HandleFunc("GET /chervilgauge/machines", w.list)
	cloud.HandleFunc("POST /chervilgauge/machine-move", w.move)
	cloud.HandleFunc("POST /chervilgauge/machine-upkeep", w.upkeep)
	w.cloudAddr = w.serve("127.0.0.1:0", cloud)
	advice := http.NewServeMux()
	advice.HandleFunc("POST /chervilgauge/advise", w.advise)
	w.adviceAddr = w.serve("127.0.0.1:0", advice)
	return w
}

func (w *world) serve(addr string, h http.Handler) string {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		cannotRun("listen: %v", err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(lis) }()
	w.servers = append(w.servers, srv)
	return lis.Addr().String()
}

// say writes a line to the record. The caller may hold mu.
func (w *world) say(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// violate records a broken rule. The caller holds mu.
func (w *world) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.say("BROKEN %s", text)
}

// disturb records a disturbance. The caller holds mu.
func (w *world) disturb(format string, args ...any) {
	w.disturbedAt = append(w.disturbedAt, time.Now())
	w.say("DISTURBANCE "+format, args...)
}

// isCalm reports whether no disturbance was within a time before now. The caller holds mu.
func (w *world) isCalm(since time.Duration) bool {
	for _, at := range w.disturbedAt {
		if time.Since(at) < since {
			return false
		}
	}
	return true
}

// addMachines adds machines with executors to a pool.
func (w *world) addMachines(pool string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range n {
		m := &machine{name: fmt.Sprintf("m-%04x", 0xa3f1+len(w.machines)), pool: pool, state: "up", zone: zones[len(w.machines)%len(zones)]}
		w.machines = append(w.machines, m)
		w.boot(m)
	}
}

// boot starts an executor on a machine. The caller holds mu.
func (w *world) boot(m *machine) {
	m.boots++
	m.state = "up"
	m.exec = newExecutor(w, m)
	w.say("machine %s: executor %s of %s at %s starts", m.name, m.exec.id, m.pool, m.exec.addr)
	w.report(m)
}

// report writes an executor's report to the store. The caller holds mu.
func (w *world) report(m *machine) {
	e := m.exec
	e.beats++
	out, _ := json.Marshal(obj{
		"service": m.pool, "addr": e.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "machine": m.name,
		"capacity": capacity, "labels": labels(m), "clock_ms": e.clock().Milliseconds(), "born": e.born, "seq": e.beats,
	})
	w.store.Put("keyed.servers", e.id, out)
}

func labels(m *machine) []string { return []string{"a", "r1-" + m.name} }

// beat reports all executors that are up until the world is closed.
func (w *world) beat() {
	for {
		time.Sleep(heartbeat)
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			return
		}
		for _, m := range w.machines {
			if m.state == "up" && !m.exec.isCut {
				w.report(m)
			}
		}
		w.mu.Unlock()
	}
}

// crash ends the executor of a machine without a word; another one starts after a time.
func (w *world) crash(m *machine, down time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturb("srv_crash: executor %s on %s crashes, the machine is down for %v", m.exec.id, m.name, down)
	w.takeDown(m, "down", silentBeats*heartbeat)
	time.AfterFunc(down, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.boot(m)
	})
}

// cut cuts the executors of machines off for a time. They run on.
func (w *world) cut(ms []*machine, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range ms {
		w.disturb("node_cut (servers): executor %s on %s is cut off for %v", m.exec.id, m.name, d)
		e := m.exec
		e.isCut = true
		time.AfterFunc(silentBeats*heartbeat, func() { w.store.Put("keyed.servers", e.id, nil) })
		time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.disturb("node_cut (servers): executor %s on %s is reached again", e.id, m.name)
			e.isCut = false
			if !e.dead {
				w.report(m)
			}
		})
	}
}

// lose loses the executor of a machine for good.
func (w *world) lose(m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturb("srv_crash (gone): executor %s on %s is lost for good", m.exec.id, m.name)
	w.takeDown(m, "down", silentBeats*heartbeat)
}

// takeDown ends the executor of a machine. Its report goes after a time. The caller holds mu.
func (w *world) takeDown(m *machine, state string, unlisted time.Duration) {
	m.state = state
	id := m.exec.id
	m.exec.end()
	time.AfterFunc(unlisted, func() { w.store.Put("keyed.servers", id, nil) })
}

func (w *world) list(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := []obj{}
	for _, m := range w.machines {
		row := obj{"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": labels(m), "capacity": capacity}
		if m.state == "up" {
			row["id"] = m.exec.id
		}
		rows = append(rows, row)
	}
	answer(rw, http.StatusOK, obj{"machines": rows, "next_token": nil})
}

// find returns a machine by its name, or nil. The caller holds mu.
func (w *world) find(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (w *world) move(rw http.ResponseWriter, r *http.Request) {
	var b struct{ Machine, Pool string }
	_ = json.NewDecoder(r.Body).Decode(&b)
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.find(b.Machine)
	if m == nil || !w.passFence(rw, r, m) {
		return
	}
	w.say("order: %s moves %s to %s", r.Header.Get("X-Duty-Holder"), m.name, b.Pool)
	if m.pool != b.Pool {
		if m.state != "up" {
			answer(rw, http.StatusConflict, obj{"reason": "busy"})
			return
		}
		w.takeDown(m, "moving", 0)
		time.AfterFunc(1500*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			m.pool = b.Pool
			w.boot(m)
		})
	}
	answer(rw, http.StatusOK, obj{})
}

// passFence checks the fencing token of an order for a machine, and answers if it is too low. The caller
// holds mu.
func (w *world) passFence(rw http.ResponseWriter, r *http.Request, m *machine) bool {
	var token uint64
	_, _ = fmt.Sscan(r.Header.Get("X-Fencing-Token"), &token)
	if token < w.tokens[m.name] {
		answer(rw, http.StatusConflict, obj{"reason": "fence"})
		return false
	}
	w.tokens[m.name] = token
	return true
}

func (w *world) upkeep(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string
		Wave    int64
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lateUpkeep {
		w.lateUpkeep = false
		w.disturb("applied_late (cloud): upkeep of %s, ordered by %s with token %s, is not answered and carried out 2 to 12 s later", b.Machine, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"))
		header, at := r.Header.Clone(), time.Now()
		w.late = func() {
			w.late = nil
			w.say("late order of an upkeep arrives after %.1f s: %s", time.Since(at).Seconds(), b.Machine)
			w.carryOut(nothing{}, &http.Request{Header: header}, b.Machine, b.Wave)
		}
		time.AfterFunc(leastLate, func() { w.mayBeLate.Store(true) })
		time.AfterFunc(mostLate, w.carryOutLate)
		if w.onLate != nil {
			w.onLate(r.Header.Get("X-Duty-Holder"))
		}
		panic(http.ErrAbortHandler)
	}
	w.carryOut(rw, r, b.Machine, b.Wave)
}

// carryOutLate carries out the late order if it still waits.
func (w *world) carryOutLate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late != nil {
		w.late()
	}
}

// carryOut takes a machine down for its upkeep. The caller holds mu.
func (w *world) carryOut(rw http.ResponseWriter, r *http.Request, name string, wave int64) {
	m := w.find(name)
	if m == nil || !w.passFence(rw, r, m) {
		w.say("upkeep of %s by %s with token %s is refused", name, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"))
		return
	}
	key := fmt.Sprint(wave)
	if w.waves[key] == nil {
		w.waves[key] = map[string]bool{}
	}
	if w.waves[key][name] {
		answer(rw, http.StatusOK, obj{})
		return
	}
	if m.state != "up" {
		answer(rw, http.StatusConflict, obj{"reason": "busy"})
		return
	}
	down := 0
	for _, o := range w.machines {
		if o.state == "upkeep" && o.wave == key {
			down++
		}
	}
	w.waves[key][name] = true
	w.say("upkeep of %s begins, ordered by %s with token %s; %d other machines of wave %s are down", name, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"), down, key)
	if down >= w.waveLimit {
		w.violate("LIMIT: an upkeep of %s begins while %d machines of wave %s are down; max_count is %d", name, down, key, w.waveLimit)
	}
	m.wave = key
	w.takeDown(m, "upkeep", 0)
	time.AfterFunc(upkeepTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.boot(m)
	})
	answer(rw, http.StatusOK, obj{})
	if w.late != nil && w.mayBeLate.Load() {
		time.AfterFunc(upkeepTime/4, w.carryOutLate)
	}
}

// nothing is a response writer that drops everything.
type nothing struct{}

func (nothing) Header() http.Header         { return http.Header{} }
func (nothing) Write(b []byte) (int, error) { return len(b), nil }
func (nothing) WriteHeader(int)             {}

func answer(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(v)
}

// Times of the advice service, and the validity of its tickets.
const (
	decisionTime    = 50 * time.Millisecond
	perWorkerTime   = 2 * time.Millisecond
	ticketValidity  = 3 * time.Second
	adviceInConfig  = `,"advice":{"decision_ms":50,"per_worker_ms":2,"valid_ms":3000}`
	adviceSeparator = "/"
)

// advise names the executors that may run a step: those on the machine that the queue's policy allows.
func (w *world) advise(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Phase   string
		Workers []string
	}
	_ = json.NewDecoder(r.Body).Decode(&b)
	time.Sleep(decisionTime + time.Duration(len(b.Workers))*perWorkerTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	rows := [][]string{}
	for _, id := range b.Workers {
		for i, m := range w.machines {
			if m.exec.id == id && w.allows(b.Phase, i) {
				rows = append(rows, []string{id, fmt.Sprint(b.Phase, adviceSeparator, id, adviceSeparator, time.Now().Add(ticketValidity).UnixMilli())})
			}
		}
	}
	w.say("advice: %s, asked for %d executors, may run on %v", b.Phase, len(b.Workers), rows)
	answer(rw, http.StatusOK, obj{"approved": rows, "valid_ms": ticketValidity.Milliseconds()})
}

// allows reports whether the policy allows a step on a machine. The caller holds mu.
func (w *world) allows(phase string, machine int) bool {
	s := w.jobs[phase[:min(len(phase), idLength)]]
	return s != nil && s.mayRunOn(machine)
}

func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	servers := w.servers
	w.mu.Unlock()
	for _, s := range servers {
		_ = s.Close()
	}
}
