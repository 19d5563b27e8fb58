package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/platform"
	"foxtailspoke/relay"
	"foxtailspoke/replica"
)

const (
	// fetchSpread spreads the reads of a new configuration.
	fetchSpread = 60 * time.Millisecond
	// fetchRetry is the least pause after a read that failed.
	fetchRetry = 500 * time.Millisecond
	// readersEach is how many instances of a data centre read from the store
	// what is too large to be told; the others ask these. If all of them did,
	// the calls would grow with the fleet, up to all that the store answers.
	readersEach = 2
	// readersFirst leaves the readers time for their call: 4 ms as a rule.
	readersFirst = 50 * time.Millisecond
)

// fetchConfig reads the configuration when another instance says that there is
// a newer one.
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
		if !sleepContext(ctx, time.Duration(rand.Float64()*float64(fetchSpread))) {
			return ctx.Err()
		}
		if e.hasToldConfig() || e.askReaders(ctx, methodConfig, configTimeout, e.hasToldConfig) {
			continue
		}
		if !e.readConfig(ctx) {
			e.askPeer(ctx)
			sleepContext(ctx, fetchRetry)
		}
	}
}

// askReaders asks the readers of this data centre until one of them has brought
// what is missing. It reports false if this instance is one of them, or none of
// them has it.
func (e *Edge) askReaders(ctx context.Context, method string, timeout time.Duration, has func() bool) bool {
	e.mu.Lock()
	readers := e.readers()
	e.mu.Unlock()
	if slices.Contains(readers, e.self) || !sleepContext(ctx, readersFirst) {
		return false
	}
	for _, reader := range readers {
		if has() {
			return true
		}
		e.askSnapshot(ctx, reader, method, timeout)
	}
	return has()
}

// hasToldConfig reports whether the newest configuration that another instance
// told of is here.
func (e *Edge) hasToldConfig() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.state.config.Position()
	return known && !e.configRow().Before(e.state.announcedConfig)
}

// configRow is the version of the configuration's row in this instance's copy.
func (e *Edge) configRow() replica.Position {
	at, _ := e.state.config.Position()
	// A copy of the store may be older than the first configuration.
	row, _ := e.state.config.Row(platform.KeyConfig)
	return replica.Position{Era: at.Era, Version: row.Version}
}

// hasToldServers is the same for the list of servers.
func (e *Edge) hasToldServers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, known := e.state.servers.Position()
	return known && !at.Before(e.state.announcedServers)
}

// readers are the instances of the own data centre that read the store for the
// others, the same for all of them: those with fast links first.
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
	for _, m := range members[:min(len(members), readersEach)] {
		ids = append(ids, m.ID)
	}
	return ids
}

// isReader reports whether this instance is one of them.
func (e *Edge) isReader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.readers(), e.self)
}

// readConfig reads the configuration from the store.
func (e *Edge) readConfig(ctx context.Context) bool {
	p := e.ask(ctx, evidence.Config)
	if p.err != nil {
		e.logStoreError(p, e.now())
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.observe(p.answer.Era, p.answer.StoreTime, now) {
		return false
	}
	if _, ok := e.takeAnswer(p.table, p.answer, p.since, now); !ok {
		return false
	}
	e.prove(p.table, p.answer.StoreTime, now)
	return true
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
