package attempt

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings of a Sender.
type Settings struct {
	// MaxBufferedBytes is how many bytes of an answer are held before the first
	// goes to the caller. Default 1 MiB.
	MaxBufferedBytes int64
	// ConnectTimeout bounds the making of a connection. Default 250 ms.
	ConnectTimeout time.Duration
	// IdleTimeout closes connections that carry nothing. Default 30 s.
	IdleTimeout time.Duration
	// ConnectionsPerServer bounds the connections to one address. Default 16.
	ConnectionsPerServer int
}

// NewSender returns a Sender.
func NewSender(s Settings) *Sender {
	dialer := net.Dialer{Timeout: s.ConnectTimeout}
	return &Sender{
		hold: s.MaxBufferedBytes,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: conn}, nil
			},
			DisableCompression:  true,
			IdleConnTimeout:     s.IdleTimeout,
			MaxConnsPerHost:     s.ConnectionsPerServer,
			MaxIdleConnsPerHost: s.ConnectionsPerServer,
		},
	}
}

// Close closes the idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// countingConn counts the bytes handed to the operating system. A byte counts
// before it is written, so that "none" is never wrong.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// gate is asked before the first byte of a request is written.
	gate atomic.Pointer[func() bool]
}

func (c *countingConn) Write(p []byte) (int, error) {
	if gate := c.gate.Swap(nil); gate != nil && !(*gate)() {
		return 0, errExpired
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// watch observes which connection a round trip used, and what it wrote.
type watch struct {
	mu     sync.Mutex
	conn   *countingConn
	before int64
	// unseen means that the connection's bytes can't be counted.
	unseen bool
	// valid says whether the decision to send still holds.
	valid func() bool
	// expired says that it didn't when the first byte was due.
	expired atomic.Bool
}

// errExpired keeps a request from being written.
var errExpired = errors.New("attempt: the decision to send it is too old")

// check is the gate of a connection for this round trip.
func (w *watch) check() bool {
	if w.valid() {
		return true
	}
	w.expired.Store(true)
	return false
}

func (w *watch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.conn != nil && w.conn.written.Load() > w.before {
			w.unseen = true
		}
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			w.unseen = true
			return
		}
		w.conn = conn
		w.before = conn.written.Load()
		if w.valid != nil {
			check := w.check
			conn.gate.Store(&check)
		}
	}}
}

func (w *watch) connected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn != nil || w.unseen
}

// wrote tells whether a byte of the request may have left.
func (w *watch) wrote() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unseen || (w.conn != nil && w.conn.written.Load() > w.before)
}
