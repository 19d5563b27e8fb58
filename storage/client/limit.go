package client

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

var errAnswerTooLong = errors.New("answer too long")

// limitedTransport bounds the bodies of answers. Without it a platform gone
// wrong could fill the memory of every instance at once.
type limitedTransport struct {
	next      http.RoundTripper
	maxAnswer int64
}

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, left: t.maxAnswer}
	return resp, nil
}

type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader. It fails once more than the bound was read.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n, errAnswerTooLong
	}
	return n, err
}
