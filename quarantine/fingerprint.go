package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Fingerprint identifies requests that backend servers can't tell apart, such as the repeats
// of a caller. It is never 0.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request; target is its path and query. The
// API key and the id of the attempt aren't part of it.
//
// It is cryptographic, so that no caller can have the request of another one withheld.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, host, target} {
		// The length keeps the parts apart.
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	h.Write(body)
	return max(Fingerprint(binary.BigEndian.Uint64(h.Sum(nil))), 1)
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
