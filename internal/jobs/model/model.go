// Package model holds the types that the decisions about jobs share: jobs with their
// steps, executors, instances, waves and the configuration. Values are not changed
// after they were built.
package model

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Amount is an amount of an executor's resources.
type Amount struct {
	// Cores is in thousandths of a core.
	Cores int64
	// Memory is in MiB.
	Memory       int64
	Accelerators int64
}

// Plus returns the sum.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.Cores + b.Cores, a.Memory + b.Memory, a.Accelerators + b.Accelerators}
}

// Minus returns the difference.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.Cores - b.Cores, a.Memory - b.Memory, a.Accelerators - b.Accelerators}
}

// Within says whether a fits into b.
func (a Amount) Within(b Amount) bool {
	return a.Cores <= b.Cores && a.Memory <= b.Memory && a.Accelerators <= b.Accelerators
}

// Times returns a multiplied by n.
func (a Amount) Times(n int64) Amount {
	return Amount{a.Cores * n, a.Memory * n, a.Accelerators * n}
}

// Scale returns a multiplied by f, rounded to whole units.
func (a Amount) Scale(f float64) Amount {
	part := func(x int64) int64 { return int64(math.Round(float64(x) * f)) }
	return Amount{part(a.Cores), part(a.Memory), part(a.Accelerators)}
}

// Share returns the largest share of total that a takes of any resource.
func (a Amount) Share(total Amount) float64 {
	part := func(x, y int64) float64 {
		if x <= 0 {
			return 0
		}
		return float64(x) / float64(max(y, 1))
	}
	return max(part(a.Cores, total.Cores), part(a.Memory, total.Memory), part(a.Accelerators, total.Accelerators))
}

// Step is one step of a job: tasks that are alike.
type Step struct {
	Count int
	// Need is what each task takes of an executor.
	Need Amount
	// Estimate is the submitter's estimate of a task's run time, often far off.
	Estimate time.Duration
	// After lists the earlier steps that must be done first.
	After []int
	// Saves says that tasks write checkpoints.
	Saves bool
	// Gang tasks work only while all of them run.
	Gang bool
	// OneRack tasks run slower when they are spread over several racks.
	OneRack bool
	// Copies says that several runs of a task may go on at the same time.
	Copies bool
	// Lasts says that the tasks run until the job is cancelled.
	Lasts bool
	// Fills says that the tasks take only cores that others leave unused.
	Fills bool
	// Label is one that the executor must have, empty for none.
	Label string
	// Rack is where the data is, empty for anywhere.
	Rack string
	// Spread is the most tasks of the step on one executor, 0 for any number.
	Spread int
	// Image names what the tasks run; tasks of an image behave alike.
	Image string
	// Target is the latency objective of tasks that serve, 0 for none.
	Target time.Duration
	// MayMiss is how many tasks may be away at a time because of the system, -1 for any
	// number.
	MayMiss int
}

// Room is what a task takes of an executor's capacity. Tasks that fill take no cores.
func (s *Step) Room() Amount {
	if s.Fills {
		return Amount{Memory: s.Need.Memory, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// Work is one job as it was submitted.
type Work struct {
	// Spec is handed to the executor with each start.
	Spec  string
	Steps []Step
	// Repeats is how many times the steps run, 1 for a job without times.
	Repeats int
	// Timed says that occurrences have due times.
	Timed bool
	// Start is when the first occurrence is due, in Unix time.
	Start time.Duration
	// Period is the time between occurrences.
	Period time.Duration
}

// Tasks returns the number of tasks of one occurrence.
func (w *Work) Tasks() int {
	n := 0
	for i := range w.Steps {
		n += w.Steps[i].Count
	}
	return n
}

// Lasts says whether any step lasts.
func (w *Work) Lasts() bool {
	for i := range w.Steps {
		if w.Steps[i].Lasts {
			return true
		}
	}
	return false
}

// TaskID names one task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name that executors know the task by.
func (t TaskID) String() string {
	var b strings.Builder
	b.Grow(len(t.Job) + 12)
	b.WriteString(t.Job)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b.WriteByte('.')
		b.WriteString(strconv.Itoa(n))
	}
	return b.String()
}

// ParseTask reads a name that String wrote. It returns false for any other text.
func ParseTask(s string) (TaskID, bool) {
	var t TaskID
	fields := strings.Split(s, ".")
	if len(fields) != 4 || fields[0] == "" {
		return t, false
	}
	t.Job = fields[0]
	for i, dst := range [...]*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(fields[i+1])
		if err != nil || n < 0 {
			return t, false
		}
		*dst = n
	}
	return t, true
}

// State is the state of a job.
type State uint8

// States of a job. Unknown jobs were never accepted, or are forgotten.
const (
	Unknown State = iota
	Queued
	Active
	Complete
	Failed
	Cancelled
)

// String returns the state's name for logs.
func (s State) String() string {
	return [...]string{"unknown", "queued", "active", "complete", "failed", "cancelled"}[s]
}

// Final says whether the state does not change any more.
func (s State) Final() bool { return s >= Complete }

// Advice is the policy service of a queue.
type Advice struct {
	// Decision is the time of a decision, and Each that for each executor asked about.
	Decision time.Duration
	Each     time.Duration
	// Valid is how long a ticket can be used.
	Valid time.Duration
}

// Queue is a route of the configuration: its jobs go to one service.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 comes first.
	Priority int
	// Attempts is how often a run of a task may fail.
	Attempts int
	// Slack and Objective make up the completion objective of a job: Slack times its
	// longest chain of work, and Objective more.
	Slack     float64
	Objective time.Duration
	Timeout   time.Duration
	// Advice is nil where any executor may run the tasks.
	Advice *Advice
}

// Service is a pool of instances with one executor each.
type Service struct {
	Name string
	// Guards says that its executors refuse what does not fit.
	Guards bool
	// Standby instances are off and cost nothing.
	Standby bool
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	// BodyLimit is the largest body of a request in bytes.
	BodyLimit int64
	// HeaderLimit is the largest header of a request in bytes.
	HeaderLimit int
	// HeaderTimeout and IdleTimeout bound the callers' connections.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration

	byName map[string]*Queue
}

// Indexed returns the configuration with an index of its queues: it is asked for a
// queue with each decision about a job, and large ones have hundreds.
func (c Config) Indexed() *Config {
	c.byName = make(map[string]*Queue, len(c.Queues))
	for i := range c.Queues {
		c.byName[c.Queues[i].Name] = &c.Queues[i]
	}
	return &c
}

// Match returns the queue of a host and path, and what follows the queue's prefix. The
// longest prefix wins. It returns nil if there is none.
func (c *Config) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns the queue of a name, or nil.
func (c *Config) Queue(name string) *Queue {
	return c.byName[name]
}

// Service returns the service of a name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Executor is one executor as it reports itself.
type Executor struct {
	// ID may be used again by a later incarnation.
	ID string
	// Born tells incarnations apart: the Unix milliseconds of the start.
	Born     int64
	Service  string
	Addr     string
	Zone     string
	Capacity Amount
	Labels   []string
	// Rack is one of the labels.
	Rack     string
	Draining bool
	// Remaining is the least time that a draining executor has left.
	Remaining time.Duration
	// Instance is the machine that the executor runs on, where it says so.
	Instance string
}

// HasLabel says whether the executor has a label. Every executor has the empty one.
func (e *Executor) HasLabel(label string) bool {
	return label == "" || slices.Contains(e.Labels, label)
}

// Phase is what the platform does with an instance.
type Phase uint8

// Phases of an instance. Other covers words that are not known here.
const (
	Other Phase = iota
	Up
	Moving
	Upkeep
	Down
)

// Instance is one machine as the platform lists it.
type Instance struct {
	Name     string
	Pool     string
	Phase    Phase
	Zone     string
	Labels   []string
	Rack     string
	Capacity Amount
	// Executor is the ID of the executor on it, empty for none.
	Executor string
}

// Wave asks for the upkeep of instances.
type Wave struct {
	Number    int64
	Instances []string
	// Within is how long the wave may take from when it was asked for.
	Within time.Duration
	// AtOnce is the most instances that may be down for it at a time.
	AtOnce int
}

// Ending is how a run ended.
type Ending uint8

// Endings of a run. Stopped, Lapsed, Broken and Alone runs can be continued from their
// checkpoint.
const (
	EndedOther Ending = iota
	EndedDone
	EndedFailed
	EndedStopped
	EndedLapsed
	EndedBroken
	EndedAlone
)

// String returns the ending's name for logs.
func (e Ending) String() string {
	return [...]string{"other", "done", "failed", "stopped", "lapsed", "broken", "alone"}[e]
}

// Run is one run that an executor lists.
type Run struct {
	Task    TaskID
	Attempt int
	// Saved is its last checkpoint, empty for none.
	Saved string
	// Percent of the work that is done; 100 for a task that lasts and is at work.
	Percent float64
	// Tail is the tail latency of a task that serves, in milliseconds, and the cores in
	// use, in thousandths, of any other task.
	Tail int64
}

// End is one run that ended.
type End struct {
	// Seq numbers the ends of an executor's incarnation from 1.
	Seq     int64
	Task    TaskID
	Attempt int
	How     Ending
	Saved   string
}
