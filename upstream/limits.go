package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"foxtailspoke/httphead"
)

const (
	// maxHeadBytes bounds the status line and the headers of a response, with all interim
	// responses before it.
	maxHeadBytes = 64 << 10
	// maxResponseBytes bounds the size of a response body. Responses are
	// buffered as a whole, so that a truncated one cannot look complete.
	maxResponseBytes = 16 << 20
	// maxFramingBytes is the framing of chunks that a body may have in addition to its own
	// length. Chunks of a few bytes have more, and take long to read.
	maxFramingBytes = 64 << 10
	// smallBodyBytes is the size up to which the buffer of a body takes nothing of the memory
	// that long bodies share, so that these can't keep out the usual ones.
	smallBodyBytes = 64 << 10
	// longBodyBytes is the size of the buffers that all long bodies of a pool share: the
	// smallest machines have 184 MB, of which the garbage collector may need as much again.
	longBodyBytes = 32 << 20
	// initialBodyBytes is the initial size of the buffer of a body.
	initialBodyBytes = 4 << 10
	// maxErrorText bounds what is kept of an error that quotes the response.
	maxErrorText = 300
)

// Causes of an attempt whose response is too long, or isn't one.
var (
	ErrHeadTooLarge   = errors.New("response headers exceed 64 KiB")
	ErrBodyTooLarge   = errors.New("response body exceeds 16 MiB")
	ErrTooMuchFraming = errors.New("response body consists of too short chunks")
	ErrNoBodyMemory   = errors.New("long response bodies take up all of their memory")
	ErrNoHTTPResponse = errors.New("server sent something else than an HTTP response")
)

// limiter bounds the bytes that are read from a connection.
type limiter struct {
	r io.Reader
	// left is the number of bytes that may still be read before Read returns err.
	left int
	err  error
}

// Read implements io.Reader.
func (l *limiter) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, l.err
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// responsePrefix begins each response.
const responsePrefix = "HTTP/1."

// readHead returns the next final response, without its body. It skips interim responses. The caller
// releases the memory that the parsed head has reserved; none is held after an error.
func (c *conn) readHead(method string, m BodyMemory) (resp *http.Response, reserved int, err error) {
	c.limit.left, c.limit.err = maxHeadBytes, ErrHeadTooLarge
	for {
		if err := checkPrefix(c.reader.Reader); err != nil {
			return nil, 0, err
		}
		head, err := c.reader.Buffer(maxHeadBytes, nil)
		if errors.Is(err, httphead.ErrTooLarge) {
			return nil, 0, ErrHeadTooLarge
		}
		if err != nil {
			return nil, 0, err
		}
		if reserved = accountedBytes(head); reserved > 0 && !m.Reserve(reserved) {
			return nil, 0, errors.Wrap(ErrNoBodyMemory, "response headers")
		}
		resp, err = http.ReadResponse(c.reader.Reader, &http.Request{Method: method})
		if err == nil {
			err = httphead.CheckResponse(resp)
		}
		if err != nil {
			m.Release(reserved)
			return nil, 0, shortened(err)
		}
		if resp.StatusCode >= http.StatusOK {
			c.limit.left, c.limit.err = 2*maxResponseBytes+maxFramingBytes, ErrBodyTooLarge
			return resp, reserved, nil
		}
		m.Release(reserved)
	}
}

// accountedBytes returns what a parsed head counts: like a body, nothing if it is small.
func accountedBytes(h httphead.Head) int {
	if n := h.ParsedBytes(); n > smallBodyBytes {
		return n
	}
	return 0
}

// checkPrefix reports as soon as possible that what arrives is no response.
func checkPrefix(b *bufio.Reader) error {
	for n := 1; n <= len(responsePrefix); n++ {
		got, err := b.Peek(n)
		if err != nil {
			return err
		}
		if !strings.HasPrefix(responsePrefix, string(got)) {
			return ErrNoHTTPResponse
		}
	}
	return nil
}

// shortened returns the error, or its beginning if it quotes a long response.
func shortened(err error) error {
	if text := err.Error(); len(text) > maxErrorText {
		return errors.Newf("%s...", text[:maxErrorText])
	}
	return err
}

// bodyReader reads the body of a response and bounds the framing of its chunks.
type bodyReader struct {
	r     io.Reader
	limit *limiter
	// initial is the value of limit.left at the start of the body, read the number of bytes
	// that were read.
	initial, read int
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.read += n
	if sent := b.initial - b.limit.left; err == nil && sent > 2*b.read+maxFramingBytes {
		err = ErrTooMuchFraming
	}
	return n, err
}

// BodyMemory decides whether the buffer of a body may be allocated, and counts it. It must be
// safe for concurrent use.
type BodyMemory interface {
	// Reserve counts the buffer, unless it doesn't fit.
	Reserve(bytes int) bool
	// Release undoes a call of Reserve that returned true.
	Release(bytes int)
}

// poolMemory is the memory that the long bodies of a pool share if a request names none.
type poolMemory struct {
	mu   sync.Mutex
	used int
}

// Reserve implements BodyMemory.
func (m *poolMemory) Reserve(n int) bool {
	if n <= smallBodyBytes {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > longBodyBytes {
		return false
	}
	m.used += n
	return true
}

// Release implements BodyMemory.
func (m *poolMemory) Release(n int) {
	if n <= smallBodyBytes {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}

// ReadBody reads a whole body of at most maxBytes; length is its declared length, -1 if unknown.
// It returns the bytes that it has reserved and that the caller must release; none after an error.
// A declared length that doesn't fit is refused before anything is read.
func ReadBody(r io.Reader, length, maxBytes int64, m BodyMemory) (body []byte, reserved int, err error) {
	if length > maxBytes {
		return nil, 0, ErrBodyTooLarge
	}
	// A buffer that is larger than the body needn't grow to read its end.
	body, reserved, err = grow(nil, max(int(length)+1, initialBodyBytes), 0, m)
	for err == nil {
		var n int
		n, err = r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == nil && int64(len(body)) > maxBytes:
			err = ErrBodyTooLarge
		case err == nil && len(body) == cap(body):
			body, reserved, err = grow(body, min(2*cap(body), int(maxBytes)+1), reserved, m)
		}
	}
	if err != io.EOF {
		m.Release(reserved)
		return nil, 0, err
	}
	return body, reserved, nil
}

// grow returns a copy of a body in a buffer of the given size, and what that has reserved
// instead of the old one. Both count until the body has been copied.
func grow(body []byte, size, reserved int, m BodyMemory) (_ []byte, newReserved int, _ error) {
	if !m.Reserve(size) {
		return nil, reserved, ErrNoBodyMemory
	}
	larger := append(make([]byte, 0, size), body...)
	m.Release(reserved)
	return larger, size, nil
}

// releaseAfter releases what a head or a body has reserved when the lifetime ends, or now if that is nil.
func releaseAfter(lifetime context.Context, n int, m BodyMemory) {
	switch {
	case n == 0:
		return
	case lifetime == nil:
		m.Release(n)
		return
	}
	context.AfterFunc(lifetime, func() { m.Release(n) })
}
