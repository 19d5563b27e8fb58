package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/relay"
)

const (
	// fetchSpread spreads the reads of a new configuration.
	fetchSpread = 60 * time.Millisecond
	// fetchRetry is the least pause after a read that failed.
	fetchRetry = 500 * time.Millisecond
	// readersEach is how many instances of a data centre read a new
	// configuration from the store; the others ask these. With join, it took
	// the calls of 137 instances in 50 s with one change from 2,004 to 1,288. At
	// 2,000, reads by all would take all that the store answers in a second.
	readersEach = 2
	// readersFirst leaves the readers time for their call: 4 ms as a rule.
	readersFirst = 50 * time.Millisecond
	// joinWithin bounds the wait of an instance, at the first start of the whole
	// fleet, for others that have read the store. Callers come later than that.
	joinWithin = time.Second
	// joinStep is how often it looks for them.
	joinStep = 100 * time.Millisecond
)

// fetchConfig reads the configuration when another instance says that there is
// a newer one.
func (e *Edge) fetchConfig(ctx context.Context) error {
	select {
	case <-e.joined:
	case <-ctx.Done():
		return ctx.Err()
	}
	go e.register(ctx)
	for {
		select {
		case <-e.unlisted:
			go e.register(ctx)
			continue
		case <-e.fetches:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !pause(ctx, time.Duration(rand.Float64()*float64(fetchSpread))) {
			return ctx.Err()
		}
		if e.hasToldConfig() || e.askReaders(ctx) {
			continue
		}
		if !e.readConfig(ctx) {
			e.askPeer(ctx)
			pause(ctx, fetchRetry)
		}
	}
}

// askReaders asks the instances of this data centre that read the store for
// the configuration that was told of. It reports false if this instance is one
// of them, or none of them has it.
func (e *Edge) askReaders(ctx context.Context) bool {
	e.mu.Lock()
	readers := e.configReaders()
	e.mu.Unlock()
	if slices.Contains(readers, e.self) || !pause(ctx, readersFirst) {
		return false
	}
	for _, reader := range readers {
		if e.hasToldConfig() {
			return true
		}
		e.askSnapshot(ctx, reader, methodConfig, configTimeout)
	}
	return e.hasToldConfig()
}

func (e *Edge) hasToldConfig() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.table != nil && e.state.configRow >= e.state.configTold
}

// configReaders are the instances of the own data centre that read the
// configuration, the same for all of them: those with fast links.
func (e *Edge) configReaders() []uint32 {
	var ids []uint32
	if !e.slowLink() {
		ids = append(ids, e.self)
	}
	for id, m := range e.state.messenger.Fleet().All() {
		if m.Alive && !m.Leaving && !m.Slow && m.DataCentre == e.settings.DataCentre {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b uint32) int { return cmp.Compare(relay.Mix(a), relay.Mix(b)) })
	return ids[:min(len(ids), readersEach)]
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
	e.state.clock.Observe(p.answer.Stamp, now)
	changed, _ := e.state.config.Apply(p.answer, p.since)
	e.takeRows(evidence.Config, changed, now)
	e.prove(evidence.Config, p.answer.Stamp, now)
	return true
}

// join waits, at the first start of the whole fleet, until another instance has
// read the store, and takes in what it knows. Otherwise all instances would
// read three tables within the same third of a second.
func (e *Edge) join(ctx context.Context) {
	defer close(e.joined)
	if !e.settings.FirstStart {
		return
	}
	for end := e.now() + time.Duration(rand.Float64()*float64(joinWithin)); e.now() < end; {
		if !pause(ctx, joinStep) {
			return
		}
		if e.othersAreReady() {
			e.askPeer(ctx)
		}
		if e.knowsServers() {
			return
		}
	}
}

func (e *Edge) othersAreReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.state.messenger.Fleet().All() {
		if m.Alive && !m.Leaving {
			return true
		}
	}
	return false
}

func (e *Edge) knowsServers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.state.servers.Version()
	return known && e.state.table != nil
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
