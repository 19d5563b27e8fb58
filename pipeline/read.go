package pipeline

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"foxtailspoke/httphead"
)

// read reads the headers of the next request. With no request in progress the
// connection is idle until the first byte. With requests in progress, the wait
// for that byte also detects that the caller disconnects. The caller of read releases
// the returned memory, of which none is held after an error.
func (c *conn) read() (r *http.Request, held int, err error) {
	if err := c.awaitByte(); err != nil {
		return nil, 0, errors.Mark(err, errDisconnected)
	}
	maxBytes, timeout := c.server.headerLimits()
	_ = c.net.SetReadDeadline(time.Now().Add(timeout))
	head, err := c.in.Buffer(maxBytes, c.server.HeadMemory)
	if isTimeout(err) {
		return nil, 0, errHeaderTimeout
	}
	if err != nil {
		return nil, 0, err
	}
	_ = c.net.SetReadDeadline(time.Time{})
	held = head.ParsedBytes()
	if !c.server.reserveHead(held) {
		return nil, 0, httphead.ErrNoMemory
	}
	r, err = http.ReadRequest(c.in.Reader)
	if err == nil {
		r.RemoteAddr = c.net.RemoteAddr().String()
		err = validate(r)
	}
	if err != nil {
		c.server.releaseHead(held)
		return nil, 0, err
	}
	return r, held, nil
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

// Errors of reading a request. errDisconnected and errHeaderTimeout end the
// connection without an error response.
var (
	errDisconnected  = errors.New("caller disconnected or idle timeout expired")
	errHeaderTimeout = errors.New("timed out reading request headers")
)

// retryAfterNoMemory is the Retry-After, in seconds, of a request whose headers don't fit into
// memory. Heads are held for the time that requests take.
const retryAfterNoMemory = "1"

// validate rejects requests that net/http parses but its server rejects.
func validate(r *http.Request) error {
	if len(r.Header["Host"]) > 1 || (r.ProtoAtLeast(1, 1) && r.Host == "") || !httpguts.ValidHostHeader(r.Host) {
		return errors.New("missing, duplicate or invalid Host header")
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
				return errors.Newf("invalid name or value of header %q", name)
			}
		}
	}
	return nil
}

// rejectRequest sends an error response for malformed input after all pending
// responses and ends the connection.
func (c *conn) rejectRequest(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errDisconnected), errors.Is(err, io.ErrUnexpectedEOF):
		c.abandon()
		return
	case errors.Is(err, errHeaderTimeout):
		// The caller is slow in sending this request; earlier requests are
		// still answered.
		c.awaitResponses()
		return
	case errors.Is(err, httphead.ErrTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, httphead.ErrNoMemory):
		status = http.StatusServiceUnavailable
	case strings.Contains(err.Error(), "transfer encoding"):
		status = http.StatusNotImplemented
	}
	if !c.awaitResponses() {
		return
	}
	x := &exchange{conn: c, header: make(http.Header), status: status, closes: true}
	x.header.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusServiceUnavailable {
		x.header.Set("Retry-After", retryAfterNoMemory)
		c.server.notifyHeadRefused(c.net.RemoteAddr().String())
	}
	x.body = []byte(http.StatusText(status) + "\n")
	_ = x.write(true)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
