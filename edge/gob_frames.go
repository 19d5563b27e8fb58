package edge

import (
	"io"

	"github.com/cockroachdb/errors"
)

// errFrameTooLarge is the cause of a connection that announces a longer message than it may send.
var errFrameTooLarge = errors.New("message exceeds the size limit")

// gobFrames reads a stream of package gob and fails at the first message that is announced as longer than
// max: the decoder allocates that length before it reads the message.
type gobFrames struct {
	r   io.Reader
	max uint64
	// left is the number of bytes of the current message that are still to come.
	left uint64
	// lengthBytes is the number of bytes of the length that are still to come, and length what they
	// have given so far.
	lengthBytes int
	length      uint64
}

// gob encodes an unsigned integer as one byte if it is less than 128, else as the negated number of bytes
// that follow, and these in big-endian order.
const (
	maxShortGobUint = 0x7f
	maxGobUintBytes = 8
)

// Read implements io.Reader.
func (f *gobFrames) Read(b []byte) (int, error) {
	n, err := f.r.Read(b)
	for rest := b[:n]; len(rest) > 0; {
		if f.left > 0 {
			skipped := min(uint64(len(rest)), f.left)
			f.left -= skipped
			rest = rest[skipped:]
			continue
		}
		if err := f.readLength(rest[0]); err != nil {
			return 0, err
		}
		rest = rest[1:]
	}
	return n, err
}

// readLength takes the next byte of the length of a message.
func (f *gobFrames) readLength(b byte) error {
	switch {
	case f.lengthBytes > 0:
		f.length = f.length<<8 | uint64(b)
		f.lengthBytes--
	case b <= maxShortGobUint:
		f.length = uint64(b)
	default:
		f.length, f.lengthBytes = 0, -int(int8(b))
	}
	if f.lengthBytes > maxGobUintBytes || f.length > f.max {
		return errFrameTooLarge
	}
	if f.lengthBytes == 0 {
		f.left = f.length
	}
	return nil
}
