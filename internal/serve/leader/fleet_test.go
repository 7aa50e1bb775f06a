package leader

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

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
