package standin

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
)

// dialTimeout bounds making the connection behind a link.
const dialTimeout = 2 * time.Second

// Flow is what a direction of a link does with bytes.
type Flow string

const (
	// FlowOpen lets bytes through; so does the empty string.
	FlowOpen Flow = "open"
	// FlowCut holds bytes, and the end of a connection, without a sign to
	// either side.
	FlowCut Flow = "cut"
)

// LinkState is the state of a link's two directions. Forward is from the
// side that connects to the side that is connected to.
type LinkState struct {
	Forward  Flow `json:"forward"`
	Backward Flow `json:"backward"`
	// ForwardDelay and BackwardDelay are the latencies of the directions,
	// like "10ms".
	ForwardDelay  config.Duration `json:"forwardDelay"`
	BackwardDelay config.Duration `json:"backwardDelay"`
}

func (s LinkState) validate() error {
	for _, f := range []Flow{s.Forward, s.Backward} {
		if f != "" && f != FlowOpen && f != FlowCut {
			return errors.Newf("%q is neither open nor cut", f)
		}
	}
	if s.ForwardDelay < 0 || s.BackwardDelay < 0 {
		return errors.New("a delay can't be negative")
	}
	return nil
}

// bothOpen reports whether both directions are open. No TCP connection can be
// made otherwise.
func (s LinkState) bothOpen() bool {
	return s.Forward != FlowCut && s.Backward != FlowCut
}

// LinkOptions of one link.
type LinkOptions struct {
	Name string `json:"name"`
	// Listen is "ip:port"; empty means DefaultListen.
	Listen string `json:"listen"`
	// Target is where connections go: "ip:port".
	Target string `json:"to"`
}

// Link is a running TCP relay whose directions can be cut and delayed
// independently.
//
// While a direction is cut, bytes in it wait, up to a bound, and go on when
// it is restored. A connection that is made while either direction is cut
// reaches the relay only: its other half is made after the link is restored.
type Link struct {
	options  LinkOptions
	log      *slog.Logger
	state    *faultSwitch[LinkState]
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[*relayedConn]struct{}
}

// StartLink starts a link. Close ends it.
func StartLink(o LinkOptions, log *slog.Logger) (*Link, error) {
	listener, err := net.Listen("tcp", orDefault(o.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "link %s", o.Name)
	}
	l := &Link{
		options:  o,
		log:      logOr(log),
		state:    newFaultSwitch(LinkState.validate, func(LinkState) {}),
		listener: listener,
		conns:    make(map[*relayedConn]struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.wg.Go(l.accept)
	return l, nil
}

// Address takes the connections: "ip:port".
func (l *Link) Address() string { return l.listener.Addr().String() }

// State returns the state of the directions.
func (l *Link) State() LinkState {
	s, _ := l.state.get()
	return s
}

// SetState changes the state of the directions.
func (l *Link) SetState(s LinkState) error {
	return l.state.update(func(current *LinkState) error {
		*current = s
		return nil
	})
}

// ResetConnections resets the connections that are open, on both sides. New ones can be
// made at once.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.wg.Wait()
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.relay(conn.(*net.TCPConn)) })
	}
}

func (l *Link) relay(client *net.TCPConn) {
	defer client.Close()
	if !l.awaitState(LinkState.bothOpen, nil) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(l.ctx, "tcp", l.options.Target)
	if err != nil {
		l.log.Debug("link can't connect", "link", l.options.Name, "error", err)
		_ = client.SetLinger(0)
		return
	}
	target := conn.(*net.TCPConn)
	defer target.Close()
	stop := context.AfterFunc(l.ctx, func() {
		_ = client.Close()
		_ = target.Close()
	})
	defer stop()
	relayed := newRelayedConn(l, client, target)
	l.addConn(relayed)
	defer l.removeConn(relayed)
	relayed.run()
}

func (l *Link) addConn(c *relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *Link) removeConn(c *relayedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// awaitState waits until the state is as wanted. It returns false if the
// link was closed or the channel was, if there is one.
func (l *Link) awaitState(accept func(LinkState) bool, abort <-chan struct{}) bool {
	for {
		s, changed := l.state.get()
		if accept(s) {
			return true
		}
		select {
		case <-changed:
		case <-abort:
			return false
		case <-l.ctx.Done():
			return false
		}
	}
}
