package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// MaxDatagramBytes is the most bytes of a datagram that links carry in one piece.
	MaxDatagramBytes = 1400
	// mostPacked is how many bytes of messages are tried to be packed into one
	// datagram: messages are much alike, and take about half of their size.
	mostPacked = 2400
	// leastPacked is the size below which packing isn't worth its time.
	leastPacked = 400
	// mostUnpacked bounds what is unpacked of a datagram, in bytes.
	mostUnpacked = 64 << 10
)

// The first byte of a datagram holds its kind and these bits.
const (
	// urgentBit says that it doesn't wait for a round.
	urgentBit = 0x80
	// packedBit says that its messages are packed (RFC 1951).
	packedBit = 0x40
)

// Datagram is what to send.
type Datagram struct {
	To   []uint32
	Kind Kind
	// Urgent datagrams are sent on at once.
	Urgent bool
	// Messages in their encoded form, one after the other.
	Messages []byte
	// encoded is what Encode returns, once it was needed.
	encoded []byte
}

// ErrUnknownKind means that bytes aren't a datagram of this package.
var ErrUnknownKind = errors.New("datagram without a known kind")

// Encode returns the bytes to write.
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
	if len(d.Messages) >= leastPacked {
		if b := packed(head|packedBit, d.Messages); len(b) <= len(d.Messages) {
			return b
		}
	}
	return append([]byte{head}, d.Messages...)
}

// Decode is the opposite of Encode; the result has no receivers. Its messages
// don't share memory with b.
func Decode(b []byte) (Datagram, error) {
	const bits = urgentBit | packedBit
	if len(b) == 0 || b[0]&^bits >= kinds {
		return Datagram{}, ErrUnknownKind
	}
	d := Datagram{Kind: Kind(b[0] &^ bits), Urgent: b[0]&urgentBit != 0}
	if b[0]&packedBit == 0 {
		d.Messages = bytes.Clone(b[1:])
		return d, nil
	}
	var err error
	d.Messages, err = unpacked(b[1:])
	return d, err
}

// Packers hold some hundred kilobytes; there is one for each goroutine that
// packs at the same time.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// Only an unknown level is refused.
		panic(err)
	}
	return w
}}

var unpackers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

func packed(head byte, messages []byte) []byte {
	var b bytes.Buffer
	b.WriteByte(head)
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	// A buffer takes everything.
	_, _ = w.Write(messages)
	_ = w.Close()
	return b.Bytes()
}

func unpacked(b []byte) ([]byte, error) {
	r := unpackers.Get().(io.ReadCloser)
	defer unpackers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(b), nil); err != nil {
		return nil, errors.Wrap(err, "packed datagram")
	}
	messages, err := io.ReadAll(io.LimitReader(r, mostUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "packed datagram")
	}
	if len(messages) > mostUnpacked {
		return nil, errors.New("packed datagram is too large")
	}
	return messages, nil
}

// pack puts messages into as few datagrams as possible.
func pack(kind Kind, urgent bool, to []uint32, lists ...[][]byte) []Datagram {
	var all [][]byte
	for _, messages := range lists {
		all = append(all, messages...)
	}
	if len(to) == 0 || len(all) == 0 {
		return nil
	}
	return packUpTo(mostPacked, Datagram{To: to, Kind: kind, Urgent: urgent}, all)
}

func packUpTo(most int, like Datagram, all [][]byte) (out []Datagram) {
	for len(all) > 0 {
		size, n := 0, 0
		for n < len(all) && (n == 0 || size+len(all[n]) < most) {
			size += len(all[n])
			n++
		}
		d := like
		d.Messages = bytes.Join(all[:n], nil)
		if n > 1 && len(d.Encode()) > MaxDatagramBytes {
			out = append(out, packUpTo(size/2, like, all[:n])...)
		} else {
			out = append(out, d)
		}
		all = all[n:]
	}
	return out
}
