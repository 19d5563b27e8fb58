// Package harness runs the project's real programs as processes, for tests
// and trials: it builds them once, starts them, learns their addresses from
// the lines "listening WHAT ADDRESS" that they print, and stops, kills,
// freezes and thaws them.
//
// It signals only processes that it started itself and that it hasn't waited
// for yet, and they are killed if the process that started them dies.
package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// built is where this process's programs are.
var built = sync.OnceValues(build)

// Program returns the path of a program of this module by its name under
// cmd/. The first call builds all of them, by the go command, into a new
// directory; Cleanup removes it.
func Program(name string) (string, error) {
	dir, err := built()
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name)
	if _, err := os.Stat(path); err != nil {
		return "", errors.Wrapf(err, "program %s", name)
	}
	return path, nil
}

// Cleanup removes the programs. Nothing can be started after it.
func Cleanup() {
	if dir, err := built(); err == nil {
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
		return "", errors.Wrap(err, "directory of the programs")
	}
	if _, err := output(root, "go", "build", "-o", dir+string(filepath.Separator), "./cmd/..."); err != nil {
		_ = os.RemoveAll(dir)
		return "", err
	}
	return dir, nil
}

// output runs a command in a directory and returns what it prints, without
// the spaces around it.
func output(dir, name string, args ...string) (string, error) {
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	var problems strings.Builder
	cmd.Stderr = &problems
	out, err := cmd.Output()
	if err != nil {
		return "", errors.Wrapf(err, "%s %s: %s", name, strings.Join(args, " "), problems.String())
	}
	return strings.TrimSpace(string(out)), nil
}
