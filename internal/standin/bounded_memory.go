package standin

import (
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// writeProgressBytes is the part of a response that must be read within UnreadTimeout.
const writeProgressBytes = 8 << 10

// BoundedMemory simulates a backend server with little memory around a handler: it reads bodies
// slowly, aborts responses that stay unread, and crashes when the bodies that it holds exceed its
// memory.
type BoundedMemory struct {
	Handler http.Handler
	// Bytes is the memory for request bodies. Crash is called, once, when they exceed it. It must
	// close the server's connections.
	Bytes int64
	Crash func(r *http.Request)
	// ReadBytesPerSecond is the speed at which each body is read.
	ReadBytesPerSecond int
	// UnreadTimeout is the time in which each 8 KiB of a response must be read.
	UnreadTimeout time.Duration

	held    atomic.Int64
	crash   sync.Once
	aborted atomic.Int64
}

// Aborted returns the number of responses that were aborted because they stayed unread.
func (m *BoundedMemory) Aborted() int64 { return m.aborted.Load() }

// ServeHTTP implements http.Handler.
func (m *BoundedMemory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := &heldBody{ReadCloser: r.Body, r: r, m: m, slow: SlowReader{r.Body, m.ReadBytesPerSecond}}
	defer func() { m.held.Add(-body.held) }()
	r.Body = body
	m.Handler.ServeHTTP(&deadlineWriter{w, m}, r)
}

// heldBody counts what has been read of a body.
type heldBody struct {
	io.ReadCloser
	r    *http.Request
	m    *BoundedMemory
	slow SlowReader
	held int64
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.slow.Read(p)
	b.held += int64(n)
	if b.m.held.Add(int64(n)) > b.m.Bytes {
		b.m.crash.Do(func() { b.m.Crash(b.r) })
		panic(http.ErrAbortHandler)
	}
	return n, err
}

// deadlineWriter aborts a response that stays unread.
type deadlineWriter struct {
	http.ResponseWriter
	m *BoundedMemory
}

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 {
		_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.m.UnreadTimeout))
		n, err := w.ResponseWriter.Write(p[:min(len(p), writeProgressBytes)])
		written += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				w.m.aborted.Add(1)
			}
			panic(http.ErrAbortHandler)
		}
		p = p[n:]
	}
	return written, nil
}

// SlowReader reads from another reader at a limited speed.
type SlowReader struct {
	Reader         io.Reader
	BytesPerSecond int
}

// Read implements io.Reader.
func (r SlowReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.BytesPerSecond))
	return n, err
}
