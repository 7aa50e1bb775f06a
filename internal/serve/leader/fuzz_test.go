package leader

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Whatever is stored for a wave or an instance, it changes only that wave or instance, and an order
// was sent before this leader's term and after 1970.
func FuzzWaveRecord(f *testing.F) {
	f.Add(waveKeyPrefix+"7", []byte("m1,m2,,m3"))
	f.Add(waveKeyPrefix+"-9223372036854775808", []byte(","))
	f.Add(orderKeyPrefix+"m1", []byte("1760000000000 entry-1"))
	f.Add(orderKeyPrefix+"m1", []byte("9223372036854775807 e"))
	f.Add(orderKeyPrefix, []byte("-5"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		l, _, _ := newTestLeader(t)
		l.fleet.tookOverAt = 490_000 * time.Hour
		l.initFleet(nil, l.now)
		l.loadWave(key, value)
		assert.Assert(t, len(l.fleet.maintained)+len(l.fleet.lastOrders) <= 1)
		for name, o := range l.fleet.lastOrders {
			assert.Equal(t, orderKeyPrefix+name, key)
			assert.Assert(t, o.at >= 0 && o.at < l.fleet.tookOverAt, "%v", o.at)
		}
		for _, names := range l.fleet.maintained {
			for name := range names {
				assert.Assert(t, name != "" && strings.Contains(string(value), name))
			}
		}
	})
}
