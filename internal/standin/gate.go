package standin

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// relistenPause is the time between two tries to take a port again.
const relistenPause = 20 * time.Millisecond

// gates says what connections may do now, and when that changes.
type gates struct {
	refuse      bool
	stopReading bool
	changed     <-chan struct{}
}

// gatedListener is a listener that can refuse connections and whose
// connections can stop reading.
type gatedListener struct {
	gates   func() gates
	raw     *rawLog
	address net.Addr
	closed  chan struct{}
	once    sync.Once
	conns   chan net.Conn
	done    chan struct{}
}

// listenGated listens on address ("ip:port") while gates allows it.
func listenGated(address string, gates func() gates, raw *rawLog) (*gatedListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	l := &gatedListener{
		gates:   gates,
		raw:     raw,
		address: inner.Addr(),
		closed:  make(chan struct{}),
		conns:   make(chan net.Conn),
		done:    make(chan struct{}),
	}
	go l.run(inner)
	return l, nil
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return l.wrap(conn), nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *gatedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	<-l.done
	return nil
}

// Addr implements net.Listener.
func (l *gatedListener) Addr() net.Addr { return l.address }

// run opens and closes the inner listener as the gates say. Only a closed
// listener makes the system refuse connections.
func (l *gatedListener) run(inner net.Listener) {
	defer close(l.done)
	for {
		g := l.gates()
		if g.refuse && inner != nil {
			_ = inner.Close()
			inner = nil
		}
		if !g.refuse && inner == nil {
			inner = l.listenAgain()
		}
		accepted := l.acceptFrom(inner)
		select {
		case <-g.changed:
			l.stopAccepting(inner, accepted)
		case <-l.closed:
			if inner != nil {
				_ = inner.Close()
			}
			<-accepted
			return
		}
	}
}

// acceptFrom hands over connections until the listener's deadline or end.
// The channel returned is closed then.
func (l *gatedListener) acceptFrom(inner net.Listener) <-chan struct{} {
	ended := make(chan struct{})
	if inner == nil {
		close(ended)
		return ended
	}
	_ = inner.(*net.TCPListener).SetDeadline(time.Time{})
	go func() {
		defer close(ended)
		for {
			conn, err := inner.Accept()
			if err != nil {
				return
			}
			select {
			case l.conns <- conn:
			case <-l.closed:
				_ = conn.Close()
			}
		}
	}()
	return ended
}

func (l *gatedListener) stopAccepting(inner net.Listener, accepted <-chan struct{}) {
	if inner != nil {
		_ = inner.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	}
	<-accepted
}

func (l *gatedListener) listenAgain() net.Listener {
	for {
		inner, err := net.Listen("tcp", l.address.String())
		if err == nil {
			return inner
		}
		select {
		case <-l.closed:
			return nil
		case <-time.After(relistenPause):
		}
	}
}

func (l *gatedListener) wrap(conn net.Conn) net.Conn {
	return &gatedConn{
		Conn:   conn,
		gates:  l.gates,
		raw:    &rawStream{log: l.raw},
		closed: make(chan struct{}),
		wake:   make(chan struct{}, 1),
	}
}

// gatedConn is a connection that can stop reading. It keeps what it reads.
type gatedConn struct {
	net.Conn
	gates  func() gates
	raw    *rawStream
	once   sync.Once
	closed chan struct{}
	// wake ends a wait of Read after a change of the deadline.
	wake chan struct{}

	mu       sync.Mutex
	deadline time.Time
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	if err := c.waitReadable(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.raw.received(p[:n])
	return n, err
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. The HTTP server ends a pending read
// by a deadline in the past, and waits for it.
func (c *gatedConn) SetReadDeadline(t time.Time) error {
	c.setDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *gatedConn) SetDeadline(t time.Time) error {
	c.setDeadline(t)
	return c.Conn.SetDeadline(t)
}

func (c *gatedConn) setDeadline(t time.Time) {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *gatedConn) waitReadable() error {
	for {
		g := c.gates()
		if !g.stopReading {
			return nil
		}
		left, bounded := c.left()
		if bounded && left <= 0 {
			return os.ErrDeadlineExceeded
		}
		if !c.waitChange(g.changed, left, bounded) {
			return net.ErrClosed
		}
	}
}

// left returns the time until the read deadline, if there is one.
func (c *gatedConn) left() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		return 0, false
	}
	return time.Until(c.deadline), true
}

// waitChange returns false if the connection was closed.
func (c *gatedConn) waitChange(changed <-chan struct{}, left time.Duration, bounded bool) bool {
	var expired <-chan time.Time
	if bounded {
		timer := time.NewTimer(left)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
	case <-c.wake:
	case <-expired:
	case <-c.closed:
		return false
	}
	return true
}
