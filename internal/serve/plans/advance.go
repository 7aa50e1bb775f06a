package plans

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/core/ports"
	"chervilgauge.example/chervilgauge/internal/fleet/state"
	"chervilgauge.example/chervilgauge/internal/wire/recpb"
)

// rebootRetryInterval is the time after which a reboot order without visible effect is repeated.
// The first order or its answer may be lost.
const rebootRetryInterval = 10 * time.Second

// advance moves every instance under a grant to its next phase where it can.
func (p *Planner) advance(ctx context.Context, st *state.State) {
	p.hasGrants = false
	for i := range st.Instances() {
		if i.Grant == nil {
			delete(p.rebootOrders, i.Name)
			continue
		}
		p.hasGrants = true
		switch {
		case i.Phase == state.Drained && i.Grant.Target != "" && !i.Grant.Moved:
			p.append(ctx, "moved/"+i.Name, &recpb.Record{Body: &recpb.Record_Moved{
				Moved: &recpb.Moved{Name: i.Name, Grant: i.Grant.Offset}}})
		case i.Phase == state.Drained && i.Grant.Target == "" && !p.isOccupied(st, i.Name):
			p.append(ctx, "restart/"+i.Name, &recpb.Record{Body: &recpb.Record_Restart{
				Restart: &recpb.Restart{Name: i.Name, Grant: i.Grant.Offset}}})
		case i.Phase == state.Restarting:
			p.reboot(ctx, i)
		}
	}
}

// reboot orders a reboot that the log has recorded, and repeats the order while the instance list
// shows the instance as live with its old boot number.
func (p *Planner) reboot(ctx context.Context, i *state.Instance) {
	now := p.Clock.Now()
	if last, ok := p.rebootOrders[i.Name]; ok && now-last < rebootRetryInterval {
		return
	}
	l, ok := p.observed.listed[i.Name]
	if ok && (l.Boot > i.Grant.Boot || l.Phase != ports.Live) {
		return
	}
	p.rebootOrders[i.Name] = now
	subject := "reboot/" + i.Name
	if !p.begin(subject) {
		return
	}
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		defer p.end(subject)
		ctx, cancel := context.WithTimeout(ctx, submitTimeout)
		defer cancel()
		if err := p.Instances.Reboot(ctx, i.Name); err != nil {
			p.Scope.Counter("reboots_unconfirmed").Inc(1)
		}
	}()
}
