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
	// minFetchPause is the pause after all sources have failed. It doubles up to
	// maxFetchPause.
	minFetchPause = 200 * time.Millisecond
	maxFetchPause = time.Second
	// readersPerDataCentre is how many instances of a data centre read from the
	// store what is too large for a table update; the others fetch it from
	// them. If every instance read it, the calls would grow with the fleet up
	// to the limit of the store.
	readersPerDataCentre = 2
	// fetchStagger is how long a fetch may take until the next source is asked as well.
	fetchStagger = 100 * time.Millisecond
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
		for pause := minFetchPause; !e.hasAnnouncedConfig(); pause = min(2*pause, maxFetchPause) {
			begin := e.now()
			if e.fetchStaggered(ctx, e.configSources(), e.hasAnnouncedConfig) {
				break
			}
			e.logNotFetched(begin)
			if !sleepContext(ctx, pause) {
				return ctx.Err()
			}
		}
	}
}

// fetch gets data from the store or from another instance and applies it.
type fetch func(context.Context)

// configSources returns the fetches by which this instance may get the announced
// configuration, in the order in which they are started: from instances that should have it, from
// the store, and from any other instance. Readers ask the store first.
func (e *Edge) configSources() []fetch {
	fromStore := func(ctx context.Context) { e.readConfig(ctx) }
	fromPeer := func(ctx context.Context) {
		if peer, ok := e.randomPeer(); ok {
			e.fetchSnapshot(ctx, peer, methodConfig, configSnapshotTimeout)
		}
	}
	return append(e.instanceSources(evidence.Config, methodConfig, configSnapshotTimeout), fromStore, fromPeer)
}

// instanceSources returns fetches of the announced version of a table from the readers of this
// data centre and from an instance that announced to have it; none if this instance is a
// reader itself. The first source only waits, so that readers can read the store.
func (e *Edge) instanceSources(t evidence.Table, method string, timeout time.Duration) []fetch {
	e.mu.Lock()
	defer e.mu.Unlock()
	instances := e.readers()
	if slices.Contains(instances, e.self) {
		return nil
	}
	holders := slices.DeleteFunc(e.aliveHolders(t), func(id uint32) bool { return slices.Contains(instances, id) })
	if len(holders) > 0 {
		instances = append(instances, holders[rand.IntN(len(holders))])
	}
	sources := []fetch{func(ctx context.Context) { sleepContext(ctx, readerHeadStart) }}
	for _, id := range instances {
		sources = append(sources, func(ctx context.Context) { e.fetchSnapshot(ctx, id, method, timeout) })
	}
	return sources
}

// fetchStaggered starts fetches one after the other, each once the one before has ended or
// taken fetchStagger, until complete returns true or all have ended. A source that answers late
// delays the others by that time only, and its answer still counts.
func (e *Edge) fetchStaggered(ctx context.Context, sources []fetch, complete func() bool) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{}, len(sources))
	running := 0
	for _, f := range sources {
		if complete() {
			return true
		}
		running++
		go func() {
			f(ctx)
			ended <- struct{}{}
		}()
		select {
		case <-ended:
			running--
		case <-time.After(fetchStagger):
		}
	}
	for ; running > 0 && !complete(); running-- {
		<-ended
	}
	return complete()
}

// logNotFetched logs that this instance still lacks a configuration that another one has
// announced, after trying to get it since begin.
func (e *Edge) logNotFetched(begin time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if replacedFor := e.replacedFor(evidence.Config, now); replacedFor > 0 {
		event.ConfigNotFetched.Log(e.log, slog.Int64("replaced_ms", replacedFor.Milliseconds()),
			slog.Int64("round_ms", (now-begin).Milliseconds()), slog.Int64("own_read_ms", millisOrUnknown(e.ownReadAge(now))))
	}
}

// fetchFromInstances fetches the announced version of a table from other instances, with whole
// snapshots, until complete returns true. It returns false if this instance is a reader itself or
// if none of them has the missing data.
func (e *Edge) fetchFromInstances(ctx context.Context, t evidence.Table, complete func() bool) bool {
	sources := e.instanceSources(t, methodGet, snapshotTimeout)
	return len(sources) > 0 && e.fetchStaggered(ctx, sources, complete)
}

func (e *Edge) hasAnnouncedConfig() bool { return e.hasAnnounced(evidence.Config) }

func (e *Edge) hasAnnouncedServers() bool { return e.hasAnnounced(evidence.Servers) }

// configRowPosition returns the era and version of the configuration row in the
// local copy.
func (e *Edge) configRowPosition() replica.Position {
	at, _ := e.state.config.Position()
	// A backup of the store may be older than the first configuration.
	row, _ := e.state.config.Row(platform.KeyConfig)
	return replica.Position{Era: at.Era, Version: row.Version}
}

// readers returns the instances of this data centre that read the store for the
// others. All instances select the same ones: ready ones first, as those that have just
// started have nothing to forward, then those with fast links.
func (e *Edge) readers() []uint32 {
	type candidate struct {
		relay.Member
		leaving bool
	}
	all := []candidate{{e.selfMember(), !e.readyLocked()}}
	for _, m := range e.state.messenger.Fleet().All() {
		if m.Alive && !m.Stopping && m.DataCentre == e.settings.DataCentre {
			all = append(all, candidate{m.Member, m.Leaving})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(compareBool(a.leaving, b.leaving), compareBool(a.SlowLink, b.SlowLink), cmp.Compare(relay.Hash(a.ID), relay.Hash(b.ID)))
	})
	var ids []uint32
	for _, m := range all[:min(len(all), readersPerDataCentre)] {
		ids = append(ids, m.ID)
	}
	return ids
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
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
		if ctx.Err() == nil {
			e.logStoreError(p, e.now())
		}
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
