package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/platform"
	"foxtailspoke/relay"
	"foxtailspoke/replica"
)

const (
	// registerInterval is how often an instance checks whether instances of its
	// data centre lack a row in the store.
	registerInterval = 2 * time.Second
	// readerWriteDelay is how much longer each reader waits before it writes
	// missing rows than the reader before it. fallbackWriteDelay is how long
	// instances other than readers wait.
	readerWriteDelay   = 4 * time.Second
	fallbackWriteDelay = 20 * time.Second
	// removeInstanceAfter is the silence after which an instance is removed
	// from the list. It is longer than network disturbances that clear up
	// without intervention.
	removeInstanceAfter = 2 * time.Minute
	// maxRowsPerWrite bounds the rows of one write; the store accepts 100
	// entries.
	maxRowsPerWrite = 100
)

// registerInstances writes missing rows of this data centre's instances to the
// store, all in one call. Instances that start later discover the others by
// these rows. They also keep a network partition from doubling rates: the share
// of a listed but unreachable instance isn't used by the others.
func (e *Edge) registerInstances(ctx context.Context) error {
	select {
	case <-e.storeReadable:
	case <-ctx.Done():
		return ctx.Err()
	}
	missingFor := time.Duration(0)
	for sleepContext(ctx, registerInterval) {
		e.mu.Lock()
		rows := e.missingInstanceRows()
		delay := e.registerDelay()
		ready := e.state.table != nil
		e.mu.Unlock()
		if !ready {
			e.fetchFromPeer(ctx)
		}
		if len(rows) == 0 {
			missingFor = 0
			continue
		}
		if missingFor += registerInterval; missingFor <= delay {
			continue
		}
		missingFor = 0
		if err := e.store.Write(ctx, platform.TableInstances, rows...); err != nil {
			event.StoreCallFailed.Log(e.log, slog.String("table", platform.TableInstances), slog.Any("error", err))
			continue
		}
		e.mu.Lock()
		e.recordWrittenRows(rows)
		e.mu.Unlock()
	}
	return ctx.Err()
}

// registerDelay returns how long this instance leaves the write to others.
func (e *Edge) registerDelay() time.Duration {
	i := slices.Index(e.readers(), e.self)
	if i < 0 {
		return fallbackWriteDelay
	}
	return time.Duration(i) * readerWriteDelay
}

// missingInstanceRows returns rows of this data centre's instances that are
// missing from the store or differ there. Until the list has been read it
// returns none.
func (e *Edge) missingInstanceRows() []replica.Row {
	if _, known := e.state.instances.Version(); !known {
		return nil
	}
	members := []relay.Member{e.selfMember()}
	for _, m := range e.state.messenger.Fleet().All() {
		if m.Alive && !m.Stopping && m.DataCentre == e.settings.DataCentre {
			members = append(members, m.Member)
		}
	}
	listed := make(map[string][]byte)
	for _, r := range e.state.instances.Rows() {
		listed[r.Key] = r.Value
	}
	var rows []replica.Row
	for _, m := range members {
		key := addrPort(m.ID, 0).Addr().String()
		value, err := json.Marshal(instanceDocument{DataCentre: m.DataCentre, SlowLink: m.SlowLink})
		if err != nil {
			event.StoreCallFailed.Log(e.log, slog.Any("error", err))
			continue
		}
		if !bytes.Equal(listed[key], value) && len(rows) < maxRowsPerWrite {
			rows = append(rows, replica.Row{Key: key, Value: value})
		}
	}
	return rows
}

// recordWrittenRows applies rows that were just written, before the store
// returns them.
func (e *Edge) recordWrittenRows(rows []replica.Row) {
	for _, r := range rows {
		e.state.instances.ApplyOwnWrite(r)
		e.applyInstanceRow(r, e.now())
	}
}

// removeGoneInstances removes instances that are gone for good from the list;
// otherwise their share of the workspaces' rates would stay unused. An instance
// that was only cut off gets its row again once it is heard.
func (e *Edge) removeGoneInstances(ctx context.Context) {
	e.mu.Lock()
	rows := append(e.goneInstanceRows(e.now()), e.oldSuspectRows(e.now())...)
	rows = rows[:min(len(rows), maxRowsPerWrite)]
	e.mu.Unlock()
	if len(rows) == 0 {
		return
	}
	if err := e.store.Write(ctx, platform.TableInstances, rows...); err != nil {
		event.StoreCallFailed.Log(e.log, slog.String("table", platform.TableInstances), slog.Any("error", err))
	}
}

func (e *Edge) goneInstanceRows(now time.Duration) []replica.Row {
	var rows []replica.Row
	for id, m := range e.state.messenger.Fleet().All() {
		if m.Listed && !m.Alive && now-m.LastHeard > removeInstanceAfter && len(rows) < maxRowsPerWrite {
			rows = append(rows, replica.Row{Key: addrPort(id, 0).Addr().String(), Gone: true})
		}
	}
	return rows
}
