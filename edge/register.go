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
	// registerInterval is how often a reader looks whether instances of its data
	// centre lack their rows.
	registerInterval = 2 * time.Second
	// readerWriteDelay is how long each reader leaves that to the one before it,
	// and registerAlone how long all others do.
	readerWriteDelay = 4 * time.Second
	fallbackWriteDelay = 20 * time.Second
	// removeInstanceAfter is the silence after which an instance is taken off the list:
	// longer than any disturbance of the network that passes by itself.
	removeInstanceAfter = 2 * time.Minute
	// maxRowsPerWrite bounds the rows of one call; the store takes 100 entries.
	maxRowsPerWrite = 100
)

// registerInstances has the instances of this data centre listed in the store, so that
// those of a later start find them, and a cut doesn't double any rate: what
// belongs to a listed instance that isn't heard isn't counted on. One call
// writes the rows of all that lack them.
func (e *Edge) registerInstances(ctx context.Context) error {
	select {
	case <-e.joined:
	case <-ctx.Done():
		return ctx.Err()
	}
	lacking := time.Duration(0)
	for sleepContext(ctx, registerInterval) {
		e.mu.Lock()
		rows := e.missingInstanceRows()
		patience := e.registerDelay()
		ready := e.state.table != nil
		e.mu.Unlock()
		if !ready {
			e.fetchFromPeer(ctx)
		}
		if len(rows) == 0 {
			lacking = 0
			continue
		}
		if lacking += registerInterval; lacking <= patience {
			continue
		}
		lacking = 0
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

// registerDelay is how long this instance leaves the writing to others.
func (e *Edge) registerDelay() time.Duration {
	i := slices.Index(e.readers(), e.self)
	if i < 0 {
		return fallbackWriteDelay
	}
	return time.Duration(i) * readerWriteDelay
}

// missingInstanceRows are the rows that instances of this data centre lack. As long as
// the list isn't known, nobody does.
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
		key := address(m.ID, 0).Addr().String()
		value, err := json.Marshal(instanceDocument{DataCentre: m.DataCentre, SlowLink: m.Slow})
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

// recordWrittenRows takes in rows that were just written, before the store tells of
// them.
func (e *Edge) recordWrittenRows(rows []replica.Row) {
	for _, r := range rows {
		e.state.instances.Note(r)
		e.applyInstanceRow(r, e.now())
	}
}

// removeGoneInstances takes instances off the list that are gone for good. Their part of
// the workspaces' rates would lie idle for ever. One that was only cut off for
// so long gets its row again once it is heard.
func (e *Edge) removeGoneInstances(ctx context.Context) {
	e.mu.Lock()
	rows := e.goneInstanceRows(e.now())
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
		if m.Listed && !m.Alive && now-m.Heard > removeInstanceAfter && len(rows) < maxRowsPerWrite {
			rows = append(rows, replica.Row{Key: address(id, 0).Addr().String(), Gone: true})
		}
	}
	return rows
}
