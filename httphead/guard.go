package httphead

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Guard bounds the memory of the heads that an http.Server parses. A head that doesn't fit is answered
// with 503 by the Guard, and its connection is closed.
type Guard struct {
	// MaxBytes is the size up to which the server accepts heads. Timeout bounds the arrival of one from
	// its first byte.
	MaxBytes int
	Timeout  time.Duration
	// Memory counts a head from its arrival until the next request of its connection, or the end of that.
	Memory Memory
	// Header is added to the responses of the Guard.
	Header http.Header
}

const (
	// initialBytes is the initial size of the buffer of a head.
	initialBytes = 4 << 10
	// serverBufferBytes is the size of the buffer that the server reads a connection into.
	serverBufferBytes = 4 << 10
)

// Serve serves the connections of a listener like s.Serve. It replaces s.ConnState.
func (g *Guard) Serve(s *http.Server, l net.Listener) error {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded, ok := c.(*guardedConn); ok {
			guarded.setState(state)
		}
	}
	return s.Serve(guardedListener{l, g})
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l guardedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: c, guard: l.guard}, nil
}

// guardedConn passes the head of a request on when it is complete. The server calls Read from one
// goroutine at a time, and setState from that which parses the heads.
type guardedConn struct {
	net.Conn
	guard *Guard
	// awaitsHead means that what is read next is the rest of a head.
	awaitsHead bool
	// ahead has what was read and not passed on, of which the first ready bytes may be.
	ahead []byte
	ready int
	// held is the memory reserved for the head of the request in progress.
	held int
}

// setState follows the states of the server's connections: a head is awaited between two requests.
func (c *guardedConn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.awaitsHead = false
		return
	case http.StateNew, http.StateIdle:
		// What was passed on while a request was in progress may begin the next head.
		c.awaitsHead, c.ready = true, 0
	case http.StateClosed, http.StateHijacked:
	}
	release(c.guard.Memory, c.held)
	c.held = 0
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	if !c.awaitsHead {
		return c.readBody(b)
	}
	if c.ready == 0 {
		if err := c.awaitHead(); err != nil {
			return 0, err
		}
	}
	return c.take(b[:min(len(b), c.ready)]), nil
}

// readBody reads while a request is in progress. What the server reads into its buffer ends with the first
// line, so that it holds no more than one line of a head that follows the body. A handler that reads past
// the buffer gets no more than the body.
func (c *guardedConn) readBody(b []byte) (int, error) {
	buffered := len(b) <= serverBufferBytes
	if len(c.ahead) > 0 {
		if buffered {
			b = b[:min(len(b), firstLine(c.ahead))]
		}
		return c.take(b), nil
	}
	n, err := c.Conn.Read(b)
	if end := firstLine(b[:n]); buffered && end < n {
		c.ahead, n = bytes.Clone(b[end:n]), end
	}
	return n, err
}

// firstLine returns the size of the first line of b, with its end.
func firstLine(b []byte) int {
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return i + 1
	}
	return len(b)
}

// take returns bytes that were read before.
func (c *guardedConn) take(b []byte) int {
	n := copy(b, c.ahead)
	c.ahead, c.ready = c.ahead[n:], max(c.ready-n, 0)
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n
}

// awaitHead reads a whole head and reserves its memory.
func (c *guardedConn) awaitHead() error {
	var s scanner
	buffered := 0
	defer func() { release(c.guard.Memory, buffered) }()
	timed := false
	for {
		if done, err := s.scan(c.ahead, c.guard.MaxBytes); done {
			break
		} else if err != nil {
			// The server reads as much and answers that it is too large.
			s.head.Bytes = len(c.ahead)
			break
		}
		if len(c.ahead) == cap(c.ahead) {
			size := max(2*cap(c.ahead), initialBytes)
			if !c.guard.Memory.Reserve(size) {
				return c.refuse()
			}
			release(c.guard.Memory, buffered)
			c.ahead, buffered = append(make([]byte, 0, size), c.ahead...), size
		}
		if len(c.ahead) > 0 && !timed {
			// Until the first byte the server's timeout for idle connections is in force.
			timed = true
			_ = c.SetReadDeadline(time.Now().Add(c.guard.Timeout))
		}
		n, err := c.Conn.Read(c.ahead[len(c.ahead):cap(c.ahead)])
		c.ahead = c.ahead[:len(c.ahead)+n]
		if err != nil {
			return err
		}
	}
	n := s.head.ParsedBytes()
	if !c.guard.Memory.Reserve(n) {
		return c.refuse()
	}
	c.held += n
	c.ready = s.head.Bytes
	return nil
}

// refuse answers a request that the server doesn't get to see, with 503. It returns io.EOF: the server
// closes a connection that ends between two requests.
func (c *guardedConn) refuse() error {
	h := c.guard.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h.Set("Connection", "close")
	h.Set("Content-Length", "0")
	h.Set("Retry-After", "1")
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	_ = h.Write(&b)
	b.WriteString("\r\n")
	_ = c.SetWriteDeadline(time.Now().Add(c.guard.Timeout))
	// A write error means that the caller has disconnected.
	_, _ = c.Conn.Write(b.Bytes())
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// If the server has read the beginning of the head, it would answer the rest with 400.
		_ = tcp.CloseWrite()
	}
	c.ahead, c.ready = nil, 0
	return io.EOF
}
