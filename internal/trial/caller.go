package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/api/caller/oas"
	"foxtailspoke/wire"
)

// Caller is a client of the caller API. It locates entry addresses, caches them
// for their TTL and sends its requests to them.
type Caller struct {
	bootstrap string
	key       string
	http      *http.Client
	located   *oas.Located
	expires   time.Time
}

// Response is the response to a caller's request.
type Response struct {
	Status  int
	Outcome string
	Request string
	Body    []byte
	// Problem is set if the response body is application/problem+json.
	Problem oas.Problem
	Latency time.Duration
}

const callerTimeout = 30 * time.Second

// NewCaller returns a caller that locates entry addresses through the entry
// instance at bootstrap, "ip:port".
func NewCaller(bootstrap, key string) *Caller {
	return &Caller{bootstrap: bootstrap, key: key, http: &http.Client{Timeout: callerTimeout}}
}

// Key implements oas.SecuritySource.
func (c *Caller) Key(context.Context, oas.OperationName) (oas.Key, error) {
	return oas.Key{Token: c.key}, nil
}

// Addresses returns the located entry addresses, from the cache within their TTL.
func (c *Caller) Addresses(ctx context.Context) ([]string, error) {
	if time.Now().Before(c.expires) {
		return c.located.Addresses, nil
	}
	located, err := c.locate(ctx, 0)
	if err != nil {
		return nil, err
	}
	c.located = located
	c.expires = time.Now().Add(time.Duration(located.TtlSeconds) * time.Second)
	return located.Addresses, nil
}

// Operation requests a new operation key.
func (c *Caller) Operation(ctx context.Context) (oas.Operation, error) {
	located, err := c.locate(ctx, 1)
	if err != nil {
		return oas.Operation{}, err
	}
	if len(located.Operations) == 0 {
		return oas.Operation{}, errors.New("trial: locate returned no operation key")
	}
	return located.Operations[0], nil
}

func (c *Caller) locate(ctx context.Context, operations int) (*oas.Located, error) {
	client, err := oas.NewClient("http://"+c.bootstrap, c, oas.WithClient(c.http))
	if err != nil {
		return nil, errors.Wrap(err, "trial: locate")
	}
	located, err := client.Locate(ctx, oas.LocateParams{Operations: oas.NewOptInt(operations)})
	return located, errors.Wrap(err, "trial: locate")
}

// Send sends a request to the located addresses in order until one responds.
func (c *Caller) Send(ctx context.Context, method, path, operation string, body []byte) (Response, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return Response{}, err
	}
	var lastErr error
	for _, address := range addresses {
		a, err := c.SendTo(ctx, address, method, path, operation, body)
		if err == nil {
			return a, nil
		}
		lastErr = err
	}
	return Response{}, errors.Wrap(lastErr, "trial: no address responded")
}

// SendTo sends a request to the given address.
func (c *Caller) SendTo(ctx context.Context, address, method, path, operation string, body []byte) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, "trial: create request")
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	if operation != "" {
		r.Header.Set("Idempotency-Key", operation)
	}
	start := time.Now()
	response, err := c.http.Do(r)
	if err != nil {
		return Response{}, errors.Wrap(err, "trial: send request")
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(response, start)
}

func readResponse(response *http.Response, start time.Time) (Response, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, errors.Wrap(err, "trial: read response body")
	}
	a := Response{
		Status:  response.StatusCode,
		Outcome: response.Header.Get(wire.HeaderOutcome),
		Request: response.Header.Get(wire.HeaderRequest),
		Body:    body,
		Latency: time.Since(start),
	}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		_ = json.Unmarshal(body, &a.Problem)
	}
	return a, nil
}
