package evidence

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Row is a changed row.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Deleted bool
	// Version of the row.
	Version uint64
}

// maxUnpacked bounds what Unpack makes of a datagram.
const maxUnpacked = 64 << 10

// Pack compresses rows. Entries of servers are much alike, and a slow link loses
// the last datagrams of a long burst.
func Pack(rows []Row) ([]byte, error) {
	if len(rows) == 0 {
		return nil, nil
	}
	plain, err := cbor.Marshal(rows)
	if err != nil {
		return nil, errors.Wrap(err, "rows")
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "rows")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "rows")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "rows")
	}
	return b.Bytes(), nil
}

// Unpack is the opposite of Pack.
func Unpack(packed []byte) ([]Row, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked))
	if err != nil {
		return nil, errors.Wrap(err, "rows")
	}
	var rows []Row
	return rows, errors.Wrap(cbor.Unmarshal(plain, &rows), "rows")
}
