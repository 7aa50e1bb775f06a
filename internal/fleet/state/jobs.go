package state

import "chervilgauge.example/chervilgauge/internal/wire/recpb"

// maxEnded is the number of ended jobs that are kept for operators to read.
const maxEnded = 1000

// JobPhase is the phase of a job.
type JobPhase uint8

// Phases of a job.
const (
	// Queued jobs wait for a placement.
	Queued JobPhase = iota + 1
	// Placed jobs are assigned to a worker.
	Placed
	// Cancelling jobs are assigned to a worker and were cancelled.
	Cancelling
	// Succeeded jobs ended without a failure.
	Succeeded
	// Broken jobs ended with a failure and must not run again.
	Broken
	// Cancelled jobs were cancelled before they ended.
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

// Final says whether the job has ended.
func (p JobPhase) Final() bool { return p >= Succeeded }

// Job is a job of a team.
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
	// Worker is the worker of the last placement, empty if there was none.
	Worker string
	// Token is the offset of the last placement, 0 if there was none.
	Token uint64
	// Failures is the number of placements that ended with a failure.
	Failures uint32
	// Ended is the offset at which the job ended, 0 if it has not.
	Ended uint64
}

// WithPhase returns the job in a phase.
func (j *Job) WithPhase(p JobPhase) *Job {
	n := *j
	n.Phase = p
	return &n
}

// WithEnd returns the job as ended at an offset.
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
	c.flag(&j.Idempotent)
	c.flag(&j.Checkpoint)
	c.i64(&j.Deadline)
	number(c, &j.Phase)
	c.str(&j.Worker)
	c.u64(&j.Token)
	c.u32(&j.Failures)
	c.u64(&j.Ended)
}

func (s *State) job(offset uint64, r *recpb.Job) Verdict {
	if !named(r.GetName()) {
		return malformed
	}
	old, ok := s.jobs.get(r.GetName())
	var current uint64
	if ok {
		current = old.Version
	}
	if v, ok := base(r.GetEdit(), current); !ok {
		return v
	}
	if r.GetEdit().GetRemove() {
		return s.cancelJob(offset, old)
	}
	if ok && !old.Phase.Final() {
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

// endJob stores an ended job and drops the one that ended first if too many are kept.
func (s *State) endJob(j *Job) {
	s.setJob(j)
	s.ended = s.ended.with(j.Ended, j.Name)
	if s.ended.size <= maxEnded {
		return
	}
	_, name, _ := s.ended.first()
	old, _ := s.jobs.get(name)
	s.dropEnded(old)
}

// dropEnded forgets an ended job, nil for none.
func (s *State) dropEnded(j *Job) {
	if j == nil {
		return
	}
	s.ended = s.ended.without(j.Ended)
	s.jobs = s.jobs.unset(j.Name)
}

// cancelJob cancels a queued job at once. The worker of a placed job is told, and
// the job ends with the record of its end.
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

// placed assigns a job. The offset is the fencing token: only the end of the last
// placement counts. A non-idempotent job is placed once, because a placement that
// is taken back may have run.
func (s *State) placed(offset uint64, r *recpb.Placed) Verdict {
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
		return refused(Busy)
	}
	n := j.WithPhase(Placed)
	n.Worker, n.Token = w.Name, offset
	s.setJob(n)
	return accepted
}

func (s *State) end(offset uint64, r *recpb.Ended) Verdict {
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
