// Package harness runs the module's programs as child processes, for tests
// and end-to-end checks. It builds them once, starts them, reads their
// addresses from the lines "listening WHAT ADDRESS" on their standard output,
// and stops, kills, suspends and resumes them.
//
// It signals only child processes that it has started and not yet reaped.
// Child processes are killed if the process that started them dies.
package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// buildOnce builds the programs on the first call and returns their directory.
var buildOnce = sync.OnceValues(build)

// Program returns the path of the executable for cmd/name. The first call
// builds all programs of the module into a temporary directory, which Cleanup
// removes.
func Program(name string) (string, error) {
	dir, err := buildOnce()
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name)
	if _, err := os.Stat(path); err != nil {
		return "", errors.Wrapf(err, "program %s", name)
	}
	return path, nil
}

// Cleanup removes the executables. No program can be started afterwards.
func Cleanup() {
	if dir, err := buildOnce(); err == nil {
		_ = os.RemoveAll(dir)
	}
}

func build() (string, error) {
	root, err := output("", "go", "list", "-m", "-f", "{{.Dir}}")
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "foxtailspoke-programs-")
	if err != nil {
		return "", errors.Wrap(err, "create directory for executables")
	}
	if _, err := output(root, "go", "build", "-o", dir+string(filepath.Separator), "./cmd/..."); err != nil {
		_ = os.RemoveAll(dir)
		return "", err
	}
	return dir, nil
}

// output runs a command in dir and returns its standard output with
// surrounding white space removed. An error includes the standard error.
func output(dir, name string, args ...string) (string, error) {
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	var stderr strings.Builder
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return "", errors.Wrapf(err, "%s %s: %s", name, strings.Join(args, " "), stderr.String())
	}
	return strings.TrimSpace(string(out)), nil
}
