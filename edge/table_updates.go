package edge

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/replica"
)

const (
	// maxUpdateRowBytes is the uncompressed size of the changed rows that one
	// message may carry; compression reduces it to about a third.
	// maxUpdateBatches is how many messages one read may take. Beyond that,
	// with some hundred servers changing at once, the readers of each data
	// centre read the store and the others fetch from them.
	maxUpdateRowBytes = 3000
	maxUpdateBatches  = 6
	// gapUpdateWait is how long an instance that lacks changes waits for an
	// update that contains them; each update spans several reads. gapJitter
	// spreads the instances that then read the store.
	gapUpdateWait = 550 * time.Millisecond
	gapJitter     = 400 * time.Millisecond
)

// publishTableUpdates sends each update with rows in a message of its own and
// all others in one message.
func (e *Edge) publishTableUpdates(updates []evidence.TableUpdate) {
	var withoutRows []evidence.TableUpdate
	for _, n := range updates {
		if len(n.Packed) > 0 {
			e.publish(evidence.Message{TableUpdates: []evidence.TableUpdate{n}}, false)
		} else {
			withoutRows = append(withoutRows, n)
		}
	}
	if len(withoutRows) > 0 {
		e.publish(evidence.Message{TableUpdates: withoutRows}, false)
	}
}

// tableUpdatesFor returns the updates that forward a read of a table to the
// other instances. They contain changed rows, not mere renewals.
func (e *Edge) tableUpdatesFor(p tableRead, changed []replica.Row) []evidence.TableUpdate {
	s := &e.state
	n := evidence.TableUpdate{
		Table: p.table, Era: p.result.Era, Version: p.result.Version, StoreClockUS: p.result.StoreTime.Microseconds(),
	}
	if p.table == evidence.Config {
		n.LatestRowVersion = e.configRowPosition().Version
		return e.tableUpdatesWithEvacuations(n)
	}
	recent := &s.recent[p.table]
	if p.since > p.result.Version {
		// The read was older than the copy and changed nothing.
		n.Since = p.result.Version
		return []evidence.TableUpdate{n}
	}
	if p.result.Full {
		// A full read doesn't name rows that were removed before it.
		recent.Reset()
		n.Since = p.result.Version
		return []evidence.TableUpdate{n}
	}
	recent.Add(p.since, p.result.Version, changed)
	batches := recent.Batches(p.result.Version, maxUpdateRowBytes)
	all, err := packTableUpdates(n, batches)
	if err != nil || len(batches) > maxUpdateBatches {
		// The other instances detect the gap and read the table.
		recent.Reset()
		n.Since = p.result.Version
		return []evidence.TableUpdate{n}
	}
	return all
}

// tableUpdatesWithEvacuations adds the rows that evacuate data centres to an
// update of the configuration table.
func (e *Edge) tableUpdatesWithEvacuations(n evidence.TableUpdate) []evidence.TableUpdate {
	batches := []replica.ChangeBatch{{Since: n.Since, Version: n.Version, Rows: e.evacuationRows()}}
	all, err := packTableUpdates(n, batches)
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
		return nil
	}
	return all
}

// packTableUpdates returns one update with compressed rows for each batch.
func packTableUpdates(n evidence.TableUpdate, batches []replica.ChangeBatch) ([]evidence.TableUpdate, error) {
	var all []evidence.TableUpdate
	for i, batch := range batches {
		n.Since, n.Version, n.More = batch.Since, batch.Version, i < len(batches)-1
		rows := make([]evidence.Row, 0, len(batch.Rows))
		for _, r := range batch.Rows {
			rows = append(rows, evidence.Row{Key: r.Key, Value: r.Value, Deleted: r.Gone, Version: r.Version})
		}
		var err error
		if n.Packed, err = evidence.Pack(rows); err != nil {
			return nil, err
		}
		all = append(all, n)
	}
	return all, nil
}

// applyTableUpdate applies what another instance has read from the store.
func (e *Edge) applyTableUpdate(n evidence.TableUpdate, now time.Duration) {
	s := &e.state
	if n.StoreClockUS == 0 {
		s.poll.ObserveAttempt(now)
		s.lease.ObserveOtherFailure(now)
		return
	}
	if !e.observeStore(n.Era, n.StoreClock(), now) {
		return
	}
	version, _ := e.replicaOf(n.Table).Version()
	complete := e.isCurrentEra(e.replicaOf(n.Table)) && version >= n.Since
	rows, err := evidence.Unpack(n.Packed)
	if n.Table == evidence.Config {
		changed := replica.Position{Era: n.Era, Version: n.LatestRowVersion}
		e.observeAnnounced(n, now)
		complete = e.isCurrentEra(s.config) && !e.configRowPosition().Before(changed)
		n.Since = version
		if err == nil {
			rows = e.applyUpdateEvacuations(n, rows, now)
		}
	}
	if n.Table == evidence.Servers {
		e.observeAnnounced(n, now)
	}
	if !complete {
		if n.Table == evidence.Config && n.StoreClockUS > s.unfetchedConfig.StoreClockUS {
			s.unfetchedConfig = n
		}
		e.scheduleCatchUp(n.Table, now)
		return
	}
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
		e.scheduleCatchUp(n.Table, now)
		return
	}
	a := replica.ReadResult{Era: n.Era, Version: n.Version, StoreTime: n.StoreClock()}
	for _, r := range rows {
		a.Rows = append(a.Rows, replica.Row{Key: r.Key, Value: r.Value, Gone: r.Deleted, Version: r.Version})
	}
	e.recordOutageEnd(n.Table, n.StoreClock(), now)
	e.applyReadResult(n.Table, a, n.Since, now)
	if n.Version > version && n.Table != evidence.Config {
		// Rows that changed nothing here may change another instance, which has seen
		// a state between the two versions.
		s.recent[n.Table].Add(version, n.Version, newerRows(a.Rows, version))
	}
	if n.More {
		return
	}
	e.recordProof(n.Table, n.StoreClock(), now)
	switch n.Table {
	case evidence.Servers:
		s.missedServersDue = 0
		s.poll.Yield()
	case evidence.Instances:
		s.nextInstancesRead = now + instancesReadInterval
	}
}

// newerRows returns the rows after a version.
func newerRows(rows []replica.Row, version uint64) (newer []replica.Row) {
	for _, r := range rows {
		if r.Version > version {
			newer = append(newer, r)
		}
	}
	return newer
}

// applyUnfetchedProof records what the newest update about the configuration
// proves, once this instance has the row that it names. Without that, an instance
// that must fetch each of many changes would never have a proof.
func (e *Edge) applyUnfetchedProof(now time.Duration) {
	s := &e.state
	n := s.unfetchedConfig
	if n.StoreClockUS == 0 || n.Era != s.era || !e.isCurrentEra(s.config) ||
		e.configRowPosition().Before(replica.Position{Era: n.Era, Version: n.LatestRowVersion}) {
		return
	}
	s.unfetchedConfig = evidence.TableUpdate{}
	e.recordProof(evidence.Config, n.StoreClock(), now)
}

// scheduleCatchUp schedules a read, from a reader or the store, of changes that
// an update could not supply.
func (e *Edge) scheduleCatchUp(t evidence.Table, now time.Duration) {
	switch t {
	case evidence.Config:
		wake(e.fetchNow)
	case evidence.Servers:
		if e.state.missedServersDue > 0 {
			return
		}
		e.state.missedServersDue = now + e.gapDelay()
		wake(e.pollNow)
	case evidence.Instances:
		e.state.nextInstancesRead = 0
	}
}

// gapDelay returns how long to wait before missed changes are fetched. Later
// updates may contain them, unless this instance has no server of the current
// era. In that case the readers fetch first, so that the other instances find
// the changes there.
func (e *Edge) gapDelay() time.Duration {
	spread := time.Duration(rand.Float64() * float64(gapJitter))
	switch {
	case e.isCurrentEra(e.state.servers):
		return spread + gapUpdateWait
	case slices.Contains(e.readers(), e.self):
		return 0
	default:
		return spread
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
