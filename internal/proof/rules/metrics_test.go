package rules

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// metricConstructors are the methods that create a metric; their first argument is its name.
var metricConstructors = []string{"Counter", "Gauge", "Timer", "Histogram", "Value", "Flag", "Total"}

// metricName returns the name of the metric that a call creates, empty for other nodes.
func metricName(n ast.Node) string {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return ""
	}
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains(metricConstructors, f.Sel.Name) {
		return ""
	}
	lit, ok := call.Args[0].(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	name, _ := strconv.Unquote(lit.Value)
	return name
}

// metricsInCode returns the source file of each metric, by name.
func metricsInCode(t *testing.T) map[string]string {
	t.Helper()
	out := map[string]string{}
	for _, path := range files(t, "internal", isSource) {
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		rel, err := filepath.Rel(root, path)
		assert.NilError(t, err)
		ast.Inspect(f, func(n ast.Node) bool {
			if name := metricName(n); name != "" {
				out[name] = filepath.ToSlash(rel)
			}
			return true
		})
	}
	return out
}

// metricRow matches a table row with name, labels, meaning, source file and what to do. The groups
// are the name, the source file and what to do.
var metricRow = regexp.MustCompile("^\\| `([a-z_]+)` \\|.*\\| `(internal/[a-z/]+\\.go)` \\| (.+) \\|$")

// Guards against a metric that docs/metrics.md doesn't explain, and against an entry of that page
// whose metric is gone or is created in another file.
func TestMetricsPageListsTheMetrics(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(root, "docs", "metrics.md"))
	assert.NilError(t, err)
	page := map[string]string{}
	for line := range strings.Lines(string(data)) {
		if m := metricRow.FindStringSubmatch(strings.TrimSpace(line)); m != nil {
			_, twice := page[m[1]]
			assert.Assert(t, !twice, "%s is listed twice", m[1])
			page[m[1]] = m[2]
		}
	}
	code := metricsInCode(t)
	assert.Assert(t, len(code) > 0)
	assert.DeepEqual(t, slices.Sorted(maps.Keys(page)), slices.Sorted(maps.Keys(code)))
	assert.DeepEqual(t, page, code)
}
