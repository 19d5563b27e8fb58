// Package upstream sends one attempt of a request to one backend server.
//
// It keeps its own connections instead of net/http's transport, because that
// repeats a request by itself when a kept connection dies, and can't read past
// an answer that belongs to an earlier request. Here nothing is ever sent
// twice, and a request counts as not sent only if no byte of it was written.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection. A packet that opens one and is
	// lost is sent again after a second; another server is asked before.
	dialTimeout = 300 * time.Millisecond
	// idleDefault is how long a connection is kept if the server doesn't say.
	idleDefault = 4 * time.Second
	// idleMargin is taken off what the server says, so that a request isn't
	// under way while the server closes.
	idleMargin = time.Second
	// unacknowledged is how long sent bytes may stay without a sign of having
	// arrived. Connections may go silent without a reset; this ends them.
	unacknowledged = 2 * time.Second
	// maxIdle bounds the connections kept to one server.
	maxIdle = 4
	// restMost is how long a connection may have rested when a request is sent
	// on it that can't be repeated. Some servers forget idle connections without
	// notice, as early as after 0.3 s, and reset whatever comes next on them; an
	// order would be lost where a new connection costs a millisecond.
	restMost = 200 * time.Millisecond
)

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	opened uint64
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*conn)} }

// ConnectionsOpened is how many connections were opened.
func (p *Pool) ConnectionsOpened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	// kept is when it was last used, and expires when the server may close it.
	kept    time.Time
	expires time.Time
}

// get returns a kept connection that is still good, or a new one.
func (p *Pool) get(ctx context.Context, address string, once bool) (*conn, error) {
	for {
		c := p.take(address, once)
		if c == nil {
			return p.dial(ctx, address)
		}
		if time.Now().Before(c.expires) && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
}

// take returns the connection that was used last. One that has rested for too
// long is left for requests that can be repeated.
func (p *Pool) take(address string, once bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if once && time.Since(c.kept) > restMost {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "new connection")
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	limitSilence(nc)
	return &conn{Conn: nc, reader: bufio.NewReader(nc)}, nil
}

// limitSilence makes the kernel end a connection whose peer acknowledges
// nothing. Without it, a request on a connection that went silent would hang
// until its own timeout.
func limitSilence(nc net.Conn) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	// A kernel without the option leaves the request's own timeout in charge.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
}

// put keeps a connection for the next request.
func (p *Pool) put(address string, c *conn, h http.Header) {
	c.kept = time.Now()
	c.expires = c.kept.Add(keepFor(h))
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(p.idle[address], c)
	if len(list) > maxIdle {
		// The one that has rested longest is the likeliest to be dead.
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[address] = list
}

// CloseIdle closes the kept connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// keepFor is how long the server keeps an idle connection by its word.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			d := time.Duration(s) * time.Second
			return max(d-idleMargin, d/2)
		}
	}
	return idleDefault
}

// quiet reports that nothing has arrived on an idle connection. What has
// arrived is its end, or bytes that belong to no request: either way the next
// request on it could be lost.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = rerr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
