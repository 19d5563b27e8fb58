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

// Settings configures a Sender.
type Settings struct {
	// MaxBufferedBytes is how much of a response body is buffered before its
	// first byte is relayed to the caller. Default 1 MiB.
	MaxBufferedBytes int64
	// ConnectTimeout bounds the time to establish a connection. Default 250 ms.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open. Default 30 s.
	IdleTimeout time.Duration
	// ConnectionsPerServer is the maximum number of connections to one address.
	// Default 16.
	ConnectionsPerServer int
}

// maxResponseHeadBytes bounds the headers of a backend server's response.
const maxResponseHeadBytes = 64 << 10

func NewSender(s Settings) *Sender {
	dialer := net.Dialer{Timeout: s.ConnectTimeout}
	return &Sender{
		maxBufferedBytes: s.MaxBufferedBytes,
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

			MaxResponseHeaderBytes: maxResponseHeadBytes,
		},
	}
}

// Close closes the idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// countingConn counts the bytes passed to the operating system. Bytes are
// counted before they are written, so a count of zero proves that nothing was
// sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// beforeWrite is called before the first byte of a request is written; if it
	// returns false, the write fails.
	beforeWrite atomic.Pointer[func() bool]
}

func (c *countingConn) Write(p []byte) (int, error) {
	if allowed := c.beforeWrite.Swap(nil); allowed != nil && !(*allowed)() {
		return 0, errExpired
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// connTracker records which connection a round trip used and whether it wrote to
// it.
type connTracker struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
	// untracked means that the written bytes cannot be counted.
	untracked bool
	// valid reports whether the decision to send is still valid.
	valid func() bool
	// expired means that the decision was no longer valid when the first byte
	// was to be written.
	expired atomic.Bool
}

// errExpired aborts the write of a request whose decision is no longer valid.
var errExpired = errors.New("attempt: decision to send is no longer valid")

// checkValid is the beforeWrite function of the connection for this round trip.
func (t *connTracker) checkValid() bool {
	if t.valid() {
		return true
	}
	t.expired.Store(true)
	return false
}

func (t *connTracker) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.conn != nil && t.conn.written.Load() > t.writtenBefore {
			t.untracked = true
		}
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			t.untracked = true
			return
		}
		t.conn = conn
		t.writtenBefore = conn.written.Load()
		if t.valid != nil {
			check := t.checkValid
			conn.beforeWrite.Store(&check)
		}
	}}
}

func (t *connTracker) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil || t.untracked
}

// wrote reports whether a byte of the request may have been sent.
func (t *connTracker) wrote() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.untracked || (t.conn != nil && t.conn.written.Load() > t.writtenBefore)
}
