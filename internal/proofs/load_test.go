package proofs

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/internal/trial"
)

const (
	// sendTimeout is the client timeout of one request.
	sendTimeout = 20 * time.Second
	// locateTimeout bounds a locate or operation-key request.
	locateTimeout = time.Second
)

// load runs callers against a test cluster until it is stopped.
type load struct {
	tc      *testCluster
	history *history
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

func newLoad(tc *testCluster) *load {
	l := &load{tc: tc, history: &history{}}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l
}

// end stops the callers, waits for their requests in flight and returns the
// history.
func (l *load) end() []sentRequest {
	l.stop()
	l.running.Wait()
	l.history.mu.Lock()
	defer l.history.mu.Unlock()
	return l.history.requests
}

// caller simulates one client program. It isn't safe for concurrent use.
type caller struct {
	l         *load
	workspace string
	key       string
	rng       *rand.Rand
	http      map[string]*trial.Caller
	addresses []string
	expires   time.Time
}

// startCaller starts a caller that runs act about once per period until the load
// ends.
func (l *load) startCaller(period time.Duration, workspace, key string, seed uint64, act func(*caller)) {
	c := &caller{
		l: l, workspace: workspace, key: key,
		rng: rand.New(rand.NewPCG(seed, 0)), http: map[string]*trial.Caller{},
	}
	l.running.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for l.ctx.Err() == nil {
			select {
			case <-ticker.C:
				act(c)
			case <-l.ctx.Done():
			}
		}
	})
}

func (c *caller) at(address string) *trial.Caller {
	if c.http[address] == nil {
		c.http[address] = trial.NewCaller(address, c.key)
	}
	return c.http[address]
}

// locate returns the addresses to use. It caches an answer for the locate TTL, then
// queries the cached addresses and after them those of all instances.
func (c *caller) locate() []string {
	if time.Now().Before(c.expires) {
		return c.addresses
	}
	for _, address := range append(c.addresses, c.l.tc.callerAddresses()...) {
		ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
		start := time.Now()
		found, err := trial.NewCaller(address, c.key).Addresses(ctx)
		cancel()
		if err == nil && len(found) > 0 {
			c.addresses, c.expires = found, start.Add(c.l.tc.ttl)
			return found
		}
	}
	return c.l.tc.callerAddresses()
}

// operation requests an operation key, trying the located addresses in order.
func (c *caller) operation() (key, address string) {
	for _, address := range c.locate() {
		ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
		operation, err := c.at(address).Operation(ctx)
		cancel()
		if err == nil {
			return operation.Key, operation.Address
		}
	}
	return "", ""
}

// request returns a request to a service with a unique path.
func (c *caller) request(service, method string) sentRequest {
	prefix := map[string]string{"catalogue": "/catalogue/", "ordering": "/orders/", "diagnosis": "/photos/", "archive": "/archive/"}[service]
	n := c.l.tc.requestNumber.Add(1)
	return sentRequest{
		workspace: c.workspace, key: c.key, service: service, method: method,
		path: prefix + c.workspace + "-" + strconv.FormatInt(n, 10),
	}
}

// send sends a request to an address and records the result in the history.
func (c *caller) send(address string, s sentRequest) sentRequest {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	var transmissions atomic.Int32
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { transmissions.Add(1) },
	})
	uri := s.path
	if s.size > 0 {
		uri += "?size=" + strconv.Itoa(s.size)
	}
	s.at = time.Now()
	a, err := c.at(address).SendTo(ctx, address, s.method, uri, s.operation, s.body)
	s.took = time.Since(s.at)
	s.transmissions = transmissions.Load()
	if err != nil {
		s.failure = fmt.Sprintf("%s: %v", address, err)
	} else {
		s.status, s.outcome, s.rule, s.answer = a.Status, a.Outcome, a.Problem.Rule, a.Body
	}
	c.l.history.add(s)
	return s
}

// randomAddress returns one of the located addresses at random.
func (c *caller) randomAddress() string {
	addresses := c.locate()
	return addresses[c.rng.IntN(len(addresses))]
}

// lookupAt returns a lookup that always uses one instance over a reused connection.
func lookupAt(address string) func(*caller) {
	return func(c *caller) { c.send(address, c.request("catalogue", http.MethodGet)) }
}

// awaitServed waits until each running instance serves each service to a
// workspace. In a newly started fleet no quota parts are in force yet, and each
// instance learns at its own time that they are; until then it refuses requests.
func (tc *testCluster) awaitServed(key, workspace string) {
	tc.t.Helper()
	l := newLoad(tc)
	c := &caller{l: l, workspace: workspace, key: key, rng: rand.New(rand.NewPCG(0, 0)), http: map[string]*trial.Caller{}}
	start := time.Now()
	for _, e := range tc.running() {
		for _, service := range []string{"catalogue", "ordering", "diagnosis"} {
			for c.send(e.callers, c.request(service, http.MethodGet)).outcome != "served" {
				must.Less(tc.t, waitTimeout, time.Since(start), must.Sprintf("%s did not serve %s to the workspace within the timeout", e.name, service))
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	tc.t.Logf("served %s after the key was in force", time.Since(start).Round(10*time.Millisecond))
}

// lookup sends a GET request; one in ten asks for a large answer.
func lookup(c *caller) {
	s := c.request("catalogue", http.MethodGet)
	if c.rng.IntN(10) == 0 {
		s.size = 300_000
	}
	c.send(c.randomAddress(), s)
}

// search sends a long-running GET request.
func search(c *caller) { c.send(c.randomAddress(), c.request("archive", http.MethodGet)) }

// orderWithIssuedKey places an order with an operation key issued by the system and
// repeats it at other instances, concurrently and afterwards.
func orderWithIssuedKey(c *caller) {
	key, address := c.operation()
	if key == "" {
		return
	}
	c.order(key, address)
}

// orderWithCallerKey places and repeats an order with a key generated by the caller.
func orderWithCallerKey(c *caller) {
	c.order(fmt.Sprintf("own-%s-%d", c.workspace, c.l.tc.requestNumber.Add(1)), c.randomAddress())
}

func (c *caller) order(key, address string) {
	s := c.request("ordering", http.MethodPost)
	s.operation = key
	s.body = []byte(`{"item":"cartridge","path":"` + s.path + `"}`)
	other := &caller{l: c.l, workspace: c.workspace, key: c.key, http: map[string]*trial.Caller{}}
	second := c.randomAddress()
	var both sync.WaitGroup
	both.Go(func() { other.send(second, s) })
	c.send(address, s)
	both.Wait()
	c.send(c.randomAddress(), s)
}

// orderWithoutKey places an order once, without an operation key.
func orderWithoutKey(c *caller) {
	s := c.request("ordering", http.MethodPost)
	s.body = []byte(`{"item":"sample"}`)
	c.send(c.randomAddress(), s)
}

// upload sends a photo.
func upload(c *caller) {
	s := c.request("diagnosis", http.MethodPost)
	s.body = bytes.Repeat([]byte("joint"), 20_000+c.rng.IntN(100_000))
	c.send(c.randomAddress(), s)
}

// cutOrRefused returns the requests that got no complete answer or an outcome other
// than served or ran-before.
func cutOrRefused(requests []sentRequest) []string {
	var faults []string
	for _, s := range requests {
		if s.status == 0 || s.outcome != "served" && s.outcome != "ran-before" {
			what := strings.TrimSpace(s.outcome + " " + s.rule + " " + s.failure)
			faults = append(faults, fmt.Sprintf("%s %s: %s after %s", s.method, s.path, what, s.took.Round(time.Millisecond)))
		}
	}
	return faults
}
