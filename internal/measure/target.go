// Package measure times requests at a steady rate: straight to a server and
// through an entry instance, in the same run.
package measure

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Target is where requests go, in turn to each of its addresses.
type Target struct {
	urls   []string
	header http.Header
	http   *http.Client
}

const (
	requestTimeout = 5 * time.Second
	// idleConnections are kept, so that the rate makes no connections anew.
	idleConnections = 512
	outcomeHeader   = "Foxtailspoke-Outcome"
)

// NewTarget returns a target of GET requests with these headers.
func NewTarget(addresses []string, path string, header http.Header) *Target {
	t := &Target{
		header: header,
		http: &http.Client{
			Timeout:   requestTimeout,
			Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: idleConnections},
		},
	}
	for _, address := range addresses {
		t.urls = append(t.urls, "http://"+address+path)
	}
	return t
}

// errRefused is an answer that isn't the backend server's.
var errRefused = errors.New("measure: refused")

// send sends one request and reads its answer whole.
func (t *Target) send(ctx context.Context, number int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, t.urls[number%len(t.urls)], nil)
	if err != nil {
		return errors.Wrap(err, "measure: request")
	}
	r.Header = t.header.Clone()
	response, err := t.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "measure: send")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Wrap(err, "measure: answer")
	}
	outcome := response.Header.Get(outcomeHeader)
	if response.StatusCode != http.StatusOK || (outcome != "" && outcome != "served") {
		return errors.Mark(errors.Newf("%s %s", response.Status, outcome), errRefused)
	}
	return nil
}
