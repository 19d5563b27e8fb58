package trial

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Runs the built programs end to end with the script of `make run` and checks
// its exit status and output.
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
