package operator

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/api/operator/oas"
	"foxtailspoke/decision"
)

func TestTokenCheck(t *testing.T) {
	for _, tc := range []struct {
		token, given string
		want         bool
	}{{"a", "a", true}, {"a", "b", false}, {"a", "", false}, {"", "", false}, {"", "a", false}} {
		_, err := NewTokenCheck(tc.token).HandleOperatorToken(context.Background(), "", oas.OperatorToken{Token: tc.given})
		must.Eq(t, tc.want, err == nil, must.Sprintf("%+v", tc))
	}
}

// What an operator reads over the API must be what the instance decided, down
// to the last figure.
func TestRecordsSurviveTheAPI(t *testing.T) {
	full := decision.Record{
		Request: "r", At: time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC), Instance: "i", Workspace: "w", Service: "s", Method: "GET",
		Outcome: decision.NotRun, Rule: decision.RuleRateExceeded, Server: "b", Attempts: 2, Took: 1234567 * time.Microsecond,
		RetryAfter: 1200 * time.Millisecond, SimilarSkipped: 15,
		Figures: decision.Figures{
			Plan: "p", Rate: 0.3, Burst: 7, Tokens: 0.25, Parts: 20, Age: 4200 * time.Millisecond, AgeLimit: 3 * time.Second, Revision: 9,
			Timeout: 2 * time.Second, Waited: time.Millisecond, Servers: 10, Usable: 4, Size: 3, MaxSize: 2, Detail: "d",
		},
	}
	for _, r := range []decision.Record{full, {Rule: decision.RuleServed, Outcome: decision.Served}} {
		shown := FromRecord(r)
		must.NoError(t, shown.Validate())
		must.Eq(t, r.Sentence(), shown.Sentence)
		must.Eq(t, r, ToRecord(shown))
	}
}
