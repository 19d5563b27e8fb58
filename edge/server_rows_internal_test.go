package edge

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/evidence"
	"foxtailspoke/replica"
)

// serverStore is a store that holds only entries of servers.
type serverStore struct {
	t       *testing.T
	version uint64
	history []replica.Row
	// states has the values of all rows at each version.
	states map[uint64]map[string]string
}

func newServerStore(t *testing.T) *serverStore {
	t.Helper()
	s := &serverStore{t: t, states: make(map[uint64]map[string]string)}
	s.states[0] = map[string]string{}
	s.write("i-0", "ready")
	return s
}

// write stores an entry, or removes it if the state is empty.
func (s *serverStore) write(id, state string) {
	rows := maps.Clone(s.states[s.version])
	s.version++
	row := replica.Row{Key: id, Gone: state == "", Version: s.version}
	if row.Gone {
		delete(rows, id)
	} else {
		b, err := json.Marshal(map[string]any{
			"service": "s", "address": "10.0.0.9:80", "zone": "dc", "slots": 2, "state": state, "seq": s.version, "born": 1,
		})
		must.NoError(s.t, err)
		row.Value = b
		rows[id] = string(b)
	}
	s.history = append(s.history, row)
	s.states[s.version] = rows
}

// read returns what a read of an instance that begins now will return.
func (s *serverStore) read(e *Edge, now time.Duration) tableRead {
	since, known := e.state.servers.Version()
	res := replica.ReadResult{Version: s.version, StoreTime: now, Full: !known}
	for _, r := range s.history {
		if known && r.Version > since {
			res.Rows = append(res.Rows, r)
		}
	}
	if !known {
		for id, value := range s.states[s.version] {
			res.Rows = append(res.Rows, replica.Row{Key: id, Value: []byte(value), Version: s.version})
		}
	}
	return tableRead{table: evidence.Servers, since: since, result: res}
}

// Guards against copies of the server list that lack a change from before their version, in
// whatever order reads, announcements and snapshots arrive: an instance would use a server that
// has left for good.
func TestServerListIsCompleteUpToItsVersion(t *testing.T) {
	for seed := range uint64(10) {
		s, store := newTableSimulation(t, seed), newServerStore(t)
		change := func() {
			store.write(fmt.Sprintf("i-%d", 1+s.rng.IntN(4)), []string{"ready", "draining", ""}[s.rng.IntN(3)])
		}
		fetch := func(to, from *Edge) { to.applySnapshot(from.snapshot(s.now), s.now) }
		for step := range 3000 {
			s.step(change, store.read, fetch)
			for i, e := range s.instances {
				version, known := e.state.servers.Version()
				if !known {
					continue
				}
				have := make(map[string]string)
				for _, r := range e.state.servers.Rows() {
					have[r.Key] = entryState(t, string(r.Value))
				}
				want := make(map[string]string)
				for id, value := range store.states[version] {
					want[id] = entryState(t, value)
				}
				must.Eq(t, want, have, must.Sprintf("seed %d, step %d, instance %d, version %d", seed, step, i, version))
			}
		}
	}
}

// entryState returns the state in an entry. Renewals, which change only the sequence number, are
// not announced.
func entryState(t *testing.T, value string) string {
	t.Helper()
	var entry struct {
		State string `json:"state"`
	}
	must.NoError(t, json.Unmarshal([]byte(value), &entry))
	return entry.State
}
