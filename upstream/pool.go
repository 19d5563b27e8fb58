// Package upstream sends single attempts of requests to backend servers.
//
// It keeps its own connection pool instead of using net/http's transport, which
// resends a request by itself when a kept-alive connection dies, and cannot
// skip a response that belongs to an earlier request. Here nothing is ever sent
// twice, and a request counts as not sent only if no byte of it was written.
package upstream

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"foxtailspoke/httphead"
)

const (
	// dialTimeout bounds the opening of a connection. A lost SYN is
	// retransmitted after one second; the timeout is shorter, so that another
	// server is tried first.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept if the server sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the server's Keep-Alive timeout, so
	// that no request is in flight while the server closes the connection.
	idleTimeoutMargin = time.Second
	// tcpUserTimeout is how long sent bytes may stay unacknowledged.
	// Connections may go silent without a reset; this ends them.
	tcpUserTimeout = 2 * time.Second
	// longBodyUserTimeout replaces it while a body is sent that may fill the server's receive
	// buffer: for the kernel a server that doesn't read for a while is as silent as a broken path.
	longBodyUserTimeout = 30 * time.Second
	// maxIdlePerServer bounds the idle connections to a server.
	maxIdlePerServer = 4
	// maxIdleNonIdempotent is how long a connection may have been idle when a
	// request that cannot be repeated is sent on it. Some servers drop idle
	// connections without notice, as early as after 0.3 s, and reset whatever
	// arrives on them; the request would be lost, while a new connection costs
	// a millisecond.
	maxIdleNonIdempotent = 200 * time.Millisecond
)

// Pool keeps idle connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	dialer Dialer
	// onDial, if not nil, is called with the result of each attempt to open a
	// connection that wasn't cancelled.
	onDial func(address string, err error)
	memory poolMemory

	mu     sync.Mutex
	idle   map[string][]*conn
	opened uint64
	// open is the number of open connections, which maxOpen bounds unless it is 0.
	open, maxOpen int
}

// Dialer opens a TCP connection. The connection must implement syscall.Conn.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool whose connections are opened by dialer, or over the
// network if it is nil. onDial, if not nil, is called with the result of each attempt
// to open a connection, unless the attempt was cancelled.
func NewPool(dialer Dialer, onDial func(address string, err error)) *Pool {
	if dialer == nil {
		dialer = DialTCP
	}
	return &Pool{dialer: dialer, onDial: onDial, idle: make(map[string][]*conn)}
}

// DialTCP opens a connection over the network.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp4", address)
}

// SetMaxConnections bounds the open connections; 0 means no bound. At the bound an idle connection makes
// room for a new one. If there is none, an attempt ends with ErrTooManyConnections, and nothing is sent.
func (p *Pool) SetMaxConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = n
}

// ErrTooManyConnections is the cause of an attempt for which no connection may be opened. It is no
// evidence about the server.
var ErrTooManyConnections = errors.New("too many connections to backend servers")

// ConnectionsOpened returns the number of connections opened so far.
func (p *Pool) ConnectionsOpened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

type conn struct {
	net.Conn
	pool *Pool
	// closed makes sure that the connection is counted once.
	closed sync.Once
	// limit bounds what reader reads for the head or the body of a response.
	limit  *limiter
	reader *httphead.Reader
	memory *poolMemory
	// lastUsed is when the connection was last used, and expires when the
	// server may close it.
	lastUsed time.Time
	expires  time.Time
	// reused is set once the connection has carried a request.
	reused bool
}

// get returns a usable idle connection, or a new one.
func (p *Pool) get(ctx context.Context, address string, r Request) (*conn, error) {
	for {
		var c *conn
		if !r.NewConnection {
			c = p.take(address, r.NonIdempotent)
		}
		if c == nil && r.KeptConnectionOnly {
			return nil, ErrNoKeptConnection
		}
		if c == nil {
			return p.dial(ctx, address, cmp.Or(r.ConnectTimeout, dialTimeout))
		}
		if time.Now().Before(c.expires) && c.noPendingInput() {
			return c, nil
		}
		_ = c.Close()
	}
}

// ErrNoKeptConnection is the cause of an attempt that needed a kept connection.
var ErrNoKeptConnection = errors.New("no kept connection to backend server")

// Connect opens a connection and keeps it for a request. The result is reported like that
// of any other attempt to open one.
func (p *Pool) Connect(ctx context.Context, address string) {
	c, err := p.dial(ctx, address, dialTimeout)
	if err != nil {
		return
	}
	p.put(address, c, nil)
}

// take returns the most recently used idle connection. For a request that
// cannot be repeated it returns nil if that connection has been idle for too
// long; the connection stays in the pool for other requests.
func (p *Pool) take(address string, nonIdempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	if nonIdempotent && time.Since(c.lastUsed) > maxIdleNonIdempotent {
		return nil
	}
	p.idle[address] = conns[:len(conns)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	if !p.reserve() {
		return nil, ErrTooManyConnections
	}
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := p.dialer(dialCtx, address)
	if p.onDial != nil && (err == nil || ctx.Err() == nil) {
		p.onDial(address, err)
	}
	if err != nil {
		p.release()
		return nil, errors.Wrap(err, "dial backend server")
	}
	return p.newConn(nc), nil
}

// reserve counts a connection that is to be opened, and reports whether it may be. An idle connection is
// closed for it if need be.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	var idle *conn
	full := p.maxOpen > 0 && p.open >= p.maxOpen
	if full {
		idle = p.takeOldestLocked()
	}
	if !full || idle != nil {
		p.open++
	}
	p.mu.Unlock()
	if idle != nil {
		_ = idle.Close()
	}
	return !full || idle != nil
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// takeOldestLocked removes the connection that is idle for longest and returns it, nil if there is none.
func (p *Pool) takeOldestLocked() (oldest *conn) {
	from := ""
	for address, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].lastUsed.Before(oldest.lastUsed)) {
			oldest, from = conns[0], address
		}
	}
	if oldest != nil {
		p.idle[from] = p.idle[from][1:]
	}
	return oldest
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closed.Do(c.pool.release)
	return c.Conn.Close()
}

// newConn returns a connection that has just been opened and was reserved.
func (p *Pool) newConn(nc net.Conn) *conn {
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	setTCPUserTimeout(nc, tcpUserTimeout)
	limit := &limiter{r: nc}
	return &conn{Conn: nc, pool: p, limit: limit, reader: httphead.NewReader(limit), memory: &p.memory}
}

// setTCPUserTimeout makes the kernel end a connection whose peer acknowledges
// nothing. Without it, a request on a silent connection would hang until its
// own timeout.
func setTCPUserTimeout(nc net.Conn, d time.Duration) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return
	}
	// On a kernel without the option only the request's own timeout applies.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// put keeps a connection for the next request.
func (p *Pool) put(address string, c *conn, h http.Header) {
	c.lastUsed = time.Now()
	c.expires = c.lastUsed.Add(idleTimeout(h))
	if surplus := p.keep(address, c); surplus != nil {
		_ = surplus.Close()
	}
}

// keep adds a connection to the idle ones, and returns the one that is to be closed, nil if none.
func (p *Pool) keep(address string, c *conn) (surplus *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := append(p.idle[address], c)
	if len(conns) > maxIdlePerServer {
		// The connection idle for longest is the likeliest to be dead.
		surplus, conns = conns[0], conns[1:]
	}
	p.idle[address] = conns
	return surplus
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseAllIdle closes the idle connections to all addresses.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	all := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, conns := range all {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// idleTimeout returns how long an idle connection may be kept according to the
// server's Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			d := time.Duration(s) * time.Second
			return max(d-idleTimeoutMargin, d/2)
		}
	}
	return defaultIdleTimeout
}

// noPendingInput reports whether nothing has arrived on an idle connection.
// Pending input is the end of the connection or bytes that belong to no
// request; in both cases the next request on it could be lost.
func (c *conn) noPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noInput = rerr == unix.EAGAIN
		return true
	})
	return err == nil && noInput
}
