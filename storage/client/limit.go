package client

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

var errResponseTooLarge = errors.New("response body exceeds size limit")

// limitedTransport limits the size of response bodies. Without the limit, a
// faulty platform could exhaust the memory of all instances at once.
type limitedTransport struct {
	next     http.RoundTripper
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, remaining: t.maxBytes}
	return resp, nil
}

type limitedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader. It fails once the limit has been exceeded.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n, errResponseTooLarge
	}
	return n, err
}
