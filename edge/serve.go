package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/edge/settings"
	"foxtailspoke/event"
	"foxtailspoke/pipeline"
	"foxtailspoke/platform"
)

const (
	// headerTimeout bounds the reading of a request's headers until the
	// configuration has said otherwise; the platform's usual value.
	headerTimeout = 5 * time.Second
	// idleTimeoutFirst closes idle connections of callers until the
	// configuration has said otherwise.
	idleTimeoutFirst = 60 * time.Second
	// maxHeaderBytes bounds a request's headers; the platform's usual value.
	maxHeaderBytes = 64 << 10
	// mostAhead is how many requests of one connection may be at work: enough
	// for a page's worth of lookups, and less than a tenth of the servers'
	// slots of a small deployment.
	mostAhead = 6
	// addressTTL is how long callers keep an answer of the directory. A dead
	// instance is left out of the answers after about a second, and callers
	// have the new answer as much later.
	addressTTL = 2 * time.Second
	// maxAddresses is the most that callers take from an answer.
	maxAddresses = 64
	// fewAddresses is how many instances of the caller's data centre are
	// enough not to name others beside them.
	fewAddresses = 2
	// stopMargin is kept back of the time until the end by force.
	stopMargin = time.Second
	// endWait is how long the end waits for the parts of the process. Nothing
	// that they still do matters, and waiting for a call of the store once took
	// longer than the stop may.
	endWait = 200 * time.Millisecond
	// acceptPart is the part of the time until the end by force during which a
	// stopping instance still takes requests. By then callers have a newer
	// answer of the directory, but for those that keep an old one for longer;
	// what was taken has the other half to end in. Requests that were taken
	// until the end were cut off with their servers at work.
	acceptPart = 0.5
	// comeBackElsewhere is told to callers that still come after that: another
	// instance can serve them at once.
	comeBackElsewhere = 50 * time.Millisecond
	// lingerStep is how often a stopping instance looks whether it is idle.
	lingerStep = 100 * time.Millisecond
)

// serveHTTP serves a handler until the context ends.
func (e *Edge) serveHTTP(l net.Listener, h http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		return serve(ctx, l, &http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeoutFirst,
			ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug),
		})
	}
}

// serveCallers serves callers' requests.
func (e *Edge) serveCallers(ctx context.Context) error {
	return e.callers.Serve(ctx, e.ports.callers)
}

// newCallers returns the server of callers' connections.
func (e *Edge) newCallers() *pipeline.Server {
	s := &pipeline.Server{
		Handler: http.HandlerFunc(e.answerCaller), AllowConcurrent: e.repeatable, MaxPipelined: mostAhead,
		HeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	s.SetIdleTimeout(idleTimeoutFirst)
	return s
}

// repeatable reports whether a caller's request may run more than once.
func (e *Edge) repeatable(r *http.Request) bool {
	path, _, _ := strings.Cut(target(r), "?")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state.table == nil {
		return false
	}
	route := e.state.table.Route(r.Host, path)
	return route != nil && route.Kind.Repeatable()
}

func serve(ctx context.Context, l net.Listener, s *http.Server) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return errors.Wrap(err, "server")
}

// readyLocked reports whether callers should be sent here. The lock must be
// held.
func (e *Edge) readyLocked() bool {
	s := &e.state
	// The store may have told the configuration and not yet the servers. An
	// instance that took itself for ready then refused every request.
	_, serversKnown := s.servers.Version()
	return !e.stopping.Load() && s.table != nil && serversKnown && !s.configUnreadable && e.configAge(e.now()) < s.bounds.MaxKeyAge
}

// answerReady answers the platform.
func (e *Edge) answerReady(w http.ResponseWriter, r *http.Request) {
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

// answerDirectory tells a caller which addresses to use.
func (e *Edge) answerDirectory(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathResolve {
		http.NotFound(w, r)
		return
	}
	q := platform.DecodeQuestion(r)
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

// addressesFor names ready instances to a caller.
func (e *Edge) addressesFor(q platform.Question) []string {
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
		return first(d.inRegions(q, regions), maxAddresses)
	}
	return first(d.nearest(q), maxAddresses)
}

// stop ends the instance as planned: it is named to nobody any more and asks
// callers to go elsewhere with each answer; after a while it takes no more
// requests, and ends once it has finished those that it has.
func (e *Edge) stop() {
	e.stopping.Store(true)
	event.EdgeStopping.Log(e.log, slog.Int("connections", e.callers.OpenConnections()))
	start := e.now()
	grace := settings.Seconds(e.settings.Bounds.GraceS)
	e.mu.Lock()
	e.announceReadiness()
	e.mu.Unlock()
	for e.now()-start < time.Duration(acceptPart*float64(grace)) {
		time.Sleep(lingerStep)
	}
	e.closing.Store(true)
	e.callers.CloseIdle()
	for e.callers.InFlight() > 0 && e.now()-start < grace-stopMargin {
		time.Sleep(lingerStep)
	}
	event.EdgeStopped.Log(e.log, slog.Int64("cut", e.callers.InFlight()))
}
