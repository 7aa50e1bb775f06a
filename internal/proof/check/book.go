package check

import (
	"strconv"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/internal/jobs/track"
)

const jobID = "j"

// attemptsPerToken is the step between the first attempts of successive leaders, which is larger in
// serve/leader.
const attemptsPerToken = 16

// keyOf returns the key of an executor's incarnation in a tracker.
func keyOf(exec, born uint8) string { return strconv.Itoa(int(exec)) + "@" + strconv.Itoa(int(born)) }

// open restores a tracker.
func (m *Model) open(b *book, now tick) *track.Tracker {
	tr := track.New(0)
	if !b.known {
		return tr
	}
	j := tr.Accept(jobID, m.queue, m.spec, 0, 0)
	for i, t := range j.Open[0].Steps[0].Tasks {
		from := &b.tasks[i]
		if r := from.run; r.attempt != 0 {
			to := tr.BeginRun(t, keyOf(r.exec, r.born), int(r.attempt), m.at(r.since))
			to.Fence, to.Phase, to.MissedLists = fenceOf(r.token, r.raises), r.phase, int(r.missed)
		}
		t.Attempt, t.Unresolved = int(from.attempt), from.unresolved
	}
	for i := range m.tasks {
		if b.tasks[i].done {
			tr.ApplyEnd("", model.End{Task: taskID(i), Ending: model.EndedDone}, true, 0)
		}
	}
	tr.TakeChanges()
	return tr
}

// save stores a tracker. Runs keep the fencing token of the book, or get that of the member.
func (m *Model) save(b *book, tr *track.Tracker, e *entry) {
	old := *b
	*b = book{dirty: old.dirty || tr.HasChanges()}
	j := tr.Job(jobID)
	if j == nil {
		return
	}
	b.known, b.over = true, j.IsOver()
	for i := range m.tasks {
		t, to := j.Task(taskID(i)), &b.tasks[i]
		if t == nil {
			to.done = true
			continue
		}
		to.done, to.unresolved, to.attempt = t.Done, t.Unresolved, uint8(t.Attempt)
		if len(t.Runs) == 0 {
			continue
		}
		r := t.Runs[0]
		to.run = run{attempt: uint8(r.Attempt), missed: uint8(r.MissedLists), phase: r.Phase, since: tick(r.PhaseSince / m.tick)}
		for x := range e.members {
			if keyOf(uint8(x), e.members[x].born) == r.Executor {
				to.run.exec, to.run.born = uint8(x), e.members[x].born
			}
		}
		if prev := old.tasks[i].run; prev.attempt == to.run.attempt {
			to.run.token, to.run.raises = prev.token, prev.raises
		}
	}
}

func taskID(i int) model.TaskID { return model.TaskID{Job: jobID, Index: i} }

// encodeRecords encodes the records that the store can hold.
func (m *Model) encodeRecords() {
	m.job = track.JobRecord(jobID, m.queue, m.account, []byte("body"), 0)
	m.ownJob = track.LeaderlessJobRecord(jobID, m.queue, m.account, []byte("body"), 0)
	for done := 1; done < 1<<m.tasks; done++ {
		tr := track.New(0)
		tr.Accept(jobID, m.queue, m.spec, 0, 0)
		for i := range m.tasks {
			if done&(1<<i) != 0 {
				tr.ApplyEnd("", model.End{Task: taskID(i), Ending: model.EndedDone}, true, 0)
			}
		}
		records := tr.TakeChanges().Records
		if done == 1<<m.tasks-1 {
			m.ended = records[0]
			continue
		}
		m.progress[done] = records[0]
	}
}

// load builds the tracker of a new leader from the records in the store.
func (m *Model) load(s *state, e *entry) *track.Tracker {
	l := track.NewLoader(func([]byte) (model.JobSpec, error) { return m.spec, nil })
	add := func(present bool, r track.Record) {
		if !present {
			return
		}
		if err := l.Add(r.Key, r.Value); err != nil {
			panic(err) // the model encoded the record
		}
	}
	add(s.store.job && !s.store.ended, m.job)
	add(s.store.ended, m.ended)
	add(s.store.done != 0 && !s.store.ended, m.progress[s.store.done&(1<<m.tasks-1)])
	add(s.store.leaderless, m.ownJob)
	tr, _ := l.Load(int(e.token)*attemptsPerToken, m.at(s.now), time.Duration(0))
	return tr
}
