package platform_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// The document is changed and the code isn't generated again, or the code is
// changed by hand: client and server would differ from what the document says.
func TestGeneratedCodeIsOfTheDocument(t *testing.T) {
	dir := t.TempDir()
	out, err := exec.Command("go", "tool", "ogen", "--target", dir, "--package", "oas", "--clean", "openapi.yaml").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	want, err := filepath.Glob(filepath.Join(dir, "*.go"))
	must.NoError(t, err)
	got, err := filepath.Glob(filepath.Join("oas", "*.go"))
	must.NoError(t, err)
	must.Positive(t, len(want))
	must.Eq(t, len(want), len(got))
	for _, file := range want {
		fresh, err := os.ReadFile(file)
		must.NoError(t, err)
		committed, err := os.ReadFile(filepath.Join("oas", filepath.Base(file)))
		must.NoError(t, err)
		must.True(t, string(fresh) == string(committed), must.Sprintf("%s: go generate ./api/platform", filepath.Base(file)))
	}
}
