package leader

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"chervilgauge.example/chervilgauge/platform"
	"chervilgauge.example/chervilgauge/platform/fake"
)

// Guards against a new leader that takes the first page of the instances for all of them.
func TestAllPagesOfInstancesAreRead(t *testing.T) {
	w := fake.NewWorld(map[string]int{"s": 12})
	defer w.Close()
	l := &Leader{Parts: Parts{Client: platform.NewClient(w.Settings("self", 1, 2, 3))}}
	defer l.Client.Close()
	list, err := l.instances(context.Background())
	assert.NilError(t, err)
	seen := map[string]bool{}
	for _, in := range list {
		seen[in.Name] = true
	}
	assert.Equal(t, len(seen), 12)
}
