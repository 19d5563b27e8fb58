// Package pipeline serves HTTP/1.1 connections with pipelined requests.
//
// A caller pipelines several lookups on one connection, each of which may take
// a backend server up to seconds. net/http serves them one after the other, so
// that the last waits for unrelated work. It also does not detect a disconnect
// meanwhile, because the unread pipelined requests precede the end of the
// connection.
//
// This package keeps reading a connection while its requests are processed.
// Repeatable requests without a body run concurrently, up to MaxPipelined of
// them; any other request runs alone, once all earlier ones are answered.
// Responses are written in the order of the requests. No request that may not
// be repeated is started behind a response that closes the connection, and an
// instance that stops answers every started request before it closes the
// connection.
//
// Use a Server with a Handler, and call Serve with a listener. Requests are
// parsed by net/http. Responses are buffered as a whole until their turn, so
// that the package suits handlers with responses of bounded size.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/httphead"
)

// Server serves the connections of callers. Its fields must not change after
// Serve is called.
type Server struct {
	Handler http.Handler
	// AllowConcurrent reports whether a request without a body may run
	// concurrently with others on its connection. If nil, requests run one at a
	// time.
	AllowConcurrent func(*http.Request) bool
	// MaxPipelined is the number of requests of a connection that may be in
	// progress or waiting for their turn to be answered; at least 1.
	MaxPipelined int
	// HeaderTimeout bounds the reading of a request's headers from the first
	// byte, unless SetHeaderLimits was called.
	HeaderTimeout time.Duration
	// MaxHeaderBytes bounds the size of a request's head, likewise.
	MaxHeaderBytes int
	// HeadMemory counts the memory of the requests' heads, from their arrival until
	// their handlers return. A request whose head doesn't fit is answered with 503.
	// nil means no bound.
	HeadMemory httphead.Memory
	// OnHeadRefused, if not nil, is called with the address of each caller that got
	// that response.
	OnHeadRefused func(remoteAddr string)
	// WriteTimeout is the time after which a caller that neither accepts nor
	// acknowledges any byte of the response being written is disconnected. 0 disables
	// the timeout.
	WriteTimeout time.Duration
	// OnCutOff, if not nil, is called with the address of each caller that was
	// disconnected for that.
	OnCutOff func(remoteAddr string)

	// MaxConnections bounds the open connections; 0 means no bound. While it is reached, a
	// new connection takes the place of the one that needs it least, see connections.evict.
	MaxConnections int
	// OnEvicted, if not nil, is called with the address of each caller whose connection was
	// closed for another one, or not accepted.
	OnEvicted func(remoteAddr string)

	limits   atomic.Pointer[headerLimits]
	idle     atomic.Int64
	inFlight atomic.Int64

	mu     sync.Mutex
	conns  connections
	closed bool
}

// SetIdleTimeout sets how long a connection may stay without a request. It
// applies to connections that become idle from now on; 0 disables the timeout.
func (s *Server) SetIdleTimeout(d time.Duration) { s.idle.Store(int64(d)) }

type headerLimits struct {
	maxBytes int
	timeout  time.Duration
}

// SetHeaderLimits replaces MaxHeaderBytes and HeaderTimeout for requests that begin to
// arrive from now on.
func (s *Server) SetHeaderLimits(maxBytes int, timeout time.Duration) {
	s.limits.Store(&headerLimits{maxBytes, timeout})
}

func (s *Server) headerLimits() (maxBytes int, timeout time.Duration) {
	if l := s.limits.Load(); l != nil {
		return l.maxBytes, l.timeout
	}
	return s.MaxHeaderBytes, s.HeaderTimeout
}

func (s *Server) reserveHead(n int) bool { return s.HeadMemory == nil || s.HeadMemory.Reserve(n) }

func (s *Server) releaseHead(n int) {
	if s.HeadMemory != nil {
		s.HeadMemory.Release(n)
	}
}

func (s *Server) notifyHeadRefused(remoteAddr string) {
	if s.OnHeadRefused != nil {
		s.OnHeadRefused(remoteAddr)
	}
}

// InFlight returns the number of requests that were read and are not yet
// answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// AwaitedRequests returns the number of requests in progress, without those of
// callers that have not accepted anything of their responses for a second. A
// graceful shutdown waits for these requests.
func (s *Server) AwaitedRequests() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns.all {
		n += c.awaitedRequests()
	}
	return n
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns.all)
}

// Serve serves the connections of a listener until the context ends, which
// closes the listener and all connections at once.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeAll()
	})
	defer stop()
	for {
		nc, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = nc.Close()
			}
			return ctx.Err()
		}
		if isTemporary(err) {
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		c := newConn(s, nc)
		accepted, evicted := s.track(c)
		if evicted != nil {
			s.notifyEvicted(evicted)
		}
		if !accepted {
			_ = nc.Close()
			continue
		}
		go c.serve()
	}
}

// acceptRetryDelay is the delay after a failed accept. The usual cause is that
// all file descriptors are in use.
const acceptRetryDelay = 5 * time.Millisecond

func isTemporary(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && !errors.Is(err, net.ErrClosed)
}

// CloseIdle closes the connections without a request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns.all {
		c.closeIfIdle()
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns.all {
		c.abort()
	}
}

// track adds a connection. It returns the one that is closed for lack of room, if any: another
// one, or c itself, which isn't accepted then, as after closeAll.
func (s *Server) track(c *conn) (accepted bool, evicted *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false, nil
	}
	if s.MaxConnections > 0 && len(s.conns.all) >= s.MaxConnections {
		if evicted = s.conns.evict(); evicted == nil {
			return false, c
		}
	}
	s.conns.add(c)
	return true, evicted
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.remove(c)
}

// touch records that a request of a connection was answered.
func (s *Server) touch(c *conn) {
	if s.MaxConnections == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns.touch(c)
}

func (s *Server) notifyEvicted(c *conn) {
	if s.OnEvicted != nil {
		s.OnEvicted(c.net.RemoteAddr().String())
	}
}
