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

// bearer is the operators' token for the generated client.
type bearer string

func (b bearer) OperatorToken(context.Context, oas.OperationName) (oas.OperatorToken, error) {
	return oas.OperatorToken{Token: string(b)}, nil
}

func (w *world) operators(e *entry.Entry) *oas.Client {
	c, err := oas.NewClient("http://"+e.Addresses().OperatorAddress, bearer(token), oas.WithClient(w.http))
	must.NoError(w.t, err)
	return c
}

// ruleOf waits for the record of a request.
func (w *world) ruleOf(e *entry.Entry, request string) (rule string) {
	eventually(w.t, "a record of "+request, func() bool {
		found, err := w.operators(e).ListDecisions(context.Background(), oas.ListDecisionsParams{Request: oas.NewOptString(request)})
		if err != nil || len(found.Decisions) == 0 {
			return false
		}
		rule = found.Decisions[0].Rule
		return true
	})
	return rule
}

func (w *world) metrics(e *entry.Entry) string {
	return w.callAt(e.Addresses().OperatorAddress, http.MethodGet, "/metrics", token, nil, nil).body
}

// A caller hangs up, or stops reading, in the middle of a large download.
// The instance can't write on. Taken as a cut answer that would be evidence
// against the backend server, and callers with bad lines would get healthy
// servers ejected.
func TestCallerThatLeavesADownloadIsNoEvidence(t *testing.T) {
	w := newWorld(t, options{adjust: func(s *settings.Settings) { s.Callers.WriteTimeout = config.Duration(300 * time.Millisecond) }})
	e := w.entries[0]
	for name, leave := range map[string]func(net.Conn){
		"hangs up":      func(c net.Conn) { _ = c.Close() },
		"reads no more": func(net.Conn) {},
	} {
		conn := w.dial(e)
		_, err := fmt.Fprintf(conn, "GET /catalogue/large?size=60000000 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", w.key)
		must.NoError(t, err)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, answer.StatusCode)
		request := answer.Header.Get(wire.HeaderRequest)
		leave(conn)
		must.Eq(t, "caller-gone", w.ruleOf(e, request), must.Sprint(name))
	}
}

// A caller reads slowly but steadily, longer in all than the write timeout.
// That bounds silence, not the download.
func TestSteadyReaderGetsAll(t *testing.T) {
	w := newWorld(t, options{adjust: func(s *settings.Settings) { s.Callers.WriteTimeout = config.Duration(300 * time.Millisecond) }})
	conn := w.dial(w.entries[0])
	const size = 30_000_000
	_, err := fmt.Fprintf(conn, "GET /catalogue/large?size=%d HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", size, w.key)
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

// A caller's photo turns out longer than accepted while its beginning is on
// its way. The backend server gets half a request through no fault of its own.
func TestFailedUploadIsNoEvidence(t *testing.T) {
	w := newWorld(t, options{adjust: func(s *settings.Settings) { s.Callers.MaxBodyBytes = 1 << 20 }})
	e := w.entries[0]
	before, _ := w.catalogue.Executions()
	r := w.call(e, http.MethodPost, "/catalogue/photo", w.key, io.MultiReader(strings.NewReader(strings.Repeat("x", 2<<20))), nil)
	t.Log(r.status, r.body, r.err)
	eventually(t, "the attempt ends", func() bool { return strings.Contains(w.metrics(e), `result="cancelled"`) })
	must.StrNotContains(t, w.metrics(e), `result="incomplete"`)
	after, _ := w.catalogue.Executions()
	must.Eq(t, len(before), len(after))
}

// The backend server never answers and the caller hangs up. Nothing of the
// exchange may stay: not at the backend server, whose slot comes free, and
// not here, which goleak and the count of open requests tell.
func TestCallerGoneFreesEverything(t *testing.T) {
	w := newWorld(t, options{})
	e := w.entries[0]
	must.NoError(t, w.catalogue.SetFaults(standin.BackendFaults{HangRatio: 1}))
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, (&url.URL{Scheme: "http", Host: e.Addresses().Address, Path: "/catalogue/a"}).String(), nil)
	must.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+w.key)
	ended := make(chan error, 1)
	go func() {
		answer, err := w.http.Do(r)
		if err == nil {
			_ = answer.Body.Close()
		}
		ended <- err
	}()
	eventually(t, "the work begins", func() bool { return w.catalogue.Load().InFlight > 0 })
	cancel()
	must.ErrorIs(t, <-ended, context.Canceled)
	eventually(t, "the slot is free", func() bool { return w.catalogue.Load().InFlight == 0 })
	must.NoError(t, w.catalogue.SetFaults(standin.BackendFaults{}))
	must.Eq(t, http.StatusOK, w.get(e, "/catalogue/a", w.key).status)
}

func TestOperatorsNeedTheToken(t *testing.T) {
	w := newWorld(t, options{})
	address := w.entries[0].Addresses().OperatorAddress
	for _, path := range []string{"/v1/status", "/v1/decisions", "/v1/in-force/1", "/metrics"} {
		for _, wrong := range []string{"", "x", token + "x", token[:len(token)-1], w.key} {
			r := w.callAt(address, http.MethodGet, path, wrong, nil, nil)
			must.Eq(t, http.StatusUnauthorized, r.status, must.Sprint(path, wrong))
			must.StrNotContains(t, r.body, token)
		}
	}
	must.Eq(t, http.StatusOK, w.callAt(address, http.MethodGet, "/v1/status", token, nil, nil).status)
	must.Eq(t, http.StatusOK, w.callAt(address, http.MethodGet, "/metrics", token, nil, nil).status)
}

// A busy run with refusals, faults, an outage and malformed requests, after
// which everything that was logged at debug level, kept as records or counted
// is searched for keys, secrets and bodies.
func TestNothingSecretIsLoggedOrCounted(t *testing.T) {
	w := newWorld(t, options{entries: 2, adjust: func(s *settings.Settings) { s.Log.Level = "debug" }})
	body, query := "a-door-for-mrs-santos", "card=4111-1111"
	located := w.get(w.entries[0], "/-/v1/locate?operations=1", w.full)
	_, rest, _ := strings.Cut(located.body, `"key":"`)
	operation, _, _ := strings.Cut(rest, `"`)
	busy := func() {
		for _, e := range w.entries {
			for _, key := range []string{w.key, w.full, "fsk_unknown-key-123", ""} {
				w.get(e, "/catalogue/a?"+query, key)
				w.call(e, http.MethodPost, "/orders/1?"+query, key, strings.NewReader(body), map[string]string{"Idempotency-Key": operation})
				w.get(e, "/catalogue/../"+key, key)
				w.get(e, "/-/v1/locate", key)
				w.callAt(e.Addresses().OperatorAddress, http.MethodGet, "/v1/status", key, nil, nil)
			}
			for _, address := range []string{e.Addresses().Address, e.Addresses().PeerAddress, e.Addresses().OperatorAddress} {
				conn, err := net.Dial("tcp", address)
				must.NoError(t, err)
				_, _ = io.WriteString(conn, "NONSENSE "+w.key+"\r\nAuthorization:"+w.full+"\r\n\r\n")
				_ = conn.Close()
			}
		}
	}
	busy()
	must.NoError(t, w.catalogue.SetFaults(standin.BackendFaults{ErrorRatio: 0.4, CrossedRatio: 0.3, HalfRatio: 0.3}))
	busy()
	must.NoError(t, w.platform.SetFaults(standin.PlatformFaults{Table: standin.TableFaults{ServiceFaults: standin.ServiceFaults{Down: standin.DownClosed}}}))
	busy()
	must.NoError(t, w.platform.SetFaults(standin.PlatformFaults{}))
	all := w.log.text()
	must.StrContains(t, all, "instance started")
	for _, e := range w.entries {
		all += w.metrics(e)
		found, err := w.operators(e).ListDecisions(context.Background(), oas.ListDecisionsParams{Limit: oas.NewOptInt(1000)})
		must.NoError(t, err)
		must.Positive(t, len(found.Decisions))
		text, err := found.MarshalJSON()
		must.NoError(t, err)
		all += string(text)
	}
	for _, hidden := range []string{w.key, w.full, "fsk_", token, secret, body, query, operation, "4111-1111"} {
		at := strings.Index(all, hidden)
		must.Eq(t, -1, at, must.Sprintf("%q in …%s…", hidden, all[max(at-200, 0):min(max(at+200, 0), len(all))]))
	}
}

// An instance stops as planned and waits for the answers that named it to run
// out. Meanwhile the platform lists it as ended, and what keeps it announced
// ends the tree. Run must come back; it once waited for the tree's end twice.
func TestStopEndsAlsoWhenTheTreeEndsFirst(t *testing.T) {
	w := newWorld(t, options{adjust: func(s *settings.Settings) { s.Fleet.LocateTTL = config.Duration(time.Hour) }})
	self := w.entries[0].Addresses()
	w.stops[0]()
	eventually(t, "it stops", func() bool { return strings.Contains(w.log.text(), "planned stop begun") })
	self.State = storage.Ended
	must.NoError(t, w.client.Announce(context.Background(), self))
	select {
	case <-w.ends[0]:
	case <-time.After(patience):
		t.Error("Run doesn't come back")
	}
}

// An order under an operation key hangs at its backend server; one caller has
// hung up, another waits. The stop is patient for so long and no longer: the
// minute that the order may take isn't waited for, and the caller that is
// still there is told that its order may have run.
func TestStopDoesNotWaitForEver(t *testing.T) {
	hangs := make(chan struct{}, 8)
	w := newWorld(t, options{
		adjust: func(s *settings.Settings) { s.Stop.Timeout = config.Duration(300 * time.Millisecond) },
		own: func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				hangs <- struct{}{}
				<-r.Context().Done()
			}
			w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
		},
	})
	e := w.entries[0]
	eventually(t, "the own service is known", func() bool { return w.get(e, "/own/", w.full).status == http.StatusOK })
	gone := w.dial(e)
	_, err := fmt.Fprintf(gone, "POST /own/ HTTP/1.1\r\nHost: x\r\nIdempotency-Key: mine\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", w.full)
	must.NoError(t, err)
	<-hangs
	_ = gone.Close()
	waits := make(chan reply, 1)
	go func() { waits <- w.call(e, http.MethodPost, "/own/", w.full, nil, nil) }()
	<-hangs
	w.stops[0]()
	select {
	case <-w.ends[0]:
	case <-time.After(patience):
		t.Error("Run doesn't come back")
	}
	r := <-waits
	must.NoError(t, r.err)
	must.Eq(t, "unknown", r.header.Get(wire.HeaderOutcome))
	must.StrContains(t, w.log.text(), `"cut":2`)
}
