package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/platform"
	"foxtailspoke/replica"
)

const (
	// registerRetry is the pause after the row of this instance couldn't be
	// written; others learn of it by its beats meanwhile.
	registerRetry = time.Second
	// goneAfter is the silence after which an instance is taken off the list:
	// longer than any disturbance of the network that passes by itself.
	goneAfter = 2 * time.Minute
	// maxGoneRows bounds one removal; the store takes 100 entries a call.
	maxGoneRows = 100
)

// register writes this instance's row, unless it stands there already from an
// earlier start. While the store turns this instance away, the others are
// asked for what they know.
func (e *Edge) register(ctx context.Context) {
	value, err := json.Marshal(instanceDocument{DataCentre: e.settings.DataCentre, SlowLink: e.slowLink()})
	if err != nil {
		event.StoreCallFailed.Log(e.log, slog.Any("error", err))
		return
	}
	for pause(ctx, registerRetry) {
		e.mu.Lock()
		_, known := e.state.instances.Version()
		rows := e.state.instances.Rows()
		ready := e.state.table != nil
		e.mu.Unlock()
		if !ready {
			e.askPeer(ctx)
		}
		if !known {
			continue
		}
		if hasRow(rows, e.settings.IP, value) {
			return
		}
		row := replica.Row{Key: e.settings.IP, Value: value}
		err := e.store.Write(ctx, platform.TableInstances, row)
		if err == nil {
			return
		}
		event.StoreCallFailed.Log(e.log, slog.String("table", platform.TableInstances), slog.Any("error", err))
	}
}

// removeGone takes instances off the list that are gone for good. Their part of
// the workspaces' rates would lie idle for ever. One that was only cut off for
// so long writes its row again when it finds it missing.
func (e *Edge) removeGone(ctx context.Context) {
	e.mu.Lock()
	rows := e.goneRows(e.now())
	e.mu.Unlock()
	if len(rows) == 0 {
		return
	}
	if err := e.store.Write(ctx, platform.TableInstances, rows...); err != nil {
		event.StoreCallFailed.Log(e.log, slog.String("table", platform.TableInstances), slog.Any("error", err))
	}
}

func (e *Edge) goneRows(now time.Duration) []replica.Row {
	var rows []replica.Row
	for id, m := range e.state.messenger.Fleet().All() {
		if m.Listed && !m.Alive && now-m.Heard > goneAfter && len(rows) < maxGoneRows {
			rows = append(rows, replica.Row{Key: address(id, 0).Addr().String(), Gone: true})
		}
	}
	return rows
}

func hasRow(rows []replica.Row, key string, value []byte) bool {
	for _, r := range rows {
		if r.Key == key {
			return bytes.Equal(r.Value, value)
		}
	}
	return false
}
