package admin

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/wire/opspb"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// pollInterval is how often Wait checks the members' applied offsets.
const pollInterval = 50 * time.Millisecond

// Status returns the folded state of this entry.
func (s *Server) Status(_ context.Context, a *opspb.StatusAsk) (*opspb.StatusReply, error) {
	v := s.control.View()
	r := &opspb.StatusReply{Entry: s.name, Applied: v.State.Applied(), Ready: s.control.MaySend()}
	addPools(r, v.State)
	addInstances(r, v.State, a.GetPool())
	s.addMembers(r, v)
	addWaves(r, v.State)
	for j := range v.State.Jobs() {
		r.Jobs = append(r.Jobs, &opspb.JobStatus{
			Name: j.Name, Version: j.Version, Phase: j.Phase.String(), Worker: j.Worker})
	}
	return r, nil
}

func addPools(r *opspb.StatusReply, st *state.State) {
	for p := range st.Pools() {
		n := st.PoolCount(p.Name)
		r.Pools = append(r.Pools, &opspb.PoolStatus{
			Name:      p.Name,
			Version:   p.Version,
			Budget:    &recpb.Budget{Total: p.Budget.Total, Rack: p.Budget.Rack, Centre: p.Budget.Centre},
			Size:      n.Size,
			Available: n.Available,
		})
	}
	for v := range st.Services() {
		r.Services = append(r.Services, &recpb.Service{
			Edit: &recpb.Edit{Base: v.Version}, Name: v.Name, Pool: v.Pool, Weight: v.Weight})
	}
	for t := range st.Teams() {
		r.Teams = append(r.Teams, &recpb.Team{
			Edit: &recpb.Edit{Base: t.Version}, Name: t.Name, Weight: t.Weight, Quota: t.Quota})
	}
}

func addInstances(r *opspb.StatusReply, st *state.State, pool string) {
	for i := range st.Instances() {
		if pool != "" && i.Pool != pool {
			continue
		}
		one := &opspb.InstanceStatus{
			Name: i.Name, Version: i.Version, Pool: i.Pool, Rack: i.Rack, Centre: i.Centre,
			Phase: i.Phase.String(), Health: i.Health.String(),
		}
		if i.Grant != nil {
			one.Grant = i.Grant.Offset
			one.Target = i.Grant.Target
		}
		r.Instances = append(r.Instances, one)
	}
}

func (s *Server) addMembers(r *opspb.StatusReply, v *ctrl.View) {
	for m := range v.State.Members() {
		r.Members = append(r.Members, &opspb.MemberStatus{
			Name: m.Name, Incarnation: m.Number, Evicted: m.Evicted, Applied: s.appliedOffset(v, m.Name)})
	}
}

// appliedOffset returns the highest offset that a member reported as applied, and for this entry
// the offset of its own state.
func (s *Server) appliedOffset(v *ctrl.View, name string) uint64 {
	if name == s.name {
		return v.State.Applied()
	}
	return v.AppliedOffsets[name]
}

func addWaves(r *opspb.StatusReply, st *state.State) {
	for w := range st.Waves() {
		r.Waves = append(r.Waves, &opspb.WaveStatus{
			Name: w.Name, Version: w.Version, Phase: w.Phase.String(), Reason: w.Reason,
			Done:   uint32(w.Count(state.Done)),
			Failed: uint32(w.Count(state.Failed)),
			Total:  uint32(len(w.Steps)),
		})
	}
}

// Wait returns when every active member has applied an offset, or at the timeout.
func (s *Server) Wait(ctx context.Context, a *opspb.WaitAsk) (*opspb.WaitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(a.GetTimeout())*time.Millisecond)
	defer cancel()
	sub := s.clk.Subscribe(pollInterval)
	defer sub.Close()
	for {
		lagging := s.laggingMembers(a.GetVersion())
		if len(lagging) == 0 {
			return &opspb.WaitReply{Reached: true}, nil
		}
		s.control.GossipFast()
		select {
		case <-sub.C:
		case <-ctx.Done():
			return &opspb.WaitReply{Lagging: lagging}, nil
		}
	}
}

// laggingMembers returns the active members that have not reported the offset as applied.
func (s *Server) laggingMembers(version uint64) []string {
	v := s.control.View()
	var out []string
	for m := range v.State.Members() {
		if !m.Evicted && s.appliedOffset(v, m.Name) < version {
			out = append(out, m.Name)
		}
	}
	return out
}
