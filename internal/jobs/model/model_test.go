package model

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against orders for a run under another name than the one that its executor lists: a text is
// a task's name only if the task has that name.
func FuzzTaskID(f *testing.F) {
	for _, s := range []string{"5c0e7a21d94b36f8.0.1.17", "j.0.0.+1", "j.0.-0.1", "j.00.0.1", "j.0.0", ".0.0.0", "j.0.0.99999999999999999999"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, ok := ParseTaskID(s)
		if !ok {
			return
		}
		assert.Equal(t, id.String(), s)
		assert.Assert(t, id.Occurrence >= 0 && id.Step >= 0 && id.Index >= 0)
	})
}
