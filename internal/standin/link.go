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

// dialTimeout is the timeout for connecting a link to its target.
const dialTimeout = 2 * time.Second

// Flow says whether a direction of a link delivers bytes.
type Flow string

const (
	// FlowOpen delivers bytes; so does the empty string.
	FlowOpen Flow = "open"
	// FlowCut holds back bytes and the end of the stream in a buffer; neither
	// side gets an error or an EOF.
	FlowCut Flow = "cut"
)

// LinkState is the state of a link's two directions. Forward is from the
// client to the target, Backward from the target to the client.
type LinkState struct {
	Forward  Flow `json:"forward"`
	Backward Flow `json:"backward"`
	// ForwardDelay and BackwardDelay are the latencies added to the
	// directions, such as "10ms".
	ForwardDelay  config.Duration `json:"forwardDelay"`
	BackwardDelay config.Duration `json:"backwardDelay"`
}

func (s LinkState) validate() error {
	for _, f := range []Flow{s.Forward, s.Backward} {
		if f != "" && f != FlowOpen && f != FlowCut {
			return errors.Newf("invalid flow %q: must be open or cut", f)
		}
	}
	if s.ForwardDelay < 0 || s.BackwardDelay < 0 {
		return errors.New("forwardDelay and backwardDelay must not be negative")
	}
	return nil
}

// bothOpen reports whether both directions are open, which a TCP handshake
// needs.
func (s LinkState) bothOpen() bool {
	return s.Forward != FlowCut && s.Backward != FlowCut
}

// LinkOptions configures one link.
type LinkOptions struct {
	Name string `json:"name"`
	// ListenAddress is the address to listen on, "ip:port"; empty means
	// DefaultListenAddress.
	ListenAddress string `json:"listen"`
	// Target is the address that connections are relayed to: "ip:port".
	Target string `json:"to"`
	// KeepSource has the target see the client's IP address, which must be one of this
	// machine.
	KeepSource bool `json:"keepSource"`
}

// Link is a running TCP relay whose directions can be cut and delayed
// independently.
//
// While a direction is cut, the relay buffers a bounded number of its bytes
// and delivers them when the direction is restored. A connection that is opened
// while either direction is cut is accepted by the relay, which connects to the
// target only once both directions are open.
type Link struct {
	options  LinkOptions
	log      *slog.Logger
	state    *faultStore[LinkState]
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[*relayedConn]struct{}
}

// StartLink starts a link. Close stops it.
func StartLink(o LinkOptions, log *slog.Logger) (*Link, error) {
	listener, err := net.Listen("tcp", listenAddressOrDefault(o.ListenAddress))
	if err != nil {
		return nil, errors.Wrapf(err, "start link %s", o.Name)
	}
	l := &Link{
		options:  o,
		log:      loggerOrDiscard(log),
		state:    newFaultStore(LinkState.validate, func(LinkState) {}),
		listener: listener,
		conns:    make(map[*relayedConn]struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.wg.Go(l.acceptLoop)
	return l, nil
}

// Address returns the address that the link listens on: "ip:port".
func (l *Link) Address() string { return l.listener.Addr().String() }

// State returns the state of both directions.
func (l *Link) State() LinkState {
	s, _ := l.state.get()
	return s
}

// SetState replaces the state of both directions.
func (l *Link) SetState(s LinkState) error {
	return l.state.update(func(current *LinkState) error {
		*current = s
		return nil
	})
}

// ResetConnections sends a TCP reset to both sides of every connection that has
// reached the target. New connections can be opened at once.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

// Close stops the link and closes its connections.
func (l *Link) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.wg.Wait()
}

func (l *Link) acceptLoop() {
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
	if !l.waitForState(LinkState.bothOpen, nil) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	if l.options.KeepSource {
		dialer.LocalAddr = &net.TCPAddr{IP: client.RemoteAddr().(*net.TCPAddr).IP}
	}
	conn, err := dialer.DialContext(l.ctx, "tcp", l.options.Target)
	if err != nil {
		l.log.Debug("link failed to connect to its target", "link", l.options.Name, "error", err)
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

// waitForState waits for a state for which matches returns true. It returns false
// if the link or abort is closed first; abort may be nil.
func (l *Link) waitForState(matches func(LinkState) bool, abort <-chan struct{}) bool {
	for {
		s, changed := l.state.get()
		if matches(s) {
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
