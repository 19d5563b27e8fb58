package callers

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"

	"foxtailspoke/api/caller/oas"
	"foxtailspoke/config"
	"foxtailspoke/decision"
	"foxtailspoke/node"
)

// api implements the generated server interfaces.
type api struct{ c *Service }

func newAPI(c *Service) (http.Handler, error) {
	a := api{c}
	server, err := oas.NewServer(a, a)
	return server, errors.Wrap(err, "callers: create API server")
}

// refusal is a refused request as an error for the generated server.
type refusal struct{ answer }

// Error implements error.
func (r refusal) Error() string { return string(r.answer.refusal.Rule) }

type keyContextKey struct{}

// HandleKey implements oas.SecurityHandler. It only hashes the key; the node
// validates it.
func (a api) HandleKey(ctx context.Context, _ oas.OperationName, k oas.Key) (context.Context, error) {
	return context.WithValue(ctx, keyContextKey{}, config.HashKey(k.Token)), nil
}

// Locate implements oas.Handler.
func (a api) Locate(ctx context.Context, p oas.LocateParams) (*oas.Located, error) {
	key, hasKey := ctx.Value(keyContextKey{}).(config.KeyHash)
	at := time.Now()
	x := newExchange(decision.NewRequestID(a.c.instance, at, a.c.requestNumber.Add(1)), nil, nil)
	a.c.add(x)
	defer a.c.remove(x, "")
	a.c.loop.Submit(node.LocateAsked{Request: x.id, At: at, Key: key, HasKey: hasKey, Operations: p.Operations.Or(0)})
	select {
	case answer := <-x.answers:
		if answer.refusal != nil {
			return nil, refusal{answer}
		}
		return located(answer.located), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func located(l *node.Located) *oas.Located {
	out := &oas.Located{Addresses: l.Addresses, TtlSeconds: wholeSeconds(l.TTL), Operations: []oas.Operation{}}
	for _, key := range l.Operations {
		out.Operations = append(out.Operations, oas.Operation{Key: key, Address: l.Self})
	}
	return out
}

// Live implements oas.Handler.
func (a api) Live(context.Context) error { return nil }

// Ready implements oas.Handler.
func (a api) Ready(context.Context) error {
	rule, ready := a.c.ready()
	if ready {
		return nil
	}
	record := decision.Record{Instance: a.c.instance, Rule: rule, Outcome: decision.NotRun, RetryAfter: time.Second}
	return refusal{answer{refusal: &record}}
}

// NewError implements oas.Handler.
func (a api) NewError(_ context.Context, err error) *oas.ProblemStatusCode {
	var refused refusal
	if errors.As(err, &refused) {
		p := problem(*refused.answer.refusal, refused.addresses)
		return &oas.ProblemStatusCode{StatusCode: p.Status, Response: p}
	}
	record := decision.Record{Instance: a.c.instance, Rule: decision.RuleInternal, Outcome: decision.NotRun}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) {
		record.Rule = decision.RuleNoKey
	}
	p := problem(record, nil)
	return &oas.ProblemStatusCode{StatusCode: p.Status, Response: p}
}
