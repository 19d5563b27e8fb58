package fleet

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxResponseBytes bounds the body of a response. The largest one has maxDecisions
// records of about 1 KiB each.
const maxResponseBytes = 8 << 20

// ErrBodyTooLarge reports a response that is too long to be one of an instance.
var ErrBodyTooLarge = errors.New("response body exceeds 8 MiB")

// bodyLimit is a RoundTripper that bounds the bodies of responses after their
// decompression, as the generated client reads each body as a whole.
type bodyLimit struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (l bodyLimit) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, left: maxResponseBytes}
	return resp, nil
}

// limitedBody fails with ErrBodyTooLarge at the first byte beyond the limit.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, ErrBodyTooLarge
	}
	// One byte more than is left tells a body that ends at the limit from a longer one.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n - 1, ErrBodyTooLarge
	}
	return n, err
}
