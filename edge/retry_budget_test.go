package edge_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An instance starts while the others retry many requests. Guards against a budget that
// begins without the retries that were counted before, and against one that stays
// empty although the others know them.
func TestInstanceThatStartsKnowsTheRetriesOfTheOthers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-well", nil)
	f.backend("i-failing", resetConnection)
	f.configure(1000, key)
	f.startFirst(2)
	eventually(t, 8*time.Second, "some retries", func() bool {
		f.lookup(0)
		return f.status(0).Services[0].Retries >= 3
	})
	before := f.status(0).Services[0]
	started := f.start(nil)
	eventually(t, 4*time.Second, "the new instance knows the retries and may use the slack", func() bool {
		s := f.status(started)
		return len(s.Services) == 1 && s.Services[0].Retries >= before.Retries && s.Services[0].RetriesAllowed > before.RetriesAllowed/2
	})
}

// All instances of a fleet restart, and no record of their retries remains. Guards
// against a budget that then allows the whole slack again.
func TestRestartedFleetDoesNotUseTheSlackAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-failing", resetConnection)
	f.configure(1000, key)
	f.startAll(2)
	s := f.status(0).Services[0]
	const slack = 50
	must.Less(t, 0.3*slack, s.RetriesAllowed)
}
