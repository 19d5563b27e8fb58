package labcommand

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/lab"
)

func run(args ...string) (status int, stdout, stderr string) {
	var out, err bytes.Buffer
	status = Run(args, &out, &err)
	return status, out.String(), err.String()
}

func TestCompare(t *testing.T) {
	status, out, _ := run("--draws", "4", "--b-without", "keep", "--json")
	must.Zero(t, status)
	var measures []lab.Comparison
	must.NoError(t, json.Unmarshal([]byte(out), &measures))
	must.Len(t, len(lab.MeasureNames), measures)
	status, out, _ = run("--settings", "../../examples/lab/hanging.jsonc", "--draws", "3")
	must.Zero(t, status)
	must.StrContains(t, out, "B without probe")
}

func TestCommandLineErrors(t *testing.T) {
	status, _, errs := run("--b-without", "nothing-such")
	must.Eq(t, exitUsage, status)
	must.StrContains(t, errs, "nothing-such")
	status, _, errs = run("--settings", "missing.jsonc")
	must.Eq(t, exitUsage, status)
	must.StrContains(t, errs, "missing.jsonc")
	status, _, _ = run("--draws", "2", "--plot", "/nonexistent/x.svg")
	must.Eq(t, exitFailed, status)
	status, out, _ := run("--help")
	must.Zero(t, status)
	must.StrContains(t, out, "--ablate")
}
