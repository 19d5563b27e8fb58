package evidence

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Row is a changed row of a table.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Deleted bool
	// Version of the row.
	Version uint64
}

// maxDecompressedSize bounds the memory that Unpack uses for a datagram, in
// bytes.
const maxDecompressedSize = 64 << 10

// Pack encodes and compresses rows. Server rows resemble each other and
// compress well, and slow links drop the last datagrams of a long burst.
func Pack(rows []Row) ([]byte, error) {
	if len(rows) == 0 {
		return nil, nil
	}
	plain, err := cbor.Marshal(rows)
	if err != nil {
		return nil, errors.Wrap(err, "encode rows")
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "create row compressor")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress rows")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress rows")
	}
	return b.Bytes(), nil
}

// Unpack decodes the output of Pack.
func Unpack(packed []byte) ([]Row, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDecompressedSize))
	if err != nil {
		return nil, errors.Wrap(err, "decompress rows")
	}
	var rows []Row
	return rows, errors.Wrap(cbor.Unmarshal(plain, &rows), "decode rows")
}
