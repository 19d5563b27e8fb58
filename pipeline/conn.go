package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// unreadMost is how many bytes of a body that the handler left are read,
	// so that the connection can be kept; above that it is closed.
	unreadMost = 256 << 10
	// lingerFor is how long a connection that is being closed is read on. A
	// close with unread bytes resets the connection, and the caller may lose
	// the last answer.
	lingerFor = 500 * time.Millisecond
)

// conn is one caller's connection.
type conn struct {
	server *Server
	net    net.Conn
	// limit counts down the bytes that a request's headers may still take.
	limit *io.LimitedReader
	in    *bufio.Reader
	out   *bufio.Writer

	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is told when answers were written.
	changed sync.Cond
	// queue holds the requests that were read, in order, until each is answered.
	queue []*exchange
	// reading says that a request has begun to arrive.
	reading bool
	// last says that no further request is started: an answer closes the
	// connection once those that were started are answered.
	last bool
	// ended says that nothing more is written.
	ended bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, net: nc, limit: &io.LimitedReader{R: nc}}
	c.in, c.out = bufio.NewReader(c.limit), bufio.NewWriter(nc)
	c.changed.L = &c.mu
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the connection ends or an answer closes it.
func (c *conn) serve() {
	defer c.server.forget(c)
	defer c.close()
	for c.awaitRoom() {
		r, err := c.read()
		if err != nil {
			c.refuse(err)
			return
		}
		beside := r.Body == http.NoBody && c.server.AllowConcurrent != nil && c.server.AllowConcurrent(r)
		x := c.start(r, beside)
		if x == nil {
			return
		}
		if !c.finishBody(x) {
			return
		}
	}
}

// awaitRoom waits until one more request may be read.
func (c *conn) awaitRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= max(c.server.MaxPipelined, 1) && !c.ended {
		c.changed.Wait()
	}
	return !c.ended
}

// read reads the next request's headers. Without a request in progress the
// connection is idle until its first byte. While one is, the wait for the first
// byte also notices that the caller leaves.
func (c *conn) read() (*http.Request, error) {
	c.limit.N = c.server.MaxHeaderBytes
	if err := c.awaitByte(); err != nil {
		return nil, errors.Mark(err, errCallerLeft)
	}
	deadline := time.Now().Add(c.server.HeaderTimeout)
	_ = c.net.SetReadDeadline(deadline)
	r, err := http.ReadRequest(c.in)
	switch {
	case err != nil && !time.Now().Before(deadline):
		// A line that ends at the deadline is reported as malformed.
		return nil, errSlow
	case err != nil && c.limit.N <= 0:
		return nil, errTooLong
	case err != nil:
		return nil, err
	}
	_ = c.net.SetReadDeadline(time.Time{})
	c.limit.N = 1<<63 - 1
	r.RemoteAddr = c.net.RemoteAddr().String()
	return r, check(r)
}

func (c *conn) awaitByte() error {
	c.mu.Lock()
	c.reading = false
	deadline := time.Time{}
	if idle := time.Duration(c.server.idle.Load()); idle > 0 && len(c.queue) == 0 {
		deadline = time.Now().Add(idle)
	}
	_ = c.net.SetReadDeadline(deadline)
	c.mu.Unlock()
	_, err := c.in.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = err == nil
	return err
}

// Errors of reading. Those without a status end the connection unanswered.
var (
	errCallerLeft = errors.New("the caller left or was idle for too long")
	errSlow       = errors.New("the headers took too long")
	errTooLong    = errors.New("the headers are too long")
)

// check refuses what net/http parses and its own server refuses.
func check(r *http.Request) error {
	if len(r.Header["Host"]) > 1 || (r.ProtoAtLeast(1, 1) && r.Host == "") || !httpguts.ValidHostHeader(r.Host) {
		return errors.New("no valid host")
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
				return errors.Newf("header %q isn't valid", name)
			}
		}
	}
	return nil
}

// refuse answers what couldn't be read as a request, behind the answers that
// are due before, and ends the connection.
func (c *conn) refuse(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errCallerLeft), errors.Is(err, io.ErrUnexpectedEOF):
		c.leave()
		return
	case errors.Is(err, errSlow):
		// The caller is slow in sending one request; what it sent ahead of
		// that is answered.
		c.awaitAnswers()
		return
	case errors.Is(err, errTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case strings.Contains(err.Error(), "transfer encoding"):
		status = http.StatusNotImplemented
	}
	if !c.awaitAnswers() {
		return
	}
	x := &exchange{conn: c, header: make(http.Header), status: status, closes: true}
	x.header.Set("Content-Type", "text/plain; charset=utf-8")
	x.body.WriteString(http.StatusText(status) + "\n")
	_ = x.write(true)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// leave notes that the caller is gone or reads no more: what is at work for it
// is cancelled.
func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.cancel()
	c.changed.Broadcast()
}

// awaitAnswers waits until all requests before are answered, and reports
// whether the connection goes on.
func (c *conn) awaitAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 && !c.ended {
		c.changed.Wait()
	}
	return !c.ended
}

// start hands a request to the handler, or returns nil if the connection ends
// before it. One that may not run beside others waits for those before it: if
// one of their answers closes the connection, it counts as not read and is sent
// again by its caller, whatever it does.
func (c *conn) start(r *http.Request, beside bool) *exchange {
	if !beside && !c.awaitAnswersOrLeave() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last {
		// Those that were started are answered first; the last of them closes.
		for len(c.queue) > 0 && !c.ended {
			c.changed.Wait()
		}
		return nil
	}
	if c.ended {
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	x := &exchange{conn: c, request: r.WithContext(ctx), cancel: cancel, header: make(http.Header), bodyDone: make(chan struct{})}
	x.takeBody(beside)
	c.queue = append(c.queue, x)
	c.server.inFlight.Add(1)
	go x.run()
	return x
}

// awaitAnswersOrLeave is awaitAnswers for a request whose body, if it has one,
// still lies unread. It reads ahead meanwhile, as far as the buffer goes: with
// nobody reading, the end of the connection wouldn't be noticed, and servers
// would work on for a caller that has left.
func (c *conn) awaitAnswersOrLeave() bool {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		c.watch()
	}()
	goesOn := c.awaitAnswers()
	// Interrupts the watch, which must not read while the handler does.
	_ = c.net.SetReadDeadline(time.Now())
	<-watched
	_ = c.net.SetReadDeadline(time.Time{})
	return goesOn
}

// watch reads ahead until the caller leaves, the buffer is full or it is
// interrupted.
func (c *conn) watch() {
	for n := c.in.Buffered() + 1; n <= c.in.Size(); n = c.in.Buffered() + 1 {
		_, err := c.in.Peek(n)
		if isTimeout(err) {
			return
		}
		if err != nil {
			c.leave()
			return
		}
	}
}

// finishBody waits until a request's body has been read, so that the next one
// can be, and reports whether the connection goes on.
func (c *conn) finishBody(x *exchange) bool {
	select {
	case <-x.bodyDone:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// answered writes the answers whose turn it is. An answer that asks to close
// the connection does so only once every request that was started is answered:
// their callers couldn't know whether they have run.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 && c.queue[0].done && !c.ended {
		x := c.queue[0]
		c.last = c.last || x.closes
		err := x.write(c.last && len(c.queue) == 1)
		c.queue = c.queue[1:]
		c.server.inFlight.Add(-1)
		if err != nil || (c.last && len(c.queue) == 0) {
			c.ended = true
			c.cancel()
			// The reader may be waiting for the next request.
			_ = c.net.SetReadDeadline(time.Now())
		}
	}
	if idle := time.Duration(c.server.idle.Load()); idle > 0 && len(c.queue) == 0 && !c.reading && !c.ended {
		_ = c.net.SetReadDeadline(time.Now().Add(idle))
	}
	c.changed.Broadcast()
}

// closeIfIdle closes the connection unless it has a request.
func (c *conn) closeIfIdle() {
	if !c.mu.TryLock() {
		// An answer is being written.
		return
	}
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.reading {
		c.ended = true
		c.cancel()
		_ = c.net.Close()
	}
}

// abort ends the connection at once. It is closed first: an answer that a slow
// caller doesn't read holds the lock.
func (c *conn) abort() {
	_ = c.net.Close()
	c.leave()
}

// close ends the connection, after a moment in which what the caller still
// sends is read.
func (c *conn) close() {
	c.mu.Lock()
	c.ended = true
	c.cancel()
	c.server.inFlight.Add(-int64(len(c.queue)))
	c.queue = nil
	c.changed.Broadcast()
	c.mu.Unlock()
	if tcp, ok := c.net.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = c.net.SetReadDeadline(time.Now().Add(lingerFor))
		_, _ = io.Copy(io.Discard, c.net)
	}
	_ = c.net.Close()
}
