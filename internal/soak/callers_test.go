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
	cluster    *cluster
	id   string
	http *httptest.Server
	// link is the way to it.
	link *standin.Link
	// writes counts its entries in the store.
	writes atomic.Int64

	mu       sync.Mutex
	failUntil      time.Time
	drainingSince time.Time

	dataCentre string
	// warmupEnd is when the server bears its full load, and arrived when requests
	// came until then.
	warmupEnd time.Time
	warmupArrivals  []time.Time
	limit    requestLimit
}

func newBackend(c *cluster, id, dataCentre string, warmup time.Duration) *backend {
	b := &backend{cluster: c, id: id, dataCentre: dataCentre}
	b.http = httptest.NewServer(b)
	b.link = c.startLink(strings.TrimPrefix(b.http.URL, "http://"))
	b.warmupEnd = time.Now().Add(warmup)
	b.register("ready")
	return b
}

func (b *backend) register(state string) {
	entry, err := json.Marshal(map[string]any{
		"service": "s", "address": b.link.Address(), "zone": b.dataCentre, "slots": 4,
		"warmup_left_s": max(0, time.Until(b.warmupEnd).Seconds()),
		"state":         state, "seq": b.writes.Add(1), "born": 1790000000000,
	})
	must.NoError(b.cluster.t, err)
	b.cluster.store.Put("servers", b.id, entry)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drainingSince = time.Time{}
	if state == "draining" {
		b.drainingSince = time.Now()
	}
}

func (b *backend) failFor(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failUntil = time.Now().Add(d)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Expect-Instance") != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.cluster.recordExecution(b, id, r)
	time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
	b.mu.Lock()
	failing := time.Now().Before(b.failUntil)
	b.mu.Unlock()
	if failing && rand.IntN(5) > 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "seal")
	if perSecond := b.announcedLimit(); perSecond > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(perSecond, 'f', 2, 64))
	}
	_, _ = w.Write([]byte(id + string(body)))
}

// recordExecution checks what a backend server sees.
func (c *cluster) recordExecution(b *backend, id string, r *http.Request) {
	now := time.Now()
	b.mu.Lock()
	drainingSince := b.drainingSince
	b.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[id] = append(c.executions[id], now)
	req, known := c.requests[id]
	c.checkPlacement(b, id, now)
	c.checkLimit(b, now)
	switch {
	case !known:
		c.violations = append(c.violations, "a request ran that nobody sent: "+id)
		return
	case r.Header.Get("Authorization") != "" || r.Header.Get("X-Tenant") != workspaceOf(req.key):
		c.violations = append(c.violations, "a server saw a key, or another workspace: "+id)
	}
	if req.key == limitedKey {
		c.limitedExecutions = append(c.limitedExecutions, now)
	}
	if withdrawnAt, ok := c.withdrawnAt[req.key]; ok && req.sentAt.After(withdrawnAt.Add(revocationBound)) {
		c.violations = append(c.violations, fmt.Sprintf("%s ran, sent %v after its key was taken away", id, req.sentAt.Sub(withdrawnAt)))
	}
	settled := now.Sub(c.lastDisturbance) > settlePeriod+drainBound
	if !drainingSince.IsZero() && settled && req.sentAt.After(drainingSince.Add(drainBound)) {
		c.violations = append(c.violations, fmt.Sprintf("%s reached %s %v after it began to drain", id, b.id, now.Sub(drainingSince)))
	}
}

func workspaceOf(key string) string {
	if key == limitedKey {
		return "limited"
	}
	return "w"
}

// runCaller is one caller: it asks for addresses, keeps the answer, and sends orders
// and lookups.
func (c *cluster) runCaller(caller int) {
	var addresses []string
	var resolvedAt time.Time
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(10+rand.IntN(30)) * time.Millisecond):
		}
		if time.Since(resolvedAt) > time.Second || len(addresses) == 0 {
			if fresh := c.resolve(); len(fresh) > 0 {
				addresses, resolvedAt = fresh, time.Now()
			}
		}
		if len(addresses) > 0 {
			c.send(fmt.Sprintf("c%d-%d", caller, n), addresses[rand.IntN(len(addresses))], n%2 == 0, c.callerKey(caller))
		}
	}
}

// callerKey returns a caller's key. Two callers share that of the limited workspace
// and send several times what it may.
func (c *cluster) callerKey(caller int) string {
	if caller < 2 {
		return limitedKey
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentKey
}

func (c *cluster) resolve() []string {
	resp, err := c.client.Get("http://" + c.instanceAddress(rand.IntN(len(c.processes)), 2) + "/api/resolve?name=h&zone=dc-0")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// send sends one request and checks what its caller sees.
func (c *cluster) send(id, address string, order bool, key string) bool {
	method, path := http.MethodGet, "/lookup/1"
	if order {
		method, path = http.MethodPost, "/order/1"
	}
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("+"+id))
	must.NoError(c.t, err)
	// A body that can't be read again keeps the client from repeating.
	req.GetBody = nil
	record := &request{key: key, order: order, sentAt: time.Now()}
	c.mu.Lock()
	c.requests[id] = record
	c.mu.Unlock()
	req.Host = "h"
	req.Header.Set("Authorization", "Token "+record.key)
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	resp, err := c.client.Do(req)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		record.failed = true
		return false
	}
	record.status = resp.StatusCode
	if resp.StatusCode == http.StatusOK && string(body) != id+"+"+id {
		c.violations = append(c.violations, fmt.Sprintf("%s got the answer %q", id, body))
	}
	return resp.StatusCode == http.StatusOK
}

// verifyRecovery checks that everybody is served again within the time for it once the
// faults have ended. A key that was given while the store was away works as soon as
// the instances have read of it.
func (c *cluster) verifyRecovery() {
	deadline := time.Now().Add(recoveryTimeout)
	for n := range c.processes {
		for !c.ready(n) && time.Now().Before(deadline) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	const attempts = 40
	for round := 0; ; round++ {
		served := 0
		for i := range attempts {
			if c.send(fmt.Sprintf("last-%d-%d", round, i), c.instanceAddress(i%len(c.processes), 0), false, c.callerKey(callerCount)) {
				served++
			}
		}
		if served >= attempts*9/10 {
			return
		}
		if time.Now().After(deadline) {
			c.mu.Lock()
			c.violations = append(c.violations, fmt.Sprintf("after the faults only %d of %d lookups were served", served, attempts))
			c.mu.Unlock()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkRequests returns all broken promises.
func (c *cluster) checkRequests() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := append([]string(nil), c.violations...)
	for id, req := range c.requests {
		n := len(c.executions[id])
		if req.order && n > 1 {
			violations = append(violations, fmt.Sprintf("order %s ran %d times", id, n))
		}
		notRun := req.status == http.StatusServiceUnavailable || req.status == http.StatusTooManyRequests
		if notRun && req.order && n > 0 {
			violations = append(violations, fmt.Sprintf("order %s was refused with %d and ran", id, req.status))
		}
	}
	return append(violations, checkRate(c.limitedExecutions)...)
}

// checkRate finds windows in which more ran than the limit and its tolerance.
func checkRate(executions []time.Time) (violations []string) {
	allowed := (limitedRate*rateWindow.Seconds()+limitedBurst)*(1+rateOvershoot) + rateSlack
	slices.SortFunc(executions, time.Time.Compare)
	for first, last := 0, 0; last < len(executions); last++ {
		for executions[last].Sub(executions[first]) > rateWindow {
			first++
		}
		if n := last - first + 1; float64(n) > allowed {
			return []string{fmt.Sprintf("%d requests of the limited workspace ran in one window, %.0f may", n, allowed)}
		}
	}
	return nil
}

func (c *cluster) outcomeCounts() (served, refused, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
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
