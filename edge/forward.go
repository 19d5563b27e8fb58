package edge

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/backoff"
	"foxtailspoke/discovery"
	"foxtailspoke/event"
	"foxtailspoke/mechanism"
	"foxtailspoke/memory"
	"foxtailspoke/pipeline"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
	"foxtailspoke/reach"
	"foxtailspoke/upstream"
)

// Headers between an instance and the one that forwards its request. Requests are
// forwarded by HTTP, not net/rpc: closing the connection must cancel the request at the
// backend server.
const (
	// headerForwardTo is the address of the backend server.
	headerForwardTo = "Foxtailspoke-Forward-To"
	// headerForwardOutcome names the upstream.Outcome of the attempt at the server. The
	// response is the server's if it was completed.
	headerForwardOutcome = "Foxtailspoke-Forward-Outcome"
	// headerForwardServerEnded is set if the server's process ended during the attempt.
	headerForwardServerEnded = "Foxtailspoke-Forward-Server-Ended"
)

// forwardingHeaderBytes is what the headers of a forwarded request may have in addition to those
// of the caller: some of the instance's own.
const forwardingHeaderBytes = 4 << 10

// connectTimeout bounds the opening of a connection to a server if another instance can
// forward the request instead. It is far above a round trip between data centres of a
// region, and far below the latency targets of callers.
const connectTimeout = 150 * time.Millisecond

// outcomeDeclined is the outcome of a request that the forwarder could send, but must not.
const outcomeDeclined = "declined"

// outcomeNoMemory is the outcome of a request whose response didn't fit into the forwarder's
// memory. It is no evidence about the server, which may have run the request.
const outcomeNoMemory = "no-memory"

// errDeclined is the cause of an attempt that forwarders declined. It is no evidence about the
// server.
var errDeclined = errors.New("forwarding instance must not send requests to the server now")

// errNoOutcome is the cause of a forwarded attempt whose response names no outcome.
var errNoOutcome = errors.New("forwarding instance gave no outcome")

// sendToServer sends a request to the chosen server and returns the response and the time of
// sending. Where no connection to the server can be opened, other instances forward the
// request: nothing of it has been sent then. A hedge uses a new connection, as kept ones may
// hang for the same reason as that of the late attempt.
func (e *Edge) sendToServer(ctx context.Context, c *call, choice placement.Choice, hedge bool) (upstream.Response, time.Duration) {
	address, sentAt := choice.Server.Address, e.now()
	direct, forwardable := e.chooseWay(address)
	request := e.upstreamRequest(c, choice)
	request.NewConnection, request.KeptConnectionOnly = hedge && direct, !direct
	if forwardable {
		request.ConnectTimeout = connectTimeout
	}
	resp := e.pool.Do(ctx, address, request)
	e.countBytesSent(purposeRequests, choice.Server.DataCentre, resp.BytesSent)
	if resp.Outcome != upstream.NotSent || !forwardable {
		return resp, sentAt
	}
	forwarders := e.forwarders(c)
	if len(forwarders) == 0 && !direct {
		request.KeptConnectionOnly = false
		resp = e.pool.Do(ctx, address, request)
		e.countBytesSent(purposeRequests, choice.Server.DataCentre, resp.BytesSent)
		return resp, sentAt
	}
	declined := false
	for _, f := range forwarders {
		if ctx.Err() != nil {
			break
		}
		sentAt = e.now()
		request := e.upstreamRequest(c, choice)
		request.NewConnection = hedge
		forwarded := e.forward(ctx, f.ID, address, request)
		e.metrics.forwarded.WithLabelValues(forwarded.Outcome.String()).Inc()
		if forwarded.Outcome != upstream.NotSent {
			return forwarded, sentAt
		}
		declined = declined || errors.Is(forwarded.Err, errDeclined)
		resp.Err = errors.CombineErrors(resp.Err, forwarded.Err)
	}
	if declined {
		resp.Err = errors.Mark(resp.Err, errDeclined)
	}
	return resp, sentAt
}

// chooseWay reports whether to try to connect to a server, and whether other instances may
// forward requests to it.
func (e *Edge) chooseWay(address string) (direct, forwardable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	forwardable = e.mechanisms.Enabled(mechanism.Forwarding) && !e.state.messenger.Fleet().Isolated()
	return !forwardable || e.isDirectLocked(address), forwardable
}

// isDirect reports whether requests to a server are sent directly. One that isn't reached
// is tried in the background from time to time.
func (e *Edge) isDirect(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isDirectLocked(address)
}

func (e *Edge) isDirectLocked(address string) bool {
	if e.state.reach.IsDirect(address) {
		return true
	}
	if e.state.reach.ProbeDue(address, e.now()) {
		go e.pool.Connect(context.Background(), address)
	}
	return false
}

// forwarders returns the instances that may forward a request now, the best one first.
func (e *Edge) forwarders(c *call) []reach.Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	allowed, restricted := e.topology.AllowedDataCentres(c.route, c.workspace)
	var peers []reach.Peer
	for id, m := range e.state.messenger.Fleet().All() {
		if m.Alive && !m.Leaving && !m.Stopping && !m.Partitioned && (!restricted || allowed[m.DataCentre]) {
			peers = append(peers, reach.Peer{ID: id, DataCentre: m.DataCentre})
		}
	}
	return reach.ChooseForwarders(peers, e.settings.DataCentre, rand.Float64)
}

// forward has another instance send a request to a server.
func (e *Edge) forward(ctx context.Context, peer uint32, address string, r upstream.Request) upstream.Response {
	r.Header.Set(headerForwardTo, address)
	// The peer's end isn't the server's.
	r.DetectEnd = false
	to := addrPort(peer, e.forwardingPort).String()
	resp := e.peerPool.Do(ctx, to, r)
	e.countBytesSent(purposeForwarded, e.peerDataCentre(to), resp.BytesSent)
	if resp.Outcome != upstream.Completed {
		return resp
	}
	return attemptOf(resp, addrPort(peer, 0).Addr())
}

// attemptOf returns the response to the attempt that another instance has made, by its response to the
// forwarded request.
func attemptOf(resp upstream.Response, peer netip.Addr) upstream.Response {
	outcome := resp.Header.Get(headerForwardOutcome)
	resp.Header.Del(headerForwardOutcome)
	switch outcome {
	case upstream.Completed.String():
		return resp
	case outcomeDeclined:
		return upstream.Response{Outcome: upstream.NotSent, Err: errors.Wrapf(errDeclined, "forwarded by %s", peer)}
	case outcomeNoMemory:
		return upstream.Response{Outcome: upstream.Broken, Err: errors.Wrapf(upstream.ErrNoBodyMemory, "forwarded by %s", peer)}
	}
	if outcome == "" && resp.Status == http.StatusServiceUnavailable {
		// The instance had no memory for the head, and its handler didn't see the request.
		return upstream.Response{Outcome: upstream.NotSent, Err: errors.Wrapf(errDeclined, "no memory for the headers at %s", peer)}
	}
	for _, o := range []upstream.Outcome{upstream.NotSent, upstream.TimedOut, upstream.Broken} {
		if outcome == o.String() {
			return upstream.Response{
				Outcome: o, Err: errors.Newf("forwarded by %s: %s", peer, resp.Body),
				ServerEnded: resp.Header.Get(headerForwardServerEnded) != "",
			}
		}
	}
	return upstream.Response{Outcome: upstream.Broken, Err: errNoOutcome}
}

// serveForwarding serves the requests that other instances can't send themselves.
func (e *Edge) serveForwarding(ctx context.Context) error {
	return e.forwardingServer.Serve(ctx, e.ports.forwarding)
}

// newForwardingServer returns the server for other instances' requests.
func (e *Edge) newForwardingServer() *pipeline.Server {
	s := e.newServer(e.handleForwarded, forwardingShare)
	s.MaxHeaderBytes += forwardingHeaderBytes
	return s
}

// handleForwarded sends a request of another instance to a backend server. All decisions
// about it are the other instance's.
func (e *Edge) handleForwarded(w http.ResponseWriter, r *http.Request) {
	e.forwarding.Add(1)
	defer e.forwarding.Add(-1)
	address := r.Header.Get(headerForwardTo)
	server, ok := e.forwardTarget(r.RemoteAddr, address, r.Header.Get(platform.HeaderExpectInstance))
	if !ok {
		writeForwardFailure(w, upstream.NotSent.String(), "not a server or not an instance that requests are forwarded for")
		return
	}
	if e.backsOff(server) {
		writeForwardFailure(w, outcomeDeclined, "server has asked for no requests for some time")
		return
	}
	ctx := r.Context()
	left := platform.Deadline(r.Header)
	if left > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	if left > 0 && r.ContentLength != 0 {
		// A sender that loses power closes no connection; its bodies would hold their memory
		// for minutes.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(left))
	}
	direct := e.isDirect(address)
	held := e.heldBy(r.Header.Get(platform.HeaderWorkspace), memory.Request)
	body, reserved, err := upstream.ReadBody(r.Body, r.ContentLength, maxBodyBytes, held)
	defer func() { held.Release(reserved) }()
	if errors.Is(err, upstream.ErrNoBodyMemory) {
		writeForwardFailure(w, outcomeDeclined, "no memory for the body")
		return
	}
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.String("peer", r.RemoteAddr), slog.Any("error", err))
		writeForwardFailure(w, upstream.NotSent.String(), "request body incomplete")
		return
	}
	h := withoutHopByHop(r.Header)
	h.Del(headerForwardTo)
	resp := e.pool.Do(ctx, address, upstream.Request{
		Method: r.Method, Target: requestTarget(r), Host: r.Host, Header: h, Body: body,
		IDHeader: platform.HeaderAttempt, ID: r.Header.Get(platform.HeaderAttempt),
		// Whether it may be repeated is the sender's knowledge.
		NonIdempotent: true,
		// The sender tries another instance sooner than a connection would time out here.
		KeptConnectionOnly: !direct, ConnectTimeout: connectTimeout, DetectEnd: true, Lifetime: r.Context(),
		Memory: e.heldBy(r.Header.Get(platform.HeaderWorkspace), memory.Response),
	})
	e.countBytesSent(purposeRequests, server.DataCentre, resp.BytesSent)
	e.applyNotices(server, resp)
	if resp.ServerEnded {
		w.Header().Set(headerForwardServerEnded, "1")
	}
	if resp.Outcome == upstream.Broken && errors.Is(resp.Err, upstream.ErrNoBodyMemory) {
		writeForwardFailure(w, outcomeNoMemory, resp.Err.Error())
		return
	}
	if resp.Outcome != upstream.Completed {
		writeForwardFailure(w, resp.Outcome.String(), resp.Err.Error())
		return
	}
	e.countBytesSent(purposeForwarded, e.peerDataCentre(r.RemoteAddr), len(resp.Body))
	writeForwarded(w, r.Method, resp)
}

// forwardTarget returns the server to forward a request to. ok is false if the sender isn't an
// instance, or the server isn't one that this instance knows and that accepts requests.
func (e *Edge) forwardTarget(sender, address, id string) (server discovery.Server, ok bool) {
	from, err := netip.ParseAddrPort(sender)
	if err != nil {
		return discovery.Server{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.state.messenger.Fleet().All()[ipv4Number(from.Addr())]; !known {
		return discovery.Server{}, false
	}
	server, known := e.state.placer.Server(placement.Hash(id))
	return server, known && server.ID == id && server.Address == address && !server.Draining
}

// backsOff reports whether a server has asked this instance for no requests for some time.
func (e *Edge) backsOff(server discovery.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.backoffs.Remaining(backoff.Run{ID: server.ID, StartTimeMS: server.StartTimeMS}, e.now()) > 0
}

// applyNotices applies what a server's response to a forwarded request asks of the instance that
// sent it. The other instance publishes the evidence about the server's health and load.
func (e *Edge) applyNotices(server discovery.Server, resp upstream.Response) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := &attempt{choice: placement.Choice{Server: server}, answer: resp, result: classify(resp)}
	e.updateBackoff(a, e.now())
	e.updateLeaving(a, e.now())
}

func writeForwarded(w http.ResponseWriter, method string, resp upstream.Response) {
	h := w.Header()
	for name, values := range withoutHopByHop(resp.Header) {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		// net/http would add those that the server left out.
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	h.Set(headerForwardOutcome, resp.Outcome.String())
	if method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	w.WriteHeader(resp.Status)
	// A write error means that the other instance has cancelled the request.
	_, _ = w.Write(resp.Body)
}

func writeForwardFailure(w http.ResponseWriter, outcome, cause string) {
	w.Header().Set(headerForwardOutcome, outcome)
	w.WriteHeader(http.StatusBadGateway)
	// A write error means that the other instance has cancelled the request.
	_, _ = io.WriteString(w, cause)
}

// dialPeer opens a connection from this instance's own address, by which the others
// identify it.
func (e *Edge) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: addrPort(e.self, 0).Addr().AsSlice()}}
	return d.DialContext(ctx, "tcp4", address)
}
