package trail

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against lines of a job that are missed, taken from another job or put in the
// wrong order, in logs that runs recorded.
func TestFindFollowsAJob(t *testing.T) {
	var all []Line
	names, err := filepath.Glob("_fixtures/*.log")
	assert.NilError(t, err)
	for _, name := range names {
		f, err := os.Open(name)
		assert.NilError(t, err)
		ls, err := Find(f, "2baecf75901ba665")
		assert.NilError(t, err)
		assert.NilError(t, f.Close())
		all = append(all, ls...)
	}
	Sort(all)
	assert.Equal(t, len(all), 31)
	assert.Equal(t, all[0].Message, "job is stored without the leader")
	assert.Equal(t, all[0].Fields["error"], "relay: context deadline exceeded")
	last := all[len(all)-1]
	assert.Equal(t, last.Message, "run ended")
	assert.Equal(t, last.Fields["how"], "done")
}
