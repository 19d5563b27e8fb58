// Package peer exchanges messages between entry instances with net/rpc over TCP,
// on connections that are mutually authenticated with the fleet's shared secret.
//
// A single RPC method carries all messages; the packages that define them
// register their types with encoding/gob. A call that times out closes its
// connection, so that after a one-way network partition the next call opens a
// new connection instead of queueing on the broken one.
package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// method is the only RPC method of the protocol.
const method = "Peer.Call"

// ErrNoReply reports that a call ended without a reply. The peer may still have
// processed the request.
var ErrNoReply = errors.New("peer: no reply")

// Envelope wraps a message with the ID of its sender.
type Envelope struct {
	// From is the sender's instance ID.
	From string
	// Body is a message of a registered type.
	Body any
}

// Client calls other instances, using one connection per address.
type Client struct {
	self        string
	secret      []byte
	dialTimeout time.Duration

	mu     sync.Mutex
	conns  map[string]*peerConn
	closed bool
}

// peerConn is the connection to one address.
type peerConn struct {
	// dialing is a semaphore held by the call that dials; other calls wait for
	// it until their own deadlines.
	dialing chan struct{}

	mu       sync.Mutex
	client   *rpc.Client
	conn     *countingConn
	lastUsed time.Time
}

// NewClient returns a client for the instance with the ID self. dialTimeout
// covers both dialing and the handshake.
func NewClient(self string, secret []byte, dialTimeout time.Duration) *Client {
	return &Client{self: self, secret: secret, dialTimeout: dialTimeout, conns: map[string]*peerConn{}}
}

// Call sends body to the instance at address and waits for its reply until
// ctx ends. Every error is marked as ErrNoReply.
func (c *Client) Call(ctx context.Context, address string, body any) (any, error) {
	p, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	client, err := p.connect(ctx, c, address)
	if err != nil {
		return nil, errors.Mark(err, ErrNoReply)
	}
	var reply Envelope
	call := client.Go(method, &Envelope{From: c.self, Body: body}, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			return reply.Body, nil
		}
		var refused rpc.ServerError
		if !errors.As(call.Error, &refused) {
			p.drop(client)
		}
		return nil, errors.Mark(call.Error, ErrNoReply)
	case <-ctx.Done():
		p.drop(client)
		return nil, errors.Mark(ctx.Err(), ErrNoReply)
	}
}

// Traffic returns the numbers of bytes written to and read from all peers on
// the currently open connections.
func (c *Client) Traffic() (written, read uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.conns {
		p.mu.Lock()
		if p.conn != nil {
			written += p.conn.written.Load()
			read += p.conn.read.Load()
		}
		p.mu.Unlock()
	}
	return written, read
}

// CloseIdle closes the connections that have carried no call for the duration
// idle.
func (c *Client) CloseIdle(idle time.Duration) {
	limit := time.Now().Add(-idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.conns {
		p.mu.Lock()
		if p.lastUsed.Before(limit) {
			p.closeLocked()
			delete(c.conns, address)
		}
		p.mu.Unlock()
	}
}

// Close closes all connections; calls in progress fail with ErrNoReply.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.conns {
		p.mu.Lock()
		p.closeLocked()
		p.mu.Unlock()
	}
}

func (c *Client) conn(address string) (*peerConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Mark(net.ErrClosed, ErrNoReply)
	}
	p, ok := c.conns[address]
	if !ok {
		p = &peerConn{dialing: make(chan struct{}, 1), lastUsed: time.Now()}
		c.conns[address] = p
	}
	return p, nil
}

// connect returns the current RPC client, connecting first if there is none.
func (p *peerConn) connect(ctx context.Context, c *Client, address string) (*rpc.Client, error) {
	if client := p.current(); client != nil {
		return client, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if client := p.current(); client != nil {
		return client, nil
	}
	conn, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
	p.client = rpc.NewClient(conn)
	return p.client, nil
}

func (p *peerConn) current() *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = time.Now()
	return p.client
}

// open dials address and performs the handshake.
func (c *Client) open(ctx context.Context, address string) (*countingConn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	if err := clientHandshake(raw, c.secret, deadline); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &countingConn{Conn: raw}, nil
}

// drop closes the connection if client is still its current RPC client.
func (p *peerConn) drop(client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == client {
		p.closeLocked()
	}
}

func (p *peerConn) closeLocked() {
	if p.client == nil {
		return
	}
	_ = p.client.Close()
	p.client = nil
	p.conn = nil
}
