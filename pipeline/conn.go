package pipeline

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"foxtailspoke/httphead"
)

const (
	// maxDiscardBytes is how many unread bytes of a request body are discarded
	// to keep the connection; if more are left, it is closed.
	maxDiscardBytes = 256 << 10
	// lingerTimeout is how long a connection is still read while it is being
	// closed, after the last byte. A close with unread bytes resets the
	// connection, and the caller may lose the last response.
	lingerTimeout = 500 * time.Millisecond
	// maxLinger bounds the reading of a connection that is being closed: a caller
	// that sends a long body at 10 Mbit/s has sent 6 MB by then.
	maxLinger = 5 * time.Second
)

// conn is the connection of a caller.
type conn struct {
	server *Server
	net    net.Conn
	in     *httphead.Reader
	out    *bufio.Writer
	// progress writes for out.
	progress *progressWriter

	// ctx ends with the reading of requests. Each request has a context of its own, which
	// lasts until its response is written.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is signalled when responses were written or the connection ended.
	changed sync.Cond
	// queue holds the started requests in order until their responses are
	// written.
	queue []*exchange
	// reading means that a request has begun to arrive.
	reading bool
	// closing means that no further request is started: the connection closes
	// with the response to the last request already started.
	closing bool
	// closed means that no further response is started.
	closed bool
	// writing means that the first response of the queue is being written, without
	// the lock.
	writing bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, net: nc, in: httphead.NewReader(nc)}
	c.progress = &progressWriter{conn: nc, timeout: s.WriteTimeout, start: time.Now()}
	c.out = bufio.NewWriter(c.progress)
	c.changed.L = &c.mu
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the connection ends or a response closes it.
func (c *conn) serve() {
	defer c.server.untrack(c)
	defer c.close()
	for c.awaitQueueSlot() {
		r, held, err := c.read()
		if err != nil {
			c.rejectRequest(err)
			return
		}
		concurrent := r.Body == http.NoBody && c.server.AllowConcurrent != nil && c.server.AllowConcurrent(r)
		x := c.start(r, concurrent, held)
		if x == nil {
			c.server.releaseHead(held)
			return
		}
		if !c.awaitBody(x) {
			return
		}
	}
}

// awaitQueueSlot waits until another request may be read, and reports whether
// the connection is still open.
func (c *conn) awaitQueueSlot() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= max(c.server.MaxPipelined, 1) && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// abandon records that the caller disconnected or no longer reads, and cancels
// the requests that aren't answered. The others hold their responses, which finish
// and close release.
func (c *conn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked()
	c.changed.Broadcast()
}

// endLocked ends the connection for its reader and cancels the requests that
// aren't answered. The lock must be held.
func (c *conn) endLocked() {
	c.closed = true
	c.cancel()
	for _, x := range c.queue {
		if !x.done {
			x.cancel()
		}
	}
}

// awaitResponses waits until all earlier requests are answered, and reports
// whether the connection is still open.
func (c *conn) awaitResponses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// start runs the handler for a request, or returns nil if the connection ends
// first. A request that may not run concurrently waits for the earlier ones: if
// one of their responses closes the connection, the request counts as not read,
// so its caller may resend it whether or not it is idempotent.
func (c *conn) start(r *http.Request, concurrent bool, held int) *exchange {
	if !concurrent && !c.awaitResponsesOrDisconnect() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		// The requests already started are answered; the last response closes
		// the connection.
		for len(c.queue) > 0 && !c.closed {
			c.changed.Wait()
		}
		return nil
	}
	if c.closed {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &exchange{
		conn: c, request: r.WithContext(ctx), isHead: r.Method == http.MethodHead, held: held, cancel: cancel,
		header: make(http.Header), bodyDone: make(chan struct{}),
	}
	x.wrapBody(concurrent)
	c.queue = append(c.queue, x)
	c.server.inFlight.Add(1)
	go x.run()
	return x
}

// awaitResponsesOrDisconnect is awaitResponses for a request whose body, if
// any, is still unread. It reads ahead meanwhile, up to the size of the buffer:
// otherwise a disconnect would go unnoticed, and servers would work for a
// caller that has left.
func (c *conn) awaitResponsesOrDisconnect() bool {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		c.watchDisconnect()
	}()
	open := c.awaitResponses()
	// Interrupts the read-ahead, which must not run concurrently with the
	// handler's reads.
	_ = c.net.SetReadDeadline(time.Now())
	<-watched
	_ = c.net.SetReadDeadline(time.Time{})
	return open
}

// watchDisconnect reads ahead until the caller disconnects, the buffer is full
// or it is interrupted.
func (c *conn) watchDisconnect() {
	for n := c.in.Buffered() + 1; n <= c.in.Size(); n = c.in.Buffered() + 1 {
		_, err := c.in.Peek(n)
		if isTimeout(err) {
			return
		}
		if err != nil {
			c.abandon()
			return
		}
	}
}

// awaitBody waits until the body of a request has been read, so that the next
// request can be, and reports whether the connection is still open.
func (c *conn) awaitBody(x *exchange) bool {
	select {
	case <-x.bodyDone:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// writeReady writes the responses that are next in order, unless another
// goroutine does. A response that closes the connection does so only after every
// started request is answered: otherwise their callers could not know whether
// they have run.
func (c *conn) writeReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return
	}
	for len(c.queue) > 0 && c.queue[0].done && !c.closed {
		x := c.queue[0]
		c.closing = c.closing || x.closes
		err := c.writeUnlocked(x, c.closing && len(c.queue) == 1)
		c.finish(x)
		if err != nil || (c.closing && len(c.queue) == 0) {
			c.endLocked()
			// Wakes the reader, which may be waiting for the next request.
			_ = c.net.SetReadDeadline(time.Now())
		}
	}
	if idle := time.Duration(c.server.idle.Load()); idle > 0 && len(c.queue) == 0 && !c.reading && !c.closed {
		_ = c.net.SetReadDeadline(time.Now().Add(idle))
	}
	c.changed.Broadcast()
}

// writeUnlocked writes a response without holding the lock, so that a caller that
// reads slowly blocks nothing but its own responses. No request is started
// meanwhile if the response closes the connection, as closing is set.
func (c *conn) writeUnlocked(x *exchange, closes bool) error {
	c.writing = true
	c.mu.Unlock()
	err := x.write(closes)
	if isTimeout(err) {
		c.cutOff()
	}
	c.mu.Lock()
	c.writing = false
	return err
}

// finish removes the response that was written from the queue, unless close has.
func (c *conn) finish(x *exchange) {
	if len(c.queue) > 0 && c.queue[0] == x {
		c.queue = c.queue[1:]
		c.server.inFlight.Add(-1)
	}
	x.cancel()
}

// cutOff resets the connection of a caller that doesn't read. A normal close would
// leave the unsent bytes in the kernel's buffer.
func (c *conn) cutOff() {
	if l, ok := c.net.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.net.Close()
	if c.server.OnCutOff != nil {
		c.server.OnCutOff(c.net.RemoteAddr().String())
	}
}

// awaitedRequests returns the number of started requests whose responses the
// caller can still receive: none if it has accepted nothing for stallAfter.
func (c *conn) awaitedRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing && c.progress.idleFor() >= stallAfter {
		return 0
	}
	return len(c.queue)
}

// closeIfIdle closes the connection unless it has a request.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.reading {
		c.closed = true
		c.cancel()
		_ = c.net.Close()
	}
}

// closeUnlessBusy closes the connection unless it has a request, and reports whether it did. The
// head of one may have begun to arrive.
func (c *conn) closeUnlessBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return false
	}
	c.endLocked()
	_ = c.net.Close()
	return true
}

// closeUnlessRunning closes the connection if the body of its only request is still arriving, and
// reports whether it did.
func (c *conn) closeUnlessRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) != 1 || c.queue[0].done || isClosed(c.queue[0].bodyDone) {
		return false
	}
	c.endLocked()
	c.changed.Broadcast()
	_ = c.net.Close()
	return true
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// abort ends the connection at once, also if a response is being written.
func (c *conn) abort() {
	_ = c.net.Close()
	c.abandon()
}

// close ends the connection once the response that is being written is complete,
// and after reading and discarding, for a short time, what the caller still sends.
func (c *conn) close() {
	c.mu.Lock()
	c.endLocked()
	for c.writing {
		c.changed.Wait()
	}
	for _, x := range c.queue {
		x.cancel()
	}
	c.server.inFlight.Add(-int64(len(c.queue)))
	c.queue = nil
	c.changed.Broadcast()
	c.mu.Unlock()
	if tcp, ok := c.net.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		c.discardInput()
	}
	_ = c.net.Close()
}

// discardInput reads until the caller has sent nothing for lingerTimeout, or closes.
func (c *conn) discardInput() {
	b := make([]byte, 4<<10)
	var err error
	for end := time.Now().Add(maxLinger); err == nil && time.Now().Before(end); {
		_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, err = c.net.Read(b)
	}
}
