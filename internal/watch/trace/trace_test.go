package trace

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// span holds the fields of a written span that operators use.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Resource    []struct {
		Key   string
		Value struct{ Value string }
	}
}

// readSpans returns the spans in a file by name.
func readSpans(t *testing.T, file string) map[string]span {
	t.Helper()
	f, err := os.Open(file)
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	out := map[string]span{}
	for d := json.NewDecoder(f); d.More(); {
		var s span
		assert.NilError(t, d.Decode(&s))
		out[s.Name] = s
	}
	return out
}

// Guards against spans that are lost when the tracer is closed, that overwrite those of an
// earlier run, or that lack their trace, their parent or the name of the entry.
func TestSpansReachTheFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.json")
	for _, name := range []string{"first", "second"} {
		tr, err := New(file, "entry-1", 1)
		assert.NilError(t, err)
		ctx, outer := tr.Start(context.Background(), name)
		_, inner := tr.Start(ctx, name+" hop")
		inner.End()
		outer.End()
		assert.NilError(t, tr.Close())
	}
	spans := readSpans(t, file)
	assert.Equal(t, len(spans), 4)
	for _, name := range []string{"first", "second"} {
		outer, inner := spans[name], spans[name+" hop"]
		assert.Equal(t, inner.Parent.SpanID, outer.SpanContext.SpanID)
		assert.Equal(t, inner.SpanContext.TraceID, outer.SpanContext.TraceID)
		assert.Equal(t, outer.Resource[0].Key, "service.instance.id")
		assert.Equal(t, outer.Resource[0].Value.Value, "entry-1")
	}
}

// Guards against spans that are recorded although the sampled share is 0 or no file is set,
// and against a file that can't be opened without an error.
func TestSpansAreNotWritten(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.json")
	none, err := New(file, "entry-1", 0)
	assert.NilError(t, err)
	_, s := none.Start(context.Background(), "call")
	assert.Assert(t, !s.SpanContext().IsSampled())
	s.End()
	assert.NilError(t, none.Close())
	assert.Equal(t, len(readSpans(t, file)), 0)

	off, err := New("", "entry-1", 1)
	assert.NilError(t, err)
	_, s = off.Start(context.Background(), "call")
	assert.Assert(t, !s.IsRecording())
	assert.NilError(t, off.Close())

	_, err = New(filepath.Join(file, "below-a-file"), "entry-1", 1)
	assert.Assert(t, Err.Has(err), "%v", err)
}
