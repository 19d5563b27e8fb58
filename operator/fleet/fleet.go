// Package fleet queries entry instances through their operator API. It
// implements operator.Fleet.
package fleet

import (
	"context"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	api "foxtailspoke/api/operator"
	"foxtailspoke/api/operator/oas"
	"foxtailspoke/decision"
	"foxtailspoke/httphead"
	"foxtailspoke/operator"
	"foxtailspoke/storage"
)

// DefaultTimeout limits one request to one instance.
const DefaultTimeout = 2 * time.Second

// maxDecisions is the maximum number of records in one API response.
const maxDecisions = 1000

// ErrNoAddress reports an instance without an operator address.
var ErrNoAddress = errors.New("instance does not publish an operator API address")

// Fleet is a client of the instances that the platform lists. It is safe for
// concurrent use.
type Fleet struct {
	instances storage.Instances
	token     string
	client    *http.Client

	mu      sync.Mutex
	clients map[string]*oas.Client
}

var _ operator.Fleet = (*Fleet)(nil)

// New returns a fleet with the operators' token. A timeout of 0 means
// DefaultTimeout.
func New(instances storage.Instances, token string, timeout time.Duration) *Fleet {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Fleet{
		instances: instances,
		token:     token,
		client:    &http.Client{Timeout: timeout, Transport: bodyLimit{httphead.Transport{Next: http.DefaultTransport}}},
		clients:   map[string]*oas.Client{},
	}
}

// ReadToken reads a token from a file and trims surrounding white space.
func ReadToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errors.Newf("token file %s is empty", path)
	}
	return token, nil
}

// Entries implements operator.Fleet.
func (f *Fleet) Entries(ctx context.Context) ([]storage.Instance, error) {
	all, err := f.instances.List(ctx, 0)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	var entries []storage.Instance
	for _, i := range all.Changed {
		if i.Kind == storage.Entry && i.State != storage.Ended {
			entries = append(entries, i)
		}
	}
	return entries, nil
}

// Status implements operator.Fleet.
func (f *Fleet) Status(ctx context.Context, entry storage.Instance) (*oas.Status, error) {
	c, err := f.clientFor(entry)
	if err != nil {
		return nil, err
	}
	return c.GetStatus(ctx)
}

// InForce implements operator.Fleet.
func (f *Fleet) InForce(ctx context.Context, entry storage.Instance, r storage.Revision) (*oas.InForce, error) {
	c, err := f.clientFor(entry)
	if err != nil {
		return nil, err
	}
	return c.GetInForce(ctx, oas.GetInForceParams{Revision: uint64(r)})
}

// Decisions implements operator.Fleet.
func (f *Fleet) Decisions(ctx context.Context, entry storage.Instance, q decision.Query) (operator.Decisions, error) {
	c, err := f.clientFor(entry)
	if err != nil {
		return operator.Decisions{}, err
	}
	answer, err := c.ListDecisions(ctx, listParams(q))
	if err != nil {
		return operator.Decisions{}, err
	}
	d := operator.Decisions{Dropped: answer.Dropped}
	for _, record := range answer.Decisions {
		d.Records = append(d.Records, api.ToRecord(record))
	}
	return d, nil
}

func listParams(q decision.Query) oas.ListDecisionsParams {
	p := oas.ListDecisionsParams{
		Request:   oas.OptString{Value: q.Request, Set: q.Request != ""},
		Workspace: oas.OptString{Value: q.Workspace, Set: q.Workspace != ""},
		Since:     oas.OptDateTime{Value: q.Since, Set: !q.Since.IsZero()},
		Limit:     oas.NewOptInt(maxDecisions),
	}
	if q.Limit > 0 {
		p.Limit = oas.NewOptInt(min(q.Limit, maxDecisions))
	}
	return p
}

func (f *Fleet) clientFor(entry storage.Instance) (*oas.Client, error) {
	if entry.OperatorAddress == "" {
		return nil, ErrNoAddress
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.clients[entry.OperatorAddress]; ok {
		return c, nil
	}
	c, err := oas.NewClient("http://"+entry.OperatorAddress, tokenSource(f.token), oas.WithClient(f.client))
	if err != nil {
		return nil, errors.Wrap(err, "create operator API client")
	}
	f.clients[entry.OperatorAddress] = c
	return c, nil
}

// tokenSource supplies the operators' token to the generated client.
type tokenSource string

func (t tokenSource) OperatorToken(context.Context, oas.OperationName) (oas.OperatorToken, error) {
	return oas.OperatorToken{Token: string(t)}, nil
}
