package state

import "chervilgauge.example/chervilgauge/internal/wire/recpb"

// maxEndedJobs is the maximum number of ended jobs that are kept for operators to read.
const maxEndedJobs = 1000

// JobPhase is the phase of a job.
type JobPhase uint8

// Phases of a job.
const (
	// Queued jobs wait for a placement.
	Queued JobPhase = iota + 1
	// Placed jobs are assigned to a worker.
	Placed
	// Cancelling jobs were cancelled while they were assigned to a worker.
	Cancelling
	// Succeeded jobs ended without a failure, also if they were being cancelled.
	Succeeded
	// Broken jobs ended with a failure and must not run again.
	Broken
	// Cancelled jobs were cancelled before they succeeded.
	Cancelled
)

// String returns the name of the phase.
func (p JobPhase) String() string {
	names := [...]string{"none", "queued", "placed", "cancelling", "succeeded", "broken", "cancelled"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// IsFinal reports whether a job in this phase has ended.
func (p JobPhase) IsFinal() bool { return p >= Succeeded }

// Job is a job that a team has submitted.
type Job struct {
	Name string
	// Version is the offset of the submission or the cancellation.
	Version uint64
	// Submitted is the offset of the submission.
	Submitted    uint64
	Team         string
	Cores        uint32
	Memory       uint64
	Accelerators uint32
	Urgency      uint32
	Idempotent   bool
	Checkpoint   bool
	Deadline     int64
	Phase        JobPhase
	// Worker is the instance of the last placement, empty if there was none.
	Worker string
	// Token is the offset of the last placement and its fencing token, 0 if there was
	// none.
	Token uint64
	// Failures is the number of placements that ended with a failure.
	Failures uint32
	// Ended is the offset at which the job ended, 0 if it has not ended.
	Ended uint64
}

// WithPhase returns the job with a phase.
func (j *Job) WithPhase(p JobPhase) *Job {
	n := *j
	n.Phase = p
	return &n
}

// WithEnd returns the job with a final phase that it reached at an offset.
func (j *Job) WithEnd(p JobPhase, offset uint64) *Job {
	n := *j
	n.Phase, n.Ended = p, offset
	return &n
}

func (j *Job) key() string { return j.Name }

func (j *Job) code(c *coder) {
	c.str(&j.Name)
	c.u64(&j.Version)
	c.u64(&j.Submitted)
	c.str(&j.Team)
	c.u32(&j.Cores)
	c.u64(&j.Memory)
	c.u32(&j.Accelerators)
	c.u32(&j.Urgency)
	c.boolean(&j.Idempotent)
	c.boolean(&j.Checkpoint)
	c.i64(&j.Deadline)
	codeEnum(c, &j.Phase)
	c.str(&j.Worker)
	c.u64(&j.Token)
	c.u32(&j.Failures)
	c.u64(&j.Ended)
}

func (s *State) applyJob(offset uint64, r *recpb.Job) Verdict {
	if !isValidName(r.GetName()) {
		return malformed
	}
	old, ok := s.jobs.get(r.GetName())
	var current uint64
	if ok {
		current = old.Version
	}
	if v, ok := checkBase(r.GetEdit(), current); !ok {
		return v
	}
	if r.GetEdit().GetRemove() {
		return s.cancelJob(offset, old)
	}
	if ok && !old.Phase.IsFinal() {
		return refused(Exists)
	}
	if _, ok := s.teams.get(r.GetTeam()); !ok {
		return refused(NotFound)
	}
	s.dropEnded(old)
	n := &Job{
		Name: r.GetName(), Version: offset, Submitted: offset, Team: r.GetTeam(),
		Cores: r.GetCores(), Memory: r.GetMemory(), Accelerators: r.GetAccelerators(),
		Urgency: r.GetUrgency(), Idempotent: r.GetIdempotent(), Checkpoint: r.GetCheckpoint(),
		Deadline: r.GetDeadline(), Phase: Queued,
	}
	s.setJob(n)
	return accepted
}

func (s *State) setJob(j *Job) { s.jobs = s.jobs.set(j) }

// endJob stores an ended job. If too many are kept, it drops the one that ended first.
func (s *State) endJob(j *Job) {
	s.setJob(j)
	s.endedJobs = s.endedJobs.with(j.Ended, j.Name)
	if s.endedJobs.size <= maxEndedJobs {
		return
	}
	_, name, _ := s.endedJobs.first()
	old, _ := s.jobs.get(name)
	s.dropEnded(old)
}

// dropEnded removes an ended job. It does nothing if the job is nil.
func (s *State) dropEnded(j *Job) {
	if j == nil {
		return
	}
	s.endedJobs = s.endedJobs.without(j.Ended)
	s.jobs = s.jobs.unset(j.Name)
}

// cancelJob ends a queued job at once. A placed job becomes Cancelling: its worker is
// ordered to cancel it, and the job ends with the record of its end.
func (s *State) cancelJob(offset uint64, old *Job) Verdict {
	if old == nil {
		return refused(NotFound)
	}
	n := *old
	n.Version = offset
	switch old.Phase {
	case Queued:
		s.endJob(n.WithEnd(Cancelled, offset))
	case Placed:
		s.setJob(n.WithPhase(Cancelling))
	default:
		return refused(WrongPhase)
	}
	return accepted
}

// applyPlaced assigns a job to a worker. The offset is the fencing token: an end is
// accepted only for the last placement. A placed job that is not idempotent can't be
// placed again, because it may have run under the earlier placement.
func (s *State) applyPlaced(offset uint64, r *recpb.Placed) Verdict {
	j, ok := s.jobs.get(r.GetJob())
	if !ok {
		return refused(NotFound)
	}
	if r.GetPrev() != j.Token {
		return conflict(j.Token)
	}
	if j.Phase != Queued && j.Phase != Placed {
		return refused(WrongPhase)
	}
	if j.Phase == Placed && !j.Idempotent {
		return refused(NotIdempotent)
	}
	w, ok := s.instances.get(r.GetWorker())
	if !ok {
		return refused(NotFound)
	}
	if w.Phase != Serving {
		return refused(UnderGrant)
	}
	n := j.WithPhase(Placed)
	n.Worker, n.Token = w.Name, offset
	s.setJob(n)
	return accepted
}

func (s *State) applyEnded(offset uint64, r *recpb.Ended) Verdict {
	j, ok := s.jobs.get(r.GetJob())
	if !ok {
		return refused(NotFound)
	}
	if r.GetToken() != j.Token {
		return conflict(j.Token)
	}
	if j.Phase != Placed && j.Phase != Cancelling {
		return refused(WrongPhase)
	}
	n := *j
	if r.GetFailed() {
		n.Failures++
	}
	switch {
	case !r.GetFailed():
		s.endJob(n.WithEnd(Succeeded, offset))
	case j.Phase == Cancelling:
		s.endJob(n.WithEnd(Cancelled, offset))
	case !j.Idempotent:
		s.endJob(n.WithEnd(Broken, offset))
	default:
		s.setJob(n.WithPhase(Queued))
	}
	return accepted
}
