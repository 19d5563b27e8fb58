package attempt

import (
	"bytes"
	"crypto/sha256"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrBodyConsumed reports that a request's body was partly sent before and isn't
// held, so it can't be sent again.
var ErrBodyConsumed = errors.New("attempt: body already sent")

// Body is a caller's request body. It holds the first bytes, up to a bound,
// so that an attempt that was proved not run can be followed by another.
type Body struct {
	prefix []byte
	// whole means that prefix is the entire body.
	whole  bool
	length int64

	mu      sync.Mutex
	rest    io.Reader
	started bool
	failed  bool
}

// ReadBody reads up to bound bytes of r. Length is the declared length, or
// -1 if the caller declared none.
func ReadBody(r io.Reader, length, bound int64) (*Body, error) {
	if length == 0 || r == nil {
		return NoBody(), nil
	}
	prefix, err := io.ReadAll(io.LimitReader(r, bound+1))
	if err != nil {
		return nil, errors.Wrap(err, "attempt: read body")
	}
	b := &Body{prefix: prefix, rest: r, length: length}
	if int64(len(prefix)) <= bound {
		b.whole = true
		b.length = int64(len(prefix))
	}
	return b, nil
}

// NoBody returns the body of a request that has none.
func NoBody() *Body { return &Body{whole: true} }

// Buffered tells whether the entire body is held.
func (b *Body) Buffered() bool { return b.whole }

// Digest returns the SHA-256 of a held body; of a streamed one, that of the
// part that is held.
func (b *Body) Digest() [sha256.Size]byte { return sha256.Sum256(b.prefix) }

// Length returns the body's length in bytes, or -1 if it isn't known.
func (b *Body) Length() int64 { return b.length }

// Available tells whether Open would succeed.
func (b *Body) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole || !b.started
}

// Failed tells whether the part that isn't held couldn't be read.
func (b *Body) Failed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed
}

// Open returns the body from its beginning. A streamed body fails with
// ErrBodyGone once a byte behind the held ones was read.
func (b *Body) Open() (io.ReadCloser, error) {
	if b.whole {
		return io.NopCloser(bytes.NewReader(b.prefix)), nil
	}
	if !b.Available() {
		return nil, ErrBodyConsumed
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.prefix), streamed{b})), nil
}

// streamed reads the part of the body that isn't held.
type streamed struct{ b *Body }

func (s streamed) Read(p []byte) (int, error) {
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
