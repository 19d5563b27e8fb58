// Package httphead buffers the heads of HTTP/1.1 messages, so that the memory that they take is
// known before they are parsed, and checks those of responses.
//
// Load pattern: clients and servers that send heads of very many short lines. A parsed line takes
// an entry of a map, a slice and two strings, whatever its length: a head of 60 KiB takes about 2 MB,
// and neither a limit on its bytes nor one on the number of connections bounds that.
//
// Approach: a head is buffered as it was sent until it is complete. Its lines are counted then, and
// whoever parses it can reserve what it will take, or refuse it.
package httphead

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// lineBytes is the memory that a parsed header line takes: some 130 bytes for the line, as much
// again for a copy of the headers that is sent to a backend server, and the garbage of both.
const lineBytes = 320

// Errors of reading a head.
var (
	ErrTooLarge = errors.New("head exceeds the size limit")
	ErrNoMemory = errors.New("heads take up all of their memory")
)

// Memory decides whether memory may be taken for a head. It must be safe for concurrent use.
type Memory interface {
	// Reserve counts the bytes, unless they don't fit.
	Reserve(bytes int) bool
	// Release undoes a call of Reserve that returned true.
	Release(bytes int)
}

// Head describes a head that is buffered as a whole.
type Head struct {
	// Bytes is its size, with the blank line at its end, and Lines the number of lines before that.
	Bytes, Lines int
}

// ParsedBytes returns the memory that the head takes once it is parsed.
func (h Head) ParsedBytes() int { return h.Bytes + h.Lines*lineBytes }

// Reader is a bufio.Reader that can hold a head which is longer than its usual buffer.
type Reader struct {
	*bufio.Reader
	src source
}

// NewReader returns a Reader of a connection.
func NewReader(r io.Reader) *Reader {
	h := &Reader{src: source{r: r}}
	h.Reader = bufio.NewReader(&h.src)
	return h
}

// source reads what was read ahead of a long head before it reads on.
type source struct {
	ahead []byte
	r     io.Reader
}

// Read implements io.Reader.
func (s *source) Read(b []byte) (int, error) {
	if len(s.ahead) == 0 {
		return s.r.Read(b)
	}
	n := copy(b, s.ahead)
	if s.ahead = s.ahead[n:]; len(s.ahead) == 0 {
		s.ahead = nil
	}
	return n, nil
}

// Buffer waits until the reader holds a whole head of at most maxBytes and returns its size. It
// consumes nothing. The memory of a head that is longer than the usual buffer counts in m, unless m
// is nil, until Buffer returns.
func (r *Reader) Buffer(maxBytes int, m Memory) (Head, error) {
	var s scanner
	for n := 1; n <= r.Size(); n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return Head{}, unexpected(err, r.Buffered())
		}
		b, _ := r.Peek(r.Buffered())
		if done, err := s.scan(b, maxBytes); done || err != nil {
			return s.head, err
		}
	}
	return r.bufferLong(&s, maxBytes, m)
}

// bufferLong is Buffer for a head that doesn't fit into the usual buffer, which is full.
func (r *Reader) bufferLong(s *scanner, maxBytes int, m Memory) (Head, error) {
	ahead, err := grow(nil, 2*r.Size(), m)
	defer func() { release(m, cap(ahead)) }()
	if err != nil {
		return Head{}, err
	}
	buffered, _ := r.Peek(r.Buffered())
	ahead = append(ahead, buffered...)
	for {
		if len(ahead) == cap(ahead) {
			larger, err := grow(ahead, 2*cap(ahead), m)
			if err != nil {
				return Head{}, err
			}
			ahead = larger
		}
		n, err := r.src.Read(ahead[len(ahead):cap(ahead)])
		ahead = ahead[:len(ahead)+n]
		if done, scanErr := s.scan(ahead, maxBytes); done || scanErr != nil {
			r.src.ahead = ahead
			r.Reset(&r.src)
			return s.head, scanErr
		}
		if err != nil {
			return Head{}, unexpected(err, len(ahead))
		}
	}
}

// grow returns a copy of b with another capacity, and releases that of b.
func grow(b []byte, size int, m Memory) ([]byte, error) {
	if m != nil && !m.Reserve(size) {
		return nil, ErrNoMemory
	}
	larger := append(make([]byte, 0, size), b...)
	release(m, cap(b))
	return larger, nil
}

func release(m Memory, n int) {
	if m != nil && n > 0 {
		m.Release(n)
	}
}

// unexpected returns the error of a reader that has returned n bytes of a head.
func unexpected(err error, n int) error {
	if err == io.EOF && n > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// scanner looks for the blank line at the end of a head.
type scanner struct {
	head Head
	// scanned is the number of bytes that were looked at, lineStart the index of the line that the
	// next one belongs to.
	scanned, lineStart int
}

// scan looks at the further bytes of b, which begins with those of the call before. It reports
// whether the head is complete.
func (s *scanner) scan(b []byte, maxBytes int) (done bool, err error) {
	for {
		i := bytes.IndexByte(b[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(b)
			break
		}
		end := s.scanned + i + 1
		line := bytes.TrimSuffix(b[s.lineStart:end-1], []byte{'\r'})
		s.scanned, s.lineStart = end, end
		if len(line) == 0 {
			s.head.Bytes = end
			done = true
			break
		}
		s.head.Lines++
	}
	if s.scanned > maxBytes || !done && s.scanned >= maxBytes {
		return false, ErrTooLarge
	}
	return done, nil
}
