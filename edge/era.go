package edge

import (
	"log/slog"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/event"
	"foxtailspoke/replica"
)

// configRewriteTime is how long after the store's return from a copy its answers prove
// nothing of the configuration: operators' latest changes, such as a key that they
// took away, may not be written again yet.
const configRewriteTime = time.Second

// observeStore takes in the era and the clock of an answer of the store, to this instance
// or another one. It reports false if the answer is of an era that has passed: the
// store has forgotten what it says.
func (e *Edge) observeStore(era uint64, stamp, now time.Duration) bool {
	s := &e.state
	switch {
	case !s.eraKnown:
		s.era, s.eraKnown = era, true
	case era < s.era:
		return false
	case era > s.era:
		e.beginEra(era, stamp, now)
	}
	s.clock.Observe(stamp, now)
	return true
}

// beginEra takes in that the store came back from a copy. Its clock may have gone
// back as well, so that proofs are carried over by their age.
func (e *Edge) beginEra(era uint64, stamp, now time.Duration) {
	s := &e.state
	event.StoreRestored.Log(e.log, slog.Uint64("era", era), slog.Uint64("before", s.era))
	age := e.configAge(now)
	s.clock.Restart()
	s.configProof = stamp - age
	s.era, s.eraSince = era, stamp
	// Entries that were first written after the copy are missing.
	s.outageEnd = now
	s.restoredUntil = now + discovery.Grace
	s.nextListed = 0
	for i := range s.recent {
		s.recent[i].Reset()
	}
}

// inConfigRewrite reports whether at this moment of the store's clock the configuration
// may lack what operators have to write again.
func (e *Edge) inConfigRewrite(stamp time.Duration) bool {
	return e.state.eraSince > 0 && stamp < e.state.eraSince+configRewriteTime
}

// isCurrentEra reports whether a copy is of the store's present era.
func (e *Edge) isCurrentEra(t *replica.Table) bool {
	at, known := t.Point()
	return known && at.Era == e.state.era
}
