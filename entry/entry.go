// Package entry implements the entry daemon as a library: a supervisor tree
// that drives one node and connects it with callers, backend servers, other
// entry instances, the platform and operators.
//
// Each subpackage implements one child of the tree or a component that
// children use. The event loop is the only child that isn't restarted after a
// panic: if its node violates an invariant, the process exits and the platform
// replaces the instance.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"foxtailspoke/decision"
	"foxtailspoke/entry/attempt"
	"foxtailspoke/entry/callers"
	"foxtailspoke/entry/clock"
	"foxtailspoke/entry/loop"
	"foxtailspoke/entry/metrics"
	"foxtailspoke/entry/peers"
	"foxtailspoke/entry/records"
	"foxtailspoke/entry/settings"
	"foxtailspoke/entry/store"
	"foxtailspoke/entry/trace"
	"foxtailspoke/event"
	"foxtailspoke/memory"
	"foxtailspoke/node"
	"foxtailspoke/peer"
	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
)

const (
	// callTimeout bounds a call to another instance.
	callTimeout = 250 * time.Millisecond
	// platformTimeout bounds a call to the platform.
	platformTimeout = time.Second
	// peerIdleTimeout is how long an unused connection to another instance
	// stays open.
	peerIdleTimeout = time.Minute
	// maxStoredAnswerBytes bounds the answer stored for repeated requests.
	maxStoredAnswerBytes = 64 << 10
	// connectTimeout bounds connecting to a backend server.
	connectTimeout = 250 * time.Millisecond
	// serverIdleTimeout is how long an unused connection to a backend server
	// stays open.
	serverIdleTimeout = 30 * time.Second
	// connectionsPerServer limits the connections to one backend server.
	connectionsPerServer = 64
)

// Entry is one entry instance.
type Entry struct {
	settings settings.Settings
	log      *slog.Logger
	self     storage.Instance

	client    *client.Client
	peers     *peer.Client
	loop      *loop.Loop
	sender    *attempt.Sender
	callers   *callers.Service
	records   *records.Writer
	metrics   *metrics.Metrics
	listeners listeners
	driver    *driver
	tree      *suture.Supervisor

	callerServer *http.Server
	// heads counts the memory of the heads of all requests.
	heads   *memory.Heads
	leaving atomic.Bool
	// traceFile is nil if tracing is disabled.
	traceFile *os.File
}

// listeners are bound before the instance is announced.
type listeners struct{ callers, peers, operators net.Listener }

// New binds the listeners and builds the instance. Run starts it.
func New(s settings.Settings, log *slog.Logger) (*Entry, error) {
	secret, err := settings.ReadSecret(s.Peers.SecretFile)
	if err != nil {
		return nil, err
	}
	token, err := settings.ReadSecret(s.Operators.TokenFile)
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, log: log, metrics: metrics.New(), heads: memory.NewHeadsWithin(s.Callers.HeadMemoryBytes)}
	if err := e.bind(); err != nil {
		return nil, err
	}
	e.self = e.newInstance()
	if e.client, err = client.New(s.Platform.URL, client.Settings{Timeout: platformTimeout}); err != nil {
		return nil, err
	}
	return e, e.build(secret, token)
}

// Addresses returns the instance's description with its advertised addresses.
func (e *Entry) Addresses() storage.Instance { return e.self }

func (e *Entry) bind() error {
	var err error
	if e.listeners.callers, err = net.Listen("tcp", e.settings.Callers.Listen); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if e.listeners.peers, err = net.Listen("tcp", e.settings.Peers.Listen); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if e.listeners.operators, err = net.Listen("tcp", e.settings.Operators.Listen); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	return nil
}

func (e *Entry) newInstance() storage.Instance {
	return storage.Instance{
		ID:              uuid.NewString(),
		Kind:            storage.Entry,
		DataCentre:      e.settings.DataCentre,
		Region:          e.settings.Region,
		Address:         advertised(e.settings.Callers.Advertise, e.listeners.callers),
		PeerAddress:     advertised(e.settings.Peers.Advertise, e.listeners.peers),
		OperatorAddress: advertised(e.settings.Operators.Advertise, e.listeners.operators),
		State:           storage.Live,
	}
}

func advertised(address string, l net.Listener) string {
	if address != "" {
		return address
	}
	return l.Addr().String()
}

func (e *Entry) build(secret, token []byte) error {
	nodeSettings := e.nodeSettings()
	recorder, err := e.startTrace(nodeSettings)
	if err != nil {
		return err
	}
	e.driver = &driver{log: e.log, metrics: e.metrics}
	monotonic := clock.New()
	e.loop = loop.New(node.New(nodeSettings), monotonic, e.driver, recorder)
	e.peers = peer.NewClient(e.self.ID, secret, callTimeout)
	e.records = records.New(
		decision.NewBuffer(e.self.ID, decision.BufferSettings{}),
		e.client.Objects(), time.Duration(e.settings.Platform.RecordsEvery), e.log)
	e.sender = attempt.NewSender(attempt.Settings{
		MaxBufferedBytes:     e.settings.Callers.MaxBufferedBytes,
		ConnectTimeout:       connectTimeout,
		IdleTimeout:          serverIdleTimeout,
		ConnectionsPerServer: connectionsPerServer,
	})
	e.callers, err = callers.New(e.self.ID, callers.Settings{
		MaxBufferedBytes:     e.settings.Callers.MaxBufferedBytes,
		MaxBodyBytes:         e.settings.Callers.MaxBodyBytes,
		WriteTimeout:         time.Duration(e.settings.Callers.WriteTimeout),
		MaxStoredAnswerBytes: maxStoredAnswerBytes,
	}, e.loop, e.sender, e.metrics, e.ready, e.records.Add, monotonic.Now)
	if err != nil {
		return err
	}
	e.driver.callers = e.callers
	e.driver.records = e.records
	e.driver.store = store.New(e.client, e.client, e.loop, e.log, platformTimeout)
	e.driver.peers = peers.New(e.peers, e.loop, callTimeout)
	e.driver.probes = newProber(e.sender, e.loop)
	e.exportGauges()
	return e.buildTree(secret, token)
}

// startTrace opens the trace file and returns its recorder, or nil if tracing
// is disabled.
func (e *Entry) startTrace(s node.Settings) (loop.Recorder, error) {
	if e.settings.Trace.File == "" {
		return nil, nil
	}
	f, err := os.OpenFile(e.settings.Trace.File, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "trace")
	}
	e.traceFile = f
	return trace.NewRecorder(f, e.settings.Trace.MaxBytes, s)
}

// nodeSettings derives the node's settings from those of the process.
func (e *Entry) nodeSettings() node.Settings {
	s := node.DefaultSettings()
	s.Self = e.self
	s.Secret = make([]byte, 32)
	_, _ = rand.Read(s.Secret)
	var seed [8]byte
	_, _ = rand.Read(seed[:])
	s.Seed = binary.LittleEndian.Uint64(seed[:])
	s.Shards = e.settings.Fleet.Shards
	s.LocateTTL = time.Duration(e.settings.Fleet.LocateTTL)
	s.LocateAddresses = e.settings.Fleet.LocateAddresses
	s.Membership.Seeds = e.settings.Peers.Seeds
	s.Membership.Fresh = time.Duration(e.settings.Fleet.MaxConfigAge)
	return s
}

func (e *Entry) ready() (rule decision.Rule, ready bool) {
	if !e.loop.Do(func(n *node.Node, now time.Duration) { rule, ready = n.Serving(now) }) {
		return decision.RuleInstanceLeaving, false
	}
	return rule, ready
}

// Run serves until ctx is done and then performs a planned stop, which waits
// for requests in progress up to the stop timeout. The error is nil after a
// planned stop.
func (e *Entry) Run(ctx context.Context) error {
	treeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := make(chan struct{})
	var treeErr error
	go func() {
		defer close(ended)
		treeErr = e.tree.Serve(treeCtx)
	}()
	event.Started.Log(e.log,
		slog.String("instance", e.self.ID),
		slog.String("dataCentre", e.self.DataCentre),
		slog.String("callers", e.self.Address),
		slog.String("peers", e.self.PeerAddress),
		slog.String("operators", e.self.OperatorAddress))
	select {
	case <-ended:
		e.close()
		return errors.Wrap(treeErr, "entry: supervisor tree terminated")
	case <-ctx.Done():
	}
	e.stop(ended)
	cancel()
	<-ended
	e.close()
	return nil
}

// close releases resources that outlive the tree: client connections and the
// trace file.
func (e *Entry) close() {
	e.peers.Close()
	e.sender.Close()
	e.client.Close()
	if e.traceFile != nil {
		_ = e.traceFile.Close()
	}
}
