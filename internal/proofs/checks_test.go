package proofs

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
)

// Each history check must report its own kind of fault and nothing else. A check
// that reports nothing would let the fault-injection tests pass regardless of
// the history.
func TestChecksFindFaults(t *testing.T) {
	start := time.Unix(1000, 0)
	get := sentRequest{workspace: "w", key: "k", service: "s", method: "GET", path: "/1", status: 200, outcome: "served", answer: []byte("s GET /1 workspace=w\n"), transmissions: 1}
	post := sentRequest{workspace: "w", service: "s", method: "POST", path: "/2", outcome: "unknown", transmissions: 1}
	ran := func(method, path string, after time.Duration) execution {
		return execution{standin.Execution{Workspace: "w", Method: method, Path: path}, "s", start.Add(after)}
	}
	with := func(s sentRequest, f func(*sentRequest)) sentRequest { f(&s); return s }
	notRun := func(s *sentRequest) { s.outcome, s.status, s.answer = "not-run", 429, nil }

	history := []execution{ran("GET", "/1", 0), ran("POST", "/2", 0)}
	must.SliceEmpty(t, repeatedExecutions(append(history, ran("GET", "/1", 0))), must.Sprint("an idempotent request may run twice"))
	must.Len(t, 1, repeatedExecutions(append(history, ran("POST", "/2", 0))))

	for _, c := range []struct {
		name    string
		request sentRequest
		ran     []execution
		found   int
	}{
		{"served and executed once", get, history, 0},
		{"answered not-run but executed", with(get, notRun), history, 1},
		{"answered not-run and not executed", with(get, notRun), history[1:], 0},
		{"resent by the HTTP client library", with(with(get, notRun), func(s *sentRequest) { s.transmissions = 2 }), history, 0},
		{"answered served but not executed", get, history[1:], 1},
		{"answered ran-before but not executed", with(post, func(s *sentRequest) { s.outcome = "ran-before" }), history[:1], 1},
		{"answered unknown and executed", post, history, 0},
		{"truncated answer", with(get, func(s *sentRequest) { s.answer = s.answer[:len(s.answer)-1] }), history, 1},
		{"answer shorter than the requested size", with(get, func(s *sentRequest) { s.size = 100 }), history, 1},
		{"answer to another request", with(get, func(s *sentRequest) { s.answer = []byte("s GET /3 workspace=w\n") }), history, 1},
		{"answer for another workspace", with(get, func(s *sentRequest) { s.answer = []byte("s GET /1 workspace=v\n") }), history, 1},
	} {
		must.Len(t, c.found, incorrectAnswers([]sentRequest{c.request}, c.ran), must.Sprint(c.name))
	}
	must.SliceEmpty(t, incorrectAnswers([]sentRequest{post, with(post, notRun)}, history), must.Sprint("another send of the same operation may have run"))

	allowed := map[bucket]config.Limit{{"w", "s"}: {Rate: 10, Burst: 2}}
	atRate := []execution{ran("GET", "/1", 0), ran("GET", "/2", 0), ran("GET", "/3", 100*time.Millisecond), ran("GET", "/4", 200*time.Millisecond)}
	must.SliceEmpty(t, limitViolations(atRate, allowed, 0))
	must.SliceEmpty(t, limitViolations(append(atRate, ran("GET", "/4", 200*time.Millisecond)), allowed, 0), must.Sprint("a second attempt of a request is not counted"))
	must.Len(t, 1, limitViolations(append(atRate, ran("GET", "/5", 250*time.Millisecond)), allowed, 0))
	must.Len(t, 1, limitViolations(atRate, nil, 0), must.Sprint("a workspace without a configured limit"))

	late := []execution{ran("GET", "/1", 3001*time.Millisecond), ran("POST", "/2", time.Hour)}
	must.Len(t, 1, executionsAfterWithdrawal([]sentRequest{get, post}, late, "k", start, 3*time.Second))
	must.SliceEmpty(t, executionsAfterWithdrawal([]sentRequest{get}, late, "k", start.Add(time.Second), 3*time.Second))

	var r revisions
	r.add("a", 5, 2)
	r.add("b", 4, 1)
	r.add("a", 5, 2)
	must.SliceEmpty(t, r.faults)
	r.add("a", 4, 2)
	r.add("b", 4, 0)
	must.Len(t, 2, r.faults)
}
