package entry_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/entry/settings"
	"foxtailspoke/internal/standin"
	"foxtailspoke/wire"
)

func TestAnswersAndRefusals(t *testing.T) {
	env := newEnvironment(t, options{})
	e := env.entries[0]
	till := env.giveKey("till")
	eventually(t, "the key is known", func() bool { return env.get(e, "/catalogue/a", till).status == http.StatusTooManyRequests })
	cases := []struct {
		name, method, path, key string
		status                  int
		outcome, rule           string
		retry                   bool
	}{
		{"served", "GET", "/catalogue/a?x=1", env.key, 200, "served", "", false},
		{"head", "HEAD", "/catalogue/a", env.key, 200, "served", "", false},
		{"options", "OPTIONS", "/catalogue/a", env.key, 200, "served", "", false},
		{"no key", "GET", "/catalogue/a", "", 401, "not-run", "no-key", false},
		{"unknown key", "GET", "/catalogue/a", "fsk_none", 401, "not-run", "key-unknown", false},
		{"not in plan", "GET", "/orders/1", env.key, 403, "not-run", "service-not-in-plan", false},
		{"no route", "GET", "/nowhere/", env.key, 404, "not-run", "no-route", false},
		{"over rate", "GET", "/catalogue/a", till, 429, "not-run", "over-rate", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := env.call(e, c.method, c.path, c.key, nil, nil)
			must.NoError(t, r.err)
			must.Eq(t, c.status, r.status)
			must.Eq(t, c.outcome, r.header.Get(wire.HeaderOutcome))
			must.NotEq(t, "", r.header.Get(wire.HeaderRequest))
			must.Eq(t, "", r.header.Get(wire.HeaderAttempt))
			must.Eq(t, c.retry, r.header.Get("Retry-After") != "")
			if c.rule == "" {
				return
			}
			p := r.problem(t)
			must.Eq(t, c.rule, p["rule"].(string))
			must.Eq(t, c.outcome, p["outcome"].(string))
			must.Eq(t, r.header.Get(wire.HeaderRequest), p["request"].(string))
			must.StrContains(t, p["type"].(string), c.rule)
			must.NotEq(t, "", p["detail"].(string))
			must.Eq(t, c.retry, p["retryAfterSeconds"] != nil)
		})
	}
}

// A path such as /catalogue/..%2Forders/1 matches the catalogue's route by its
// prefix, but a backend server or proxy that unescapes and cleans paths reads
// /orders/1, which the workspace's plan doesn't include. Such paths must be
// refused before anything is sent.
func TestAmbiguousPathsAreRefused(t *testing.T) {
	env := newEnvironment(t, options{})
	e := env.entries[0]
	before, _ := env.catalogue.Executions()
	for _, target := range []string{
		"/catalogue/../orders/1", "/catalogue/./a", "/catalogue/%2e%2e/orders/1", "/catalogue/..%2forders/1",
		"/catalogue/..%5Corders/1", `/catalogue/..\orders/1`, "/catalogue//orders/1", "//catalogue/a", "/catalogue/..;x/orders/1",
		"/catalogue/;/a", "/catalogue/%252e%252e/orders/1", "/catalogue/a%00b", "/catalogue/..", "/./-/v1/live",
		"/catalogue/%252e./", "/catalogue/a%0d%0ab",
	} {
		t.Run(target, func(t *testing.T) {
			conn := env.dial(e)
			_, err := fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n", target, env.key)
			must.NoError(t, err)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			text, err := io.ReadAll(answer.Body)
			must.NoError(t, err)
			must.Eq(t, http.StatusBadRequest, answer.StatusCode)
			must.StrContains(t, string(text), `"rule":"bad-request"`)
			must.Eq(t, wire.OutcomeNotRun, answer.Header.Get(wire.HeaderOutcome))
		})
	}
	after, _ := env.catalogue.Executions()
	must.Eq(t, len(before), len(after))
	for _, plain := range []string{"/catalogue/a/", "/catalogue/a%20b", "/catalogue/a;v=1", "/catalogue/...", "/catalogue/%C5%9F", "/catalogue/a%25b", "/%63atalogue/a"} {
		must.Eq(t, http.StatusOK, env.get(e, plain, env.key).status, must.Sprint(plain))
	}
}

func TestLocateLiveReady(t *testing.T) {
	env := newEnvironment(t, options{entries: 2})
	e := env.entries[0]
	r := env.get(e, "/-/v1/locate?operations=2", env.full)
	must.Eq(t, http.StatusOK, r.status)
	must.StrContains(t, r.body, `"addresses":["127.0.0.1:`)
	must.Eq(t, 2, strings.Count(r.body, `"key"`))
	must.Eq(t, http.StatusUnauthorized, env.get(e, "/-/v1/locate", "").status)
	must.Eq(t, http.StatusUnauthorized, env.get(e, "/-/v1/locate", "fsk_none").status)
	must.Eq(t, http.StatusNoContent, env.get(e, "/-/v1/live", "").status)
	must.Eq(t, http.StatusNoContent, env.get(e, "/-/v1/ready", "").status)
	must.Eq(t, http.StatusNotFound, env.get(e, "/-/v1/else", env.full).status)
}

// One instance issues an operation key, and requests with the key arrive at
// all instances, repeatedly, and are forwarded. The backend server must
// execute the operation exactly once.
func TestOperationRunsOnceAcrossInstances(t *testing.T) {
	env := newEnvironment(t, options{entries: 3})
	located := env.get(env.entries[0], "/-/v1/locate?operations=1", env.full)
	_, rest, ok := strings.Cut(located.body, `"key":"`)
	must.True(t, ok)
	operation, _, _ := strings.Cut(rest, `"`)
	before, _ := env.orders.Executions()
	var bodies []string
	for _, e := range append(env.entries, env.entries...) {
		r := env.call(e, http.MethodPost, "/orders/", env.full, strings.NewReader("one door"), map[string]string{"Idempotency-Key": operation})
		must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body))
		bodies = append(bodies, r.body)
	}
	after, _ := env.orders.Executions()
	must.Eq(t, len(before)+1, len(after))
	for _, body := range bodies {
		must.Eq(t, bodies[0], body)
	}
}

func TestLargeUploadAndAnswerAreComplete(t *testing.T) {
	env := newEnvironment(t, options{})
	e := env.entries[0]
	photo := strings.Repeat("splinter", 1<<17)
	for _, header := range []map[string]string{nil, {"Expect": "100-continue"}} {
		r := env.call(e, http.MethodPost, "/catalogue/photo", env.key, strings.NewReader(photo), header)
		must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body))
		all, _ := env.catalogue.Executions()
		last := all[len(all)-1]
		sum := sha256.Sum256([]byte(photo))
		must.Eq(t, hex.EncodeToString(sum[:]), last.BodySHA256)
	}
	large := env.get(e, "/catalogue/large?size=3000000", env.key)
	must.NoError(t, large.err)
	must.GreaterEq(t, 3_000_000, len(large.body))
}

// A backend server aborts a large answer after its first bytes have been sent
// to the caller. The connection to the caller must be aborted too: a normal
// end would make a truncated answer look complete, above all with chunked
// encoding, where there is no content length to compare with.
func TestTruncatedAnswerAbortsConnection(t *testing.T) {
	env := newEnvironment(t, options{own: func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		if r.URL.Path == "/own/ready" {
			return
		}
		_, _ = w.Write(make([]byte, 1<<20))
		panic(http.ErrAbortHandler)
	}})
	e := env.entries[0]
	eventually(t, "the own service is known", func() bool { return env.get(e, "/own/ready", env.full).status == http.StatusOK })
	must.NoError(t, env.catalogue.SetFaults(standin.BackendFaults{TruncatedRatio: 1}))
	for _, r := range []reply{env.get(e, "/own/chunks", env.full), env.get(e, "/catalogue/large?size=3000000", env.key)} {
		must.Eq(t, http.StatusOK, r.status)
		must.Error(t, r.err)
		must.Positive(t, len(r.body))
	}
}

// Hop-by-hop headers must not be forwarded in either direction, and answers
// that must not have a body have none. Other headers are forwarded.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	seen := make(chan http.Header, 1)
	env := newEnvironment(t, options{own: func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		h.Set("Connection", "X-Hop, keep-alive")
		h.Set("X-Hop", "1")
		h.Set("X-Kept", "1")
		h.Add("Set-Cookie", "a=1")
		h.Add("Set-Cookie", "b=2")
		h.Set("ETag", `"v1"`)
		h.Set("Foxtailspoke-Forged", "1")
		status, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/own/"))
		select {
		case seen <- r.Header:
		default:
		}
		w.WriteHeader(status)
		if status == http.StatusOK {
			_, _ = io.WriteString(w, "whole")
		}
	}})
	e := env.entries[0]
	eventually(t, "the own service is known", func() bool { return env.get(e, "/own/200", env.full).status == http.StatusOK })
	<-seen
	for _, c := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"GET", "/own/200", 200, "whole"},
		{"HEAD", "/own/200", 200, ""},
		{"GET", "/own/204", 204, ""},
		{"GET", "/own/304", 304, ""},
		{"POST", "/own/201", 201, ""},
		{"GET", "/own/404", 404, ""},
	} {
		r := env.call(e, c.method, c.path, env.full, strings.NewReader("upload"), map[string]string{
			"Expect": "100-continue", "Connection": "X-Mine", "X-Mine": "1", "X-Passed": "1", "Cookie": "c=1",
			wire.HeaderWorkspace: "workshop-of-another", wire.HeaderForwarded: "",
		})
		must.NoError(t, r.err)
		must.Eq(t, c.status, r.status)
		must.Eq(t, c.body, r.body)
		must.Eq(t, "", r.header.Get("X-Hop")+r.header.Get("Foxtailspoke-Forged"))
		must.Eq(t, "1", r.header.Get("X-Kept"))
		must.Eq(t, `"v1"`, r.header.Get("ETag"))
		must.Eq(t, []string{"a=1", "b=2"}, r.header.Values("Set-Cookie"))
		got := <-seen
		must.Eq(t, "", got.Get("X-Mine")+got.Get("Expect")+got.Get("Authorization")+got.Get("Cookie"))
		must.Eq(t, "1", got.Get("X-Passed"))
		must.Eq(t, []string{"workshop"}, got.Values(wire.HeaderWorkspace))
	}
}

func TestLimitsAreNamed(t *testing.T) {
	env := newEnvironment(t, options{adjust: func(s *settings.Settings) {
		s.Callers.MaxBodyBytes = 1 << 20
		s.Callers.HeaderTimeout = config.Duration(200 * time.Millisecond)
		s.Callers.MaxConnections = 8
	}})
	e := env.entries[0]
	t.Run("body with a length", func(t *testing.T) {
		r := env.call(e, http.MethodPost, "/catalogue/a", env.key, strings.NewReader(strings.Repeat("x", 2<<20)), nil)
		must.Eq(t, http.StatusRequestEntityTooLarge, r.status)
		must.Eq(t, "too-large", r.problem(t)["rule"].(string))
	})
	t.Run("header", func(t *testing.T) {
		r := env.call(e, http.MethodGet, "/catalogue/a", env.key, nil, map[string]string{"X-Long": strings.Repeat("x", 64<<10)})
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, r.status)
	})
	t.Run("slow header", func(t *testing.T) {
		conn := env.dial(e)
		_, err := io.WriteString(conn, "GET /catalogue/a HTTP/1.1\r\nHost:")
		must.NoError(t, err)
		start := time.Now()
		_, err = io.ReadAll(conn)
		must.NoError(t, err)
		must.Less(t, 5*time.Second, time.Since(start))
	})
	t.Run("flood of connections", func(t *testing.T) {
		for range 40 {
			_ = env.dial(e)
		}
		// The header timeout closes the idle connections, which frees the limit.
		r := env.get(e, "/catalogue/a", env.key)
		if r.status != http.StatusOK {
			t.Logf("refused: %v", r.problem(t))
		}
		must.Eq(t, http.StatusOK, r.status)
	})
}
