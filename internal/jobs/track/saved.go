package track

// ObserveCheckpoint records the checkpoint that an executor lists for a run, if it lists one.
func (tr *Tracker) ObserveCheckpoint(r *Run, value string) {
	if value != "" && value != r.Checkpoint {
		tr.checkpointsSeen++
		r.Checkpoint, r.savedSeen, r.savedPercent = value, tr.checkpointsSeen, r.Percent
	}
}

// keepCheckpoint keeps the checkpoint of an ended run for the next one, unless a later attempt, or another
// member of the gang after it, has written one.
func (tr *Tracker) keepCheckpoint(t *Task, value string, attempt int, seen int64) {
	o := t.owner()
	if value == "" || value == o.Checkpoint || t.Done || attempt < o.savedBy || attempt == o.savedBy && seen < o.savedSeen {
		return
	}
	o.Checkpoint, o.savedBy, o.savedSeen = value, attempt, seen
	tr.markDirty(t.Step.Occ, t.part())
}
