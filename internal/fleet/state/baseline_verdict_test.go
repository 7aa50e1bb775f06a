package state

import (
	"slices"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// check is one condition of a record and the verdict if it does not hold.
type check struct {
	holds bool
	v     Verdict
}

// all returns the verdict of the first condition that does not hold.
func all(checks ...check) Verdict {
	for _, c := range checks {
		if !c.holds {
			return c.v
		}
	}
	return accepted
}

func must(holds bool, why Reason) check { return check{holds, refused(why)} }

// edit checks the name and the base version of an operator's change.
func (w *world) edit(kind, name string, e *recpb.Edit) Verdict {
	return all(must(name != "", Malformed), check{e.GetBase() == w.ver[kind+name], conflict(w.ver[kind+name])})
}

func (w *world) judge(r *recpb.Record) Verdict {
	switch b := r.Body.(type) {
	case *recpb.Record_Pool:
		if v := w.edit("pool/", b.Pool.Name, b.Pool.Edit); v != accepted {
			return v
		}
		if b.Pool.Edit.GetRemove() {
			return all(must(w.pool[b.Pool.Name] != nil, NotFound), must(!w.used(b.Pool.Name), InUse))
		}
		return all(must(b.Pool.Budget.GetTotal() > 0, BadBudget))
	case *recpb.Record_Service:
		if v := w.edit("service/", b.Service.Name, b.Service.Edit); v != accepted {
			return v
		}
		if b.Service.Edit.GetRemove() {
			return all(must(w.service[b.Service.Name] != nil, NotFound))
		}
		return all(must(w.pool[b.Service.Pool] != nil, NotFound), must(b.Service.Weight > 0, BadWeight))
	case *recpb.Record_Team:
		if v := w.edit("team/", b.Team.Name, b.Team.Edit); v != accepted {
			return v
		}
		if b.Team.Edit.GetRemove() {
			open := false
			for _, j := range w.job {
				open = open || j.r.Team == b.Team.Name && j.phase < Succeeded
			}
			return all(must(w.team[b.Team.Name] != nil, NotFound), must(!open, InUse))
		}
		return all(must(b.Team.Weight > 0, BadWeight))
	case *recpb.Record_Instance:
		return w.judgeInstance(b.Instance)
	case *recpb.Record_Health:
		return all(must(w.inst[b.Health.Name] != nil, NotFound), must(b.Health.Boot >= w.health[b.Health.Name].GetBoot(), OldBoot))
	case *recpb.Record_Wave:
		return w.judgeWave(b.Wave)
	case *recpb.Record_Step:
		return w.judgeStep(b.Step)
	case *recpb.Record_Lease:
		id, m := Incarnation{b.Lease.Holder, b.Lease.Incarnation}, w.member[w.lease.GetHolder()]
		other := m != nil && m.evicted == 0 && m.id.Number == w.lease.GetIncarnation() && m.id != id
		x := w.member[id.Name]
		return all(must(x != nil && x.id == id && x.evicted == 0, NotMember), check{!other || b.Lease.Prev == w.leaseAt, conflict(w.leaseAt)})
	}
	if v := w.judgeMember(r); v.Kind != 0 {
		return v
	}
	if v := w.judgeJob(r); v.Kind != 0 {
		return v
	}
	return w.judgeGrant(r)
}

func (w *world) used(pool string) bool {
	for name := range w.inst {
		if w.in[name] == pool || w.grant[name] != nil && w.grant[name].target == pool {
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

func (w *world) judgeInstance(i *recpb.Instance) Verdict {
	if v := w.edit("inst/", i.Name, i.Edit); v != accepted {
		return v
	}
	old, g := w.inst[i.Name], w.grant[i.Name]
	if i.Edit.GetRemove() {
		return all(must(old != nil, NotFound), must(!w.available(i.Name), NotDrained), must(g == nil || w.idle(g), NotDrained))
	}
	v := all(must(i.Addr != "", Malformed), must(w.pool[i.Pool] != nil, NotFound))
	if old == nil || v != accepted {
		return v
	}
	same := old.Addr == i.Addr && old.Rack == i.Rack && old.Centre == i.Centre
	return all(must(w.in[i.Name] == i.Pool, PoolFixed), must(g == nil, Busy), must(same || !w.available(i.Name), NotDrained))
}

func (w *world) judgeWave(r *recpb.Wave) Verdict {
	if v := w.edit("wave/", r.Name, r.Edit); v != accepted {
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
		return all(must(!none, NotFound), must(none || x.phase == Finished, WrongPhase), must(free, InUse))
	case r.Order == recpb.Wave_START:
		return all(must(none || x.phase == Finished, WrongPhase), must(free, InUse), must(len(r.Pools) > 0, Malformed), must(known, NotFound))
	case none:
		return refused(NotFound)
	case r.Order == recpb.Wave_HALT:
		return all(must(x.phase == Running, WrongPhase))
	case r.Order == recpb.Wave_RESUME, r.Order == recpb.Wave_ROLLON:
		return all(must(x.phase == Halted, WrongPhase))
	case r.Order == recpb.Wave_FINISH:
		return all(must(x.phase != Finished, WrongPhase))
	}
	return refused(Malformed)
}

func (w *world) judgeStep(r *recpb.Step) Verdict {
	x := w.wave[r.Wave]
	if x == nil {
		return refused(NotFound)
	}
	old, g := x.steps[r.Name], w.grant[r.Name]
	out := g != nil && g.wave == r.Wave
	again := old == Failed && r.Failed || old == Done && !r.Failed
	return all(must(x.phase != Finished, WrongPhase), must(old != 0, NotFound), check{!again, already(x.start)},
		must(old != Done, WrongPhase), must(old != Skipped || !r.Failed, WrongPhase), must(r.Failed || !out, WrongPhase))
}

func (w *world) judgeMember(r *recpb.Record) Verdict {
	is := func(name string, n uint64) bool { m := w.member[name]; return m != nil && m.id.Number == n }
	switch b := r.Body.(type) {
	case *recpb.Record_Join:
		m := w.member[b.Join.Name]
		if m != nil && m.id.Number == b.Join.Incarnation {
			return already(m.joined)
		}
		return all(must(b.Join.Name != "" && b.Join.Incarnation > 0 && b.Join.Addr != "", Malformed),
			must(!w.gone[Incarnation{b.Join.Name, b.Join.Incarnation}], Gone), must(m == nil || m.addr == b.Join.Addr, NameTaken))
	case *recpb.Record_Leave:
		return all(must(is(b.Leave.Name, b.Leave.Incarnation), NotMember))
	case *recpb.Record_Evict:
		if !is(b.Evict.Name, b.Evict.Incarnation) {
			return refused(NotMember)
		}
		at := w.member[b.Evict.Name].evicted
		return all(check{at == 0, already(at)})
	case *recpb.Record_Fence:
		if !is(b.Fence.Name, b.Fence.Incarnation) {
			return refused(NotMember)
		}
		return all(must(w.member[b.Fence.Name].evicted > 0, NotEvicted))
	}
	return Verdict{}
}

func (w *world) judgeJob(r *recpb.Record) Verdict {
	switch b := r.Body.(type) {
	case *recpb.Record_Job:
		if v := w.edit("job/", b.Job.Name, b.Job.Edit); v != accepted {
			return v
		}
		j := w.job[b.Job.Name]
		if b.Job.Edit.GetRemove() {
			return all(must(j != nil, NotFound), must(j == nil || j.phase <= Placed, WrongPhase))
		}
		return all(must(j == nil || j.phase >= Succeeded, Exists), must(w.team[b.Job.Team] != nil, NotFound))
	case *recpb.Record_Placed:
		j := w.job[b.Placed.Job]
		if j == nil {
			return refused(NotFound)
		}
		return all(check{b.Placed.Prev == j.token, conflict(j.token)}, must(j.phase <= Placed, WrongPhase),
			must(j.phase == Queued || j.r.Idempotent, NotIdempotent), must(w.inst[b.Placed.Worker] != nil, NotFound),
			must(w.grant[b.Placed.Worker] == nil, Busy))
	case *recpb.Record_Ended:
		j := w.job[b.Ended.Job]
		if j == nil {
			return refused(NotFound)
		}
		return all(check{b.Ended.Token == j.token, conflict(j.token)}, must(j.phase == Placed || j.phase == Cancelling, WrongPhase))
	}
	return Verdict{}
}

func (w *world) judgeGrant(r *recpb.Record) Verdict {
	held := func(name string, grant uint64) (*ngrant, Verdict) {
		g := w.grant[name]
		if g == nil {
			g = &ngrant{}
		}
		return g, all(must(w.inst[name] != nil, NotFound), must(g.off == grant && grant > 0, WrongGrant))
	}
	switch b := r.Body.(type) {
	case *recpb.Record_Drain:
		return w.judgeDrain(b.Drain)
	case *recpb.Record_Cancel:
		version := w.ver["inst/"+b.Cancel.Name]
		g, v := held(b.Cancel.Name, b.Cancel.Grant)
		return all(must(w.inst[b.Cancel.Name] != nil, NotFound), check{b.Cancel.Edit.GetBase() == version, conflict(version)},
			check{v == accepted, v}, must(!g.restarted && !g.moved, WrongPhase))
	case *recpb.Record_Drained:
		g, v := held(b.Drained.Name, b.Drained.Grant)
		id := Incarnation{b.Drained.Member, b.Drained.Incarnation}
		m := w.member[id.Name]
		return all(check{v == accepted, v}, must(m != nil && m.id == id, NotMember), check{g.need[id], already(g.off)})
	case *recpb.Record_Restart:
		g, v := held(b.Restart.Name, b.Restart.Grant)
		return all(check{v == accepted, v}, must(g.target == "", BadTarget), check{!g.restarted, already(g.off)}, must(w.idle(g), NotDrained))
	case *recpb.Record_Back:
		g, v := held(b.Back.Name, b.Back.Grant)
		fresh := b.Back.Boot > g.boot && b.Back.Boot >= w.health[b.Back.Name].GetBoot()
		return all(check{v == accepted, v}, must(g.restarted, WrongPhase), must(fresh, OldBoot))
	case *recpb.Record_Moved:
		g, v := held(b.Moved.Name, b.Moved.Grant)
		return all(check{v == accepted, v}, check{!g.moved, already(g.off)}, must(g.target != "", BadTarget), must(w.idle(g), NotDrained))
	}
	return Verdict{}
}

// idle says whether no member of the time of the grant that is still a member has
// work in flight.
func (w *world) idle(g *ngrant) bool {
	for id := range g.need {
		if m := w.member[id.Name]; m != nil && m.id == id {
			return false
		}
	}
	return true
}

func (w *world) judgeDrain(r *recpb.Drain) Verdict {
	if w.inst[r.Name] == nil {
		return refused(NotFound)
	}
	version, scope := w.ver["inst/"+r.Name], w.over(r.Name)
	x, running := w.wave[r.Wave], uint32(0)
	for _, g := range w.grant {
		if r.Wave != "" && g.wave == r.Wave {
			running++
		}
	}
	return all(check{r.Edit.GetBase() == version, conflict(version)}, must(w.grant[r.Name] == nil, Busy),
		must(r.Target == "" || w.pool[r.Target] != nil && r.Target != w.in[r.Name], BadTarget),
		must(r.Wave == "" || x != nil, NotFound),
		must(x == nil || x.phase == Running && x.steps[r.Name] == Todo, WrongPhase),
		must(x == nil || x.limit == 0 || running < x.limit, OverLimit),
		check{scope == budget.None, Verdict{Kind: Refused, Reason: OverBudget, Scope: scope}})
}
