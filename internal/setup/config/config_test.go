package config

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// Guards against an annotated example file that doesn't match the schema or the defaults.
func TestExampleLoads(t *testing.T) {
	cfg, err := Load(filepath.Join("..", "..", "..", "docs", "example.jsonc"))
	assert.NilError(t, err)
	assert.Equal(t, cfg.Name, "entry-1")
	assert.Equal(t, cfg.Limits.Queue, 1500*time.Millisecond)
	want := Default()
	assert.Equal(t, cfg.Limits, want.Limits)
	assert.Equal(t, cfg.Stop, want.Stop)
	assert.Equal(t, cfg.Workers, Remote{URL: "http://127.0.0.1:9002", Timeout: want.Workers.Timeout})
	assert.Equal(t, want.Workers.URL, "", "jobs stay queued by default")
}

// Guards against problems that are lost, have a wrong position or are reported one at a time.
func TestProblemsAreReportedTogether(t *testing.T) {
	path := filepath.Join("_fixtures", "faulty.jsonc")
	_, err := Load(path)
	want, readErr := os.ReadFile(filepath.Join("_fixtures", "faulty.txt"))
	assert.NilError(t, readErr)
	assert.Error(t, err, string(want[:len(want)-1]))
}

// Guards against a syntax error that is reported without its position.
func TestSyntaxErrorHasPosition(t *testing.T) {
	_, err := Parse("x.jsonc", []byte("{\n  \"name\": \n}"))
	var problems Problems
	assert.Assert(t, errors.As(err, &problems))
	assert.Assert(t, is.Len(problems, 1))
	assert.Equal(t, problems[0].Line, 3)
}

// Guards against a panic of the parser and against an error without a text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name":"a","listen":{"callers":1},}`))
	f.Add([]byte(`[{]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("f", data)
		if err != nil {
			assert.Assert(t, err.Error() != "")
		}
	})
}
