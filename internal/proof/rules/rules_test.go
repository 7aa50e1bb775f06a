package rules

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../../.."

// decisionPackages are the packages that must not do input or output.
var decisionPackages = []string{
	"fleet/state", "fleet/budget", "fleet/waves", "fleet/spare", "fleet/place", "fleet/member",
	"flow/admit", "flow/route", "flow/alloc", "flow/claim",
	"jobs/model", "jobs/track", "jobs/execs", "jobs/assign", "jobs/scale", "jobs/maint", "jobs/elect", "jobs/quota",
}

// forbidden are the import paths that decision packages must not use, nor packages below them.
var forbidden = []string{
	"net", "os", "log", "io/fs", "github.com/rs/zerolog", "github.com/uber-go/tally",
	"go.opentelemetry.io", "google.golang.org/grpc", "storj.io/drpc", "github.com/labstack",
	"chervilgauge.example/chervilgauge/internal/plat", "chervilgauge.example/chervilgauge/internal/serve",
	"chervilgauge.example/chervilgauge/internal/fake", "chervilgauge.example/chervilgauge/internal/watch",
	"chervilgauge.example/chervilgauge/internal/core", "chervilgauge.example/chervilgauge/internal/setup",
	"chervilgauge.example/chervilgauge/internal/bench",
}

// isForbidden reports whether a path is forbidden or below a forbidden path. Generated message
// packages are not checked: they import what their generator needs.
func isForbidden(path string) bool {
	return slices.ContainsFunc(forbidden, func(f string) bool {
		return path == f || strings.HasPrefix(path, f+"/")
	})
}

// files returns the Go files below a directory for which keep returns true.
func files(t *testing.T, dir string, keep func(path string) bool) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(path, ".go") && keep(path) {
			out = append(out, path)
		}
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, len(out) > 0, "no files in %s", dir)
	return out
}

func isSource(path string) bool {
	return !strings.HasSuffix(path, "_test.go") && !strings.HasSuffix(path, ".pb.go")
}

// Guards against a decision package that uses the network, the wall clock, a logger, metrics or an
// adapter.
func TestDecisionsHaveNoInputOrOutput(t *testing.T) {
	for _, pkg := range decisionPackages {
		for _, path := range files(t, "internal/"+pkg, isSource) {
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			assert.NilError(t, err)
			for _, i := range f.Imports {
				p, err := strconv.Unquote(i.Path.Value)
				assert.NilError(t, err)
				assert.Assert(t, !isForbidden(p), "%s imports %s", path, p)
			}
			ast.Inspect(f, func(n ast.Node) bool {
				s, ok := n.(*ast.SelectorExpr)
				x, isIdent := ast.Node(nil), false
				if ok {
					x = s.X
					var id *ast.Ident
					id, isIdent = x.(*ast.Ident)
					isIdent = isIdent && id.Name == "time"
				}
				wall := isIdent && slices.Contains([]string{"Now", "Since", "Until", "After", "Sleep"}, s.Sel.Name)
				assert.Assert(t, !wall, "%s uses the wall clock", path)
				return true
			})
		}
	}
}

// Guards against errors without a type or class, which callers can't distinguish.
func TestFailuresHaveTypes(t *testing.T) {
	for _, path := range files(t, ".", isSource) {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, call := range []string{"errors.New(", "fmt.Errorf("} {
			assert.Assert(t, !strings.Contains(string(data), call), "%s uses %s...)", path, call)
		}
	}
}

// wireNames are names from the protocol of the operators' platform.
var wireNames = []string{
	"/chervilgauge/", "X-Duty-Holder", "X-Fencing-Token", "X-Expect-Instance", "X-Deadline-Ms", "keyed.op", "keyed.servers",
	"keyed.status", "max_per_server", "max_unavailable", "long_running", "rack_local", "data_rack", "required_label",
	"deadline_ms", "ack_seq", "clock_ms", "admission_control", "target_runtime_ms", "run-start", "machine-move", "CHERVILGAUGE_SETTINGS",
}

// Guards against names of the platform's protocol outside of the platform folder, which translates
// them, against production code outside of the tools in internal/bench that imports the platform's
// test servers, and against a platform folder that imports decision packages.
func TestWireWordsStayInPlatform(t *testing.T) {
	for _, dir := range []string{"internal", "cmd"} {
		for _, path := range files(t, dir, isSource) {
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			for _, w := range wireNames {
				for _, line := range strings.Split(string(data), "\n") {
					isImport := strings.Contains(line, "chervilgauge.example/chervilgauge/")
					assert.Assert(t, isImport || !strings.Contains(line, w), "%s: %s", path, line)
				}
			}
			isTool := strings.Contains(path, "/internal/bench/")
			assert.Assert(t, isTool || !strings.Contains(string(data), "chervilgauge/platform/fake"), "%s imports the stand-ins", path)
		}
	}
	for _, path := range files(t, "platform", isSource) {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, area := range []string{"serve", "fleet", "flow", "jobs/track", "jobs/assign"} {
			assert.Assert(t, !strings.Contains(string(data), "chervilgauge/internal/"+area), "%s imports internal/%s", path, area)
		}
	}
}

// Guards against packages outside internal/<area>/<name of 4 to 6 letters>.
func TestPackagePaths(t *testing.T) {
	for _, path := range files(t, "internal", func(string) bool { return true }) {
		rel, err := filepath.Rel(filepath.Join(root, "internal"), filepath.Dir(path))
		assert.NilError(t, err)
		parts := strings.Split(rel, string(filepath.Separator))
		assert.Equal(t, len(parts), 2, "%s", path)
		assert.Assert(t, len(parts[1]) >= 4 && len(parts[1]) <= 6, "%s", path)
	}
}

// Guards against production code that imports the baseline queue, which is for tests and tools.
func TestBaselineIsForTestsAndTools(t *testing.T) {
	const baseline = "chervilgauge.example/chervilgauge/internal/flow/refq"
	for _, path := range files(t, "internal", isSource) {
		if strings.Contains(path, "/bench/") || strings.Contains(path, "/flow/refq/") {
			continue
		}
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(data), strconv.Quote(baseline)), "%s imports %s", path, baseline)
	}
}
