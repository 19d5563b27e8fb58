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
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/replica"
)

const (
	// snapshotTimeout bounds a question to another instance.
	snapshotTimeout = 500 * time.Millisecond
	// configSnapshotTimeout bounds one for the configuration alone. Two of them and a
	// call to the store must fit into what is left of the two seconds in which
	// a change is in force, half a second after the change.
	configSnapshotTimeout = 200 * time.Millisecond
	// snapshotCacheTime is how long a packed snapshot is handed out.
	snapshotCacheTime = 100 * time.Millisecond
	// maxSnapshotConns bounds the connections of other instances.
	maxSnapshotConns = 32

	methodGet    = "Snapshots.Get"
	methodConfig = "Snapshots.Config"
)

// Snapshot is everything an instance has read from the store.
type Snapshot struct {
	// Era of the store, and what its clock shows; 0 if unknown or not told.
	Era    uint64
	Clock  time.Duration
	Tables []SnapshotTable
}

// SnapshotTable is one table of a snapshot.
type SnapshotTable struct {
	Table   evidence.Table
	Era     uint64
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
type Snapshots struct {
	edge *Edge

	mu sync.Mutex
	// config is the packed configuration of row version configRow with these
	// evacuations.
	config      Packed
	configRow   replica.Point
	evacuations []string
	// all is everything, packed at allAt.
	all   Packed
	allAt time.Duration
}

// Get returns what this instance knows. It is packed once for all that ask
// within moments; its stamps say how old it is.
func (s *Snapshots) Get(_ Nothing, reply *Packed) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.edge.mu.Lock()
	now := s.edge.now()
	var snapshot Snapshot
	fresh := len(s.all.Data) > 0 && now-s.allAt < snapshotCacheTime
	if !fresh {
		snapshot = s.edge.snapshot(now)
	}
	s.edge.mu.Unlock()
	if !fresh {
		packed, err := packSnapshot(snapshot)
		if err != nil {
			return err
		}
		s.all, s.allAt = packed, now
	}
	*reply = s.all
	return nil
}

// Config returns the configuration alone, without a proof of its age. It is
// packed once, because all that lack it ask within moments.
func (s *Snapshots) Config(_ Nothing, reply *Packed) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.edge.mu.Lock()
	row := s.edge.configRowPoint()
	at, _ := s.edge.state.config.Point()
	era := s.edge.state.era
	rows := s.edge.state.config.Rows()
	evacuations := s.edge.state.evacuations.List()
	s.edge.mu.Unlock()
	if row != s.configRow || !slices.Equal(evacuations, s.evacuations) {
		table := SnapshotTable{Table: evidence.Config, Era: at.Era, Version: at.Version, Rows: rows}
		packed, err := packSnapshot(Snapshot{Era: era, Tables: []SnapshotTable{table}})
		if err != nil {
			return err
		}
		s.config, s.configRow, s.evacuations = packed, row, evacuations
	}
	*reply = s.config
	return nil
}

func packSnapshot(snapshot Snapshot) (Packed, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(snapshot); err != nil {
		return Packed{}, errors.Wrap(err, "snapshot")
	}
	if err := z.Close(); err != nil {
		return Packed{}, errors.Wrap(err, "snapshot")
	}
	return Packed{Data: b.Bytes()}, nil
}

func (e *Edge) snapshot(now time.Duration) Snapshot {
	s := &e.state
	all := Snapshot{Era: s.era}
	if clock, known := s.clock.Store(now); known {
		all.Clock = clock
	}
	for _, t := range []evidence.Table{evidence.Config, evidence.Servers, evidence.Instances} {
		if !e.isCurrentEra(e.replicaOf(t)) {
			continue
		}
		at, _ := e.replicaOf(t).Point()
		table := SnapshotTable{Table: t, Era: at.Era, Version: at.Version, Rows: e.replicaOf(t).Rows()}
		switch t {
		case evidence.Config:
			table.Stamp = s.configProof
		case evidence.Servers:
			table.Stamp = all.Clock - (now - s.serversProof)
		case evidence.Instances:
		}
		all.Tables = append(all.Tables, table)
	}
	return all
}

// serveSnapshots answers other instances.
func (e *Edge) serveSnapshots(ctx context.Context) error {
	server := rpc.NewServer()
	if err := server.Register(&Snapshots{edge: e}); err != nil {
		return errors.Wrap(err, "snapshots")
	}
	stop := context.AfterFunc(ctx, func() { _ = e.ports.snapshots.Close() })
	defer stop()
	slots := make(chan struct{}, maxSnapshotConns)
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

// fetchFromPeer takes in what one of the other instances knows. Those that are ready
// know all that there is to know.
func (e *Edge) fetchFromPeer(ctx context.Context) {
	e.mu.Lock()
	var ready, alive []uint32
	for id, m := range e.state.messenger.Fleet().All() {
		switch {
		case m.Alive && !m.Leaving:
			ready = append(ready, id)
		case m.Alive:
			alive = append(alive, id)
		}
	}
	e.mu.Unlock()
	if len(ready) == 0 {
		ready = alive
	}
	if len(ready) > 0 {
		e.fetchSnapshot(ctx, ready[rand.IntN(len(ready))], methodGet, snapshotTimeout)
	}
}

// fetchSnapshot takes in what another instance answers to a method of Snapshots.
func (e *Edge) fetchSnapshot(ctx context.Context, peer uint32, method string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	snapshot, err := callSnapshot(ctx, address(peer, e.peerPort).String(), method)
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.String("peer", address(peer, 0).Addr().String()), slog.Any("error", err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applySnapshot(snapshot, e.now())
}

// applySnapshot takes in what another instance knows.
func (e *Edge) applySnapshot(snapshot Snapshot, now time.Duration) {
	if !e.observeSnapshot(snapshot, now) {
		return
	}
	for _, t := range snapshot.Tables {
		a := replica.Answer{Rows: t.Rows, Era: t.Era, Version: t.Version, Stamp: t.Stamp, Whole: true}
		if _, ok := e.applyAnswer(t.Table, a, 0, now); ok && t.Stamp > 0 {
			e.recordProof(t.Table, t.Stamp, now)
		}
	}
	e.updateRateShare()
	e.announceIfChanged(now)
}

// observeSnapshot is observe for a snapshot. One that doesn't tell the store's clock
// can't begin an era.
func (e *Edge) observeSnapshot(s Snapshot, now time.Duration) bool {
	if s.Clock > 0 {
		return e.observeStore(s.Era, s.Clock, now)
	}
	if !e.state.eraKnown {
		e.state.era, e.state.eraKnown = s.Era, true
	}
	return s.Era == e.state.era
}

func callSnapshot(ctx context.Context, address, method string) (Snapshot, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "snapshot")
	}
	defer func() { _ = c.Close() }()
	if end, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(end); err != nil {
			return Snapshot{}, errors.Wrap(err, "snapshot")
		}
	}
	client := rpc.NewClient(c)
	defer func() { _ = client.Close() }()
	var packed Packed
	if err := client.Call(method, Nothing{}, &packed); err != nil {
		return Snapshot{}, errors.Wrap(err, "snapshot")
	}
	z, err := gzip.NewReader(bytes.NewReader(packed.Data))
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "snapshot")
	}
	var s Snapshot
	err = json.NewDecoder(io.LimitReader(z, maxSnapshotBytes)).Decode(&s)
	return s, errors.Wrap(err, "snapshot")
}

// maxSnapshotBytes bounds what is unpacked of a snapshot, in bytes.
const maxSnapshotBytes = 64 << 20
