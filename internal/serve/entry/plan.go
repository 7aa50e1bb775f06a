package entry

import (
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/flow/admit"
	"chervilgauge.example/chervilgauge/internal/flow/alloc"
	"chervilgauge.example/chervilgauge/internal/flow/route"
	"chervilgauge.example/chervilgauge/internal/serve/ctrl"
	"chervilgauge.example/chervilgauge/internal/serve/flows"
	"chervilgauge.example/chervilgauge/internal/serve/slots"
)

// applyView puts a new control state into force. It runs in the control goroutine, so no request is
// sent under an older state once it has returned.
func (e *Entry) applyView(v *ctrl.View) {
	e.slots.Update(allocView(v), servingEndpoints(v.State))
	e.engine.Update(e.poolPlans(v.State))
}

// allocView converts the members to the view of the slot allocation.
func allocView(v *ctrl.View) alloc.View {
	out := alloc.View{Epoch: v.State.Epoch(), Fenced: v.Fenced}
	for m := range v.State.Members() {
		one := alloc.Member{Name: m.Name, Incarnation: m.Number}
		if m.Evicted {
			out.Evicted = append(out.Evicted, one)
		} else {
			out.Active = append(out.Active, one)
		}
	}
	return out
}

// canServe reports whether an instance may receive requests.
func canServe(i *state.Instance) bool { return i.IsAvailable() && i.Grant == nil }

func servingEndpoints(st *state.State) []slots.Endpoint {
	var out []slots.Endpoint
	for i := range st.Instances() {
		if canServe(i) {
			out = append(out, slots.Endpoint{Instance: i.Name, Pool: i.Pool, Slots: int(i.Slots)})
		}
	}
	return out
}

func (e *Entry) poolPlans(st *state.State) []flows.PoolPlan {
	teams := teamShares(st)
	plans := map[string]*flows.PoolPlan{}
	var order []*flows.PoolPlan
	for p := range st.Pools() {
		pp := &flows.PoolPlan{Name: p.Name, Shares: flows.Shares{
			Services: map[string]admit.Share{}, Teams: teams}}
		plans[p.Name] = pp
		order = append(order, pp)
	}
	for s := range st.Services() {
		plans[s.Pool].Shares.Services[s.Name] = admit.Share{Weight: s.Weight}
	}
	for i := range st.Instances() {
		if canServe(i) {
			plans[i.Pool].Targets = append(plans[i.Pool].Targets, e.routeTarget(i))
		}
	}
	out := make([]flows.PoolPlan, 0, len(order))
	for _, pp := range order {
		out = append(out, *pp)
	}
	return out
}

// teamShares divides the quotas of teams evenly between the entries.
func teamShares(st *state.State) map[string]admit.Share {
	n := uint32(max(1, st.MemberCount()))
	out := map[string]admit.Share{}
	for t := range st.Teams() {
		out[t.Name] = admit.Share{Weight: t.Weight, Quota: (t.Quota + n - 1) / n}
	}
	return out
}

func (e *Entry) routeTarget(i *state.Instance) flows.Target {
	return flows.Target{
		Target: route.Target{
			Name: i.Name, Addr: i.Addr, Pool: i.Pool, Rack: i.Rack, Centre: i.Centre,
			Slots: int(i.Slots), Conns: int(i.Conns),
		},
		Boot:  i.Boot,
		Limit: e.slots.Limit(i.Name),
	}
}

// AvailableInstances returns the number of instances to which this entry may send requests.
func (e *Entry) AvailableInstances() int { return len(servingEndpoints(e.core.View().State)) }

// SnapshotOffset returns the highest offset of a snapshot that this entry has read completely from
// the log.
func (e *Entry) SnapshotOffset() uint64 { return e.core.View().SnapshotOffset }

// StateHash returns the hash of the folded state.
func (e *Entry) StateHash() uint64 { return e.core.View().State.Hash() }
