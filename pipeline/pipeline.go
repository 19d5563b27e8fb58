// Package pipeline serves HTTP/1.1 connections on which callers may send
// requests ahead, before earlier ones have been answered.
//
// Load pattern: a caller sends several lookups ahead on one connection, each of
// which may take a backend server up to seconds. One after the other, as
// net/http serves them, the last waits for work that has nothing to do with
// it; and a caller that leaves meanwhile isn't noticed, because what it sent
// ahead lies unread before the end of its connection.
//
// Idea: a connection is read on while its requests are at work. Requests that
// may be repeated and have no body run beside each other, at most MostAhead of
// them; any other runs alone, once all before it are answered. Answers are
// written in the order of the requests. An answer that closes the connection
// is the last: nothing behind it has been started that may not be repeated,
// and an instance that stops finishes what it has started before it closes.
//
// Usage: a Server with a Handler, and Serve with a listener. Requests are
// parsed by net/http; answers are held whole until it is their turn, so that
// the package suits handlers with answers of bounded size.
package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Server serves callers' connections. Its fields must not change once it
// serves.
type Server struct {
	Handler http.Handler
	// AllowConcurrent reports whether a request without a body may run beside others
	// of its connection. All run alone if it is nil.
	AllowConcurrent func(*http.Request) bool
	// MaxPipelined is how many requests of a connection may be at work or wait
	// for their turn to be answered; at least 1.
	MaxPipelined int
	// HeaderTimeout bounds the reading of a request's headers, from their
	// first byte.
	HeaderTimeout time.Duration
	// MaxHeaderBytes bounds a request's headers.
	MaxHeaderBytes int64

	idle     atomic.Int64
	inFlight atomic.Int64

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
}

// SetIdleTimeout sets how long a connection may stay without a request. It holds for
// connections that become idle from now on; 0 sets no bound.
func (s *Server) SetIdleTimeout(d time.Duration) { s.idle.Store(int64(d)) }

// InFlight is the number of requests that were read and aren't answered yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// OpenConnections is the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
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
			return ctx.Err()
		}
		if isTemporary(err) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "accepting callers")
		}
		c := newConn(s, nc)
		if !s.track(c) {
			_ = nc.Close()
			return ctx.Err()
		}
		go c.serve()
	}
}

// acceptPause is the pause after a connection that couldn't be accepted, which
// as a rule means that all descriptors are in use.
const acceptPause = 5 * time.Millisecond

func isTemporary(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && !errors.Is(err, net.ErrClosed)
}

// CloseIdle closes the connections that have no request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.abort()
	}
}

func (s *Server) track(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
