package state

import (
	"bytes"
	"slices"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// naive judges each record by replaying all accepted records into plain maps.
type naive struct{ log []entry }

type entry struct {
	off uint64
	r   *recpb.Record
	v   Verdict
}

// world is what the accepted records say, without any copy on write.
type world struct {
	ver     map[string]uint64 // by kind and name
	pool    map[string]*recpb.Pool
	service map[string]*recpb.Service
	team    map[string]*recpb.Team
	inst    map[string]*recpb.Instance
	in      map[string]string // pool of an instance
	home    map[string]string // spare pool of an instance
	health  map[string]*recpb.Health
	grant   map[string]*ngrant
	member  map[string]*nmember
	gone    map[Incarnation]bool
	wave    map[string]*nwave
	lease   *recpb.Lease
	leaseAt uint64
	job     map[string]*njob
}

type ngrant struct {
	off, boot        uint64
	wave, target     string
	need             map[Incarnation]bool
	restarted, moved bool
}

type nmember struct {
	id              Incarnation
	joined, evicted uint64
	addr            string
}

type nwave struct {
	phase WavePhase
	start uint64
	limit uint32
	pools []string
	steps map[string]Outcome
}

type njob struct {
	r     *recpb.Job
	phase JobPhase
	token uint64
}

func (n *naive) apply(off uint64, r *recpb.Record) Verdict {
	v := n.verdict(off, r)
	n.log = append(n.log, entry{off, r, v})
	return v
}

func (n *naive) verdict(off uint64, r *recpb.Record) Verdict {
	if r.GetSchema() > 1 {
		return refused(NewerSchema)
	}
	if len(r.GetId()) != 16 {
		return refused(Malformed)
	}
	if r.GetBody() == nil {
		return refused(UnknownBody)
	}
	if r.GetSnapshot() != nil {
		return accepted
	}
	for _, e := range n.log {
		judged := e.v.Reason != NewerSchema && e.v.Reason != UnknownBody && e.r.GetSnapshot() == nil
		change := editOf(r).GetChange()
		if judged && (bytes.Equal(e.r.GetId(), r.GetId()) || change != "" && editOf(e.r).GetChange() == change) {
			return e.v.repeated(e.off)
		}
	}
	return n.replay().judge(r)
}

func (n *naive) replay() *world {
	w := &world{
		map[string]uint64{}, map[string]*recpb.Pool{}, map[string]*recpb.Service{}, map[string]*recpb.Team{},
		map[string]*recpb.Instance{}, map[string]string{}, map[string]string{}, map[string]*recpb.Health{}, map[string]*ngrant{},
		map[string]*nmember{}, map[Incarnation]bool{}, map[string]*nwave{}, nil, 0, map[string]*njob{},
	}
	for _, e := range n.log {
		if e.v == accepted {
			w.effect(e.off, e.r)
		}
	}
	return w
}

// put stores or removes an object and its version.
func put[T any](w *world, m map[string]T, kind, name string, e *recpb.Edit, off uint64, v T) {
	m[name], w.ver[kind+name] = v, off
	if e.GetRemove() {
		delete(m, name)
		delete(w.ver, kind+name)
	}
}

// effect changes the world by an accepted record.
func (w *world) effect(off uint64, r *recpb.Record) {
	switch b := r.Body.(type) {
	case *recpb.Record_Pool:
		put(w, w.pool, "pool/", b.Pool.Name, b.Pool.Edit, off, b.Pool)
	case *recpb.Record_Service:
		put(w, w.service, "service/", b.Service.Name, b.Service.Edit, off, b.Service)
	case *recpb.Record_Team:
		put(w, w.team, "team/", b.Team.Name, b.Team.Edit, off, b.Team)
	case *recpb.Record_Instance:
		i := b.Instance
		old := w.inst[i.Name]
		if old == nil || old.Addr != i.Addr || old.Rack != i.Rack || old.Centre != i.Centre || i.Edit.GetRemove() {
			delete(w.health, i.Name)
		}
		if i.Edit.GetRemove() {
			delete(w.grant, i.Name)
			delete(w.home, i.Name)
		} else if w.pool[i.Pool].Spare {
			w.home[i.Name] = i.Pool
		}
		w.in[i.Name] = i.Pool
		put(w, w.inst, "inst/", i.Name, i.Edit, off, i)
	case *recpb.Record_Join:
		if m := w.member[b.Join.Name]; m != nil {
			w.gone[m.id] = true
		}
		w.member[b.Join.Name] = &nmember{Incarnation{b.Join.Name, b.Join.Incarnation}, off, 0, b.Join.Addr}
	case *recpb.Record_Leave:
		w.gone[w.member[b.Leave.Name].id] = true
		delete(w.member, b.Leave.Name)
	case *recpb.Record_Evict:
		w.member[b.Evict.Name].evicted = off
	case *recpb.Record_Fence:
		w.gone[w.member[b.Fence.Name].id] = true
		delete(w.member, b.Fence.Name)
	case *recpb.Record_Health:
		w.health[b.Health.Name] = b.Health
		if g := w.grant[b.Health.Name]; g != nil && g.moved && b.Health.Up {
			delete(w.grant, b.Health.Name)
			w.ver["inst/"+b.Health.Name] = off
		}
	case *recpb.Record_Drain:
		g := &ngrant{off: off, wave: b.Drain.Wave, target: b.Drain.Target, need: map[Incarnation]bool{}}
		for _, m := range w.member {
			g.need[m.id] = true
		}
		w.grant[b.Drain.Name], w.ver["inst/"+b.Drain.Name] = g, off
	case *recpb.Record_Drained:
		delete(w.grant[b.Drained.Name].need, Incarnation{b.Drained.Member, b.Drained.Incarnation})
	case *recpb.Record_Restart:
		g := w.grant[b.Restart.Name]
		g.restarted, g.boot = true, w.health[b.Restart.Name].GetBoot()
	case *recpb.Record_Back:
		if x := w.wave[w.grant[b.Back.Name].wave]; x != nil && x.phase != Finished && x.steps[b.Back.Name] != 0 {
			x.steps[b.Back.Name] = Done
		}
		delete(w.grant, b.Back.Name)
		w.health[b.Back.Name] = &recpb.Health{Up: true, Boot: b.Back.Boot}
		w.ver["inst/"+b.Back.Name] = off
	case *recpb.Record_Moved:
		g := w.grant[b.Moved.Name]
		for _, pool := range []string{w.in[b.Moved.Name], g.target} {
			if w.pool[pool].Spare {
				w.home[b.Moved.Name] = pool
			}
		}
		g.moved, w.in[b.Moved.Name], w.ver["inst/"+b.Moved.Name] = true, g.target, off
	case *recpb.Record_Cancel:
		delete(w.grant, b.Cancel.Name)
		w.ver["inst/"+b.Cancel.Name] = off
	case *recpb.Record_Wave:
		w.waveEffect(off, b.Wave)
	case *recpb.Record_Step:
		w.wave[b.Step.Wave].steps[b.Step.Name] = map[bool]Outcome{true: Failed, false: Done}[b.Step.Failed]
	case *recpb.Record_Lease:
		w.lease, w.leaseAt = b.Lease, off
	case *recpb.Record_Job:
		j := w.job[b.Job.Name]
		w.ver["job/"+b.Job.Name] = off
		if !b.Job.Edit.GetRemove() {
			w.job[b.Job.Name] = &njob{b.Job, Queued, 0}
		} else if j.phase == Queued {
			j.phase = Cancelled
		} else {
			j.phase = Cancelling
		}
	case *recpb.Record_Placed:
		j := w.job[b.Placed.Job]
		j.phase, j.token = Placed, off
	case *recpb.Record_Ended:
		w.endEffect(w.job[b.Ended.Job], b.Ended.Failed)
	}
}

func (w *world) endEffect(j *njob, failed bool) {
	switch {
	case !failed:
		j.phase = Succeeded
	case j.phase == Cancelling:
		j.phase = Cancelled
	case !j.r.Idempotent:
		j.phase = Broken
	default:
		j.phase = Queued
	}
}

func (w *world) waveEffect(off uint64, r *recpb.Wave) {
	x := w.wave[r.Name]
	if r.Order == recpb.Wave_START && !r.Edit.GetRemove() {
		x = &nwave{start: off, limit: r.Limit, pools: r.Pools, steps: map[string]Outcome{}}
		for name := range w.inst {
			if slices.Contains(r.Pools, w.in[name]) {
				x.steps[name] = Todo
			}
		}
	}
	for name, o := range x.steps {
		g := w.grant[name]
		out := o == Todo && g != nil && g.wave == r.Name
		if r.Order == recpb.Wave_ROLLON && (out || o == Failed) {
			x.steps[name] = Skipped
		} else if r.Order == recpb.Wave_RESUME && o == Failed {
			x.steps[name] = Todo
		}
	}
	x.phase = map[recpb.Wave_Order]WavePhase{
		recpb.Wave_HALT: Halted, recpb.Wave_FINISH: Finished,
	}[r.Order]
	if x.phase == 0 {
		x.phase = Running
	}
	put(w, w.wave, "wave/", r.Name, r.Edit, off, x)
}

// available says whether an instance counts for the budget of its pool.
func (w *world) available(name string) bool { return w.grant[name] == nil && w.health[name].GetUp() }

// over returns the first budget limit that one more drain would exceed.
func (w *world) over(name string) budget.Scope {
	i, b := w.inst[name], w.pool[w.in[name]].Budget
	var total, rack, centre uint32
	for o, x := range w.inst {
		if w.in[o] != w.in[name] || o != name && w.available(o) {
			continue
		}
		total++
		if x.Centre == i.Centre {
			centre++
			if x.Rack == i.Rack {
				rack++
			}
		}
	}
	switch {
	case total > b.Total:
		return budget.Pool
	case b.Rack > 0 && rack > b.Rack:
		return budget.Rack
	case b.Centre > 0 && centre > b.Centre:
		return budget.Centre
	}
	return budget.None
}
