// Package measure compares the latency of requests sent at a fixed rate directly to a
// backend server and through an entry instance, in the same run.
package measure

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Target sends requests to a set of addresses in turn.
type Target struct {
	urls   []string
	header http.Header
	http   *http.Client
}

const (
	requestTimeout = 5 * time.Second
	// idleConnections are kept open, so that steady load opens no new connections.
	idleConnections = 512
	outcomeHeader   = "Foxtailspoke-Outcome"
)

// NewTarget returns a target for GET requests to a path with these headers.
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

// errRefused marks an answer that didn't come from the backend server or had another
// status than 200.
var errRefused = errors.New("measure: request refused")

// send sends one request and reads its complete answer.
func (t *Target) send(ctx context.Context, number int) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, t.urls[number%len(t.urls)], nil)
	if err != nil {
		return errors.Wrap(err, "measure: create request")
	}
	r.Header = t.header.Clone()
	response, err := t.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "measure: send request")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Wrap(err, "measure: read answer")
	}
	outcome := response.Header.Get(outcomeHeader)
	if response.StatusCode != http.StatusOK || (outcome != "" && outcome != "served") {
		return errors.Mark(errors.Newf("%s %s", response.Status, outcome), errRefused)
	}
	return nil
}
