package state

import "chervilgauge.example/chervilgauge/internal/wire/recpb"

const (
	// Schema is the newest version of the record schema that Apply accepts.
	Schema = 1
	// idLen is the length of a record id in bytes.
	idLen = 16
	// maxNameLen is the maximum length of an object name in bytes.
	maxNameLen = 253
	// maxChangeLen is the maximum length of a change id in bytes.
	maxChangeLen = 128
)

// Apply returns the state after the record at an offset of the control stream, and the
// verdict on the record. Offsets must increase: a record at or before the applied offset
// is refused and changes nothing. Every other record advances the applied offset, even
// if it is refused.
func (s *State) Apply(offset uint64, r *recpb.Record) (*State, Verdict) {
	if offset <= s.applied {
		return s, refused(OutOfOrder)
	}
	n := *s
	n.applied = offset
	v := n.applyRecord(offset, r)
	return &n, v
}

// applyRecord skips records that this version can't judge and returns the prior verdict
// for a record id that was judged before.
func (s *State) applyRecord(offset uint64, r *recpb.Record) Verdict {
	switch {
	case r.GetSchema() > Schema:
		s.skipped.Newer++
		return refused(NewerSchema)
	case len(r.GetId()) != idLen:
		s.skipped.Malformed++
		return malformed
	case r.GetBody() == nil:
		s.skipped.Unknown++
		return refused(UnknownBody)
	}
	if _, ok := r.GetBody().(*recpb.Record_Snapshot); ok {
		return accepted
	}
	id, change := string(r.GetId()), editIn(r).GetChange()
	if old, ok := s.ids.get(id); ok {
		return old.Verdict.asDuplicate(old.Offset)
	}
	v := s.applyChange(offset, change, r)
	if v.Reason == Malformed {
		s.skipped.Malformed++
	}
	s.ids = s.ids.add(&PriorVerdict{id, offset, v})
	return v
}

// applyChange judges a record unless a record with the same change id was judged before.
// A refused change id stays refused; the operator must retry under a new change id.
func (s *State) applyChange(offset uint64, id string, r *recpb.Record) Verdict {
	if id == "" {
		return s.applyBody(offset, r)
	}
	if len(id) > maxChangeLen {
		return malformed
	}
	if old, ok := s.changes.get(id); ok {
		return old.Verdict.asDuplicate(old.Offset)
	}
	v := s.applyBody(offset, r)
	s.changes = s.changes.add(&PriorVerdict{id, offset, v})
	return v
}

// ChangeVerdict returns the verdict on an operator's change, and false if the change id
// is unknown or its verdict was dropped.
func (s *State) ChangeVerdict(id string) (PriorVerdict, bool) {
	v, ok := s.changes.get(id)
	if !ok {
		return PriorVerdict{}, false
	}
	return *v, true
}

// RecordVerdict returns the verdict on a record, and false if the record id is unknown
// or its verdict was dropped.
func (s *State) RecordVerdict(id []byte) (PriorVerdict, bool) {
	v, ok := s.ids.get(string(id))
	if !ok {
		return PriorVerdict{}, false
	}
	return *v, true
}

// editIn returns the edit of an operator's change, nil for other records.
func editIn(r *recpb.Record) *recpb.Edit {
	switch b := r.GetBody().(type) {
	case *recpb.Record_Pool:
		return b.Pool.GetEdit()
	case *recpb.Record_Service:
		return b.Service.GetEdit()
	case *recpb.Record_Team:
		return b.Team.GetEdit()
	case *recpb.Record_Instance:
		return b.Instance.GetEdit()
	case *recpb.Record_Drain:
		return b.Drain.GetEdit()
	case *recpb.Record_Cancel:
		return b.Cancel.GetEdit()
	case *recpb.Record_Wave:
		return b.Wave.GetEdit()
	case *recpb.Record_Job:
		return b.Job.GetEdit()
	}
	return nil
}

// applyBody judges the body of a record and applies it if it is accepted. s is the new
// state: its setters replace tables of s and leave the previous state as it is.
func (s *State) applyBody(offset uint64, r *recpb.Record) Verdict {
	switch b := r.GetBody().(type) {
	case *recpb.Record_Pool:
		return s.applyPool(offset, b.Pool)
	case *recpb.Record_Service:
		return s.applyService(offset, b.Service)
	case *recpb.Record_Team:
		return s.applyTeam(offset, b.Team)
	case *recpb.Record_Instance:
		return s.applyInstance(offset, b.Instance)
	case *recpb.Record_Health:
		return s.applyHealth(offset, b.Health)
	case *recpb.Record_Wave:
		return s.applyWave(offset, b.Wave)
	case *recpb.Record_Step:
		return s.applyStep(b.Step)
	case *recpb.Record_Lease:
		return s.applyLease(offset, b.Lease)
	case *recpb.Record_Job:
		return s.applyJob(offset, b.Job)
	case *recpb.Record_Placed:
		return s.applyPlaced(offset, b.Placed)
	case *recpb.Record_Ended:
		return s.applyEnded(offset, b.Ended)
	}
	if v, ok := s.applyMemberBody(offset, r); ok {
		return v
	}
	return s.applyDrainBody(offset, r)
}

// applyMemberBody judges the records about members. It returns false for other records.
func (s *State) applyMemberBody(offset uint64, r *recpb.Record) (Verdict, bool) {
	switch b := r.GetBody().(type) {
	case *recpb.Record_Join:
		return s.applyJoin(offset, b.Join), true
	case *recpb.Record_Leave:
		return s.applyLeave(offset, b.Leave), true
	case *recpb.Record_Evict:
		return s.applyEvict(offset, b.Evict), true
	case *recpb.Record_Fence:
		return s.applyFence(offset, b.Fence), true
	}
	return Verdict{}, false
}

// applyDrainBody judges the records about drains and refuses all others as unknown.
func (s *State) applyDrainBody(offset uint64, r *recpb.Record) Verdict {
	switch b := r.GetBody().(type) {
	case *recpb.Record_Drain:
		return s.applyDrain(offset, b.Drain)
	case *recpb.Record_Drained:
		return s.applyDrained(b.Drained)
	case *recpb.Record_Restart:
		return s.applyRestart(b.Restart)
	case *recpb.Record_Back:
		return s.applyBack(offset, b.Back)
	case *recpb.Record_Moved:
		return s.applyMoved(offset, b.Moved)
	case *recpb.Record_Cancel:
		return s.applyCancel(offset, b.Cancel)
	}
	return refused(UnknownBody)
}

// isValidName reports whether an object name is not empty and not too long.
func isValidName(name string) bool { return name != "" && len(name) <= maxNameLen }
