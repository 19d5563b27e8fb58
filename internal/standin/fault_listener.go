package standin

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// relistenInterval is the time between two tries to take a port again.
const relistenInterval = 20 * time.Millisecond

// connPolicy says what connections may do now, and when that changes.
type connPolicy struct {
	refuse      bool
	stopReading bool
	changed     <-chan struct{}
}

// faultListener is a listener that can refuse connections and whose
// connections can stop reading.
type faultListener struct {
	policy    func() connPolicy
	capture   *rawCapture
	address   net.Addr
	closed    chan struct{}
	closeOnce sync.Once
	accepted  chan net.Conn
	done      chan struct{}
}

// listenWithFaults listens on address ("ip:port") while gates allows it.
func listenWithFaults(address string, policy func() connPolicy, capture *rawCapture) (*faultListener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	l := &faultListener{
		policy:   policy,
		capture:  capture,
		address:  inner.Addr(),
		closed:   make(chan struct{}),
		accepted: make(chan net.Conn),
		done:     make(chan struct{}),
	}
	go l.run(inner)
	return l, nil
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return l.wrapConn(conn), nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *faultListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	<-l.done
	return nil
}

// Addr implements net.Listener.
func (l *faultListener) Addr() net.Addr { return l.address }

// run opens and closes the inner listener as the gates say. Only a closed
// listener makes the system refuse connections.
func (l *faultListener) run(inner net.Listener) {
	defer close(l.done)
	for {
		policy := l.policy()
		if policy.refuse && inner != nil {
			_ = inner.Close()
			inner = nil
		}
		if !policy.refuse && inner == nil {
			inner = l.relisten()
		}
		stopped := l.acceptLoop(inner)
		select {
		case <-policy.changed:
			l.stopAccepting(inner, stopped)
		case <-l.closed:
			if inner != nil {
				_ = inner.Close()
			}
			<-stopped
			return
		}
	}
}

// acceptLoop hands over connections until the listener's deadline or end.
// The channel returned is closed then.
func (l *faultListener) acceptLoop(inner net.Listener) <-chan struct{} {
	stopped := make(chan struct{})
	if inner == nil {
		close(stopped)
		return stopped
	}
	_ = inner.(*net.TCPListener).SetDeadline(time.Time{})
	go func() {
		defer close(stopped)
		for {
			conn, err := inner.Accept()
			if err != nil {
				return
			}
			select {
			case l.accepted <- conn:
			case <-l.closed:
				_ = conn.Close()
			}
		}
	}()
	return stopped
}

func (l *faultListener) stopAccepting(inner net.Listener, stopped <-chan struct{}) {
	if inner != nil {
		_ = inner.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	}
	<-stopped
}

func (l *faultListener) relisten() net.Listener {
	for {
		inner, err := net.Listen("tcp", l.address.String())
		if err == nil {
			return inner
		}
		select {
		case <-l.closed:
			return nil
		case <-time.After(relistenInterval):
		}
	}
}

func (l *faultListener) wrapConn(conn net.Conn) net.Conn {
	return &faultConn{
		Conn:            conn,
		policy:          l.policy,
		capture:         &connCapture{capture: l.capture},
		closed:          make(chan struct{}),
		deadlineChanged: make(chan struct{}, 1),
	}
}

// faultConn is a connection that can stop reading. It keeps what it reads.
type faultConn struct {
	net.Conn
	policy    func() connPolicy
	capture   *connCapture
	closeOnce sync.Once
	closed    chan struct{}
	// deadlineChanged ends a wait of Read after a change of the deadline.
	deadlineChanged chan struct{}

	mu           sync.Mutex
	readDeadline time.Time
}

// Read implements net.Conn.
func (c *faultConn) Read(p []byte) (int, error) {
	if err := c.waitReadable(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.capture.addReceived(p[:n])
	return n, err
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. The HTTP server ends a pending read
// by a deadline in the past, and waits for it.
func (c *faultConn) SetReadDeadline(t time.Time) error {
	c.setDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *faultConn) SetDeadline(t time.Time) error {
	c.setDeadline(t)
	return c.Conn.SetDeadline(t)
}

func (c *faultConn) setDeadline(t time.Time) {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	select {
	case c.deadlineChanged <- struct{}{}:
	default:
	}
}

func (c *faultConn) waitReadable() error {
	for {
		policy := c.policy()
		if !policy.stopReading {
			return nil
		}
		remaining, hasDeadline := c.untilDeadline()
		if hasDeadline && remaining <= 0 {
			return os.ErrDeadlineExceeded
		}
		if !c.waitForChange(policy.changed, remaining, hasDeadline) {
			return net.ErrClosed
		}
	}
}

// untilDeadline returns the time until the read deadline, if there is one.
func (c *faultConn) untilDeadline() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readDeadline.IsZero() {
		return 0, false
	}
	return time.Until(c.readDeadline), true
}

// waitForChange returns false if the connection was closed.
func (c *faultConn) waitForChange(changed <-chan struct{}, remaining time.Duration, hasDeadline bool) bool {
	var expired <-chan time.Time
	if hasDeadline {
		timer := time.NewTimer(remaining)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
	case <-c.deadlineChanged:
	case <-expired:
	case <-c.closed:
		return false
	}
	return true
}
