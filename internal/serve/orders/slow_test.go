package orders

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against a view that becomes too old while the store answers each read, but up to a second late:
// reads that wait for a change were given up before their answer, each time.
func TestViewIsExtendedWhileTheStoreIsSlow(t *testing.T) {
	w := fake.NewPlatform(nil)
	t.Cleanup(w.Close)
	c := platform.NewClient(w.Settings("self", 1, 2, 3))
	t.Cleanup(c.Close)
	w.Store.Put(platform.OperatorTopic, platform.ConfigKey, []byte(`{"version":1}`))
	o := Start(context.Background(), c, clock.NewBootTime(), zerolog.Nop())
	t.Cleanup(o.Close)
	for o.Config() == nil {
		time.Sleep(time.Millisecond)
	}
	w.Store.Set(fake.Faults{Delay: time.Second})
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		age, ok := o.ViewAge()
		assert.Assert(t, ok && age < 4500*time.Millisecond, "age %v", age)
	}
}
