package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// MaxDatagramBytes is the largest datagram that links carry without
	// fragmentation.
	MaxDatagramBytes = 1400
	// maxUncompressedBatch is the number of message bytes that are tried for
	// one datagram. Messages resemble each other and compress to about half
	// their size.
	maxUncompressedBatch = 2400
	// minCompressSize is the number of message bytes below which compression is
	// not worth its CPU time.
	minCompressSize = 400
	// maxDecompressedSize bounds the decompressed messages of a datagram, in
	// bytes.
	maxDecompressedSize = 64 << 10
)

// The first byte of a datagram holds its kind and these flags.
const (
	// urgentBit marks a datagram whose messages are forwarded without waiting
	// for a full round.
	urgentBit = 0x80
	// compressedBit marks messages compressed with DEFLATE (RFC 1951).
	compressedBit = 0x40
)

// Datagram is a datagram to send, with its receivers.
type Datagram struct {
	To   []uint32
	Kind Kind
	// Urgent datagrams are forwarded with less delay.
	Urgent bool
	// Messages holds the concatenated encoded messages.
	Messages []byte
	// encoded caches the result of Encode.
	encoded []byte
}

// ErrUnknownKind is returned by Decode for an empty datagram or one whose first
// byte holds no known kind.
var ErrUnknownKind = errors.New("unknown datagram kind")

// Encode returns the bytes to send.
func (d *Datagram) Encode() []byte {
	if d.encoded == nil {
		d.encoded = d.encode()
	}
	return d.encoded
}

func (d *Datagram) encode() []byte {
	head := byte(d.Kind)
	if d.Urgent {
		head |= urgentBit
	}
	if len(d.Messages) >= minCompressSize {
		if b := compress(head|compressedBit, d.Messages); len(b) <= len(d.Messages) {
			return b
		}
	}
	return append([]byte{head}, d.Messages...)
}

// Decode parses the output of Encode; the result has no receivers. Its messages
// do not share memory with b.
func Decode(b []byte) (Datagram, error) {
	const bits = urgentBit | compressedBit
	if len(b) == 0 || b[0]&^bits >= kinds {
		return Datagram{}, ErrUnknownKind
	}
	d := Datagram{Kind: Kind(b[0] &^ bits), Urgent: b[0]&urgentBit != 0}
	if b[0]&compressedBit == 0 {
		d.Messages = bytes.Clone(b[1:])
		return d, nil
	}
	var err error
	d.Messages, err = decompress(b[1:])
	return d, err
}

// compressors reuses flate writers, which take some hundred kilobytes each.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// NewWriter fails only for an invalid compression level.
		panic(err)
	}
	return w
}}

var decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

func compress(head byte, messages []byte) []byte {
	var b bytes.Buffer
	b.WriteByte(head)
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	// Writing to a bytes.Buffer does not fail.
	_, _ = w.Write(messages)
	_ = w.Close()
	return b.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return nil, errors.Wrap(err, "decompress datagram")
	}
	messages, err := io.ReadAll(io.LimitReader(r, maxDecompressedSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress datagram")
	}
	if len(messages) > maxDecompressedSize {
		return nil, errors.New("decompressed datagram exceeds 64 KiB")
	}
	return messages, nil
}

// buildDatagrams packs messages into as few datagrams as possible.
func buildDatagrams(kind Kind, urgent bool, to []uint32, lists ...[][]byte) []Datagram {
	var all [][]byte
	for _, messages := range lists {
		all = append(all, messages...)
	}
	if len(to) == 0 || len(all) == 0 {
		return nil
	}
	return buildDatagramsUpTo(maxUncompressedBatch, Datagram{To: to, Kind: kind, Urgent: urgent}, all)
}

func buildDatagramsUpTo(maxBytes int, template Datagram, all [][]byte) (out []Datagram) {
	for len(all) > 0 {
		size, n := 0, 0
		for n < len(all) && (n == 0 || size+len(all[n]) < maxBytes) {
			size += len(all[n])
			n++
		}
		d := template
		d.Messages = bytes.Join(all[:n], nil)
		if n > 1 && len(d.Encode()) > MaxDatagramBytes {
			out = append(out, buildDatagramsUpTo(size/2, template, all[:n])...)
		} else {
			out = append(out, d)
		}
		all = all[n:]
	}
	return out
}
