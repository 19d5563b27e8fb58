package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/api/operator/oas"
	"foxtailspoke/config"
	"foxtailspoke/entry"
	"foxtailspoke/entry/settings"
	"foxtailspoke/internal/standin"
	"foxtailspoke/storage"
	"foxtailspoke/wire"
)

// bearer implements the token source of the generated client.
type bearer string

func (b bearer) OperatorToken(context.Context, oas.OperationName) (oas.OperatorToken, error) {
	return oas.OperatorToken{Token: string(b)}, nil
}

func (env *environment) operators(e *entry.Entry) *oas.Client {
	c, err := oas.NewClient("http://"+e.Addresses().OperatorAddress, bearer(token), oas.WithClient(env.http))
	must.NoError(env.t, err)
	return c
}

// ruleOf waits for the record of a request and returns its rule.
func (env *environment) ruleOf(e *entry.Entry, request string) (rule string) {
	eventually(env.t, "a record of "+request, func() bool {
		found, err := env.operators(e).ListDecisions(context.Background(), oas.ListDecisionsParams{Request: oas.NewOptString(request)})
		if err != nil || len(found.Decisions) == 0 {
			return false
		}
		rule = found.Decisions[0].Rule
		return true
	})
	return rule
}

func (env *environment) metrics(e *entry.Entry) string {
	return env.callAt(e.Addresses().OperatorAddress, http.MethodGet, "/metrics", token, nil, nil).body
}

// A caller disconnects or stops reading during a large download, so the
// instance's writes fail. This must not count as a truncated answer of the
// backend server: callers with bad connections would get healthy servers
// ejected.
func TestAbandonedDownloadIsNotServerFailure(t *testing.T) {
	env := newEnvironment(t, options{adjust: func(s *settings.Settings) { s.Callers.WriteTimeout = config.Duration(300 * time.Millisecond) }})
	e := env.entries[0]
	for name, leave := range map[string]func(net.Conn){
		"disconnects":   func(c net.Conn) { _ = c.Close() },
		"stops reading": func(net.Conn) {},
	} {
		conn := env.dial(e)
		_, err := fmt.Fprintf(conn, "GET /catalogue/large?size=60000000 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", env.key)
		must.NoError(t, err)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, answer.StatusCode)
		request := answer.Header.Get(wire.HeaderRequest)
		leave(conn)
		must.Eq(t, "caller-gone", env.ruleOf(e, request), must.Sprint(name))
	}
}

// A caller reads slowly but steadily for longer than the write timeout. The
// timeout limits the time without progress, not the whole download.
func TestSlowSteadyReaderGetsWholeAnswer(t *testing.T) {
	env := newEnvironment(t, options{adjust: func(s *settings.Settings) { s.Callers.WriteTimeout = config.Duration(300 * time.Millisecond) }})
	conn := env.dial(env.entries[0])
	const size = 30_000_000
	_, err := fmt.Fprintf(conn, "GET /catalogue/large?size=%d HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", size, env.key)
	must.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	part := make([]byte, size/40)
	total := 0
	for range 40 {
		time.Sleep(20 * time.Millisecond)
		n, err := io.ReadFull(answer.Body, part)
		must.NoError(t, err)
		total += n
	}
	must.Eq(t, size, total)
}

// A chunked upload exceeds the body limit after its first part has been sent
// to the backend server. The incomplete request must not count as a failure of
// the server.
func TestRejectedUploadIsNotServerFailure(t *testing.T) {
	env := newEnvironment(t, options{adjust: func(s *settings.Settings) { s.Callers.MaxBodyBytes = 1 << 20 }})
	e := env.entries[0]
	before, _ := env.catalogue.Executions()
	r := env.call(e, http.MethodPost, "/catalogue/photo", env.key, io.MultiReader(strings.NewReader(strings.Repeat("x", 2<<20))), nil)
	t.Log(r.status, r.body, r.err)
	eventually(t, "the attempt ends", func() bool { return strings.Contains(env.metrics(e), `result="cancelled"`) })
	must.StrNotContains(t, env.metrics(e), `result="incomplete"`)
	after, _ := env.catalogue.Executions()
	must.Eq(t, len(before), len(after))
}

// The backend server never answers and the caller disconnects. All resources
// of the request must be released: the slot at the backend server, which its
// in-flight count shows, and the goroutines here, which goleak checks.
func TestCallerDisconnectReleasesResources(t *testing.T) {
	env := newEnvironment(t, options{})
	e := env.entries[0]
	must.NoError(t, env.catalogue.SetFaults(standin.BackendFaults{HangRatio: 1}))
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, (&url.URL{Scheme: "http", Host: e.Addresses().Address, Path: "/catalogue/a"}).String(), nil)
	must.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+env.key)
	ended := make(chan error, 1)
	go func() {
		answer, err := env.http.Do(r)
		if err == nil {
			_ = answer.Body.Close()
		}
		ended <- err
	}()
	eventually(t, "the work begins", func() bool { return env.catalogue.Load().InFlight > 0 })
	cancel()
	must.ErrorIs(t, <-ended, context.Canceled)
	eventually(t, "the slot is free", func() bool { return env.catalogue.Load().InFlight == 0 })
	must.NoError(t, env.catalogue.SetFaults(standin.BackendFaults{}))
	must.Eq(t, http.StatusOK, env.get(e, "/catalogue/a", env.key).status)
}

func TestOperatorsNeedTheToken(t *testing.T) {
	env := newEnvironment(t, options{})
	address := env.entries[0].Addresses().OperatorAddress
	for _, path := range []string{"/v1/status", "/v1/decisions", "/v1/in-force/1", "/metrics"} {
		for _, wrong := range []string{"", "x", token + "x", token[:len(token)-1], env.key} {
			r := env.callAt(address, http.MethodGet, path, wrong, nil, nil)
			must.Eq(t, http.StatusUnauthorized, r.status, must.Sprint(path, wrong))
			must.StrNotContains(t, r.body, token)
		}
	}
	must.Eq(t, http.StatusOK, env.callAt(address, http.MethodGet, "/v1/status", token, nil, nil).status)
	must.Eq(t, http.StatusOK, env.callAt(address, http.MethodGet, "/metrics", token, nil, nil).status)
}

// After a run with refusals, faults, a platform outage and malformed requests,
// the debug log, the decision records and the metrics must contain no keys,
// secrets, bodies or queries.
func TestNothingSecretIsLoggedOrCounted(t *testing.T) {
	env := newEnvironment(t, options{entries: 2, adjust: func(s *settings.Settings) { s.Log.Level = "debug" }})
	body, query := "a-door-for-mrs-santos", "card=4111-1111"
	located := env.get(env.entries[0], "/-/v1/locate?operations=1", env.full)
	_, rest, _ := strings.Cut(located.body, `"key":"`)
	operation, _, _ := strings.Cut(rest, `"`)
	sendTraffic := func() {
		for _, e := range env.entries {
			for _, key := range []string{env.key, env.full, "fsk_unknown-key-123", ""} {
				env.get(e, "/catalogue/a?"+query, key)
				env.call(e, http.MethodPost, "/orders/1?"+query, key, strings.NewReader(body), map[string]string{"Idempotency-Key": operation})
				env.get(e, "/catalogue/../"+key, key)
				env.get(e, "/-/v1/locate", key)
				env.callAt(e.Addresses().OperatorAddress, http.MethodGet, "/v1/status", key, nil, nil)
			}
			for _, address := range []string{e.Addresses().Address, e.Addresses().PeerAddress, e.Addresses().OperatorAddress} {
				conn, err := net.Dial("tcp", address)
				must.NoError(t, err)
				_, _ = io.WriteString(conn, "NONSENSE "+env.key+"\r\nAuthorization:"+env.full+"\r\n\r\n")
				_ = conn.Close()
			}
		}
	}
	sendTraffic()
	must.NoError(t, env.catalogue.SetFaults(standin.BackendFaults{ErrorRatio: 0.4, MismatchedRatio: 0.3, TruncatedRatio: 0.3}))
	sendTraffic()
	must.NoError(t, env.platform.SetFaults(standin.PlatformFaults{Table: standin.TableFaults{ServiceFaults: standin.ServiceFaults{Down: standin.DownClosed}}}))
	sendTraffic()
	must.NoError(t, env.platform.SetFaults(standin.PlatformFaults{}))
	all := env.log.text()
	must.StrContains(t, all, "instance started")
	for _, e := range env.entries {
		all += env.metrics(e)
		found, err := env.operators(e).ListDecisions(context.Background(), oas.ListDecisionsParams{Limit: oas.NewOptInt(1000)})
		must.NoError(t, err)
		must.Positive(t, len(found.Decisions))
		text, err := found.MarshalJSON()
		must.NoError(t, err)
		all += string(text)
	}
	for _, hidden := range []string{env.key, env.full, "fsk_", token, secret, body, query, operation, "4111-1111"} {
		at := strings.Index(all, hidden)
		must.Eq(t, -1, at, must.Sprintf("%q in …%s…", hidden, all[max(at-200, 0):min(max(at+200, 0), len(all))]))
	}
}

// While a stopping instance waits for locate answers to expire, the platform
// lists it as ended, and the announcer terminates the tree. Run must return
// and not wait for the end of the tree a second time.
func TestStopReturnsWhenTreeEndsFirst(t *testing.T) {
	env := newEnvironment(t, options{adjust: func(s *settings.Settings) { s.Fleet.LocateTTL = config.Duration(time.Hour) }})
	self := env.entries[0].Addresses()
	env.stops[0]()
	eventually(t, "it stops", func() bool { return strings.Contains(env.log.text(), "planned stop begun") })
	self.State = storage.Ended
	must.NoError(t, env.client.Announce(context.Background(), self))
	select {
	case <-env.ends[0]:
	case <-time.After(waitTimeout):
		t.Error("Run did not return in time")
	}
}

// Two requests hang at their backend server, one with an operation key whose
// caller has disconnected, the other with a waiting caller. The stop must end
// after the stop timeout, not after the service's timeout of a minute, and the
// waiting caller must get the outcome unknown.
func TestStopIsBoundedByTimeout(t *testing.T) {
	started := make(chan struct{}, 8)
	env := newEnvironment(t, options{
		adjust: func(s *settings.Settings) { s.Stop.Timeout = config.Duration(300 * time.Millisecond) },
		own: func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				started <- struct{}{}
				<-r.Context().Done()
			}
			w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		},
	})
	e := env.entries[0]
	eventually(t, "the own service is known", func() bool { return env.get(e, "/own/", env.full).status == http.StatusOK })
	disconnected := env.dial(e)
	_, err := fmt.Fprintf(disconnected, "POST /own/ HTTP/1.1\r\nHost: x\r\nIdempotency-Key: mine\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", env.full)
	must.NoError(t, err)
	<-started
	_ = disconnected.Close()
	waiting := make(chan reply, 1)
	go func() { waiting <- env.call(e, http.MethodPost, "/own/", env.full, nil, nil) }()
	<-started
	env.stops[0]()
	select {
	case <-env.ends[0]:
	case <-time.After(waitTimeout):
		t.Error("Run did not return in time")
	}
	r := <-waiting
	must.NoError(t, r.err)
	must.Eq(t, "unknown", r.header.Get(wire.HeaderOutcome))
	must.StrContains(t, env.log.text(), `"cut":2`)
}
