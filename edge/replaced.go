package edge

import (
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/replica"
)

// replaceableTables are the tables whose copies must not be used once they are known to be
// replaced.
var replaceableTables = []evidence.Table{evidence.Config, evidence.Servers}

// announcedPosition returns the version that an update of a table names: for the
// configuration that of its row, which the update doesn't contain.
func announcedPosition(n evidence.TableUpdate) replica.Position {
	if n.Table == evidence.Config {
		return replica.Position{Era: n.Era, Version: n.LatestRowVersion}
	}
	return replica.Position{Era: n.Era, Version: n.Version}
}

// copyPosition returns the version of the local copy of a table that announcements are
// compared with, and whether there is a copy.
func (e *Edge) copyPosition(t evidence.Table) (replica.Position, bool) {
	at, known := e.replicaOf(t).Position()
	if t == evidence.Config {
		at = e.configRowPosition()
	}
	return at, known
}

// observeAnnounced records the version that an update names.
func (e *Edge) observeAnnounced(n evidence.TableUpdate, now time.Duration) {
	e.state.announced[n.Table].Observe(announcedPosition(n), n.StoreClock(), e.replacedFor(n.Table, now) > 0, now)
}

// observeHolder records that an instance has the version that its update names.
func (e *Edge) observeHolder(id uint32, n evidence.TableUpdate) {
	if n.StoreClockUS != 0 {
		e.state.announced[n.Table].ObserveHolder(id, announcedPosition(n))
	}
}

// forgetHolder records that an instance has started again.
func (e *Edge) forgetHolder(id uint32) {
	for i := range e.state.announced {
		e.state.announced[i].ForgetHolder(id)
	}
}

// aliveHolders returns the live instances that have the announced version of a table.
func (e *Edge) aliveHolders(t evidence.Table) (alive []uint32) {
	for _, id := range e.state.announced[t].Holders() {
		if m, known := e.state.messenger.Fleet().All()[id]; known && m.Alive {
			alive = append(alive, id)
		}
	}
	return alive
}

// hasAnnounced reports whether the local copy of a table has the newest version that
// another instance has announced.
func (e *Edge) hasAnnounced(t evidence.Table) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasAnnouncedLocked(t)
}

func (e *Edge) hasAnnouncedLocked(t evidence.Table) bool {
	s := &e.state
	at, known := e.copyPosition(t)
	if !known {
		return false
	}
	if !at.Before(s.announced[t].Position) {
		return true
	}
	// A later read of the store that found no newer configuration means that operators have
	// removed it.
	return t == evidence.Config && e.isCurrentEra(s.config) && s.configProved && s.configProof >= s.announced[t].StoreTime
}

// replacedFor returns the time for which another instance's announcement of a newer version
// than the local copy of a table is known, 0 if there is none.
func (e *Edge) replacedFor(t evidence.Table, now time.Duration) time.Duration {
	if !e.isCurrentEra(e.replicaOf(t)) || e.hasAnnouncedLocked(t) {
		return 0
	}
	return max(now-e.state.announced[t].LackingSince, 1)
}

// isReplaced reports whether a local copy is known to be replaced by one that a live instance
// has. It must not be used beyond its bound then, whatever this instance's reads of the
// store bring.
func (e *Edge) isReplaced(now time.Duration) bool {
	for _, t := range replaceableTables {
		if e.replacedFor(t, now) > 0 && len(e.aliveHolders(t)) > 0 {
			return true
		}
	}
	return false
}
