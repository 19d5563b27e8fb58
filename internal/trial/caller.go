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

// Caller is a customer's program: it asks which addresses to use, keeps the
// answer as long as it may, and sends its requests there.
type Caller struct {
	first   string
	key     string
	http    *http.Client
	located *oas.Located
	until   time.Time
}

// Response is what a caller saw.
type Response struct {
	Status  int
	Outcome string
	Request string
	Body    []byte
	// Problem is set if the answer is a refusal.
	Problem oas.Problem
	Latency    time.Duration
}

const callerTimeout = 30 * time.Second

// NewCaller returns a caller that knows one address of the system.
func NewCaller(first, key string) *Caller {
	return &Caller{first: first, key: key, http: &http.Client{Timeout: callerTimeout}}
}

// Key implements oas.SecuritySource.
func (c *Caller) Key(context.Context, oas.OperationName) (oas.Key, error) {
	return oas.Key{Token: c.key}, nil
}

// Addresses asks which addresses to use, unless the last answer still holds.
func (c *Caller) Addresses(ctx context.Context) ([]string, error) {
	if time.Now().Before(c.until) {
		return c.located.Addresses, nil
	}
	located, err := c.locate(ctx, 0)
	if err != nil {
		return nil, err
	}
	c.located = located
	c.until = time.Now().Add(time.Duration(located.TtlSeconds) * time.Second)
	return located.Addresses, nil
}

// Operation asks for an operation key.
func (c *Caller) Operation(ctx context.Context) (oas.Operation, error) {
	located, err := c.locate(ctx, 1)
	if err != nil {
		return oas.Operation{}, err
	}
	if len(located.Operations) == 0 {
		return oas.Operation{}, errors.New("trial: no operation key")
	}
	return located.Operations[0], nil
}

func (c *Caller) locate(ctx context.Context, operations int) (*oas.Located, error) {
	client, err := oas.NewClient("http://"+c.first, c, oas.WithClient(c.http))
	if err != nil {
		return nil, errors.Wrap(err, "trial: locate")
	}
	located, err := client.Locate(ctx, oas.LocateParams{Operations: oas.NewOptInt(operations)})
	return located, errors.Wrap(err, "trial: locate")
}

// Send sends a request to the first of the addresses that accepts it.
func (c *Caller) Send(ctx context.Context, method, path, operation string, body []byte) (Response, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return Response{}, err
	}
	var failed error
	for _, address := range addresses {
		a, err := c.SendTo(ctx, address, method, path, operation, body)
		if err == nil {
			return a, nil
		}
		failed = err
	}
	return Response{}, errors.Wrap(failed, "trial: no address answered")
}

// SendTo sends a request to one address.
func (c *Caller) SendTo(ctx context.Context, address, method, path, operation string, body []byte) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, "trial: request")
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	if operation != "" {
		r.Header.Set("Idempotency-Key", operation)
	}
	start := time.Now()
	response, err := c.http.Do(r)
	if err != nil {
		return Response{}, errors.Wrap(err, "trial: send")
	}
	defer func() { _ = response.Body.Close() }()
	return read(response, start)
}

func read(response *http.Response, start time.Time) (Response, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, errors.Wrap(err, "trial: answer broke off")
	}
	a := Response{
		Status:  response.StatusCode,
		Outcome: response.Header.Get(wire.HeaderOutcome),
		Request: response.Header.Get(wire.HeaderRequest),
		Body:    body,
		Latency:    time.Since(start),
	}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		_ = json.Unmarshal(body, &a.Problem)
	}
	return a, nil
}
