package edge

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/platform"
	"foxtailspoke/replica"
)

const (
	// fetchSpread spreads the reads of a new configuration by all instances.
	fetchSpread = 60 * time.Millisecond
	// fetchRetry is the least pause after a read that failed.
	fetchRetry = 500 * time.Millisecond
	// snapshotTimeout bounds a question to another instance.
	snapshotTimeout = 500 * time.Millisecond
	// registerRetry is the pause after the row of this instance couldn't be
	// written; others learn of it by its beats meanwhile.
	registerRetry = time.Second
	// goneAfter is the silence after which an instance is taken off the list:
	// longer than any disturbance of the network that passes by itself.
	goneAfter = 2 * time.Minute
	// maxGoneRows bounds one removal; the store takes 100 entries a call.
	maxGoneRows = 100
	// maxSnapshotCalls bounds the connections of other instances.
	maxSnapshotCalls = 32
)

// fetchConfig makes the first read of all tables, and afterwards reads the
// configuration when another instance says that there is a newer one.
func (e *Edge) fetchConfig(ctx context.Context) error {
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
		p := e.ask(ctx, evidence.Config)
		if p.err != nil {
			e.logStoreError(p, e.now())
			e.askPeer(ctx)
			pause(ctx, fetchRetry)
			continue
		}
		e.mu.Lock()
		now := e.now()
		e.state.clock.Observe(p.answer.Stamp, now)
		changed, _ := e.state.config.Apply(p.answer, p.since)
		e.takeRows(evidence.Config, changed, now)
		e.prove(evidence.Config, p.answer.Stamp, now)
		e.mu.Unlock()
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

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
	for id, m := range e.state.members {
		if m.listed && !m.alive && now-m.heard > goneAfter && len(rows) < maxGoneRows {
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

// Snapshot is everything an instance has read from the store.
type Snapshot struct {
	Tables []SnapshotTable
}

// SnapshotTable is one table of a snapshot.
type SnapshotTable struct {
	Table   evidence.Table
	Version uint64
	// Stamp is the store's clock up to which it is complete; 0 if unproved.
	Stamp time.Duration
	Rows  []replica.Row
}

// Nothing is the argument of calls that need none.
type Nothing struct{}

// Packed is a compressed Snapshot.
type Packed struct{ Data []byte }

// Snapshots is what instances may ask each other for, by net/rpc.
type Snapshots struct{ edge *Edge }

// Get returns what this instance knows.
func (s *Snapshots) Get(_ Nothing, reply *Packed) error {
	s.edge.mu.Lock()
	snapshot := s.edge.snapshot(s.edge.now())
	s.edge.mu.Unlock()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(snapshot); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	if err := z.Close(); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	reply.Data = b.Bytes()
	return nil
}

func (e *Edge) snapshot(now time.Duration) Snapshot {
	s := &e.state
	var all Snapshot
	for _, t := range []evidence.Table{evidence.Config, evidence.Servers, evidence.Instances} {
		version, known := e.copyOf(t).Version()
		if !known {
			continue
		}
		table := SnapshotTable{Table: t, Version: version, Rows: e.copyOf(t).Rows()}
		switch t {
		case evidence.Config:
			table.Stamp = s.configProof
		case evidence.Servers:
			// The stamp of the list: its age, on the store's clock.
			table.Stamp = s.configProof - max(0, (now-s.serversProof)-e.keyAge(now))
		case evidence.Instances:
		}
		all.Tables = append(all.Tables, table)
	}
	return all
}

// serveSnapshots answers other instances.
func (e *Edge) serveSnapshots(ctx context.Context) error {
	server := rpc.NewServer()
	if err := server.Register(&Snapshots{e}); err != nil {
		return errors.Wrap(err, "snapshots")
	}
	stop := context.AfterFunc(ctx, func() { _ = e.ports.snapshots.Close() })
	defer stop()
	slots := make(chan struct{}, maxSnapshotCalls)
	for {
		c, err := e.ports.snapshots.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "snapshots")
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			_ = c.SetDeadline(time.Now().Add(2 * snapshotTimeout))
			server.ServeConn(c)
		}()
	}
}

// askPeer takes in what one of the other instances knows.
func (e *Edge) askPeer(ctx context.Context) {
	e.mu.Lock()
	var alive []uint32
	for id, m := range e.state.members {
		if m.alive {
			alive = append(alive, id)
		}
	}
	e.mu.Unlock()
	if len(alive) == 0 {
		return
	}
	peer := alive[rand.IntN(len(alive))]
	snapshot, err := getSnapshot(ctx, address(peer, e.peerPort).String())
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.String("peer", address(peer, 0).Addr().String()), slog.Any("error", err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for _, t := range snapshot.Tables {
		a := replica.Answer{Rows: t.Rows, Version: t.Version, Stamp: t.Stamp, Whole: true}
		changed, _ := e.copyOf(t.Table).Apply(a, 0)
		e.takeRows(t.Table, changed, now)
		if t.Stamp > 0 {
			s := &e.state
			s.clock.Observe(t.Stamp, now)
			e.prove(t.Table, t.Stamp, now)
		}
	}
}

func getSnapshot(ctx context.Context, address string) (Snapshot, error) {
	d := net.Dialer{Timeout: snapshotTimeout}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "snapshot")
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(snapshotTimeout)); err != nil {
		return Snapshot{}, errors.Wrap(err, "snapshot")
	}
	client := rpc.NewClient(c)
	defer func() { _ = client.Close() }()
	var packed Packed
	if err := client.Call("Snapshots.Get", Nothing{}, &packed); err != nil {
		return Snapshot{}, errors.Wrap(err, "snapshot")
	}
	z, err := gzip.NewReader(bytes.NewReader(packed.Data))
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "snapshot")
	}
	var s Snapshot
	err = json.NewDecoder(io.LimitReader(z, maxSnapshot)).Decode(&s)
	return s, errors.Wrap(err, "snapshot")
}

// maxSnapshot bounds what is unpacked of a snapshot, in bytes.
const maxSnapshot = 64 << 20
