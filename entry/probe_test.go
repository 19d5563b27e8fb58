package entry_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin"
)

// A backend server fails every request and reports good health. Callers' own
// requests get it ejected. Its report must not bring it back: probes ask for
// the service's own path, and only when those succeed does it return.
func TestServerHealthyByItsReportOnlyStaysOut(t *testing.T) {
	w := newWorld(t, options{catalogues: 4})
	e := w.entries[0]
	w.fault(standin.BackendFaults{ErrorRatio: 1, Health: "ok"})
	ejected := func() bool {
		status, err := w.operators(e).GetStatus(context.Background())
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
			w.get(e, "/catalogue/a", w.key)
		}
	}
	eventually(t, "it is ejected", func() bool { load(); return ejected() })
	from := len(w.executions("/catalogue/"))
	eventually(t, "probes reach its own path", func() bool { load(); return len(w.executions("/catalogue/")) >= from+5 })
	if !ejected() {
		status, err := w.operators(e).GetStatus(context.Background())
		must.NoError(t, err)
		t.Fatalf("not ejected any more; the instance says: %+v", status)
	}
	w.fault(standin.BackendFaults{})
	eventually(t, "it returns", func() bool { load(); return !ejected() })
}

func (w *world) fault(f standin.BackendFaults) { must.NoError(w.t, w.catalogue.SetFaults(f)) }

// executions returns the work of the first catalogue server with this path.
func (w *world) executions(path string) (found []standin.Execution) {
	all, _ := w.catalogue.Executions()
	for _, x := range all {
		if x.Path == path {
			found = append(found, x)
		}
	}
	return found
}
