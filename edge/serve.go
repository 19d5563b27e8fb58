package edge

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"foxtailspoke/edge/settings"
	"foxtailspoke/event"
	"foxtailspoke/pipeline"
	"foxtailspoke/platform"
	"foxtailspoke/routing"
)

const (
	// headerTimeout bounds the reading of a request's headers until a configuration is in
	// force.
	headerTimeout = 5 * time.Second
	// initialIdleTimeout is how long callers' idle connections stay open until a
	// configuration is in force.
	initialIdleTimeout = 60 * time.Second
	// headerTimeoutMargin is added to the limit of a configuration: a lost packet is sent
	// again within a second.
	headerTimeoutMargin = time.Second
	// maxHeaderBytes bounds the size of a request's headers until a configuration is in
	// force.
	maxHeaderBytes = 64 << 10
	// requestLineBytes is added to the limit of a configuration, which may not include the
	// request line.
	requestLineBytes = 4 << 10
	// maxPipelinedRequests bounds the requests of one connection that are in
	// progress. It is enough for the lookups of one page, and less than a tenth of
	// the servers' slots in a small deployment.
	maxPipelinedRequests = 6
	// watchedRequests is the number of requests of a connection that isn't a caller's. The second
	// one is read while the first is in progress, which detects that its sender disconnects.
	watchedRequests = 2
	// addressTTL is how long callers may cache a response of the directory. A failed
	// instance is left out of responses after about 1 s; callers then learn of it
	// within this time.
	addressTTL = 2 * time.Second
	// maxAddresses is the number of addresses that callers use of one response.
	maxAddresses = 64
	// minLocalAddresses is the number of ready instances in the caller's data centre
	// from which instances of other data centres are left out.
	minLocalAddresses = 2
	// killMargin is the part of the grace period that is left unused before the
	// platform kills the process.
	killMargin = time.Second
	// shutdownWait bounds the wait for the services of the process to end after the
	// requests are finished. Their remaining work no longer matters, and waiting for
	// a pending call of the store could exceed the grace period.
	shutdownWait = 200 * time.Millisecond
	// acceptShare is the part of the grace period during which a stopping instance
	// still accepts requests. By its end most callers have refreshed their
	// addresses; the rest of the period is for requests in progress. The platform
	// expects those of its first half to be finished; the margin is for the time until a
	// slow machine handles the signal and the requests that have arrived.
	acceptShare = 0.4
	// retryAfterElsewhere is the Retry-After where another instance can serve the
	// request at once, such as when this one no longer accepts requests.
	retryAfterElsewhere = 50 * time.Millisecond
	// drainPollInterval is how often a stopping instance checks whether requests are
	// in progress.
	drainPollInterval = 100 * time.Millisecond
)

// serveHTTP returns a service that serves h on l until its context ends.
func (e *Edge) serveHTTP(l net.Listener, h http.HandlerFunc, share connectionShare) func(context.Context) error {
	s := e.newServer(h, share)
	return func(ctx context.Context) error { return s.Serve(ctx, l) }
}

// newServer returns a server whose requests' heads count in the memory of the instance, and whose
// connections may take a share of its descriptors.
func (e *Edge) newServer(h http.HandlerFunc, share connectionShare) *pipeline.Server {
	s := &pipeline.Server{
		Handler: h, MaxPipelined: watchedRequests, HeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		HeadMemory: e.heads, OnHeadRefused: e.handleHeadRefused,
		WriteTimeout: callerWriteTimeout, OnCutOff: e.handleCallerCutOff,
	}
	s.SetIdleTimeout(initialIdleTimeout)
	e.limitConnections(s, share)
	return s
}

// applyHeaderLimits applies the limits of a configuration to the heads of callers' requests, and of those
// that instances forward. Callers keep to the limits as they send; what arrives may be later by a
// retransmission.
func (e *Edge) applyHeaderLimits(l routing.Limits) {
	size, timeout := cmp.Or(max(l.MaxHeaderBytes, 0), maxHeaderBytes), headerTimeout
	if l.HeaderTimeout > 0 {
		timeout = l.HeaderTimeout + headerTimeoutMargin
	}
	size += requestLineBytes
	e.callerServer.SetHeaderLimits(size, timeout)
	e.forwardingServer.SetHeaderLimits(size+forwardingHeaderBytes, timeout)
}

func (e *Edge) serveCallers(ctx context.Context) error {
	return e.callerServer.Serve(ctx, e.ports.callers)
}

// newCallerServer returns the server for callers' connections.
func (e *Edge) newCallerServer() *pipeline.Server {
	s := e.newServer(e.handleRequest, callersShare)
	s.AllowConcurrent, s.MaxPipelined = e.repeatable, maxPipelinedRequests
	return s
}

// repeatable reports whether a caller's request may be executed more than once.
func (e *Edge) repeatable(r *http.Request) bool {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.table == nil {
		return false
	}
	route := e.state.table.Route(r.Host, path)
	return route != nil && route.Kind.Repeatable()
}

// readyLocked reports whether callers should use this instance. The lock must be
// held.
func (e *Edge) readyLocked() bool {
	s := &e.state
	// The configuration may arrive before the server list. An instance that reported
	// ready in between would refuse every request.
	_, serversKnown := s.servers.Version()
	return !e.stopping.Load() && s.table != nil && serversKnown && !s.configUnreadable && e.configAge(e.now()) < s.bounds.MaxKeyAge
}

// handleReadiness serves the platform's readiness check.
func (e *Edge) handleReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		http.NotFound(w, r)
		return
	}
	e.mu.Lock()
	ready := e.readyLocked()
	e.mu.Unlock()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// handleDirectory returns the addresses that a caller should use.
func (e *Edge) handleDirectory(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathResolve {
		http.NotFound(w, r)
		return
	}
	q := platform.DecodeResolveRequest(r)
	e.mu.Lock()
	addresses := e.addressesFor(q)
	e.mu.Unlock()
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ttl := min(addressTTL, settings.Seconds(e.settings.Bounds.AddressTTLS))
	if err := platform.WriteAddresses(w, addresses, ttl); err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
	}
}

// addressesFor returns the addresses of ready instances for a caller.
func (e *Edge) addressesFor(q platform.ResolveRequest) []string {
	ready := make(map[string][]string)
	add := func(id uint32, dc string) {
		ready[dc] = append(ready[dc], addrPort(id, e.callerPort).String())
	}
	if e.readyLocked() {
		add(e.self, e.settings.DataCentre)
	}
	for id, m := range e.state.messenger.Fleet().All() {
		if m.Alive && !m.Leaving {
			add(id, m.DataCentre)
		}
	}
	var regions []string
	restricted := false
	if e.state.table != nil {
		regions, restricted = e.state.table.Regions(q.Host)
	}
	d := directory{e.topology, ready}
	if restricted {
		return firstN(d.inRegions(q, regions), maxAddresses)
	}
	return firstN(d.nearest(q), maxAddresses)
}

// stop performs a planned stop. The instance is no longer returned to callers, and
// its responses ask callers to use other instances. After acceptShare of the grace
// period it refuses new requests, and it ends once those in progress are finished
// or the grace period is nearly over.
func (e *Edge) stop() {
	e.stopping.Store(true)
	event.EdgeStopping.Log(e.log, slog.Int("connections", e.callerServer.OpenConnections()))
	start := e.now()
	grace := settings.Seconds(e.settings.Bounds.GraceS)
	e.mu.Lock()
	e.announceReadiness()
	e.mu.Unlock()
	time.Sleep(time.Duration(acceptShare * float64(grace)))
	e.closing.Store(true)
	e.callerServer.CloseIdle()
	for e.callerServer.AwaitedRequests()+e.forwardingServer.AwaitedRequests() > 0 && e.now()-start < grace-killMargin {
		time.Sleep(drainPollInterval)
	}
	event.EdgeStopped.Log(e.log, slog.Int64("cut", e.callerServer.InFlight()))
}
