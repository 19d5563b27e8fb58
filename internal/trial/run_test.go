package trial

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// The real binaries go the whole path, as `make run` does: what it prints is
// what a newcomer sees, and its status says whether it went as promised.
func TestRunGoesAsPromised(t *testing.T) {
	root, err := filepath.Abs("../..")
	must.NoError(t, err)
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "./cmd/...")
	build.Dir = root
	out, err := build.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	run := exec.Command("bash", "scripts/run")
	run.Dir = root
	run.Env = append(os.Environ(), "BIN="+bin)
	out, err = run.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	must.Positive(t, strings.Count(string(out), "as promised:"))
	must.StrNotContains(t, string(out), "NOT AS PROMISED")
}
