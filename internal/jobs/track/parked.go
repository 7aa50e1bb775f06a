package track

import (
	"cmp"
	"slices"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/wire/workpb"
)

// Size is what the memory of a job depends on.
type Size struct {
	Steps, Tasks int
	// Payload and Body are the sizes in bytes of the payload and of the submission.
	Payload, Body int
}

// parked is a loaded job in the form in which it was stored, without its steps and tasks.
type parked struct {
	work     *workpb.Work
	progress map[progressID]*workpb.Mark
	size     Size
	// need bounds what runs of an earlier leader may need.
	need Left
	// isNew is set for a job that was stored after the load: no earlier leader has started any of its tasks.
	isNew bool
}

// parkedState is the state of a tracker for parked jobs. A parked job is known to callers, and none of its tasks
// can start. It is expanded once there is room for it, if an executor lists a run of it, or if it is cancelled.
type parkedState struct {
	decode func([]byte) (model.JobSpec, error)
	// parked are in the order in which they are to be expanded. Those that were expanded are removed later.
	parked []*Job
	// parkedListed is set once no run of an earlier leader is unlisted.
	parkedListed bool
	// expanded are the jobs that were expanded since the last call to TakeExpanded.
	expanded []*Job
}

// Room decides whether a loaded job is expanded at once.
type Room func(Size) bool

// Stored returns the number of jobs that have not ended and the size of their submissions.
func (l *Loader) Stored() (jobs, bytes int) {
	for _, w := range l.jobs {
		bytes += len(w.GetBody())
	}
	return len(l.jobs), bytes
}

// order returns the IDs of the jobs in the order in which they are to be expanded: those with progress, whose
// tasks may run, first; then the first job of each client account, the second, and so on, so that one with
// many jobs does not keep the others waiting.
func (l *Loader) order() []string {
	type entry struct {
		id       string
		waits    int // 1 for a job without progress
		turn     int
		account  string
		accepted int64
	}
	all := make([]entry, 0, len(l.jobs))
	for id, w := range l.jobs {
		e := entry{id: id, account: w.GetAccount(), accepted: w.GetAccepted()}
		if len(l.progress[id]) == 0 {
			e.waits = 1
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.id, b.id))
	})
	turns := map[string]int{}
	for i := range all {
		all[i].turn = turns[all[i].account]
		turns[all[i].account]++
	}
	slices.SortStableFunc(all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.waits, b.waits), cmp.Compare(a.turn, b.turn))
	})
	ids := make([]string, len(all))
	for i, e := range all {
		ids[i] = e.id
	}
	return ids
}

// sizeOf returns the size of a job by its specification and the size of its submission.
func sizeOf(spec *model.JobSpec, body int) Size {
	return Size{Steps: len(spec.Steps), Tasks: spec.TaskCount(), Payload: len(spec.Payload), Body: body}
}

// Size returns what the memory of the job depends on.
func (j *Job) Size() Size {
	if j.parked != nil {
		return j.parked.size
	}
	return sizeOf(&j.Spec, j.BodyBytes)
}

// park adds a loaded job without its steps and tasks.
func (tr *Tracker) park(id string, w *workpb.Work, spec *model.JobSpec, progress map[progressID]*workpb.Mark, now, wall time.Duration) {
	occurrences := 1
	if spec.Scheduled {
		occurrences = (&Job{Spec: *spec}).mayHaveOpened(wall)
	}
	p := &parked{work: w, progress: progress, size: sizeOf(spec, len(w.GetBody())), need: occurrenceNeed(spec, occurrences)}
	j := newJob(id, settingsOf(w), w.GetAccount(), millis(w.GetAccepted()))
	j.SeenAt = now
	j.parked, j.BodyBytes = p, len(w.GetBody())
	for _, m := range progress {
		j.begun = j.begun || showsBegun(m)
	}
	tr.jobs[id] = j
	tr.parked = append(tr.parked, j)
}

// AcceptLeaderless adds a job that an entry stored while it had no leader and returns it. It is parked if there is
// no room for it.
func (tr *Tracker) AcceptLeaderless(r LeaderlessRecord, room Room, now time.Duration) *Job {
	if tr.decode != nil && !tr.HasEarlyCancel(r.ID) && tr.jobs[r.ID] == nil &&
		!room(sizeOf(r.Spec, len(r.work.GetBody()))) {
		tr.park(r.ID, r.work, r.Spec, nil, now, 0)
		j := tr.jobs[r.ID]
		j.parked.isNew, j.parked.need = true, Left{}
		return j
	}
	j := tr.Accept(r.ID, r.Settings, *r.Spec, r.Accepted, now)
	j.BodyBytes = len(r.work.GetBody())
	return j
}

// IsParked reports whether the job is known without its steps and tasks, none of which can start yet.
func (j *Job) IsParked() bool { return j.parked != nil }

// Parked returns the parked jobs in the order in which they are to be expanded.
func (tr *Tracker) Parked() []*Job {
	tr.parked = slices.DeleteFunc(tr.parked, func(j *Job) bool { return j.parked == nil })
	return tr.parked
}

// Expand adds the steps and tasks of a parked job. Those that an earlier leader may have started are
// unresolved. It has no effect on other jobs.
func (tr *Tracker) Expand(id string, wall time.Duration) {
	j := tr.jobs[id]
	if j == nil || j.parked == nil {
		return
	}
	p := j.parked
	spec, err := tr.decode(p.work.GetBody())
	if err != nil {
		return // it was decoded when it was loaded
	}
	j.parked = nil
	spec.Account = j.Account
	tr.build(j, spec)
	tr.active[j.ID] = j
	if !p.isNew {
		tr.restoreJob(j, p.progress, wall)
	}
	tr.expanded = append(tr.expanded, j)
}

// TakeExpanded returns the jobs that were expanded since the last call.
func (tr *Tracker) TakeExpanded() []*Job {
	out := tr.expanded
	tr.expanded = nil
	return out
}

// addParked adds what runs of parked jobs may need that executors may list yet.
func (tr *Tracker) addParked(out map[string]Left) {
	if tr.parkedListed {
		return
	}
	for _, j := range tr.parked {
		if j.parked != nil && j.Account != "" {
			out[j.Account] = out[j.Account].Plus(j.parked.need)
		}
	}
}
