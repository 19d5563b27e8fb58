package httphead

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidResponse is the cause of a response that isn't one of HTTP/1.1, though net/http accepts
// it.
var ErrInvalidResponse = errors.New("invalid HTTP response")

// CheckResponse checks what net/http accepts in the head of a response. It returns an
// ErrInvalidResponse for a status below 100, a switch of protocols, which nothing asks for, and
// field names that aren't tokens: with a blank before the colon, net/http doesn't take Content-Length
// and Transfer-Encoding for what they are.
func CheckResponse(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrInvalidResponse, "status %03d", r.StatusCode)
	}
	return CheckNames(r.Header)
}

// CheckNames returns an ErrInvalidResponse for field names that aren't tokens.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalidResponse, "field name %.40q", name)
		}
	}
	return nil
}

// Transport is a RoundTripper that fails for responses that CheckResponse rejects.
type Transport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
