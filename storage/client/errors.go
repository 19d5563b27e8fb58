package client

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"foxtailspoke/api/platform/oas"
	"foxtailspoke/storage"
)

var (
	// ErrNotFound reports that the requested object does not exist.
	ErrNotFound = errors.New("platform: no such object")
	// ErrEnded reports an announcement by an instance that the platform has
	// declared ended. The process must restart with a new ID.
	ErrEnded = errors.New("platform: instance has ended")
	// ErrMalformed reports a request that was rejected as invalid and had no
	// effect.
	ErrMalformed = errors.New("platform: malformed request")
)

// rejectionError returns the error to report if the platform rejected the
// request, and nil if the outcome of the request is unknown.
func rejectionError(err error) error {
	var p *oas.ProblemStatusCode
	if !errors.As(err, &p) {
		return nil
	}
	switch p.StatusCode {
	case http.StatusGone:
		return fmt.Errorf("%w: %s", ErrEnded, formatProblem(p))
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return nil
	}
	if p.StatusCode >= 400 && p.StatusCode < 500 {
		return fmt.Errorf("%w: %s", ErrMalformed, formatProblem(p))
	}
	return nil
}

func formatProblem(p *oas.ProblemStatusCode) string {
	return fmt.Sprintf("status %d: %s: %s", p.StatusCode, p.Response.Title, p.Response.Detail.Or(""))
}

// callError returns the error of a failed idempotent call.
func callError(err error) error {
	if rejected := rejectionError(err); rejected != nil {
		return rejected
	}
	return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
}
