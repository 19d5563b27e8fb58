package attempt

import (
	"bytes"
	"crypto/sha256"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrBodyConsumed means that part of an unbuffered request body was already
// read, so the request cannot be sent again.
var ErrBodyConsumed = errors.New("attempt: unbuffered request body already consumed")

// Body is the body of a caller's request. It buffers the first bytes, up to a
// limit, so that the request can be sent again if an attempt is proved not to
// have been executed.
type Body struct {
	prefix []byte
	// buffered means that prefix is the entire body.
	buffered bool
	length   int64

	mu      sync.Mutex
	rest    io.Reader
	started bool
	failed  bool
}

// ReadBody buffers up to bound bytes of r. Length is the declared length, or -1
// if the caller declared none.
func ReadBody(r io.Reader, length, bound int64) (*Body, error) {
	if length == 0 || r == nil {
		return NoBody(), nil
	}
	prefix, err := io.ReadAll(io.LimitReader(r, bound+1))
	if err != nil {
		return nil, errors.Wrap(err, "attempt: read request body")
	}
	b := &Body{prefix: prefix, rest: r, length: length}
	if int64(len(prefix)) <= bound {
		b.buffered = true
		b.length = int64(len(prefix))
	}
	return b, nil
}

// NoBody returns an empty body.
func NoBody() *Body { return &Body{buffered: true} }

// Buffered reports whether the entire body is buffered.
func (b *Body) Buffered() bool { return b.buffered }

// Digest returns the SHA-256 hash of the buffered part of the body.
func (b *Body) Digest() [sha256.Size]byte { return sha256.Sum256(b.prefix) }

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (b *Body) Length() int64 { return b.length }

// Available reports whether Open would succeed.
func (b *Body) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered || !b.started
}

// Failed reports whether reading the unbuffered part failed.
func (b *Body) Failed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed
}

// Open returns a reader of the body from its beginning. For a body that is not
// entirely buffered it fails with ErrBodyConsumed once the unbuffered part has
// been read from.
func (b *Body) Open() (io.ReadCloser, error) {
	if b.buffered {
		return io.NopCloser(bytes.NewReader(b.prefix)), nil
	}
	if !b.Available() {
		return nil, ErrBodyConsumed
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.prefix), remainderReader{b})), nil
}

// remainderReader reads the part of the body that is not buffered.
type remainderReader struct{ b *Body }

func (s remainderReader) Read(p []byte) (int, error) {
	s.b.mu.Lock()
	s.b.started = true
	s.b.mu.Unlock()
	n, err := s.b.rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.b.mu.Lock()
		s.b.failed = true
		s.b.mu.Unlock()
	}
	return n, err
}
