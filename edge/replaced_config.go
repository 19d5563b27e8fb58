package edge

import (
	"slices"
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/replica"
)

// announcedConfig is the newest version of the configuration's row that another instance has
// announced. fetchConfig gets its content.
type announcedConfig struct {
	row replica.Position
	// storeClock is the store's clock at the read that found it.
	storeClock time.Duration
	// at is when this instance received the announcement, and replacedSince when it received
	// the first one of any version that it has lacked since.
	at, replacedSince time.Duration
	// holders are the instances that announced to have it.
	holders []uint32
}

// observeAnnouncedConfig records an update about the configuration table.
func (e *Edge) observeAnnouncedConfig(n evidence.TableUpdate, now time.Duration) {
	a := &e.state.announcedConfig
	row := replica.Position{Era: n.Era, Version: n.LatestRowVersion}
	if !a.row.Before(row) {
		return
	}
	since := now
	if e.replacedFor(now) > 0 {
		since = a.replacedSince
	}
	*a = announcedConfig{row: row, storeClock: n.StoreClock(), at: now, replacedSince: since}
}

// observeConfigHolder records that an instance has the configuration that an update names.
func (e *Edge) observeConfigHolder(id uint32, n evidence.TableUpdate) {
	a := &e.state.announcedConfig
	row := replica.Position{Era: n.Era, Version: n.LatestRowVersion}
	if n.Table == evidence.Config && n.StoreClockUS != 0 && row == a.row && !slices.Contains(a.holders, id) {
		a.holders = append(a.holders, id)
	}
}

// forgetConfigHolder records that an instance has started again.
func (e *Edge) forgetConfigHolder(id uint32) {
	a := &e.state.announcedConfig
	a.holders = slices.DeleteFunc(a.holders, func(h uint32) bool { return h == id })
}

// aliveConfigHolders returns the live instances that have the announced configuration.
func (e *Edge) aliveConfigHolders() (alive []uint32) {
	for _, id := range e.state.announcedConfig.holders {
		if m, known := e.state.messenger.Fleet().All()[id]; known && m.Alive {
			alive = append(alive, id)
		}
	}
	return alive
}

// hasAnnouncedConfigLocked reports whether this instance has the newest configuration that
// another instance has announced. The lock must be held.
func (e *Edge) hasAnnouncedConfigLocked() bool {
	s := &e.state
	if _, known := s.config.Position(); !known {
		return false
	}
	if !e.configRowPosition().Before(s.announcedConfig.row) {
		return true
	}
	// A later read of the store that found no newer row means that operators have removed it.
	return e.isCurrentEra(s.config) && s.configProved && s.configProof >= s.announcedConfig.storeClock
}

// replacedFor returns the time for which another instance's announcement of a newer
// configuration than the local copy is known, 0 if there is none.
func (e *Edge) replacedFor(now time.Duration) time.Duration {
	s := &e.state
	if !e.isCurrentEra(s.config) || e.hasAnnouncedConfigLocked() {
		return 0
	}
	return max(now-s.announcedConfig.replacedSince, 1)
}

// isConfigReplaceable reports whether the local copy of the configuration is known to be
// replaced by one that a live instance has. It must not be used beyond its bound then,
// whatever this instance's reads of the store bring.
func (e *Edge) isConfigReplaceable(now time.Duration) bool {
	return e.replacedFor(now) > 0 && len(e.aliveConfigHolders()) > 0
}
