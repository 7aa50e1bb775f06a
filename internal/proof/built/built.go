// Package built builds the program for tests that run it as processes.
package built

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Main builds the program and sets path to its path, runs the tests and removes the program, and ends the process
// with the tests' exit code. The package under test must be two levels below internal.
func Main(m *testing.M, path *string) {
	dir, err := os.MkdirTemp("", "chervilgauge")
	if err != nil {
		panic(err)
	}
	*path = filepath.Join(dir, "chervilgauge")
	out, err := exec.Command("go", "build", "-o", *path, "../../../cmd/chervilgauge").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}
