package edge

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/platform"
	"foxtailspoke/relay"
	"foxtailspoke/replica"
)

const (
	// fetchJitter spreads the reads of a new configuration.
	fetchJitter = 60 * time.Millisecond
	// fetchRetryDelay is the minimum pause after a failed read.
	fetchRetryDelay = 500 * time.Millisecond
	// readersPerDataCentre is how many instances of a data centre read from the
	// store what is too large for a table update; the others fetch it from
	// them. If every instance read it, the calls would grow with the fleet up
	// to the limit of the store.
	readersPerDataCentre = 2
	// readerHeadStart gives the readers time for their own call, which usually
	// takes 4 ms.
	readerHeadStart = 50 * time.Millisecond
)

// fetchConfig reads the configuration when another instance has announced a
// newer one.
func (e *Edge) fetchConfig(ctx context.Context) error {
	select {
	case <-e.storeReadable:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		select {
		case <-e.fetchNow:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !sleepContext(ctx, time.Duration(rand.Float64()*float64(fetchJitter))) {
			return ctx.Err()
		}
		begin := e.now()
		if e.hasAnnouncedConfig() || e.fetchFromReaders(ctx, methodConfig, configSnapshotTimeout, e.hasAnnouncedConfig) {
			continue
		}
		if !e.readConfig(ctx) {
			e.fetchFromPeer(ctx)
			e.logNotFetched(begin)
			sleepContext(ctx, fetchRetryDelay)
		}
	}
}

// logNotFetched logs that this instance still lacks a configuration that another one has
// announced, after trying to get it since begin.
func (e *Edge) logNotFetched(begin time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if replacedFor := e.replacedFor(now); replacedFor > 0 {
		event.ConfigNotFetched.Log(e.log, slog.Int64("replaced_ms", replacedFor.Milliseconds()),
			slog.Int64("round_ms", (now-begin).Milliseconds()), slog.Int64("own_read_ms", millisOrUnknown(e.ownReadAge(now))))
	}
}

// fetchFromReaders requests snapshots from the readers of this data centre
// until complete returns true. It returns false if this instance is a reader
// itself or if no reader has the missing data.
func (e *Edge) fetchFromReaders(ctx context.Context, method string, timeout time.Duration, complete func() bool) bool {
	e.mu.Lock()
	readers := e.readers()
	e.mu.Unlock()
	if slices.Contains(readers, e.self) || !sleepContext(ctx, readerHeadStart) {
		return false
	}
	for _, reader := range readers {
		if complete() {
			return true
		}
		e.fetchSnapshot(ctx, reader, method, timeout)
	}
	return complete()
}

// hasAnnouncedConfig reports whether this instance has the newest configuration
// that another instance has announced.
func (e *Edge) hasAnnouncedConfig() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.state.config.Position()
	return known && !e.configRowPosition().Before(e.state.announcedConfig.row)
}

// configRowPosition returns the era and version of the configuration row in the
// local copy.
func (e *Edge) configRowPosition() replica.Position {
	at, _ := e.state.config.Position()
	// A backup of the store may be older than the first configuration.
	row, _ := e.state.config.Row(platform.KeyConfig)
	return replica.Position{Era: at.Era, Version: row.Version}
}

// hasAnnouncedServers reports whether this instance has the newest list of
// servers that another instance has announced.
func (e *Edge) hasAnnouncedServers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, known := e.state.servers.Position()
	return known && !at.Before(e.state.announcedServers)
}

// readers returns the instances of this data centre that read the store for the
// others. All instances select the same ones, those with fast links first.
func (e *Edge) readers() []uint32 {
	members := []relay.Member{e.selfMember()}
	for _, m := range e.state.messenger.Fleet().All() {
		if m.Alive && !m.Stopping && m.DataCentre == e.settings.DataCentre {
			members = append(members, m.Member)
		}
	}
	slices.SortFunc(members, func(a, b relay.Member) int {
		if a.SlowLink != b.SlowLink {
			if b.SlowLink {
				return -1
			}
			return 1
		}
		return cmp.Compare(relay.Hash(a.ID), relay.Hash(b.ID))
	})
	var ids []uint32
	for _, m := range members[:min(len(members), readersPerDataCentre)] {
		ids = append(ids, m.ID)
	}
	return ids
}

// isReader reports whether this instance is one of its data centre's readers.
func (e *Edge) isReader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.readers(), e.self)
}

// readConfig reads the configuration from the store and reports whether it
// could be applied.
func (e *Edge) readConfig(ctx context.Context) bool {
	p := e.readTable(ctx, evidence.Config)
	if p.err != nil {
		e.logStoreError(p, e.now())
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.observeStore(p.result.Era, p.result.StoreTime, now) {
		return false
	}
	if _, ok := e.applyReadResult(p.table, p.result, p.since, now); !ok {
		return false
	}
	e.recordProof(p.table, p.result.StoreTime, now)
	return true
}

// sleepContext waits for d and reports false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
