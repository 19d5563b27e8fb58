package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"

	"github.com/cockroachdb/errors"

	"foxtailspoke/api/operator/oas"
)

// ErrToken reports a wrong operators' token.
var ErrToken = errors.New("operator API: wrong token")

// TokenCheck lets in who has the operators' token. It implements
// oas.SecurityHandler.
type TokenCheck struct{ hash [sha256.Size]byte }

// NewTokenCheck returns a check for a token. An empty token lets nobody in.
func NewTokenCheck(token string) *TokenCheck {
	if token == "" {
		return nil
	}
	return &TokenCheck{hash: sha256.Sum256([]byte(token))}
}

// HandleOperatorToken implements oas.SecurityHandler. The hashes are compared
// in constant time, so that the time tells neither the token's length nor how
// much of it was right.
func (c *TokenCheck) HandleOperatorToken(ctx context.Context, _ oas.OperationName, t oas.OperatorToken) (context.Context, error) {
	given := sha256.Sum256([]byte(t.Token))
	if c == nil || subtle.ConstantTimeCompare(given[:], c.hash[:]) != 1 {
		return nil, ErrToken
	}
	return ctx, nil
}
