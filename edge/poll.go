package edge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/discovery"
	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/freshness"
	"foxtailspoke/platform"
	"foxtailspoke/replica"
)

const (
	// instancesReadInterval is how often the polling instance also reads the
	// list of instances. Instances discover each other by messages; the list
	// only adds those that were unreachable at that time.
	instancesReadInterval = 5 * time.Second
	// storeLostAfter is the age of the newest proof of freshness from which
	// logs report the store as unavailable.
	storeLostAfter = 2 * time.Second
)

// tableNames maps the tables of updates to their names in the store.
var tableNames = map[evidence.Table]string{
	evidence.Config:    platform.TableConfig,
	evidence.Servers:   platform.TableServers,
	evidence.Instances: platform.TableInstances,
}

func (e *Edge) replicaOf(t evidence.Table) *replica.Table {
	switch t {
	case evidence.Config:
		return e.state.config
	case evidence.Servers:
		return e.state.servers
	default:
		return e.state.instances
	}
}

// pollStore reads the store whenever it is this instance's turn.
func (e *Edge) pollStore(ctx context.Context) error {
	e.joinOnce.Do(func() { e.waitForPeerState(ctx) })
	for {
		e.mu.Lock()
		wait := e.pollDelay(e.now())
		e.mu.Unlock()
		if wait <= 0 {
			if !e.fetchMissedServers(ctx) {
				e.pollOnce(ctx)
			}
			continue
		}
		select {
		case <-time.After(wait):
		case <-e.pollNow:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pollDelay returns the time until the next poll of the store, or until missed
// changes must be fetched.
func (e *Edge) pollDelay(now time.Duration) time.Duration {
	s := &e.state
	due := s.poll.Next(e.state.messenger.Rank(), rand.Float64(), now)
	if s.missedServersDue > 0 {
		due = min(due, s.missedServersDue)
	}
	return due - now
}

// fetchMissedServers fetches server changes that this instance has missed, if
// any, from the readers. It reports whether it has them now.
func (e *Edge) fetchMissedServers(ctx context.Context) bool {
	e.mu.Lock()
	hasGap := e.state.missedServersDue > 0
	e.mu.Unlock()
	if !hasGap || !e.fetchFromInstances(ctx, evidence.Servers, e.hasAnnouncedServers) {
		return false
	}
	e.mu.Lock()
	e.state.missedServersDue = 0
	e.mu.Unlock()
	return true
}

// pollOnce reads the changes of all due tables concurrently and reports whether
// all were read.
func (e *Edge) pollOnce(ctx context.Context) bool {
	e.mu.Lock()
	now := e.now()
	s := &e.state
	hadGap := s.missedServersDue > 0
	s.missedServersDue = 0
	s.poll.ObserveAttempt(now)
	tables := []evidence.Table{evidence.Config, evidence.Servers}
	if now >= s.nextInstancesRead {
		tables = append(tables, evidence.Instances)
	}
	if s.poll.Overdue(now) {
		// Makes the other instances delay their polls instead of all polling at
		// once.
		e.publish(evidence.Message{TableUpdates: []evidence.TableUpdate{{}}}, false)
	}
	e.mu.Unlock()

	reads := make([]tableRead, len(tables))
	var wg sync.WaitGroup
	for i, t := range tables {
		wg.Go(func() { reads[i] = e.readTable(ctx, t) })
	}
	wg.Wait()

	e.mu.Lock()
	allRead := e.applyTableReads(reads)
	e.announceIfChanged(e.now())
	e.mu.Unlock()
	if !allRead && hadGap {
		// The store refuses this instance; the others have the missed changes.
		e.fetchFromPeer(ctx)
	}
	if len(tables) > 2 {
		e.removeGoneInstances(ctx)
	}
	return allRead
}

// tableRead is the outcome of reading one table from the store.
type tableRead struct {
	table  evidence.Table
	since  uint64
	result replica.ReadResult
	asked  time.Duration
	err    error
}

// readTable reads the changes of a table, or the whole table if its changes
// aren't available.
func (e *Edge) readTable(ctx context.Context, t evidence.Table) tableRead {
	e.mu.Lock()
	at, known := e.replicaOf(t).Position()
	p := tableRead{table: t, since: at.Version, asked: e.now()}
	e.mu.Unlock()
	if known {
		p.result, p.err = e.store.Changes(ctx, tableNames[t], at.Version)
		// Versions of different eras can't be compared.
		otherEra := p.err == nil && p.result.Era != at.Era
		if !otherEra && !errors.Is(p.err, replica.ErrHistoryCompacted) {
			return p
		}
	}
	p.result, p.err = e.store.Read(ctx, tableNames[t])
	return p
}

// applyTableReads applies the reads of one poll and forwards them to the other
// instances. It reports whether all tables were read.
func (e *Edge) applyTableReads(reads []tableRead) (allRead bool) {
	s := &e.state
	now := e.now()
	var updates []evidence.TableUpdate
	allRead = true
	for _, p := range reads {
		if p.err != nil {
			allRead = false
			e.logStoreError(p, now)
			continue
		}
		forward, ok := e.applyTableRead(p, now)
		if !ok {
			allRead = false
			continue
		}
		updates = append(updates, forward...)
		if p.table == evidence.Instances {
			s.nextInstancesRead = now + instancesReadInterval
		}
	}
	if allRead {
		s.lastReader, s.lastOwnRead = e.self, now
		s.poll.OwnCallSucceeded()
	} else {
		s.poll.OwnCallFailed(now)
		s.lease.ObserveOwnFailure(now)
		updates = append(updates, evidence.TableUpdate{})
	}
	e.updateRateShare()
	e.publishTableUpdates(updates)
	return allRead
}

// applyTableRead applies the read of one table and returns the updates that
// forward it to the other instances, or false if it could not be applied.
func (e *Edge) applyTableRead(p tableRead, now time.Duration) ([]evidence.TableUpdate, bool) {
	if !e.observeStore(p.result.Era, p.result.StoreTime, now) {
		return nil, false
	}
	e.recordOutageEnd(p.table, p.result.StoreTime, now)
	if at, known := e.replicaOf(p.table).Position(); known && at.Era == p.result.Era {
		// The copy may have advanced since the read began. The rows that differ from
		// it are the changes since then only.
		p.since = max(p.since, at.Version)
	}
	changed, ok := e.applyReadResult(p.table, p.result, p.since, now)
	if !ok {
		return nil, false
	}
	updates := e.tableUpdatesFor(p, changed)
	e.recordProof(p.table, p.result.StoreTime, now)
	return updates, true
}

// applyReadResult applies the result of reading a table, whether this instance
// or another one read it, and returns the rows to forward to others. It returns
// false if the local copy lacks changes from before the result.
func (e *Edge) applyReadResult(t evidence.Table, a replica.ReadResult, since uint64, now time.Duration) ([]replica.Row, bool) {
	e.logStaleRead(t, a.Position(), now)
	before, known := e.replicaOf(t).Position()
	changed, ok := e.replicaOf(t).Apply(a, since)
	if !ok {
		return nil, false
	}
	restored := known && before.Era < a.Era
	changed = e.applyRows(t, a, changed, restored, now)
	if t == evidence.Config {
		e.applyUnfetchedProof(now)
		e.notifyLeaseWaiters()
	}
	return changed, true
}

// logStaleRead logs a read that is older than the local copy.
func (e *Edge) logStaleRead(t evidence.Table, at replica.Position, now time.Duration) {
	known, ok := e.replicaOf(t).Position()
	if ok && at.Before(known) && e.budget.Allow(now, routineLogShare) {
		event.StaleResponseIgnored.Log(e.log, slog.String("table", tableNames[t]),
			slog.Uint64("version", at.Version), slog.Uint64("known", known.Version),
			slog.Uint64("era", at.Era), slog.Uint64("known_era", known.Era))
	}
}

// recordOutageEnd records the end of a store outage. It must be called before
// the rows of the first read are applied: entries that expired during the
// outage are missing from it.
func (e *Edge) recordOutageEnd(t evidence.Table, storeTime, now time.Duration) {
	s := &e.state
	at := now - s.clock.Age(storeTime, now)
	if t == evidence.Servers && s.serversProof > 0 && at-s.serversProof > discovery.OutageThreshold {
		s.outageEnd = now
	}
}

// recordProof records that the copy of a table was complete at the given
// reading of the store's clock.
func (e *Edge) recordProof(t evidence.Table, storeTime, now time.Duration) {
	s := &e.state
	at := now - s.clock.Age(storeTime, now)
	switch t {
	case evidence.Config:
		if !s.configUnreadable && (storeTime > s.configProof || !s.configProved) && !e.inConfigRewrite(storeTime) {
			s.configProof = storeTime
			s.configProved = true
		}
	case evidence.Servers:
		s.serversProof = max(s.serversProof, at)
		s.poll.ObserveResponse(now-at, now)
	case evidence.Instances:
		return
	}
	e.renewLease(now)
}

// configAge returns the age of the newest proof that the active configuration
// is current.
func (e *Edge) configAge(now time.Duration) time.Duration {
	if !e.state.configProved {
		return freshness.UnknownAge
	}
	return e.state.clock.Age(e.state.configProof, now)
}

// logStoreAvailability logs when the store becomes unavailable and when it is
// available again.
func (e *Edge) logStoreAvailability(now time.Duration) {
	s := &e.state
	age, uptime := s.poll.Age(now), now-e.startedAt
	if lost := min(age, uptime) > storeLostAfter; lost != s.storeUnavailable {
		s.storeUnavailable = lost
		if lost {
			event.PlatformUnavailable.Log(e.log, ageAttr(age), slog.Int64("uptime_ms", uptime.Milliseconds()))
		} else {
			event.PlatformReturned.Log(e.log, ageAttr(age))
		}
	}
}

func (e *Edge) logStoreError(p tableRead, now time.Duration) {
	if e.budget.Allow(now, routineLogShare) {
		event.StoreCallFailed.Log(e.log, slog.String("table", tableNames[p.table]),
			slog.Duration("took", now-p.asked), slog.Any("error", p.err))
	}
}
