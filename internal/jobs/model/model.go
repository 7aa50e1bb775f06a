// Package model holds the types that the decisions about jobs share: jobs with their steps,
// executors, instances, waves and the configuration. Values don't change once they are built.
package model

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Amount is an amount of each resource of an executor.
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

// Max returns the larger amount of each resource.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.Cores, b.Cores), max(a.Memory, b.Memory), max(a.Accelerators, b.Accelerators)}
}

// Min returns the smaller amount of each resource.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.Cores, b.Cores), min(a.Memory, b.Memory), min(a.Accelerators, b.Accelerators)}
}

// FitsIn reports whether a is not larger than b in any resource.
func (a Amount) FitsIn(b Amount) bool {
	return a.Cores <= b.Cores && a.Memory <= b.Memory && a.Accelerators <= b.Accelerators
}

// Times returns a multiplied by n.
func (a Amount) Times(n int64) Amount {
	return Amount{a.Cores * n, a.Memory * n, a.Accelerators * n}
}

// maxScaled bounds what Scale returns, so that sums of it don't overflow.
const maxScaled = 1 << 53

// Scale returns a multiplied by f, rounded to whole units and limited to 2^53 of them.
func (a Amount) Scale(f float64) Amount {
	part := func(x int64) int64 { return int64(math.Round(max(min(float64(x)*f, maxScaled), -maxScaled))) }
	return Amount{part(a.Cores), part(a.Memory), part(a.Accelerators)}
}

// Share returns the largest share, over all resources, that a takes of total.
func (a Amount) Share(total Amount) float64 {
	part := func(x, y int64) float64 {
		if x <= 0 {
			return 0
		}
		return float64(x) / float64(max(y, 1))
	}
	return max(part(a.Cores, total.Cores), part(a.Memory, total.Memory), part(a.Accelerators, total.Accelerators))
}

// Step is one step of a job. Its tasks are alike.
type Step struct {
	Count int
	// Need is what each task needs of an executor's capacity.
	Need Amount
	// Estimate is the submitter's estimate of a task's run time. It is often far off.
	Estimate time.Duration
	// After lists the numbers of the earlier steps that must be done first.
	After []int
	// WritesCheckpoints is set if tasks write checkpoints.
	WritesCheckpoints bool
	// Gang is set if tasks make progress only while all of them run.
	Gang bool
	// OneRack is set if tasks run slower when they are spread over several racks.
	OneRack bool
	// AllowsCopies is set if several runs of a task may run at the same time.
	AllowsCopies bool
	// LongRunning is set if tasks run until the job is cancelled.
	LongRunning bool
	// BestEffort is set if tasks use only cores that others leave unused.
	BestEffort bool
	// Label is a label that the executor must have, empty for none.
	Label string
	// Rack is the rack of the data, empty for none.
	Rack string
	// MaxPerExecutor is the largest number of tasks of the step on one executor, 0 for no limit.
	MaxPerExecutor int
	// Image names the program of the tasks. Tasks with the same image behave alike.
	Image string
	// LatencyObjective is the latency objective of serving tasks, 0 for none.
	LatencyObjective time.Duration
	// MaxUnavailable is the largest number of tasks that the system may make unavailable at a time,
	// -1 for no limit.
	MaxUnavailable int
}

// Reservation returns what a task reserves of an executor's capacity. Best-effort tasks reserve no
// cores.
func (s *Step) Reservation() Amount {
	if s.BestEffort {
		return Amount{Memory: s.Need.Memory, Accelerators: s.Need.Accelerators}
	}
	return s.Need
}

// JobSpec is a job as it was submitted.
type JobSpec struct {
	// Payload is passed to the executor with each start.
	Payload string
	Steps   []Step
	// Repeats is the number of occurrences, 1 for a job that is not scheduled.
	Repeats int
	// Scheduled is set if occurrences have due times.
	Scheduled bool
	// Start is when the first occurrence is due, in Unix time.
	Start time.Duration
	// Period is the time between occurrences.
	Period time.Duration
	// Account is the client account that submitted the job, empty for none.
	Account string
}

// TaskCount returns the number of tasks of one occurrence.
func (s *JobSpec) TaskCount() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// LongestChain returns the run time of the longest chain of dependent steps, with the run time of
// each step given by its number.
func (s *JobSpec) LongestChain(runtime func(step int) time.Duration) time.Duration {
	var longest time.Duration
	var few [8]time.Duration
	ends := few[:]
	if len(s.Steps) > len(few) {
		ends = make([]time.Duration, len(s.Steps))
	}
	for i := range s.Steps {
		for _, a := range s.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += runtime(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// IsLongRunning reports whether any step is long-running.
func (s *JobSpec) IsLongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// TaskID identifies a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name at executors.
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

// ParseTaskID parses a name that String returned. It returns false for any other text.
func ParseTaskID(s string) (TaskID, bool) {
	var t TaskID
	fields := strings.Split(s, ".")
	if len(fields) != 4 || fields[0] == "" {
		return t, false
	}
	t.Job = fields[0]
	for i, dst := range [...]*int{&t.Occurrence, &t.Step, &t.Index} {
		f := fields[i+1]
		n, err := strconv.Atoi(f)
		if err != nil || f[0] < '0' || f[0] > '9' || f[0] == '0' && len(f) > 1 {
			return t, false
		}
		*dst = n
	}
	return t, true
}

// State is the state of a job.
type State uint8

// States of a job. Unknown jobs were never accepted or have been forgotten.
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

// IsFinal reports whether the state can no longer change.
func (s State) IsFinal() bool { return s >= Complete }

// Advice describes the policy service of a queue.
type Advice struct {
	// DecisionTime is the time that the service takes for a decision, and PerExecutor the
	// additional time for each executor in the request.
	DecisionTime time.Duration
	PerExecutor  time.Duration
	// TicketTTL is how long a ticket can be used.
	TicketTTL time.Duration
}

// Queue is a route of the configuration: its jobs go to one service.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 goes first.
	Priority int
	// Attempts is the number of failed runs of a task after which its job fails.
	Attempts int
	// Slack and Objective determine the completion objective of a job: Slack times the run time of
	// its longest chain of steps, plus Objective.
	Slack     float64
	Objective time.Duration
	Timeout   time.Duration
	// Advice is nil if any executor may run the tasks.
	Advice *Advice
	// Anonymous is set if its callers need no key.
	Anonymous bool
}

// Service is a pool of instances with one executor each.
type Service struct {
	Name string
	// EnforcesCapacity is set if its executors refuse runs that don't fit.
	EnforcesCapacity bool
	// Standby is set if its instances are off and cost nothing.
	Standby bool
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	// BodyLimit is the largest body of a request, in bytes.
	BodyLimit int64
	// HeaderLimit is the largest header of a request, in bytes.
	HeaderLimit int
	// HeaderTimeout and IdleTimeout are the timeouts of the callers' connections.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// ChecksKeys is set if the configuration has client accounts: calls to queues that are not
	// anonymous need a key then.
	ChecksKeys bool
	Accounts   []Account

	byName   map[string]*Queue
	accounts map[string]*Account
	keys     map[KeyDigest]accountKey
}

// Indexed returns the configuration with indexes of its queues and accounts. A large configuration has
// hundreds of queues, and each decision about a job looks one up.
func (c Config) Indexed() *Config {
	c.byName = make(map[string]*Queue, len(c.Queues))
	for i := range c.Queues {
		c.byName[c.Queues[i].Name] = &c.Queues[i]
	}
	c.indexAccounts()
	return &c
}

// Match returns the queue for a host and path, and the rest of the path after the queue's prefix.
// The longest prefix wins. It returns nil if there is none.
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

// Queue returns a queue by name, or nil.
func (c *Config) Queue(name string) *Queue {
	return c.byName[name]
}

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Executor is an executor as it reports itself.
type Executor struct {
	// ID may be reused by a later incarnation.
	ID string
	// StartMillis is the Unix time of its start in milliseconds. It distinguishes incarnations.
	StartMillis int64
	Service     string
	Addr        string
	Centre      string
	Capacity    Amount
	Labels      []string
	// Rack is one of the labels.
	Rack     string
	Draining bool
	// Remaining is the least time that a draining executor has left.
	Remaining time.Duration
	// Instance is the instance that the executor runs on, empty if it does not report one.
	Instance string
}

// HasLabel reports whether the executor has a label. Every executor has the empty one.
func (e *Executor) HasLabel(label string) bool {
	return label == "" || slices.Contains(e.Labels, label)
}

// Phase is the phase of an instance on the platform.
type Phase uint8

// Phases of an instance. Other stands for unknown phases.
const (
	Other Phase = iota
	Up
	Moving
	Maintenance
	Down
)

// Instance is an instance as the platform lists it.
type Instance struct {
	Name     string
	Pool     string
	Phase    Phase
	Centre   string
	Labels   []string
	Rack     string
	Capacity Amount
	// Executor is the ID of the executor on it, empty for none.
	Executor string
}

// Wave is an order for the maintenance of instances.
type Wave struct {
	Number    int64
	Instances []string
	// Window is how long the wave may take from when it was ordered.
	Window time.Duration
	// MaxConcurrent is the largest number of instances that may be down for it at a time.
	MaxConcurrent int
}

// Ending is how a run ended.
type Ending uint8

// Endings of a run. Stopped, lapsed, broken and alone runs can be continued from their checkpoint.
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

// Run is a run that an executor lists.
type Run struct {
	Task    TaskID
	Attempt int
	// Checkpoint is its last checkpoint, empty for none.
	Checkpoint string
	// Percent is the progress in percent, 100 for a serving long-running task.
	Percent float64
	// Metric is the tail latency in milliseconds of a serving task, and the cores in use, in
	// thousandths, of any other task.
	Metric int64
}

// End is a run that has ended.
type End struct {
	// Seq numbers the ends of an executor's incarnation, starting at 1.
	Seq        int64
	Task       TaskID
	Attempt    int
	Ending     Ending
	Checkpoint string
}
