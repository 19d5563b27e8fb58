package soak_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/standin"
)

// backend is a backend server. In a spell it resets four in five requests,
// after it has run them.
type backend struct {
	w    *world
	id   string
	http *httptest.Server
	// link is the way to it.
	link *standin.Link
	// writes counts its entries in the store.
	writes atomic.Int64

	mu       sync.Mutex
	bad      time.Time
	draining time.Time

	dataCentre string
	// coldTill is when the server bears its full load, and arrived when requests
	// came until then.
	coldTill time.Time
	arrived  []time.Time
	limit    limit
}

func newBackend(w *world, id, dataCentre string, cold time.Duration) *backend {
	b := &backend{w: w, id: id, dataCentre: dataCentre}
	b.http = httptest.NewServer(b)
	b.link = w.link(strings.TrimPrefix(b.http.URL, "http://"))
	b.coldTill = time.Now().Add(cold)
	b.list("ready")
	return b
}

func (b *backend) list(state string) {
	v, err := json.Marshal(map[string]any{
		"service": "s", "address": b.link.Address(), "zone": b.dataCentre, "slots": 4,
		"warmup_left_s": max(0, time.Until(b.coldTill).Seconds()),
		"state":         state, "seq": b.writes.Add(1), "born": 1790000000000,
	})
	must.NoError(b.w.t, err)
	b.w.store.Put("servers", b.id, v)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = time.Time{}
	if state == "draining" {
		b.draining = time.Now()
	}
}

func (b *backend) spell(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bad = time.Now().Add(d)
}

func (b *backend) ServeHTTP(wr http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	wr.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Expect-Instance") != b.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.w.ran(b, id, r)
	time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
	b.mu.Lock()
	bad := time.Now().Before(b.bad)
	b.mu.Unlock()
	if bad && rand.IntN(5) > 0 {
		panic(http.ErrAbortHandler)
	}
	wr.Header().Set("X-Response-Seal", "seal")
	if limit := b.named(); limit > 0 {
		wr.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', 2, 64))
	}
	_, _ = wr.Write([]byte(id + string(body)))
}

// ran checks what a backend server sees.
func (w *world) ran(b *backend, id string, r *http.Request) {
	now := time.Now()
	b.mu.Lock()
	draining := b.draining
	b.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], now)
	req, known := w.requests[id]
	w.checkPlace(b, id, now)
	w.checkLimit(b, now)
	switch {
	case !known:
		w.faults = append(w.faults, "a request ran that nobody sent: "+id)
		return
	case r.Header.Get("Authorization") != "" || r.Header.Get("X-Tenant") != workspaceOf(req.key):
		w.faults = append(w.faults, "a server saw a key, or another workspace: "+id)
	}
	if req.key == limitedKey {
		w.limited = append(w.limited, now)
	}
	if gone, ok := w.withdrawn[req.key]; ok && req.sent.After(gone.Add(revoke)) {
		w.faults = append(w.faults, fmt.Sprintf("%s ran, sent %v after its key was taken away", id, req.sent.Sub(gone)))
	}
	calm := now.Sub(w.disturbed) > keepsStill+drain
	if !draining.IsZero() && calm && req.sent.After(draining.Add(drain)) {
		w.faults = append(w.faults, fmt.Sprintf("%s reached %s %v after it began to drain", id, b.id, now.Sub(draining)))
	}
}

func workspaceOf(key string) string {
	if key == limitedKey {
		return "limited"
	}
	return "w"
}

// call is one caller: it asks for addresses, keeps the answer, and sends orders
// and lookups.
func (w *world) call(caller int) {
	var addresses []string
	var asked time.Time
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-time.After(time.Duration(10+rand.IntN(30)) * time.Millisecond):
		}
		if time.Since(asked) > time.Second || len(addresses) == 0 {
			if fresh := w.resolve(); len(fresh) > 0 {
				addresses, asked = fresh, time.Now()
			}
		}
		if len(addresses) > 0 {
			w.send(fmt.Sprintf("c%d-%d", caller, n), addresses[rand.IntN(len(addresses))], n%2 == 0, w.keyOf(caller))
		}
	}
}

// keyOf returns a caller's key. Two callers share that of the limited workspace
// and send several times what it may.
func (w *world) keyOf(caller int) string {
	if caller < 2 {
		return limitedKey
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.key
}

func (w *world) resolve() []string {
	resp, err := w.client.Get("http://" + w.at(rand.IntN(len(w.procs)), 2) + "/api/resolve?name=h&zone=dc-0")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var d struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&d) != nil {
		return nil
	}
	return d.Addresses
}

// send sends one request and checks what its caller sees.
func (w *world) send(id, address string, order bool, key string) bool {
	method, path := http.MethodGet, "/lookup/1"
	if order {
		method, path = http.MethodPost, "/order/1"
	}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("+"+id))
	must.NoError(w.t, err)
	// A body that can't be read again keeps the client from repeating.
	req.GetBody = nil
	sent := &request{key: key, order: order, sent: time.Now()}
	w.mu.Lock()
	w.requests[id] = sent
	w.mu.Unlock()
	req.Host = "h"
	req.Header.Set("Authorization", "Token "+sent.key)
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	resp, err := w.client.Do(req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		sent.failed = true
		return false
	}
	sent.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK && string(body) != id+"+"+id {
		w.faults = append(w.faults, fmt.Sprintf("%s got the answer %q", id, body))
	}
	return resp.StatusCode == http.StatusOK
}

// recovered checks that everybody is served again within the time for it once the
// faults have ended. A key that was given while the store was away works as soon as
// the instances have read of it.
func (w *world) recovered() {
	end := time.Now().Add(recovery)
	for n := range w.procs {
		for !w.ready(n) && time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	const tries = 40
	for round := 0; ; round++ {
		served := 0
		for i := range tries {
			if w.send(fmt.Sprintf("last-%d-%d", round, i), w.at(i%len(w.procs), 0), false, w.keyOf(callers)) {
				served++
			}
		}
		if served >= tries*9/10 {
			return
		}
		if time.Now().After(end) {
			w.mu.Lock()
			w.faults = append(w.faults, fmt.Sprintf("after the faults only %d of %d lookups were served", served, tries))
			w.mu.Unlock()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// check returns all broken promises.
func (w *world) check() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	faults := append([]string(nil), w.faults...)
	for id, r := range w.requests {
		n := len(w.runs[id])
		if r.order && n > 1 {
			faults = append(faults, fmt.Sprintf("order %s ran %d times", id, n))
		}
		notRun := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
		if notRun && r.order && n > 0 {
			faults = append(faults, fmt.Sprintf("order %s was refused with %d and ran", id, r.status))
		}
	}
	return append(faults, overRate(w.limited)...)
}

// overRate finds windows in which more ran than the limit and its tolerance.
func overRate(ran []time.Time) (faults []string) {
	most := (limitedRate*rateWindow.Seconds()+limitedBurst)*(1+overshoot) + slack
	slices.SortFunc(ran, time.Time.Compare)
	for first, last := 0, 0; last < len(ran); last++ {
		for ran[last].Sub(ran[first]) > rateWindow {
			first++
		}
		if n := last - first + 1; float64(n) > most {
			return []string{fmt.Sprintf("%d requests of the limited workspace ran in one window, %.0f may", n, most)}
		}
	}
	return nil
}

func (w *world) counts() (served, refused, failed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.requests {
		switch r.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			refused++
		default:
			failed++
		}
	}
	return served, refused, failed
}
