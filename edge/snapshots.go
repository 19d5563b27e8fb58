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
	"foxtailspoke/quarantine"
	"foxtailspoke/replica"
)

const (
	// snapshotTimeout bounds a request for a snapshot.
	snapshotTimeout = 500 * time.Millisecond
	// configSnapshotTimeout bounds a request for the configuration alone. Other sources
	// are asked long before that.
	configSnapshotTimeout = 600 * time.Millisecond
	// snapshotCacheTime is how long an encoded snapshot is reused.
	snapshotCacheTime = 100 * time.Millisecond

	methodGet    = "Snapshots.Get"
	methodConfig = "Snapshots.Config"
)

// Snapshot holds the data that an instance has read from the store, and what must be known
// before the first request is served.
type Snapshot struct {
	// Era is the era of the store, and Clock its clock reading; 0 if unknown or
	// not included.
	Era    uint64
	Clock  time.Duration
	Tables []SnapshotTable
	// SuspectRequests are those under which servers ended; nil if not included.
	SuspectRequests *quarantine.Knowledge `json:",omitempty"`
	// source is the instance that a received snapshot came from.
	source string
}

// SnapshotTable is one table of a snapshot.
type SnapshotTable struct {
	Table   evidence.Table
	Era     uint64
	Version uint64
	// Stamp is the reading of the store's clock up to which the table is known
	// to be complete; 0 if unknown.
	Stamp time.Duration
	Rows  []replica.Row
}

// Nothing is the argument of RPC methods that need none.
type Nothing struct{}

// Packed is a Snapshot as gzip-compressed JSON.
type Packed struct{ Data []byte }

// Snapshots is the net/rpc service by which instances fetch data from each
// other.
type Snapshots struct {
	edge *Edge

	mu sync.Mutex
	// config is the encoded configuration for the row at configRow and these
	// evacuations.
	config      Packed
	configRow   replica.Position
	evacuations []string
	// all is the encoded full snapshot, made at allAt.
	all   Packed
	allAt time.Duration
}

// Get returns the full snapshot. It is encoded once for all requests within
// snapshotCacheTime; its timestamps show its age.
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

// Config returns the configuration alone, without a proof of its age. The
// encoded form is cached, because all instances that lack it request it at
// about the same time.
func (s *Snapshots) Config(_ Nothing, reply *Packed) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.edge.mu.Lock()
	row := s.edge.configRowPosition()
	at, _ := s.edge.state.config.Position()
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
		return Packed{}, errors.Wrap(err, "encoding snapshot")
	}
	if err := z.Close(); err != nil {
		return Packed{}, errors.Wrap(err, "compressing snapshot")
	}
	return Packed{Data: b.Bytes()}, nil
}

func (e *Edge) snapshot(now time.Duration) Snapshot {
	s := &e.state
	suspects := s.quarantine.Knowledge(now)
	all := Snapshot{Era: s.era, SuspectRequests: &suspects}
	if clock, known := s.clock.Now(now); known {
		all.Clock = clock
	}
	for _, t := range []evidence.Table{evidence.Config, evidence.Servers, evidence.Instances} {
		if !e.isCurrentEra(e.replicaOf(t)) {
			continue
		}
		at, _ := e.replicaOf(t).Position()
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

// serveSnapshots serves the Snapshots RPC methods to other instances.
func (e *Edge) serveSnapshots(ctx context.Context) error {
	server := rpc.NewServer()
	if err := server.Register(&Snapshots{edge: e}); err != nil {
		return errors.Wrap(err, "registering the snapshot service")
	}
	stop := context.AfterFunc(ctx, func() { _ = e.ports.snapshots.Close() })
	defer stop()
	conns := e.newPeerConns()
	for {
		accepted, err := e.ports.snapshots.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "accepting a snapshot connection")
		}
		c := &peerConn{Conn: accepted, conns: conns, known: e.isKnownInstance(accepted.RemoteAddr().String())}
		evicted := conns.add(c)
		if evicted != nil {
			e.handleEvicted(evicted.RemoteAddr().String())
		}
		if evicted == c {
			continue
		}
		go func() {
			defer conns.remove(c)
			_ = c.SetDeadline(time.Now().Add(2 * snapshotTimeout))
			counted := countedConn{c, e, purposeSnapshots, e.peerDataCentre(c.RemoteAddr().String())}
			frames := &gobFrames{r: io.LimitReader(c, maxSnapshotRequestBytes), max: maxSnapshotRequestBytes}
			server.ServeConn(limitedConn{counted, frames})
		}()
	}
}

// fetchFromPeer fetches a full snapshot from a random peer.
func (e *Edge) fetchFromPeer(ctx context.Context) {
	if peer, ok := e.randomPeer(); ok {
		e.fetchSnapshot(ctx, peer, methodGet, snapshotTimeout)
	}
}

// randomPeer returns a random peer, preferably one that is ready and so has the
// configuration and the servers.
func (e *Edge) randomPeer() (id uint32, ok bool) {
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
	if len(ready) == 0 {
		return 0, false
	}
	return ready[rand.IntN(len(ready))], true
}

// fetchSnapshot calls a method of Snapshots on another instance and applies the
// result.
func (e *Edge) fetchSnapshot(ctx context.Context, peer uint32, method string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begin := e.now()
	snapshot, err := callSnapshot(ctx, addrPort(peer, e.peerPort).String(), method)
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.String("peer", addrPort(peer, 0).Addr().String()), slog.String("method", method),
			slog.Int64("took_ms", (e.now()-begin).Milliseconds()), slog.Any("error", err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	snapshot.source = addrPort(peer, 0).Addr().String()
	e.applySnapshot(snapshot, e.now())
}

// applySnapshot applies the snapshot of another instance.
func (e *Edge) applySnapshot(snapshot Snapshot, now time.Duration) {
	if snapshot.SuspectRequests != nil {
		e.state.quarantine.Adopt(*snapshot.SuspectRequests, now)
	}
	if !e.observeSnapshot(snapshot, now) {
		return
	}
	for _, t := range snapshot.Tables {
		a := replica.ReadResult{Rows: t.Rows, Era: t.Era, Version: t.Version, StoreTime: t.Stamp, Full: true, Source: snapshot.source}
		if _, ok := e.applyReadResult(t.Table, a, 0, now); ok && t.Stamp > 0 {
			e.recordProof(t.Table, t.Stamp, now)
		}
	}
	e.updateRateShare()
	e.announceIfChanged(now)
}

// observeSnapshot is observeStore for a snapshot. A snapshot without the
// store's clock can't begin an era.
func (e *Edge) observeSnapshot(s Snapshot, now time.Duration) bool {
	if s.Clock > 0 {
		return e.observeStore(s.Era, s.Clock, now)
	}
	if !e.state.eraKnown {
		e.state.era, e.state.eraKnown = s.Era, true
	}
	return s.Era == e.state.era
}

// callSnapshot calls a method of the instance at address that replies with a
// packed Snapshot.
func callSnapshot(ctx context.Context, address, method string) (Snapshot, error) {
	var packed Packed
	if err := callPeer(ctx, address, method, &packed); err != nil {
		return Snapshot{}, err
	}
	z, err := gzip.NewReader(bytes.NewReader(packed.Data))
	if err != nil {
		return Snapshot{}, errors.Wrap(err, "decompressing snapshot")
	}
	var s Snapshot
	err = json.NewDecoder(io.LimitReader(z, maxSnapshotBytes)).Decode(&s)
	return s, errors.Wrap(err, "decoding snapshot")
}

// callPeer calls a Snapshots method of the instance at address.
func callPeer(ctx context.Context, address, method string, reply any) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Wrap(err, "connecting to peer")
	}
	defer func() { _ = c.Close() }()
	if end, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(end); err != nil {
			return errors.Wrap(err, "setting the deadline of a peer call")
		}
	}
	client := rpc.NewClient(limitedConn{c, io.LimitReader(c, maxPackedBytes)})
	defer func() { _ = client.Close() }()
	return errors.Wrapf(client.Call(method, Nothing{}, reply), "calling %s", method)
}

const (
	// maxSnapshotBytes bounds the decompressed size of a snapshot, maxPackedBytes that of a
	// reply, and maxSnapshotRequestBytes what a connection may send as requests.
	maxSnapshotBytes        = 64 << 20
	maxPackedBytes          = 16 << 20
	maxSnapshotRequestBytes = 64 << 10
)

// limitedConn is a connection of which only a limited number of bytes is read.
type limitedConn struct {
	net.Conn
	r io.Reader
}

// Read implements io.Reader.
func (c limitedConn) Read(b []byte) (int, error) { return c.r.Read(b) }
