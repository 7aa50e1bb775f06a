package orders

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a version since which keys are in force that is that of another change, or that stays when
// a key is replaced by another one.
func TestKeysSince(t *testing.T) {
	o := &Orders{}
	for _, c := range []struct {
		version, since int
		keys           string
	}{{3, 3, `"k","l"`}, {5, 3, `"l","k"`}, {9, 9, `"l","m"`}, {10, 9, `"m","l"`}, {12, 12, `"m"`}, {13, 13, ""}, {14, 13, ""}} {
		assert.NilError(t, o.SetConfig(fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"tenants":[{"name":"a","api_keys":[%s],"weight":%d},`+
			`{"name":"b","api_keys":["b%d"],"weight":1}]}`, c.version, c.keys, c.version, c.version)))
		assert.DeepEqual(t, o.KeysSince(), map[string]int64{"a": int64(c.since), "b": int64(c.version)})
	}
}
