package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/httphead"
)

// Request is a request to a backend server. The headers are sent unchanged.
type Request struct {
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader is the response header that identifies the request, and ID its
	// value.
	IDHeader string
	ID       string
	// NonIdempotent means that the request cannot be sent again if its
	// connection turns out to be dead.
	NonIdempotent bool
	// ConnectTimeout bounds the opening of a connection; 0 means dialTimeout.
	ConnectTimeout time.Duration
	// NewConnection means that no kept connection is to be used.
	NewConnection bool
	// KeptConnectionOnly means that no connection is to be opened for the request.
	KeptConnectionOnly bool
	// Lifetime ends when the body of the response is no longer needed; nil means at once. A
	// long body counts against the memory of all long ones until then.
	Lifetime context.Context
	// Memory counts the body of the response; nil means the memory that the pool's long
	// bodies share.
	Memory BodyMemory
	// DetectEnd means to find out whether the server's process has ended if its connection
	// ends without a response.
	DetectEnd bool
}

// Outcome tells how an attempt ended.
type Outcome int

const (
	// Completed: a complete response was received.
	Completed Outcome = iota
	// NotSent: no byte was written, so the server cannot have run the request.
	NotSent
	// Broken: the connection or the response broke off, or the response was not
	// for this request. The server may have run it.
	Broken
	// TimedOut: no response until the deadline. The server may have run it.
	TimedOut
	// Cancelled by the context. The server may have run it.
	Cancelled
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"completed", "not-sent", "broken", "timed-out", "cancelled"}[o]
}

// Response is the result of an attempt.
type Response struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	// Err is the cause of an outcome other than Completed.
	Err error
	// Reused reports that the request was sent on a kept connection.
	Reused bool
	// ServerEnded reports that the server's process ended before the response was complete;
	// see Request.DetectEnd.
	ServerEnded bool
	// BytesSent is the number of bytes of the request that were written.
	BytesSent int
	// endsWithConnection means that the body has no length: the end of the connection is its end.
	endsWithConnection bool
}

const (
	// maxStrayResponses is the number of responses to earlier requests that are
	// skipped.
	maxStrayResponses = 2
	// maxSyncWriteBytes is the size of a body up to which it can be written
	// without the server reading.
	maxSyncWriteBytes = 8 << 10
	// writeCompletionWait is how long to wait after the response for the end of
	// the write, before the write counts as unfinished.
	writeCompletionWait = 5 * time.Millisecond
)

// Do sends the request to the address and reads the whole response.
func (p *Pool) Do(ctx context.Context, address string, r Request) Response {
	c, err := p.get(ctx, address, r)
	if err != nil {
		return Response{Outcome: NotSent, Err: err}
	}
	if len(r.Body) > smallBodyBytes {
		setTCPUserTimeout(c.Conn, longBodyUserTimeout)
	}
	w := &countingConn{Conn: c.Conn}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	written := r.start(w)
	reused := c.reused
	c.reused = true
	resp, reusable := c.read(r)
	if resp.Outcome == Completed && resp.endsWithConnection {
		if err := endWrite(c, written); err != nil {
			resp = Response{Outcome: Broken, Err: errors.Wrap(err, "response without length")}
		}
		reusable = false
	}
	resp.Reused, resp.BytesSent = reused, int(w.sent.Load())
	if resp.Outcome != Completed {
		_ = c.Close()
		resp.Outcome = failureOutcome(ctx, <-written, w, resp)
		if r.DetectEnd && resp.Outcome == Broken && closedByServer(resp.Err) {
			resp.ServerEnded = p.refusesConnections(ctx, address)
		}
		return resp
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	case <-time.After(writeCompletionWait):
		// The server responded before it read the whole body. The rest of the
		// body must not be followed by another request.
		reusable = false
	}
	if reusable && stop() {
		if len(r.Body) > smallBodyBytes {
			setTCPUserTimeout(c.Conn, tcpUserTimeout)
		}
		p.put(address, c, resp.Header)
	} else {
		_ = c.Close()
	}
	return resp
}

// endWrite ends the write of a request whose response has ended with its connection, and returns
// the error that the connection had before. The kernel reports a reset once: if the writer gets it,
// the reader gets an end of file, as after a complete response.
func endWrite(c *conn, written chan error) error {
	_ = c.SetWriteDeadline(time.Now())
	err := <-written
	// Do and failureOutcome read it again.
	written <- err
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

func failureOutcome(ctx context.Context, writeErr error, w *countingConn, resp Response) Outcome {
	switch {
	case writeErr != nil && w.sent.Load() == 0:
		return NotSent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil:
		return Cancelled
	default:
		return resp.Outcome
	}
}

// start writes the request. A long body is written concurrently with the
// reading, because the server may respond before it has read the body.
func (r Request) start(w io.Writer) chan error {
	written := make(chan error, 1)
	if len(r.Body) <= maxSyncWriteBytes {
		written <- r.write(w)
	} else {
		go func() { written <- r.write(w) }()
	}
	return written
}

// countingConn counts the bytes that were passed to the kernel.
type countingConn struct {
	net.Conn
	sent atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

func (r Request) write(w io.Writer) error {
	b := bufio.NewWriterSize(w, 8<<10)
	_, _ = b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(b); err != nil {
		return errors.Wrap(err, "write request headers")
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		_, _ = b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = b.WriteString("\r\n")
	_, _ = b.Write(r.Body)
	return errors.Wrap(b.Flush(), "write request")
}

// read returns the response to the request and whether the connection can be
// reused.
func (c *conn) read(r Request) (Response, bool) {
	for range maxStrayResponses + 1 {
		resp, closes := c.readOne(r)
		if resp.Outcome != Completed {
			return resp, false
		}
		if r.matches(resp) {
			return resp, !closes && c.reader.Buffered() == 0
		}
		// A late second response to an earlier request precedes the one to this
		// request. Returning it would give a caller the response to another
		// request.
		if closes {
			break
		}
	}
	return Response{Outcome: Broken, Err: ErrResponseMismatch}, false
}

// ErrResponseMismatch is the cause of an attempt that received only responses
// to other requests.
var ErrResponseMismatch = errors.New("received only responses to other requests")

// matches reports whether the response belongs to this request. An error
// response without an id is accepted: servers may refuse a request without
// having read its id.
func (r Request) matches(resp Response) bool {
	id := resp.Header.Get(r.IDHeader)
	return id == "" && resp.Status >= http.StatusBadRequest || id == r.ID
}

// readOne returns the next response and whether the server closes the
// connection after it.
func (c *conn) readOne(r Request) (_ Response, closes bool) {
	memory := r.Memory
	if memory == nil {
		memory = c.memory
	}
	resp, headBytes, err := c.readHead(r.Method, memory)
	if err != nil {
		return Response{Outcome: Broken, Err: errors.Wrap(err, "read response")}, true
	}
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0
	}
	// The body isn't closed on errors, as that would read the rest of it.
	body, reserved, err := ReadBody(&bodyReader{r: resp.Body, limit: c.limit, initial: c.limit.left}, length, maxResponseBytes, memory)
	if err == nil {
		if err = httphead.CheckNames(resp.Trailer); err != nil {
			memory.Release(reserved)
		}
	}
	if err != nil {
		memory.Release(headBytes)
		return Response{Outcome: Broken, Err: errors.Wrap(err, "read response body")}, true
	}
	releaseAfter(r.Lifetime, headBytes, memory)
	releaseAfter(r.Lifetime, reserved, memory)
	return Response{
		Outcome: Completed, Status: resp.StatusCode, Header: resp.Header, Body: body,
		endsWithConnection: length < 0 && len(resp.TransferEncoding) == 0,
	}, resp.Close
}
