package entry_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin"
)

// A backend server fails every request but reports good health. It is ejected
// for the failures of callers' requests. Its report must not reinstate it: it
// returns only after probes of a path of the service have succeeded.
func TestServerHealthyByItsReportOnlyStaysOut(t *testing.T) {
	env := newEnvironment(t, options{catalogues: 4})
	e := env.entries[0]
	env.fault(standin.BackendFaults{ErrorRatio: 1, HealthOverride: "ok"})
	ejected := func() bool {
		status, err := env.operators(e).GetStatus(context.Background())
		must.NoError(t, err)
		for _, s := range status.Services {
			if s.Name == "catalogue" {
				return len(s.Ejected) == 1
			}
		}
		return false
	}
	load := func() {
		for range 20 {
			env.get(e, "/catalogue/a", env.key)
		}
	}
	eventually(t, "it is ejected", func() bool { load(); return ejected() })
	from := len(env.executions("/catalogue/"))
	eventually(t, "probes reach its own path", func() bool { load(); return len(env.executions("/catalogue/")) >= from+5 })
	if !ejected() {
		status, err := env.operators(e).GetStatus(context.Background())
		must.NoError(t, err)
		t.Fatalf("server is no longer ejected; status: %+v", status)
	}
	env.fault(standin.BackendFaults{})
	eventually(t, "it returns", func() bool { load(); return !ejected() })
}

func (env *environment) fault(f standin.BackendFaults) {
	must.NoError(env.t, env.catalogue.SetFaults(f))
}

// executions returns the first catalogue server's executions of a path.
func (env *environment) executions(path string) (found []standin.Execution) {
	all, _ := env.catalogue.Executions()
	for _, x := range all {
		if x.Path == path {
			found = append(found, x)
		}
	}
	return found
}
