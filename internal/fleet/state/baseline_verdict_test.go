package state

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// condition is one condition for a record and the verdict if it does not hold.
type condition struct {
	holds bool
	v     Verdict
}

// firstFailure returns the verdict of the first condition that does not hold, or accepted.
func firstFailure(checks ...condition) Verdict {
	for _, c := range checks {
		if !c.holds {
			return c.v
		}
	}
	return accepted
}

func require(holds bool, reason Reason) condition { return condition{holds, refused(reason)} }

// checkEdit checks the name and the base version of an operator's change.
func (w *model) checkEdit(kind, name string, e *recpb.Edit) Verdict {
	return firstFailure(require(name != "", Malformed),
		condition{e.GetBase() == w.version[kind+name], conflict(w.version[kind+name])})
}

func (w *model) judge(r *recpb.Record) Verdict {
	switch b := r.Body.(type) {
	case *recpb.Record_Pool:
		if v := w.checkEdit("pool/", b.Pool.Name, b.Pool.Edit); v != accepted {
			return v
		}
		if b.Pool.Edit.GetRemove() {
			return firstFailure(require(w.pool[b.Pool.Name] != nil, NotFound), require(!w.isPoolInUse(b.Pool.Name), InUse))
		}
		return firstFailure(require(b.Pool.Budget.GetTotal() > 0, BadBudget))
	case *recpb.Record_Service:
		if v := w.checkEdit("service/", b.Service.Name, b.Service.Edit); v != accepted {
			return v
		}
		if b.Service.Edit.GetRemove() {
			return firstFailure(require(w.service[b.Service.Name] != nil, NotFound))
		}
		return firstFailure(require(w.pool[b.Service.Pool] != nil, NotFound), require(b.Service.Weight > 0, BadWeight))
	case *recpb.Record_Team:
		if v := w.checkEdit("team/", b.Team.Name, b.Team.Edit); v != accepted {
			return v
		}
		if b.Team.Edit.GetRemove() {
			open := false
			for _, j := range w.job {
				open = open || j.r.Team == b.Team.Name && j.phase < Succeeded
			}
			return firstFailure(require(w.team[b.Team.Name] != nil, NotFound), require(!open, InUse))
		}
		return firstFailure(require(b.Team.Weight > 0, BadWeight))
	case *recpb.Record_Instance:
		return w.judgeInstance(b.Instance)
	case *recpb.Record_Health:
		return firstFailure(require(w.inst[b.Health.Name] != nil, NotFound),
			require(b.Health.Boot >= w.health[b.Health.Name].GetBoot(), OldBoot))
	case *recpb.Record_Wave:
		return w.judgeWave(b.Wave)
	case *recpb.Record_Step:
		return w.judgeStep(b.Step)
	case *recpb.Record_Lease:
		id, m := Incarnation{b.Lease.Holder, b.Lease.Incarnation}, w.member[w.lease.GetHolder()]
		other := m != nil && m.evicted == 0 && m.id.Number == w.lease.GetIncarnation() && m.id != id
		x := w.member[id.Name]
		return firstFailure(require(x != nil && x.id == id && x.evicted == 0, NotMember),
			condition{!other || b.Lease.Prev == w.leaseAt, conflict(w.leaseAt)})
	}
	if v := w.judgeMember(r); v.Kind != 0 {
		return v
	}
	if v := w.judgeJob(r); v.Kind != 0 {
		return v
	}
	return w.judgeGrant(r)
}

func (w *model) isPoolInUse(pool string) bool {
	for name := range w.inst {
		if w.poolOf[name] == pool || w.grant[name] != nil && w.grant[name].target == pool {
			return true
		}
	}
	for _, s := range w.service {
		if s.Pool == pool {
			return true
		}
	}
	for _, x := range w.wave {
		if x.phase != Finished && slices.Contains(x.pools, pool) {
			return true
		}
	}
	return false
}

func (w *model) judgeInstance(i *recpb.Instance) Verdict {
	if v := w.checkEdit("inst/", i.Name, i.Edit); v != accepted {
		return v
	}
	old, g := w.inst[i.Name], w.grant[i.Name]
	if i.Edit.GetRemove() {
		return firstFailure(require(old != nil, NotFound), require(!w.isAvailable(i.Name), NotDrained),
			require(g == nil || w.isIdle(g), NotDrained))
	}
	v := firstFailure(require(i.Addr != "", Malformed), require(w.pool[i.Pool] != nil, NotFound))
	if old == nil || v != accepted {
		return v
	}
	same := old.Addr == i.Addr && old.Rack == i.Rack && old.Centre == i.Centre
	return firstFailure(require(w.poolOf[i.Name] == i.Pool, PoolFixed), require(g == nil, UnderGrant),
		require(same || !w.isAvailable(i.Name), NotDrained))
}

func (w *model) judgeWave(r *recpb.Wave) Verdict {
	if v := w.checkEdit("wave/", r.Name, r.Edit); v != accepted {
		return v
	}
	x, none := w.wave[r.Name], w.wave[r.Name] == nil
	free, known := true, true
	for _, g := range w.grant {
		free = free && g.wave != r.Name
	}
	for _, p := range r.Pools {
		known = known && w.pool[p] != nil
	}
	switch {
	case r.Edit.GetRemove():
		return firstFailure(require(!none, NotFound), require(none || x.phase == Finished, WrongPhase), require(free, InUse))
	case r.Order == recpb.Wave_START:
		return firstFailure(require(none || x.phase == Finished, WrongPhase), require(free, InUse),
			require(len(r.Pools) > 0, Malformed), require(known, NotFound))
	case none:
		return refused(NotFound)
	case r.Order == recpb.Wave_HALT:
		return firstFailure(require(x.phase == Running, WrongPhase))
	case r.Order == recpb.Wave_RESUME, r.Order == recpb.Wave_ROLLON:
		return firstFailure(require(x.phase == Halted, WrongPhase))
	case r.Order == recpb.Wave_FINISH:
		return firstFailure(require(x.phase != Finished, WrongPhase))
	}
	return refused(Malformed)
}

func (w *model) judgeStep(r *recpb.Step) Verdict {
	x := w.wave[r.Wave]
	if x == nil {
		return refused(NotFound)
	}
	old, g := x.steps[r.Name], w.grant[r.Name]
	underGrant := g != nil && g.wave == r.Wave
	repeated := old == Failed && r.Failed || old == Done && !r.Failed
	return firstFailure(require(x.phase != Finished, WrongPhase), require(old != 0, NotFound),
		condition{!repeated, duplicateOf(x.start)},
		require(old != Done, WrongPhase), require(old != Skipped || !r.Failed, WrongPhase), require(r.Failed || !underGrant, WrongPhase))
}

func (w *model) judgeMember(r *recpb.Record) Verdict {
	is := func(name string, n uint64) bool { m := w.member[name]; return m != nil && m.id.Number == n }
	switch b := r.Body.(type) {
	case *recpb.Record_Join:
		m := w.member[b.Join.Name]
		if m != nil && m.id.Number == b.Join.Incarnation {
			return duplicateOf(m.joined)
		}
		return firstFailure(require(b.Join.Name != "" && b.Join.Incarnation > 0 && b.Join.Addr != "", Malformed),
			require(!w.removed[Incarnation{b.Join.Name, b.Join.Incarnation}], IncarnationGone), require(m == nil || m.addr == b.Join.Addr, NameTaken))
	case *recpb.Record_Leave:
		return firstFailure(require(is(b.Leave.Name, b.Leave.Incarnation), NotMember))
	case *recpb.Record_Evict:
		if !is(b.Evict.Name, b.Evict.Incarnation) {
			return refused(NotMember)
		}
		at := w.member[b.Evict.Name].evicted
		return firstFailure(condition{at == 0, duplicateOf(at)})
	case *recpb.Record_Fence:
		if !is(b.Fence.Name, b.Fence.Incarnation) {
			return refused(NotMember)
		}
		return firstFailure(require(w.member[b.Fence.Name].evicted > 0, NotEvicted))
	}
	return Verdict{}
}

func (w *model) judgeJob(r *recpb.Record) Verdict {
	switch b := r.Body.(type) {
	case *recpb.Record_Job:
		if v := w.checkEdit("job/", b.Job.Name, b.Job.Edit); v != accepted {
			return v
		}
		j := w.job[b.Job.Name]
		if b.Job.Edit.GetRemove() {
			return firstFailure(require(j != nil, NotFound), require(j == nil || j.phase <= Placed, WrongPhase))
		}
		return firstFailure(require(j == nil || j.phase >= Succeeded, Exists), require(w.team[b.Job.Team] != nil, NotFound))
	case *recpb.Record_Placed:
		j := w.job[b.Placed.Job]
		if j == nil {
			return refused(NotFound)
		}
		return firstFailure(condition{b.Placed.Prev == j.token, conflict(j.token)}, require(j.phase <= Placed, WrongPhase),
			require(j.phase == Queued || j.r.Idempotent, NotIdempotent), require(w.inst[b.Placed.Worker] != nil, NotFound),
			require(w.grant[b.Placed.Worker] == nil, UnderGrant))
	case *recpb.Record_Ended:
		j := w.job[b.Ended.Job]
		if j == nil {
			return refused(NotFound)
		}
		return firstFailure(condition{b.Ended.Token == j.token, conflict(j.token)},
			require(j.phase == Placed || j.phase == Cancelling, WrongPhase))
	}
	return Verdict{}
}

func (w *model) judgeGrant(r *recpb.Record) Verdict {
	held := func(name string, grant uint64) (*modelGrant, Verdict) {
		g := w.grant[name]
		if g == nil {
			g = &modelGrant{}
		}
		return g, firstFailure(require(w.inst[name] != nil, NotFound), require(g.offset == grant && grant > 0, WrongGrant))
	}
	switch b := r.Body.(type) {
	case *recpb.Record_Drain:
		return w.judgeDrain(b.Drain)
	case *recpb.Record_Cancel:
		version := w.version["inst/"+b.Cancel.Name]
		g, v := held(b.Cancel.Name, b.Cancel.Grant)
		return firstFailure(require(w.inst[b.Cancel.Name] != nil, NotFound),
			condition{b.Cancel.Edit.GetBase() == version, conflict(version)},
			condition{v == accepted, v}, require(!g.restarted && !g.moved, WrongPhase))
	case *recpb.Record_Drained:
		g, v := held(b.Drained.Name, b.Drained.Grant)
		id := Incarnation{b.Drained.Member, b.Drained.Incarnation}
		m := w.member[id.Name]
		return firstFailure(condition{v == accepted, v}, require(m != nil && m.id == id, NotMember),
			condition{g.waiting[id], duplicateOf(g.offset)})
	case *recpb.Record_Restart:
		g, v := held(b.Restart.Name, b.Restart.Grant)
		return firstFailure(condition{v == accepted, v}, require(g.target == "", BadTarget),
			condition{!g.restarted, duplicateOf(g.offset)}, require(w.isIdle(g), NotDrained))
	case *recpb.Record_Back:
		g, v := held(b.Back.Name, b.Back.Grant)
		fresh := b.Back.Boot > g.boot && b.Back.Boot >= w.health[b.Back.Name].GetBoot()
		return firstFailure(condition{v == accepted, v}, require(g.restarted, WrongPhase), require(fresh, OldBoot))
	case *recpb.Record_Moved:
		g, v := held(b.Moved.Name, b.Moved.Grant)
		return firstFailure(condition{v == accepted, v}, condition{!g.moved, duplicateOf(g.offset)},
			require(g.target != "", BadTarget), require(w.isIdle(g), NotDrained))
	}
	return Verdict{}
}

// isIdle reports whether every member that had to acknowledge the drain has acknowledged
// it or is no longer a member.
func (w *model) isIdle(g *modelGrant) bool {
	for id := range g.waiting {
		if m := w.member[id.Name]; m != nil && m.id == id {
			return false
		}
	}
	return true
}

func (w *model) judgeDrain(r *recpb.Drain) Verdict {
	if w.inst[r.Name] == nil {
		return refused(NotFound)
	}
	version, scope := w.version["inst/"+r.Name], w.exceededScope(r.Name)
	x, running := w.wave[r.Wave], uint32(0)
	for _, g := range w.grant {
		if r.Wave != "" && g.wave == r.Wave {
			running++
		}
	}
	return firstFailure(condition{r.Edit.GetBase() == version, conflict(version)}, require(w.grant[r.Name] == nil, UnderGrant),
		require(r.Target == "" || w.pool[r.Target] != nil && r.Target != w.poolOf[r.Name], BadTarget),
		require(r.Wave == "" || x != nil, NotFound),
		require(x == nil || x.phase == Running && x.steps[r.Name] == Todo, WrongPhase),
		require(x == nil || x.limit == 0 || running < x.limit, OverLimit),
		condition{scope == budget.None, Verdict{Kind: Refused, Reason: OverBudget, Scope: scope}})
}
