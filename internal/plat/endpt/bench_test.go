package endpt

import (
	"fmt"
	"io"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	fake "chervilgauge.example/chervilgauge/internal/fake/endpt"
)

// BenchmarkCall measures calls to one fake endpoint in the same process. The results include the
// cost of the fake.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{0, 16 << 10, maxBuffered, 1 << 20} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			e, c := start(b, fake.WithSlots(1000), fake.WithFaults(fake.Faults{Size: size}))
			ctx, addr := b.Context(), e.Addr()
			var n atomic.Int64
			b.ReportAllocs()
			b.SetBytes(int64(len(wantBody("1", size))))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					id := fmt.Sprint(n.Add(1))
					a, err := c.Call(ctx, addr, request(id))
					assert.NilError(b, err)
					_, err = io.Copy(io.Discard, a.Body)
					assert.NilError(b, err)
					_ = a.Body.Close()
				}
			})
		})
	}
}
