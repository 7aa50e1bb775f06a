package budget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestAllows guards against a drain beyond a limit, and against an instance that is down
// and is counted twice.
func TestAllows(t *testing.T) {
	n := Counts{Pool: Count{9, 6, 0}, Rack: Count{3, 2, 0}, Centre: Count{5, 3, 0}}
	for _, c := range []struct {
		limits    Limits
		available bool
		scope     Scope
	}{
		{Limits{4, 2, 3}, true, None},
		{Limits{4, 0, 0}, true, None},
		{Limits{3, 2, 3}, true, Pool},
		{Limits{4, 1, 3}, true, Rack},
		{Limits{4, 2, 2}, true, Centre},
		{Limits{3, 1, 2}, false, None},
		{Limits{2, 1, 2}, false, Pool},
	} {
		scope, ok := Allows(c.limits, n, c.available)
		assert.Equal(t, scope, c.scope)
		assert.Equal(t, ok, scope == None)
	}
	assert.Assert(t, !Limits{Rack: 1}.IsValid())
}
