package edge

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/evidence"
	"foxtailspoke/replica"
)

// readConfigOf returns what reads of an instance that begin now will return.
func (s *configStore) readConfigOf(e *Edge, now time.Duration) tableRead {
	since, known := e.state.config.Version()
	res := replica.ReadResult{Version: s.version, StoreTime: now, Full: !known}
	for _, r := range s.history {
		if known && r.Version > since {
			res.Rows = append(res.Rows, r)
		}
	}
	if !known {
		res.Rows = s.history[len(s.history)-1:]
	}
	return tableRead{table: evidence.Config, since: since, result: res}
}

// configStore is a store that holds only configurations.
type configStore struct {
	version uint64
	history []replica.Row
	// writtenAt has the store's time of each row of history.
	writtenAt []time.Duration
}

// write stores the next configuration.
func (s *configStore) write(now time.Duration) {
	s.version += 2
	s.history = append(s.history, configRow(fmt.Sprintf("%08x", len(s.history)+1), s.version))
	s.writtenAt = append(s.writtenAt, now)
}

// newestAt returns the configuration version that was the newest at a time.
func (s *configStore) newestAt(at time.Duration) uint32 {
	n := 0
	for n < len(s.writtenAt) && s.writtenAt[n] <= at {
		n++
	}
	return uint32(n)
}

// Two configurations are written between two polls, and two reads of an instance overlap.
// Guards against applying the older row again after the newer one: the instance would
// announce the version of the older row with the time of the read, and all others would take
// the older configuration for the newest until the next change.
func TestOverlappingReadsDoNotProveReplacedConfiguration(t *testing.T) {
	store, now := &configStore{}, 100*time.Second
	reader, other := newIdleInstance(t), newIdleInstance(t)
	store.write(now)
	for _, e := range []*Edge{reader, other} {
		completeRead(e, store.readConfigOf(e, now), now)
	}
	store.write(now)
	completeRead(other, store.readConfigOf(other, now), now)
	store.write(now)
	first, second := store.readConfigOf(reader, now+ms), store.readConfigOf(reader, now+2*ms)
	completeRead(reader, first, now+3*ms)
	must.Eq(t, 3, reader.state.table.Version)
	updates := completeRead(reader, second, now+4*ms)
	must.Eq(t, 3, reader.state.table.Version)
	must.Eq(t, store.version, reader.configRowPosition().Version)
	for _, n := range updates {
		other.applyTableUpdate(n, now+5*ms)
	}
	must.Eq(t, 2, other.state.table.Version)
	must.Eq(t, now, other.state.configProof)
	must.False(t, other.hasAnnouncedConfig())
}

const ms = time.Millisecond

// configSnapshot returns what Snapshots.Config of an instance sends.
func configSnapshot(t *testing.T, e *Edge) (s Snapshot) {
	t.Helper()
	var packed Packed
	must.NoError(t, (&Snapshots{edge: e}).Config(Nothing{}, &packed))
	z, err := gzip.NewReader(bytes.NewReader(packed.Data))
	must.NoError(t, err)
	must.NoError(t, json.NewDecoder(z).Decode(&s))
	return s
}

// Guards against proofs that hold for an older configuration than the newest at their time, in
// whatever order reads, announcements and snapshots arrive.
func TestProofsHoldForTheNewestConfiguration(t *testing.T) {
	for seed := range uint64(10) {
		s, store := newTableSimulation(t, seed), &configStore{}
		store.write(s.now)
		change := func() {
			if s.rng.IntN(2) == 0 {
				store.version++ // a change of another table
				return
			}
			store.write(s.now)
		}
		fetch := func(to, from *Edge) {
			switch {
			case s.rng.IntN(2) == 0:
				to.applySnapshot(from.snapshot(s.now), s.now)
			case from.state.table != nil:
				to.applySnapshot(configSnapshot(t, from), s.now)
			}
		}
		for step := range 3000 {
			s.step(change, store.readConfigOf, fetch)
			for i, e := range s.instances {
				if !e.state.configProved {
					continue
				}
				must.LessEq(t, e.state.table.Version, store.newestAt(e.state.configProof),
					must.Sprintf("seed %d, step %d, instance %d: proof of %v", seed, step, i, e.state.configProof))
			}
		}
	}
}
