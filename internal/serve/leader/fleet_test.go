package leader

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/jobs/model"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against a leader that treats the first page of the instance list as the whole list.
func TestAllPagesOfInstancesAreRead(t *testing.T) {
	w := fake.NewPlatform(map[string]int{"s": 12})
	defer w.Close()
	l := &Leader{Deps: Deps{Client: platform.NewClient(w.Settings("self", 1, 2, 3))}}
	defer l.Client.Close()
	list, err := l.readInstances(context.Background())
	assert.NilError(t, err)
	seen := map[string]bool{}
	for _, in := range list {
		seen[in.Name] = true
	}
	assert.Equal(t, len(seen), 12)
}

// Guards against a second set of instances for the same need: the platform lists an instance in
// its new pool as soon as the move begins, and it was then counted neither there nor as incoming.
// Four times the instances that a pool needed were moved.
func TestMovingInstancesAreIncomingUntilTheyArrive(t *testing.T) {
	l, _, _ := newTestLeader(t)
	l.initFleet(nil, l.now)
	for _, phase := range []model.Phase{model.Up, model.Moving} {
		pool := map[model.Phase]string{model.Up: "rest", model.Moving: "s"}[phase]
		l.applyInstances([]model.Instance{{Name: "m1", Pool: pool, Phase: phase, Labels: []string{"kind"}}}, l.now)
		l.fleet.operations["m1"] = &operation{instance: "m1", pool: "s", since: l.now}
		assert.DeepEqual(t, l.incomingInstances(), map[string]map[string]int{"s": {"": 1, "kind": 1}})
		l.now += time.Second
	}
}
