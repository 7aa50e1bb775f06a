package soak

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"
)

// Role is what the targets of a fault do when it starts. Without an entry that does it, the fault
// affects the entries that the plan names.
type Role string

// Roles of entries: the leader, the entries that make its calls to executors, and one of these.
const (
	Leading Role = "leader"
	Callers Role = "callers"
	Caller  Role = "caller"
)

// Messages of entries that tell roles.
const (
	leadsMessage = "leading starts"
	endsMessage  = "leadership ended"
	callsMessage = "entries make calls to executors"
)

// roles follows the logs of the entries for the roles that they have.
type roles struct {
	mu      sync.Mutex
	rng     *rand.Rand
	offsets map[string]int64
	leader  string
	callers []string
	// led and called hold all entries that led and that made calls.
	led, called map[string]bool
}

func newRoles(rng *rand.Rand) roles {
	return roles{rng: rng, offsets: map[string]int64{}, led: map[string]bool{}, called: map[string]bool{}}
}

// updateRoles reads the logs. The caller holds the mutex of the roles.
func (r *run) updateRoles() {
	var lines []roleLine
	for _, e := range r.entries {
		lines = append(lines, r.roles.read(e.logPath)...)
	}
	r.roles.apply(lines)
}

// countRoles returns the number of entries that led, and of those that made calls.
func (r *run) countRoles() (leaders, callers int) {
	r.roles.mu.Lock()
	defer r.roles.mu.Unlock()
	r.updateRoles()
	return len(r.roles.led), len(r.roles.called)
}

// roleLine is a line of a log that tells a role.
type roleLine struct {
	Time    time.Time `json:"time"`
	Entry   string    `json:"entry"`
	Message string    `json:"message"`
	Entries []string  `json:"entries"`
}

// targets returns the entries of a role, or the given ones if there are none.
func (r *run) targets(role Role, planned []int) []int {
	if role == "" {
		return planned
	}
	o := &r.roles
	o.mu.Lock()
	defer o.mu.Unlock()
	r.updateRoles()
	var names []string
	switch role {
	case Leading:
		names = []string{o.leader}
	case Callers:
		names = o.callers
	case Caller:
		if len(o.callers) > 0 {
			names = []string{o.callers[o.rng.IntN(len(o.callers))]}
		}
	}
	var out []int
	for _, e := range r.entries {
		if slices.Contains(names, e.name) {
			out = append(out, e.index)
		}
	}
	if len(out) == 0 {
		return planned
	}
	return out
}

// read returns the lines that tell roles since the last read of a log. A log that can't be read has
// none.
func (o *roles) read(path string) []roleLine {
	f, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer func() { _ = f.Close() }()
	if _, err := f.Seek(o.offsets[path], io.SeekStart); err != nil {
		return nil
	}
	data, err := io.ReadAll(f)
	if err != nil {
		return nil
	}
	data = data[:bytes.LastIndexByte(data, '\n')+1]
	o.offsets[path] += int64(len(data))
	var out []roleLine
	for line := range bytes.Lines(data) {
		if !bytes.Contains(line, []byte(leadsMessage)) && !bytes.Contains(line, []byte(callsMessage)) && !bytes.Contains(line, []byte(endsMessage)) {
			continue
		}
		var l roleLine
		if start := bytes.IndexByte(line, '{'); start >= 0 && json.Unmarshal(line[start:], &l) == nil {
			out = append(out, l)
		}
	}
	return out
}

// apply applies lines in the order of their times.
func (o *roles) apply(lines []roleLine) {
	slices.SortStableFunc(lines, func(a, b roleLine) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		switch l.Message {
		case leadsMessage:
			o.leader, o.led[l.Entry] = l.Entry, true
		case endsMessage:
			if o.leader == l.Entry {
				o.leader = ""
			}
		case callsMessage:
			if len(l.Entries) > 0 {
				o.callers = l.Entries
				for _, name := range l.Entries {
					o.called[name] = true
				}
			}
		}
	}
}

// machine returns the planned machine, or if that is empty one of those with runs. The more runs a
// machine has, the more likely it is chosen.
func (r *run) machine(planned string) string {
	if planned != "" {
		return planned
	}
	busy, all := r.platform.Busy(), r.platform.Machines()
	r.roles.mu.Lock()
	defer r.roles.mu.Unlock()
	total := 0
	for _, n := range busy {
		total += n
	}
	if total == 0 {
		return all[r.roles.rng.IntN(len(all))]
	}
	at := r.roles.rng.IntN(total)
	for _, name := range all {
		if at -= busy[name]; at < 0 {
			return name
		}
	}
	return all[0]
}
