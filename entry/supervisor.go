package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/thejerf/suture/v4"
	"golang.org/x/net/netutil"
	"golang.org/x/sys/unix"

	"foxtailspoke/decision"
	"foxtailspoke/entry/operators"
	"foxtailspoke/event"
	"foxtailspoke/httphead"
	"foxtailspoke/node"
	"foxtailspoke/peer"
	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
	"foxtailspoke/wire"
)

const (
	// handshakeTimeout bounds the handshake of an incoming peer connection.
	handshakeTimeout = time.Second
	// maxOperatorConnections limits the connections to the operator address.
	maxOperatorConnections = 64
)

// buildTree creates the supervisor tree and adds its children.
func (e *Entry) buildTree(secret, token []byte) error {
	e.tree = suture.New("entry", suture.Spec{EventHook: e.logFailure, Timeout: 5 * time.Second})
	server, err := peer.NewServer(secret, maxConnections(e.settings.Peers.MaxConnections, peerDescriptorShare), handshakeTimeout, e.driver.peers.Handle)
	if err != nil {
		return err
	}
	server.OnHandshakeFailure(func(address string) {
		event.HandshakeFailed.Log(e.log, slog.String("address", address))
	})
	operatorAPI, err := operators.New(e.self.ID, token, e.loop, e.records, e.metrics.Handler())
	if err != nil {
		return err
	}
	e.callerServer = e.httpServer(e.callers)
	e.tree.Add(child{"loop", e.serveLoop})
	e.tree.Add(child{"peers", func(ctx context.Context) error { return server.Serve(ctx, e.listeners.peers) }})
	e.tree.Add(child{"callers", func(ctx context.Context) error {
		l := netutil.LimitListener(e.listeners.callers, maxConnections(e.settings.Callers.MaxConnections, callerDescriptorShare))
		return e.serveHTTP(ctx, e.callerServer, l)
	}})
	e.tree.Add(child{"operators", func(ctx context.Context) error {
		l := netutil.LimitListener(e.listeners.operators, maxOperatorConnections)
		return e.serveHTTP(ctx, e.httpServer(operatorAPI), l)
	}})
	e.tree.Add(child{"announcer", e.announce})
	e.tree.Add(child{"records", e.records.Serve})
	e.tree.Add(child{"sweeper", e.closeIdlePeers})
	return nil
}

// child is a named service of the tree.
type child struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (c child) Serve(ctx context.Context) error { return c.serve(ctx) }

// String returns the name used in logs.
func (c child) String() string { return c.name }

// serveLoop runs the event loop. A panic means that the node violated an
// invariant: its further decisions can't be trusted, so the tree terminates.
func (e *Entry) serveLoop(ctx context.Context) (err error) {
	defer func() {
		if r := recover(); r != nil {
			event.InvariantBroken.Log(e.log, slog.Any("panic", r))
			err = suture.ErrTerminateSupervisorTree
		}
	}()
	e.loop.Run(ctx)
	return ctx.Err()
}

func (e *Entry) httpServer(h http.Handler) *http.Server {
	c := e.settings.Callers
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Duration(c.HeaderTimeout),
		ReadTimeout:       time.Duration(c.ReadTimeout),
		IdleTimeout:       time.Duration(c.IdleTimeout),
		MaxHeaderBytes:    c.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(e.log.Handler(), slog.LevelDebug),
	}
}

// Parts of the process's descriptors that the connections of callers and of other instances may take. The
// rest is for the platform, backend servers and operators.
const (
	callerDescriptorShare = 0.5
	peerDescriptorShare   = 0.25
)

// maxConnections returns how many connections a port accepts, by the settings and its share of the
// descriptors that the operating system allows.
func maxConnections(configured int, share float64) int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return configured
	}
	return max(1, int(min(float64(configured), share*float64(r.Cur))))
}

// serverHeaderSlack is what http.Server accepts beyond MaxHeaderBytes.
const serverHeaderSlack = 4 << 10

func (e *Entry) serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	guard := httphead.Guard{
		MaxBytes: s.MaxHeaderBytes + serverHeaderSlack, Timeout: s.ReadHeaderTimeout, Memory: e.heads,
		Header: http.Header{wire.HeaderOutcome: {string(decision.NotRun)}},
	}
	err := guard.Serve(s, l)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// announce announces the instance to the platform periodically.
func (e *Entry) announce(ctx context.Context) error {
	for {
		delay := time.Duration(e.settings.Platform.AnnounceEvery)
		switch err := e.client.Announce(ctx, e.announced()); {
		case errors.Is(err, client.ErrEnded):
			return suture.ErrTerminateSupervisorTree
		case err != nil:
			delay = min(delay, announceRetryInterval)
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// announceRetryInterval is the delay after a failed announcement. If only the
// regular interval were used, the platform could list a running instance as
// ended.
const announceRetryInterval = time.Second

func (e *Entry) announced() storage.Instance {
	self := e.self
	if e.leaving.Load() {
		self.State = storage.Leaving
	}
	return self
}

// closeIdlePeers periodically closes idle connections to other instances.
func (e *Entry) closeIdlePeers(ctx context.Context) error {
	ticker := time.NewTicker(peerIdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.peers.CloseIdle(peerIdleTimeout)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Entry) logFailure(ev suture.Event) {
	attrs := ev.Map()
	event.ComponentFailed.Log(e.log, slog.String("error", ev.String()), slog.Any("type", attrs["type"]))
}

// exportGauges registers the metrics that are read on each scrape.
func (e *Entry) exportGauges() {
	e.metrics.Counter("platform_reads_total", "Reads of the platform's table and list.", func() float64 {
		reads, _ := e.driver.store.Counts()
		return float64(reads)
	})
	e.metrics.Counter("platform_writes_total", "Writes of the platform's table.", func() float64 {
		_, writes := e.driver.store.Counts()
		return float64(writes)
	})
	e.metrics.Gauge("worst_workspace_failed_ratio", "Share of requests that failed by no fault of their own, of the workspace that fares worst at this instance.", func() float64 {
		var worst node.WorkspaceFailures
		e.loop.Do(func(n *node.Node, now time.Duration) { worst, _ = n.WorstWorkspace(now) })
		return worst.FailedRatio
	})
	e.metrics.Gauge("peer_sent_bytes", "Bytes sent to other instances on the connections open now.", func() float64 {
		sent, _ := e.peers.Traffic()
		return float64(sent)
	})
	e.metrics.Gauge("peer_received_bytes", "Bytes received from other instances on the connections open now.", func() float64 {
		_, received := e.peers.Traffic()
		return float64(received)
	})
}
