// Package built builds the program for tests that run it as processes.
package built

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Main builds the program from a directory two levels below internal, sets path to where it is, runs the tests and
// ends the process with their exit code. It removes the program before.
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
