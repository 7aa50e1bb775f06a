package leader

import (
	"context"
	"time"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
)

// duties is the state of moves and waves.
type duties struct {
	// unseen are services of whose executors the store shows less than the instance
	// service: what runs there is not known.
	unseen map[string]bool
}

type listed struct {
	report
	instances []model.Instance
	err       error
}

type ordered struct {
	report
	err error
}

type statused struct {
	report
	err error
}

// takeInstances looks for executors that the store does not show.
func (l *Leader) takeInstances(list []model.Instance) {
	l.duty.unseen = map[string]bool{}
	for _, in := range list {
		if in.Phase == model.Up && in.Executor != "" && l.byID[in.Executor] == nil {
			l.duty.unseen[in.Pool] = true
			l.Log.Warn().Str("instance", in.Name).Str("executor", in.Executor).Str("service", in.Pool).Msg("executor is not in the store")
		}
	}
}

func (l *Leader) dutyTick() {}

func (l *Leader) onListed(listed)     {}
func (l *Leader) onOrdered(ordered)   {}
func (l *Leader) onStatused(statused) {}

var _ = context.Background
var _ = time.Second
