package pipeline

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// exchange is a request with its response, which is buffered until it is next
// in order. It is the http.ResponseWriter of the handler.
type exchange struct {
	conn *conn
	// request is nil once the handler has returned: a response that waits for its turn holds no
	// headers.
	request *http.Request
	isHead  bool
	// held is the memory reserved for the headers of the request.
	held   int
	cancel context.CancelFunc

	header http.Header
	status int
	body   []byte
	// closes means that the connection closes with this response.
	closes bool
	// done means that the response is complete. Guarded by conn.mu.
	done bool

	bodyOnce sync.Once
	// bodyDone is closed when the request's body has been read.
	bodyDone chan struct{}
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter. A status that isn't one of a final response becomes
// 500: the request may have run.
func (x *exchange) WriteHeader(status int) {
	if status < http.StatusOK || status > maxStatus {
		status = http.StatusInternalServerError
	}
	if x.status == 0 {
		x.status = status
	}
}

// maxStatus is the largest status of three digits.
const maxStatus = 999

// Write implements http.ResponseWriter.
func (x *exchange) Write(b []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	x.body = append(x.body, b...)
	return len(b), nil
}

// WriteOwned adds a part of the body, which the caller must not change any more. Write would copy
// it.
func (x *exchange) WriteOwned(b []byte) {
	if len(x.body) > 0 {
		_, _ = x.Write(b)
		return
	}
	x.WriteHeader(http.StatusOK)
	x.body = b[:len(b):len(b)]
}

// SetReadDeadline bounds the reading of the request's body. It implements the interface of
// http.ResponseController.
func (x *exchange) SetReadDeadline(t time.Time) error {
	return x.conn.net.SetReadDeadline(t)
}

// run calls the handler and queues the response for writing. The request's context
// ends when the response was written, or with the connection.
func (x *exchange) run() {
	x.conn.server.Handler.ServeHTTP(x, x.request)
	x.WriteHeader(http.StatusOK)
	x.closes = x.request.Close || !x.request.ProtoAtLeast(1, 1) || x.header.Get("Connection") == "close" || !x.discardBody()
	x.request = nil
	x.conn.server.releaseHead(x.held)
	x.conn.server.touch(x.conn)
	x.conn.mu.Lock()
	x.done = true
	x.conn.mu.Unlock()
	x.conn.writeReady()
	x.finishBody()
}

func (x *exchange) finishBody() { x.bodyOnce.Do(func() { close(x.bodyDone) }) }

// wrapBody wraps the request body to detect when it has been read.
func (x *exchange) wrapBody(none bool) {
	if none || x.request.Body == http.NoBody {
		x.finishBody()
		return
	}
	x.request.Body = &requestBody{
		exchange: x, in: x.request.Body,
		expectContinue: x.request.ProtoAtLeast(1, 1) && x.request.Header.Get("Expect") == "100-continue",
	}
}

// discardBody discards the rest of the body, so that the next request can be
// read, and reports whether it was within maxDiscardBytes.
func (x *exchange) discardBody() bool {
	b, ok := x.request.Body.(*requestBody)
	if !ok || b.eof {
		return true
	}
	if b.expectContinue {
		// The caller is still waiting for 100 Continue. It may send either the
		// body or another request next, and the two cannot be told apart.
		return false
	}
	if x.request.ContentLength-b.read >= maxDiscardBytes {
		// The response isn't held up by a body that is too long to keep the connection.
		return false
	}
	_ = x.conn.net.SetReadDeadline(time.Now().Add(x.conn.server.HeaderTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxDiscardBytes))
	return err == nil && n < maxDiscardBytes
}

// write writes the response. Only one goroutine of a connection may write at a time.
func (x *exchange) write(closes bool) error {
	out := x.conn.out
	x.header.Del("Connection")
	if closes {
		x.header.Set("Connection", "close")
	}
	// A handler that sets the field to nil leaves it out, as with net/http.
	if _, ok := x.header["Date"]; !ok {
		x.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	bodiless := x.status == http.StatusNoContent || x.status == http.StatusNotModified
	switch {
	case bodiless:
		x.header.Del("Content-Length")
	case !x.isHead:
		x.header.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	// A bufio.Writer keeps its first error until Flush returns it.
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %03d %s\r\n", x.status, http.StatusText(x.status))
	_ = x.header.Write(out)
	_, _ = out.WriteString("\r\n")
	if !bodiless && !x.isHead {
		_, _ = out.Write(x.body)
	}
	return out.Flush()
}

// requestBody detects when a body has been read, and sends 100 Continue to a
// caller that waits for it.
type requestBody struct {
	exchange       *exchange
	in             io.ReadCloser
	expectContinue bool
	// read is the number of bytes that were read.
	read int64
	eof  bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.expectContinue {
		b.expectContinue = false
		out := b.exchange.conn.out
		_, _ = out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		if err := out.Flush(); err != nil {
			return 0, err
		}
	}
	n, err := b.in.Read(p)
	b.read += int64(n)
	if err == io.EOF {
		b.eof = true
		// It keeps the request as it was read, with the trailers.
		b.in = http.NoBody
		b.exchange.finishBody()
	}
	return n, err
}

// Close implements io.Closer. The rest of the body is discarded after the
// handler has returned.
func (b *requestBody) Close() error { return nil }
