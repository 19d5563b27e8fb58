// Package operators serves the operator API and the metrics of an instance.
package operators

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"

	"foxtailspoke/api/operator"
	"foxtailspoke/api/operator/oas"
	"foxtailspoke/decision"
	"foxtailspoke/entry/records"
	"foxtailspoke/membership"
	"foxtailspoke/node"
	"foxtailspoke/storage"
)

// ErrStopped reports that the instance's event loop has stopped.
var ErrStopped = errors.New("operators: the instance has stopped")

// Loop runs functions on the node's event loop. Its methods return false once
// the loop has stopped.
type Loop interface {
	Do(func(n *node.Node, now time.Duration)) bool
	DoAndDispatch(func(n *node.Node, now time.Duration) []node.Effect) bool
}

// Service implements the generated operator API.
type Service struct {
	instance string
	loop     Loop
	records  *records.Writer
}

// New returns the handler of the operator address: the API under /v1/ and the
// metrics under /metrics. Both require the bearer token.
func New(instance string, token []byte, l Loop, w *records.Writer, metrics http.Handler) (http.Handler, error) {
	s := &Service{instance: instance, loop: l, records: w}
	check := operator.NewTokenCheck(string(token))
	api, err := oas.NewServer(s, check)
	if err != nil {
		return nil, errors.Wrap(err, "operators: API")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api)
	mux.Handle("GET /metrics", requireToken(check, metrics))
	return mux, nil
}

// requireToken rejects requests without the operators' bearer token, using the
// same check as the API.
func requireToken(check *operator.TokenCheck, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if _, err := check.HandleOperatorToken(r.Context(), "", oas.OperatorToken{Token: token}); err != nil {
			http.Error(w, "the operators' token is needed", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// GetStatus implements oas.Handler.
func (s *Service) GetStatus(context.Context) (*oas.Status, error) {
	var status node.Status
	if !s.loop.Do(func(n *node.Node, now time.Duration) { status = n.Status(now) }) {
		return nil, ErrStopped
	}
	_, dropped := s.records.Search(decision.Query{Request: "-"})
	out := statusToAPI(status)
	out.DecisionsDropped = dropped
	return out, nil
}

// GetInForce implements oas.Handler. It starts collecting confirmations and
// returns those known so far; operators poll until the result is complete.
func (s *Service) GetInForce(_ context.Context, p oas.GetInForceParams) (*oas.InForce, error) {
	revision := storage.Revision(p.Revision)
	out := &oas.InForce{Revision: p.Revision, KnownBy: []string{}, Missing: []string{}}
	ok := s.loop.DoAndDispatch(func(n *node.Node, now time.Duration) []node.Effect {
		effects := n.Require(now, revision)
		inForce, known, missing := n.InForce(now, revision)
		out.InForce = inForce
		out.KnownBy = append(out.KnownBy, known...)
		out.Missing = append(out.Missing, missing...)
		return effects
	})
	if !ok {
		return nil, ErrStopped
	}
	return out, nil
}

// ListDecisions implements oas.Handler.
func (s *Service) ListDecisions(_ context.Context, p oas.ListDecisionsParams) (*oas.Decisions, error) {
	found, dropped := s.records.Search(decision.Query{
		Request:   p.Request.Or(""),
		Workspace: p.Workspace.Or(""),
		Since:     p.Since.Or(time.Time{}),
		Limit:     p.Limit.Or(0),
	})
	out := &oas.Decisions{Instance: s.instance, Dropped: dropped, Decisions: []oas.Decision{}}
	for _, r := range found {
		out.Decisions = append(out.Decisions, operator.FromRecord(r))
	}
	return out, nil
}

// NewError implements oas.Handler.
func (s *Service) NewError(_ context.Context, err error) *oas.ProblemStatusCode {
	status := http.StatusInternalServerError
	var security *ogenerrors.SecurityError
	switch {
	case errors.As(err, &security):
		status = http.StatusUnauthorized
	case errors.Is(err, ErrStopped):
		status = http.StatusServiceUnavailable
	}
	return &oas.ProblemStatusCode{
		StatusCode: status,
		Response:   oas.Problem{Status: status, Title: http.StatusText(status), Detail: oas.NewOptString(err.Error())},
	}
}

func sourceToAPI(state membership.State) oas.ConfirmationSource {
	switch state {
	case membership.ConfirmedByTable:
		return oas.ConfirmationSourceTable
	case membership.ConfirmedByWitnesses:
		return oas.ConfirmationSourceWitnesses
	default:
		return oas.ConfirmationSourceNone
	}
}
