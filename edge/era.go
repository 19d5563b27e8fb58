package edge

import (
	"log/slog"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/replica"
)

// configRewriteTime is how long after a restore of the store its answers don't
// prove that the configuration is current: the latest changes of operators,
// such as a revoked key, may not have been written again yet.
const configRewriteTime = time.Second

// observeStore records the era and clock of an answer of the store, whether
// this instance or another one received it. It returns false if the answer
// belongs to an earlier era and so may contain data that the store has lost.
func (e *Edge) observeStore(era uint64, storeTime, now time.Duration) bool {
	s := &e.state
	switch {
	case !s.eraKnown:
		s.era, s.eraKnown = era, true
	case era < s.era:
		return false
	case era > s.era:
		e.beginEra(era, storeTime, now)
	}
	s.clock.Observe(storeTime, now)
	return true
}

// beginEra handles a restore of the store from a backup. The store's clock may
// have gone back too, so proofs of freshness keep their age rather than their
// timestamp.
func (e *Edge) beginEra(era uint64, storeTime, now time.Duration) {
	s := &e.state
	event.StoreRestored.Log(e.log, slog.Uint64("era", era), slog.Uint64("before", s.era))
	age := e.configAge(now)
	s.clock.Reset()
	s.configProof = storeTime - age
	s.era, s.eraStart = era, storeTime
	// Entries first written after the backup was taken are missing.
	s.outageEnd = now
	s.restoredUntil = now + discovery.RemovalGracePeriod
	s.nextInstancesRead = 0
	s.unfetchedConfig = evidence.TableUpdate{}
	for i := range s.recent {
		s.recent[i].Reset()
	}
}

// inConfigRewrite reports whether, at this reading of the store's clock, the
// configuration may lack changes that operators still have to write again after
// a restore.
func (e *Edge) inConfigRewrite(storeTime time.Duration) bool {
	return e.state.eraStart > 0 && storeTime < e.state.eraStart+configRewriteTime
}

// isCurrentEra reports whether a copy belongs to the store's current era.
func (e *Edge) isCurrentEra(t *replica.Table) bool {
	at, known := t.Position()
	return known && at.Era == e.state.era
}
