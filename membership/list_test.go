package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// Guards against a witness that keeps an empty instance list. If it read the
// list before any instance was registered, its own table reads keep its proofs
// fresh, so the fallback never reads the list again. It then can't reach the
// other witnesses, and an operator's change doesn't come in force.
func TestWitnessWithEmptyListReadsListAgain(t *testing.T) {
	replica := config.NewReplica()
	m := New(Settings{Self: "b", DataCentre: "y"}, replica, rand.New(rand.NewPCG(1, 1)))
	witnesses := storage.Row{Key: config.WitnessesKey, Value: []byte(`{"members":["a","b"]}`), Revision: 1}
	lists := 0
	var answer func(now time.Duration, effects []effect.Effect)
	answer = func(now time.Duration, effects []effect.Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case effect.ReadTable:
				answer(now, m.ReadDone(now, e.ID, storage.Changes{Revision: 1, Rows: []storage.Row{witnesses}}, true))
			case effect.ReadInstances:
				lists++
				answer(now, m.InstancesDone(now, e.ID, storage.InstanceChanges{}, true))
			}
		}
	}
	now := time.Duration(0)
	for ; now < 30*time.Second; now = max(now+time.Millisecond, m.NextWake()) {
		answer(now, m.Tick(now))
	}
	must.Greater(t, 5, lists)
	must.Less(t, 60, lists)
}

// A directory that applies changes one by one must equal a directory that is
// built from the full list, while instances start, leave, end and change.
func TestDirectoryUpdatesEqualFullRebuild(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	kept := newDirectory(Settings{}.withDefaults())
	all := map[string]storage.Instance{}
	states := []storage.State{storage.Live, storage.Live, storage.Leaving, storage.Ended}
	for version := uint64(1); version < 400; version++ {
		i := storage.Instance{
			ID:         strconv.Itoa(rng.IntN(40)),
			Kind:       storage.Entry,
			DataCentre: strconv.Itoa(rng.IntN(3)),
			State:      states[rng.IntN(len(states))],
		}
		if rng.IntN(2) == 0 {
			i.Kind, i.Service = storage.BackendServer, strconv.Itoa(rng.IntN(3))
		}
		all[i.ID] = i
		kept.apply(storage.InstanceChanges{Version: version, Changed: []storage.Instance{i}})
		fresh := newDirectory(Settings{}.withDefaults())
		fresh.apply(storage.InstanceChanges{Version: version, Full: true, Changed: slices.Collect(maps.Values(all))})
		must.SliceEqFunc(t, fresh.Entries(), kept.Entries(), sameInstance)
		must.Eq(t, fresh.DataCentres(), kept.DataCentres())
		for s := range 20 {
			name := strconv.Itoa(s)
			must.Eq(t, fresh.Collector(name), kept.Collector(name))
			must.SliceEqFunc(t, fresh.Servers(name), kept.Servers(name), sameInstance)
			must.Eq(t, fresh.Watchers(name), kept.Watchers(name))
		}
	}
}

func sameInstance(a, b storage.Instance) bool { return a == b }
