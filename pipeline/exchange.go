package pipeline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// exchange is a request and its answer, which is held until its turn. It is
// the http.ResponseWriter of its handler.
type exchange struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc

	header http.Header
	status int
	body   bytes.Buffer
	// closes says that the connection ends with this answer.
	closes bool
	// done says that the answer is whole. Guarded by conn.mu.
	done bool

	bodyOnce sync.Once
	// bodyDone is closed when the request's body has been read.
	bodyDone chan struct{}
}

// Header implements http.ResponseWriter.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status == 0 {
		x.status = status
	}
}

// Write implements http.ResponseWriter.
func (x *exchange) Write(b []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	return x.body.Write(b)
}

// run answers the request.
func (x *exchange) run() {
	defer x.cancel()
	x.conn.server.Handler.ServeHTTP(x, x.request)
	x.WriteHeader(http.StatusOK)
	x.closes = x.request.Close || !x.request.ProtoAtLeast(1, 1) || x.header.Get("Connection") == "close" || !x.drain()
	x.conn.mu.Lock()
	x.done = true
	x.conn.mu.Unlock()
	x.conn.answered()
	x.finishBody()
}

func (x *exchange) finishBody() { x.bodyOnce.Do(func() { close(x.bodyDone) }) }

// takeBody wraps the body, to learn when it has been read.
func (x *exchange) takeBody(none bool) {
	if none || x.request.Body == http.NoBody {
		x.finishBody()
		return
	}
	x.request.Body = &requestBody{
		exchange: x, in: x.request.Body,
		proceed: x.request.ProtoAtLeast(1, 1) && x.request.Header.Get("Expect") == "100-continue",
	}
}

// drain reads what the handler left of the body, so that the next request can
// be read, and reports whether there was little enough.
func (x *exchange) drain() bool {
	b, ok := x.request.Body.(*requestBody)
	if !ok || b.ended {
		return true
	}
	if b.proceed {
		// The caller waits for a word before it sends the body, and then sends
		// either that or another request: nobody knows which.
		return false
	}
	_ = x.conn.net.SetReadDeadline(time.Now().Add(x.conn.server.HeaderTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(b, unreadMost))
	return err == nil && n < unreadMost
}

// write writes the answer. The connection's lock must be held, or it must have
// no other exchange.
func (x *exchange) write(closes bool) error {
	out := x.conn.out
	x.header.Del("Connection")
	if closes {
		x.header.Set("Connection", "close")
	}
	if x.header.Get("Date") == "" {
		x.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	head := x.request != nil && x.request.Method == http.MethodHead
	bodiless := x.status == http.StatusNoContent || x.status == http.StatusNotModified || x.status < http.StatusOK
	switch {
	case bodiless:
		x.header.Del("Content-Length")
	case !head:
		x.header.Set("Content-Length", strconv.Itoa(x.body.Len()))
	}
	// The first error of a bufio.Writer stays until Flush returns it.
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %03d %s\r\n", x.status, http.StatusText(x.status))
	_ = x.header.Write(out)
	_, _ = out.WriteString("\r\n")
	if !bodiless && !head {
		_, _ = out.Write(x.body.Bytes())
	}
	return out.Flush()
}

// requestBody tells when a body has been read, and asks a caller that waits
// for it to send it.
type requestBody struct {
	exchange *exchange
	in       io.ReadCloser
	proceed  bool
	ended    bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.proceed {
		b.proceed = false
		out := b.exchange.conn.out
		_, _ = out.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
		if err := out.Flush(); err != nil {
			return 0, err
		}
	}
	n, err := b.in.Read(p)
	if err == io.EOF {
		b.ended = true
		b.exchange.finishBody()
	}
	return n, err
}

// Close implements io.Closer. What is left is read once the handler is done.
func (b *requestBody) Close() error { return nil }
