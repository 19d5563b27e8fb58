package proofs

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
)

// Each check of a history finds the fault that it is for, and only that one.
// Otherwise the long runs would pass whatever happened.
func TestChecksFindFaults(t *testing.T) {
	start := time.Unix(1000, 0)
	get := send{workspace: "w", key: "k", service: "s", method: "GET", path: "/1", status: 200, outcome: "served", answer: []byte("s GET /1 workspace=w\n"), written: 1}
	post := send{workspace: "w", service: "s", method: "POST", path: "/2", outcome: "unknown", written: 1}
	ran := func(method, path string, after time.Duration) execution {
		return execution{standin.Execution{Workspace: "w", Method: method, Path: path}, "s", start.Add(after)}
	}
	with := func(s send, f func(*send)) send { f(&s); return s }
	notRun := func(s *send) { s.outcome, s.status, s.answer = "not-run", 429, nil }

	history := []execution{ran("GET", "/1", 0), ran("POST", "/2", 0)}
	must.SliceEmpty(t, ranTwice(append(history, ran("GET", "/1", 0))), must.Sprint("a lookup may run twice"))
	must.Len(t, 1, ranTwice(append(history, ran("POST", "/2", 0))))

	for _, c := range []struct {
		name  string
		send  send
		ran   []execution
		found int
	}{
		{"as promised", get, history, 0},
		{"not run, and ran", with(get, notRun), history, 1},
		{"not run, and didn't", with(get, notRun), history[1:], 0},
		{"the caller's library sent it twice", with(with(get, notRun), func(s *send) { s.written = 2 }), history, 0},
		{"served, and never ran", get, history[1:], 1},
		{"ran before, and never ran", with(post, func(s *send) { s.outcome = "ran-before" }), history[:1], 1},
		{"unknown, and ran", post, history, 0},
		{"half", with(get, func(s *send) { s.answer = s.answer[:len(s.answer)-1] }), history, 1},
		{"half of a large one", with(get, func(s *send) { s.size = 100 }), history, 1},
		{"another's", with(get, func(s *send) { s.answer = []byte("s GET /3 workspace=w\n") }), history, 1},
		{"another workspace's", with(get, func(s *send) { s.answer = []byte("s GET /1 workspace=v\n") }), history, 1},
	} {
		must.Len(t, c.found, falseAnswers([]send{c.send}, c.ran), must.Sprint(c.name))
	}
	must.SliceEmpty(t, falseAnswers([]send{post, with(post, notRun)}, history), must.Sprint("another send of it may have run"))

	allowed := map[bucket]config.Limit{{"w", "s"}: {Rate: 10, Burst: 2}}
	atRate := []execution{ran("GET", "/1", 0), ran("GET", "/2", 0), ran("GET", "/3", 100*time.Millisecond), ran("GET", "/4", 200*time.Millisecond)}
	must.SliceEmpty(t, overLimit(atRate, allowed, 0))
	must.SliceEmpty(t, overLimit(append(atRate, ran("GET", "/4", 200*time.Millisecond)), allowed, 0), must.Sprint("a second attempt"))
	must.Len(t, 1, overLimit(append(atRate, ran("GET", "/5", 250*time.Millisecond)), allowed, 0))
	must.Len(t, 1, overLimit(atRate, nil, 0), must.Sprint("a workspace without a limit"))

	late := []execution{ran("GET", "/1", 3001*time.Millisecond), ran("POST", "/2", time.Hour)}
	must.Len(t, 1, afterWithdrawal([]send{get, post}, late, "k", start, 3*time.Second))
	must.SliceEmpty(t, afterWithdrawal([]send{get}, late, "k", start.Add(time.Second), 3*time.Second))

	var r revisions
	r.add("a", 5, 2)
	r.add("b", 4, 1)
	r.add("a", 5, 2)
	must.SliceEmpty(t, r.faults)
	r.add("a", 4, 2)
	r.add("b", 4, 0)
	must.Len(t, 2, r.faults)
}
