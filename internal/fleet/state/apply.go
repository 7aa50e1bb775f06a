package state

import "chervilgauge.example/chervilgauge/internal/wire/recpb"

const (
	// Schema is the newest version of the record schema that Apply knows.
	Schema = 1
	// idLen is the length of a record id in bytes.
	idLen = 16
	// maxName is the largest length of the name of an object in bytes.
	maxName = 253
	// maxChange is the largest length of a change id in bytes.
	maxChange = 128
)

// Apply returns the state after a record of the control stream and the verdict on
// it. Offsets must increase; a record at or before the applied offset is refused
// and changes nothing. Every other record advances the applied offset.
func (s *State) Apply(offset uint64, r *recpb.Record) (*State, Verdict) {
	if offset <= s.applied {
		return s, refused(OutOfOrder)
	}
	n := *s
	n.applied = offset
	v := n.record(offset, r)
	return &n, v
}

// record skips what can't be judged and what was judged before.
func (s *State) record(offset uint64, r *recpb.Record) Verdict {
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
	id, change := string(r.GetId()), editOf(r).GetChange()
	if old, ok := s.ids.get(id); ok {
		return old.Verdict.repeated(old.Offset)
	}
	v := s.change(offset, change, r)
	if v.Reason == Malformed {
		s.skipped.Malformed++
	}
	s.ids = s.ids.remember(&Seen{id, offset, v})
	return v
}

// change judges a record unless its change was judged before. A change that was
// refused stays refused: the operator's next attempt is a new change.
func (s *State) change(offset uint64, id string, r *recpb.Record) Verdict {
	if id == "" {
		return s.body(offset, r)
	}
	if len(id) > maxChange {
		return malformed
	}
	if old, ok := s.changes.get(id); ok {
		return old.Verdict.repeated(old.Offset)
	}
	v := s.body(offset, r)
	s.changes = s.changes.remember(&Seen{id, offset, v})
	return v
}

// Change returns the verdict on an operator's change by its id.
func (s *State) Change(id string) (Seen, bool) {
	v, ok := s.changes.get(id)
	if !ok {
		return Seen{}, false
	}
	return *v, true
}

// Record returns the verdict on a record by its id.
func (s *State) Record(id []byte) (Seen, bool) {
	v, ok := s.ids.get(string(id))
	if !ok {
		return Seen{}, false
	}
	return *v, true
}

// editOf returns the edit of an operator's change, nil for other records.
func editOf(r *recpb.Record) *recpb.Edit {
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

// body judges the body of a record. The setters of s change only the tables of the
// new state.
func (s *State) body(offset uint64, r *recpb.Record) Verdict {
	switch b := r.GetBody().(type) {
	case *recpb.Record_Pool:
		return s.pool(offset, b.Pool)
	case *recpb.Record_Service:
		return s.service(offset, b.Service)
	case *recpb.Record_Team:
		return s.team(offset, b.Team)
	case *recpb.Record_Instance:
		return s.instance(offset, b.Instance)
	case *recpb.Record_Health:
		return s.health(offset, b.Health)
	case *recpb.Record_Wave:
		return s.wave(offset, b.Wave)
	case *recpb.Record_Step:
		return s.step(b.Step)
	case *recpb.Record_Lease:
		return s.planner(offset, b.Lease)
	case *recpb.Record_Job:
		return s.job(offset, b.Job)
	case *recpb.Record_Placed:
		return s.placed(offset, b.Placed)
	case *recpb.Record_Ended:
		return s.end(offset, b.Ended)
	}
	if v, ok := s.memberBody(offset, r); ok {
		return v
	}
	return s.drainBody(offset, r)
}

// memberBody judges the records about members.
func (s *State) memberBody(offset uint64, r *recpb.Record) (Verdict, bool) {
	switch b := r.GetBody().(type) {
	case *recpb.Record_Join:
		return s.join(offset, b.Join), true
	case *recpb.Record_Leave:
		return s.leave(offset, b.Leave), true
	case *recpb.Record_Evict:
		return s.evict(offset, b.Evict), true
	case *recpb.Record_Fence:
		return s.fence(offset, b.Fence), true
	}
	return Verdict{}, false
}

// drainBody judges the records about drains.
func (s *State) drainBody(offset uint64, r *recpb.Record) Verdict {
	switch b := r.GetBody().(type) {
	case *recpb.Record_Drain:
		return s.drain(offset, b.Drain)
	case *recpb.Record_Drained:
		return s.drained(b.Drained)
	case *recpb.Record_Restart:
		return s.restart(b.Restart)
	case *recpb.Record_Back:
		return s.back(offset, b.Back)
	case *recpb.Record_Moved:
		return s.moved(offset, b.Moved)
	case *recpb.Record_Cancel:
		return s.cancel(offset, b.Cancel)
	}
	return refused(UnknownBody)
}

// named says whether a name of an object is valid.
func named(name string) bool { return name != "" && len(name) <= maxName }
