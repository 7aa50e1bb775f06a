package orders

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/internal/core/clock"
	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

func config(version int) []byte { return fmt.Appendf(nil, `{"version":%d}`, version) }

// Guards against a configuration older than one in force: a digest of a leader that is cut off from
// the store arrives after a restarted entry has read the store, and records of the store are read
// again, or after a newer one came with a digest.
func TestOlderConfigurationsAreNotPutIntoForce(t *testing.T) {
	w := fake.NewPlatform(nil)
	defer w.Close()
	c := platform.NewClient(w.Settings("self", 1, 2, 3))
	defer c.Close()
	for _, v := range []int{1, 3} {
		w.Store.Put(platform.OperatorTopic, platform.ConfigKey, config(v))
	}
	o := &Orders{client: c, log: zerolog.Nop(), clk: clock.NewFake(time.Unix(0, 0)), waves: map[int64]Wave{}}
	read := func() int64 {
		_, err := o.ReadAll(context.Background())
		assert.NilError(t, err)
		_, err = o.ReadNext(context.Background(), 0, readWait)
		assert.NilError(t, err)
		return o.Config().Version
	}
	assert.Equal(t, read(), int64(3))
	assert.NilError(t, o.SetConfig(config(2)))
	assert.Equal(t, o.Config().Version, int64(3))
	assert.Equal(t, string(o.RawConfig()), string(config(3)))
	assert.NilError(t, o.SetConfig(config(7)))
	assert.Equal(t, read(), int64(7))
}
