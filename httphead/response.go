package httphead

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrInvalidResponse is the cause of a response that isn't one of HTTP/1.1, though net/http accepts
// it.
var ErrInvalidResponse = errors.New("invalid HTTP response")

// CheckResponse checks what net/http accepts in the head of a response. It returns an
// ErrInvalidResponse for a status below 100 and a switch of protocols, which nothing asks for.
func CheckResponse(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrInvalidResponse, "status %03d", r.StatusCode)
	}
	return nil
}
