package state

import (
	"bytes"
	"slices"

	"chervilgauge.example/chervilgauge/internal/fleet/budget"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// baseline is a simple reference implementation for the tests. It judges each record by
// replaying all accepted records into plain maps.
type baseline struct{ entries []judgedRecord }

type judgedRecord struct {
	offset uint64
	r      *recpb.Record
	v      Verdict
}

// model is the state after the accepted records, in mutable maps by name.
type model struct {
	version map[string]uint64 // by kind and name
	pool    map[string]*recpb.Pool
	service map[string]*recpb.Service
	team    map[string]*recpb.Team
	inst    map[string]*recpb.Instance
	poolOf  map[string]string // pool of an instance
	homeOf  map[string]string // spare pool of an instance
	health  map[string]*recpb.Health
	grant   map[string]*modelGrant
	member  map[string]*modelMember
	removed map[Incarnation]bool
	wave    map[string]*modelWave
	lease   *recpb.Lease
	leaseAt uint64
	job     map[string]*modelJob
}

type modelGrant struct {
	offset, boot     uint64
	wave, target     string
	waiting          map[Incarnation]bool
	restarted, moved bool
}

type modelMember struct {
	id              Incarnation
	joined, evicted uint64
	addr            string
}

type modelWave struct {
	phase WavePhase
	start uint64
	limit uint32
	pools []string
	steps map[string]Outcome
}

type modelJob struct {
	r     *recpb.Job
	phase JobPhase
	token uint64
}

func (b *baseline) apply(offset uint64, r *recpb.Record) Verdict {
	v := b.verdict(offset, r)
	b.entries = append(b.entries, judgedRecord{offset, r, v})
	return v
}

func (b *baseline) verdict(offset uint64, r *recpb.Record) Verdict {
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
	for _, e := range b.entries {
		judged := e.v.Reason != NewerSchema && e.v.Reason != UnknownBody && e.r.GetSnapshot() == nil
		change := editIn(r).GetChange()
		if judged && (bytes.Equal(e.r.GetId(), r.GetId()) || change != "" && editIn(e.r).GetChange() == change) {
			return e.v.asDuplicate(e.offset)
		}
	}
	return b.replay().judge(r)
}

func (b *baseline) replay() *model {
	w := &model{
		map[string]uint64{}, map[string]*recpb.Pool{}, map[string]*recpb.Service{}, map[string]*recpb.Team{},
		map[string]*recpb.Instance{}, map[string]string{}, map[string]string{}, map[string]*recpb.Health{}, map[string]*modelGrant{},
		map[string]*modelMember{}, map[Incarnation]bool{}, map[string]*modelWave{}, nil, 0, map[string]*modelJob{},
	}
	for _, e := range b.entries {
		if e.v == accepted {
			w.applyAccepted(e.offset, e.r)
		}
	}
	return w
}

// put stores or removes an object and its version.
func put[T any](w *model, m map[string]T, kind, name string, e *recpb.Edit, offset uint64, v T) {
	m[name], w.version[kind+name] = v, offset
	if e.GetRemove() {
		delete(m, name)
		delete(w.version, kind+name)
	}
}

// applyAccepted applies an accepted record to the model.
func (w *model) applyAccepted(offset uint64, r *recpb.Record) {
	switch b := r.Body.(type) {
	case *recpb.Record_Pool:
		put(w, w.pool, "pool/", b.Pool.Name, b.Pool.Edit, offset, b.Pool)
	case *recpb.Record_Service:
		put(w, w.service, "service/", b.Service.Name, b.Service.Edit, offset, b.Service)
	case *recpb.Record_Team:
		put(w, w.team, "team/", b.Team.Name, b.Team.Edit, offset, b.Team)
	case *recpb.Record_Instance:
		i := b.Instance
		old := w.inst[i.Name]
		if old == nil || old.Addr != i.Addr || old.Rack != i.Rack || old.Centre != i.Centre || i.Edit.GetRemove() {
			delete(w.health, i.Name)
		}
		if i.Edit.GetRemove() {
			delete(w.grant, i.Name)
			delete(w.homeOf, i.Name)
		} else if w.pool[i.Pool].Spare {
			w.homeOf[i.Name] = i.Pool
		}
		w.poolOf[i.Name] = i.Pool
		put(w, w.inst, "inst/", i.Name, i.Edit, offset, i)
	case *recpb.Record_Join:
		if m := w.member[b.Join.Name]; m != nil {
			w.removed[m.id] = true
		}
		w.member[b.Join.Name] = &modelMember{Incarnation{b.Join.Name, b.Join.Incarnation}, offset, 0, b.Join.Addr}
	case *recpb.Record_Leave:
		w.removed[w.member[b.Leave.Name].id] = true
		delete(w.member, b.Leave.Name)
	case *recpb.Record_Evict:
		w.member[b.Evict.Name].evicted = offset
	case *recpb.Record_Fence:
		w.removed[w.member[b.Fence.Name].id] = true
		delete(w.member, b.Fence.Name)
	case *recpb.Record_Health:
		w.health[b.Health.Name] = b.Health
		if g := w.grant[b.Health.Name]; g != nil && g.moved && b.Health.Up {
			delete(w.grant, b.Health.Name)
			w.version["inst/"+b.Health.Name] = offset
		}
	case *recpb.Record_Drain:
		g := &modelGrant{offset: offset, wave: b.Drain.Wave, target: b.Drain.Target, waiting: map[Incarnation]bool{}}
		for _, m := range w.member {
			g.waiting[m.id] = true
		}
		w.grant[b.Drain.Name], w.version["inst/"+b.Drain.Name] = g, offset
	case *recpb.Record_Drained:
		delete(w.grant[b.Drained.Name].waiting, Incarnation{b.Drained.Member, b.Drained.Incarnation})
	case *recpb.Record_Restart:
		g := w.grant[b.Restart.Name]
		g.restarted, g.boot = true, w.health[b.Restart.Name].GetBoot()
	case *recpb.Record_Back:
		if x := w.wave[w.grant[b.Back.Name].wave]; x != nil && x.phase != Finished && x.steps[b.Back.Name] != 0 {
			x.steps[b.Back.Name] = Done
		}
		delete(w.grant, b.Back.Name)
		w.health[b.Back.Name] = &recpb.Health{Up: true, Boot: b.Back.Boot}
		w.version["inst/"+b.Back.Name] = offset
	case *recpb.Record_Moved:
		g := w.grant[b.Moved.Name]
		for _, pool := range []string{w.poolOf[b.Moved.Name], g.target} {
			if w.pool[pool].Spare {
				w.homeOf[b.Moved.Name] = pool
			}
		}
		g.moved, w.poolOf[b.Moved.Name], w.version["inst/"+b.Moved.Name] = true, g.target, offset
	case *recpb.Record_Cancel:
		delete(w.grant, b.Cancel.Name)
		w.version["inst/"+b.Cancel.Name] = offset
	case *recpb.Record_Wave:
		w.applyWave(offset, b.Wave)
	case *recpb.Record_Step:
		w.wave[b.Step.Wave].steps[b.Step.Name] = map[bool]Outcome{true: Failed, false: Done}[b.Step.Failed]
	case *recpb.Record_Lease:
		w.lease, w.leaseAt = b.Lease, offset
	case *recpb.Record_Job:
		j := w.job[b.Job.Name]
		w.version["job/"+b.Job.Name] = offset
		if !b.Job.Edit.GetRemove() {
			w.job[b.Job.Name] = &modelJob{b.Job, Queued, 0}
		} else if j.phase == Queued {
			j.phase = Cancelled
		} else {
			j.phase = Cancelling
		}
	case *recpb.Record_Placed:
		j := w.job[b.Placed.Job]
		j.phase, j.token = Placed, offset
	case *recpb.Record_Ended:
		w.applyEnded(w.job[b.Ended.Job], b.Ended.Failed)
	}
}

func (w *model) applyEnded(j *modelJob, failed bool) {
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

func (w *model) applyWave(offset uint64, r *recpb.Wave) {
	x := w.wave[r.Name]
	if r.Order == recpb.Wave_START && !r.Edit.GetRemove() {
		x = &modelWave{start: offset, limit: r.Limit, pools: r.Pools, steps: map[string]Outcome{}}
		for name := range w.inst {
			if slices.Contains(r.Pools, w.poolOf[name]) {
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
	put(w, w.wave, "wave/", r.Name, r.Edit, offset, x)
}

// isAvailable reports whether the availability budget counts an instance as available.
func (w *model) isAvailable(name string) bool { return w.grant[name] == nil && w.health[name].GetUp() }

// exceededScope returns the first scope whose limit a drain of an instance would exceed.
func (w *model) exceededScope(name string) budget.Scope {
	i, b := w.inst[name], w.pool[w.poolOf[name]].Budget
	var total, rack, centre uint32
	for o, x := range w.inst {
		if w.poolOf[o] != w.poolOf[name] || o != name && w.isAvailable(o) {
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
