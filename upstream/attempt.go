package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is what is sent. The headers are sent as they are.
type Request struct {
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header by which an answer shows to which request it
	// belongs, and ID is its value.
	IDHeader string
	ID       string
	// NonIdempotent says that it can't be sent again if its connection turns out dead.
	NonIdempotent bool
}

// Outcome says how an attempt ended.
type Outcome int

const (
	// Completed: a whole answer came.
	Completed Outcome = iota
	// NotSent: no byte was written; the server can't have run it.
	NotSent
	// Broken: the connection or the answer broke off, or was no answer to
	// this request. The server may have run it.
	Broken
	// TimedOut: no answer until the deadline. The server may have run it.
	TimedOut
	// Cancelled by the context. The server may have run it.
	Cancelled
)

// Response of a backend server.
type Response struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	// Err tells the cause of an outcome other than Answered.
	Err error
}

const (
	// maxStrayAnswers is how many answers to earlier requests are read past.
	maxStrayAnswers = 2
	// writtenAtOnce is the length of a body that connections take without the
	// server reading.
	writtenAtOnce = 8 << 10
	// writeGrace is how long the end of a write may stay unnoticed after the
	// answer, before it counts as unfinished.
	writeGrace = 5 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held in memory. Answers are
	// held whole, so that one that breaks off can't look complete.
	maxAnswerBytes = 16 << 20
)

// Do sends the request to the address and reads the whole answer.
func (p *Pool) Do(ctx context.Context, address string, r Request) Response {
	c, err := p.get(ctx, address, r.NonIdempotent)
	if err != nil {
		return Response{Outcome: NotSent, Err: err}
	}
	w := &countingConn{Conn: c.Conn}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	written := r.start(w)
	a, reusable := c.read(r)
	if a.Outcome != Completed {
		_ = c.Close()
		a.Outcome = outcome(ctx, <-written, w, a)
		return a
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	case <-time.After(writeGrace):
		// The server answered before it took the whole body. What is left of
		// the body must not be followed by another request.
		reusable = false
	}
	if reusable && stop() {
		p.put(address, c, a.Header)
	} else {
		_ = c.Close()
	}
	return a
}

func outcome(ctx context.Context, writeErr error, w *countingConn, a Response) Outcome {
	switch {
	case writeErr != nil && w.sent.Load() == 0:
		return NotSent
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil:
		return Cancelled
	default:
		return a.Outcome
	}
}

// start writes the request. A short one is written at once; a long one beside
// the reading, because the server may answer before it has taken the body.
func (r Request) start(w io.Writer) <-chan error {
	written := make(chan error, 1)
	if len(r.Body) <= writtenAtOnce {
		written <- r.write(w)
	} else {
		go func() { written <- r.write(w) }()
	}
	return written
}

// countingConn counts the bytes that were handed to the kernel.
type countingConn struct {
	net.Conn
	sent atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// write sends the request.
func (r Request) write(w io.Writer) error {
	b := bufio.NewWriterSize(w, 8<<10)
	_, _ = b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(b); err != nil {
		return errors.Wrap(err, "headers")
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		_, _ = b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = b.WriteString("\r\n")
	_, _ = b.Write(r.Body)
	return errors.Wrap(b.Flush(), "request")
}

// read returns the answer to the request and whether the connection may be
// used again.
func (c *conn) read(r Request) (Response, bool) {
	for range maxStrayAnswers + 1 {
		a, closes := c.readOne(r)
		if a.Outcome != Completed {
			return a, false
		}
		if r.owns(a) {
			return a, !closes && c.reader.Buffered() == 0
		}
		// A late second answer to an earlier request stands before ours.
		// Taking it for ours would give a caller somebody else's answer.
		if closes {
			break
		}
	}
	return Response{Outcome: Broken, Err: ErrResponseMismatch}, false
}

// ErrResponseMismatch is the cause of an attempt whose connection brought answers to
// other requests only.
var ErrResponseMismatch = errors.New("the answer belongs to another request")

// owns reports whether the answer names this request. One that names none is
// taken: servers may refuse without having read the id.
func (r Request) owns(a Response) bool {
	id := a.Header.Get(r.IDHeader)
	return id == "" && a.Status >= http.StatusBadRequest || id == r.ID
}

// readOne returns the next answer and whether the server closes after it.
func (c *conn) readOne(r Request) (a Response, closes bool) {
	resp, err := readFinal(c.reader, r.Method)
	if err != nil {
		return Response{Outcome: Broken, Err: errors.Wrap(err, "answer")}, true
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	_ = resp.Body.Close()
	if err != nil {
		return Response{Outcome: Broken, Err: errors.Wrap(err, "body of the answer")}, true
	}
	if len(body) > maxAnswerBytes {
		return Response{Outcome: Broken, Err: errors.New("the answer is too large")}, true
	}
	return Response{Outcome: Completed, Status: resp.StatusCode, Header: resp.Header, Body: body}, resp.Close
}

// readFinal reads past interim answers.
func readFinal(b *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(b, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, err
		}
	}
}
