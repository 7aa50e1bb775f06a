// Command stand3 plays cases of the review against processes of the project.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER [SEED]")
		os.Exit(2)
	}
	seed := uint64(1)
	if len(os.Args) > 3 {
		seed, _ = strconv.ParseUint(os.Args[3], 10, 64)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		os.Exit(2)
	}
	os.Exit(play(os.Args[2], seed))
}

var cases = map[string]func(dir string, seed uint64) int{"explore": explore, "late-cancel": lateCancel, "schedules": schedules, "stall": stall, "avoid": avoid, "reserve": reserve, "budget": budget}

var trouble = os.Getenv("TROUBLE") != "0"

// newJob returns a submission.
func newJob(q *queue, work time.Duration, body submission) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), queue: q, body: body, work: work, fails: map[string]int{}, failed: map[string]int{}, tasks: map[string]*task{}, steps: map[string]*stepRun{}}
	j.spec = "spec " + j.id
	j.body.Spec = j.spec
	j.raw, _ = json.Marshal(j.body)
	return j
}

// finish prints the broken rules and returns the exit code.
func (w *world) finish() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, n := range w.broken {
		w.record("RESULT rule %s broken %d times", r, n)
		fmt.Printf("rule %s broken %d times\n", r, n)
	}
	if len(w.broken) > 0 {
		return 1
	}
	w.record("RESULT no rule broken")
	fmt.Println("no rule broken")
	return 0
}
