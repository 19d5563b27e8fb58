package standin

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// relistenInterval is the time between two attempts to listen on the port again.
const relistenInterval = 20 * time.Millisecond

// connPolicy says which connection faults are active. Changed is closed when the
// policy changes.
type connPolicy struct {
	refuseConnections bool
	stopReading       bool
	changed           <-chan struct{}
}

// faultListener is a listener that can refuse connections and whose connections
// can stop reading.
type faultListener struct {
	policy    func() connPolicy
	capture   *rawCapture
	address   net.Addr
	closed    chan struct{}
	closeOnce sync.Once
	accepted  chan net.Conn
	done      chan struct{}
}

// listenWithFaults listens on address, "ip:port", whenever the policy does not
// refuse connections.
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

// run opens and closes the inner listener according to the policy. The operating
// system refuses connections only if the listener is closed.
func (l *faultListener) run(inner net.Listener) {
	defer close(l.done)
	for {
		policy := l.policy()
		if policy.refuseConnections && inner != nil {
			_ = inner.Close()
			inner = nil
		}
		if !policy.refuseConnections && inner == nil {
			inner = l.relisten()
		}
		stopped := l.startAcceptLoop(inner)
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

// startAcceptLoop starts passing connections to Accept until the inner listener's
// deadline expires or it is closed. The returned channel is closed then.
func (l *faultListener) startAcceptLoop(inner net.Listener) <-chan struct{} {
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

// stopAccepting ends the accept loop with a deadline in the past, which leaves
// the inner listener open.
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

// faultConn is a connection that can stop reading. It captures what it reads.
type faultConn struct {
	net.Conn
	policy    func() connPolicy
	capture   *connCapture
	closeOnce sync.Once
	closed    chan struct{}
	// deadlineChanged makes a waiting Read check readDeadline again.
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

// SetReadDeadline implements net.Conn. It must also end a Read that waits because
// of stopReading: the HTTP server aborts a pending Read by a deadline in the past
// and waits until Read returns.
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

// waitReadable waits until reading is allowed, the read deadline expires or the
// connection is closed.
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

// untilDeadline returns the time until the read deadline and whether there is one.
func (c *faultConn) untilDeadline() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readDeadline.IsZero() {
		return 0, false
	}
	return time.Until(c.readDeadline), true
}

// waitForChange waits until the policy or the deadline changes or the deadline
// expires. It returns false if the connection was closed.
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
