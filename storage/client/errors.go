package client

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"foxtailspoke/api/platform/oas"
	"foxtailspoke/storage"
)

var (
	// ErrNotFound reports that there is no object with the name asked for.
	ErrNotFound = errors.New("platform: no such object")
	// ErrEnded reports an announcement by an instance that the platform has
	// declared ended. The process must start again with a new id.
	ErrEnded = errors.New("platform: instance has ended")
	// ErrMalformed reports a request that the platform refused to take. It
	// had no effect.
	ErrMalformed = errors.New("platform: malformed request")
)

// refusal returns the error to report if the platform said that the request
// was wrong, and nil if it is unknown what the platform did with it.
func refusal(err error) error {
	var p *oas.ProblemStatusCode
	if !errors.As(err, &p) {
		return nil
	}
	switch p.StatusCode {
	case http.StatusGone:
		return fmt.Errorf("%w: %s", ErrEnded, describe(p))
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return nil
	}
	if p.StatusCode >= 400 && p.StatusCode < 500 {
		return fmt.Errorf("%w: %s", ErrMalformed, describe(p))
	}
	return nil
}

func describe(p *oas.ProblemStatusCode) string {
	return fmt.Sprintf("status %d: %s: %s", p.StatusCode, p.Response.Title, p.Response.Detail.Or(""))
}

// failed returns the error of a call that may be repeated without harm.
func failed(err error) error {
	if refused := refusal(err); refused != nil {
		return refused
	}
	return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
}
