package edge_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/edge/settings"
	"foxtailspoke/internal/standin"
)

// partitionedInstance returns a fleet of two instances, the first of which is partitioned from the
// servers and knows it.
func partitionedInstance(t *testing.T, mode standin.PartitionMode, answer func(http.ResponseWriter, *http.Request)) (*fleet, []*backend) {
	t.Helper()
	f := newFleet(t)
	f.configure(10000, key)
	servers := []*backend{f.backend("i-0", answer), f.backend("i-1", answer)}
	f.startAll(2)
	f.instances[0].path.SetMode(mode)
	eventually(t, 5*time.Second, "instance notices that it is partitioned", func() bool {
		f.lookup(0)
		return strings.Contains(f.instances[0].log.String(), `"event":527`)
	})
	return f, servers
}

// fleetOfTwo returns a fleet of two instances with some servers.
func fleetOfTwo(t *testing.T, servers int) *fleet {
	t.Helper()
	f := newFleet(t)
	f.configure(10000, key)
	for i := range servers {
		f.backend(fmt.Sprintf("i-%d", i), nil)
	}
	f.startAll(2)
	return f
}

// Guards against a forwarder that changes the request or the response.
func TestForwardedRequestAndResponseAreUnchanged(t *testing.T) {
	f, servers := partitionedInstance(t, standin.PartitionReset, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Seal", "seal")
		w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
		w.Header().Set("X-Own", "a")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "<html>")
	})
	r, id := f.call(0, http.MethodPut, "/order/%41?x=%20&y", "the body", func(r *http.Request) {
		r.Header.Set("X-Callers", "b")
	})
	must.NoError(t, r.err)
	must.Eq(t, http.StatusCreated, r.status)
	must.Eq(t, "<html>", r.body)
	must.Eq(t, "a", r.header.Get("X-Own"))
	must.Eq(t, id, r.header.Get("X-Attempt-Id"))
	for name := range r.header {
		must.StrNotHasPrefix(t, "Foxtailspoke", name)
	}
	must.Eq(t, 1, servers[0].executions(id)+servers[1].executions(id))
	for _, s := range servers {
		if s.executions(id) == 0 {
			continue
		}
		must.Eq(t, "/order/%41?x=%20&y", s.lastURI)
		must.Eq(t, "b", s.last.Get("X-Callers"))
		must.Eq(t, "w", s.last.Get("X-Tenant"))
		must.Eq(t, "", s.last.Get("Authorization"))
		for name := range s.last {
			must.StrNotHasPrefix(t, "Foxtailspoke", name)
		}
	}
}

// Guards against an order that runs twice because its forwarder gave no response.
func TestForwardedOrderThatMayHaveRunIsNotRepeated(t *testing.T) {
	f, servers := partitionedInstance(t, standin.PartitionReset, nil)
	for _, s := range servers {
		s.mu.Lock()
		s.answer = resetConnection
		s.mu.Unlock()
	}
	r, id := f.order(0)
	must.NoError(t, r.err)
	must.Eq(t, http.StatusBadGateway, r.status)
	must.Eq(t, 1, servers[0].executions(id)+servers[1].executions(id))
}

// Guards against a server that works on a forwarded request after its caller has left.
func TestForwardedRequestEndsWithItsCaller(t *testing.T) {
	var working atomic.Int32
	f, _ := partitionedInstance(t, standin.PartitionHang, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Seal", "seal")
		if r.URL.Path != "/lookup/slow" {
			return
		}
		working.Add(1)
		defer working.Add(-1)
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	})
	client := http.Client{Timeout: 300 * time.Millisecond}
	req, err := http.NewRequest(http.MethodGet, "http://"+f.address(0, 0)+"/lookup/slow", nil)
	must.NoError(t, err)
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "leaves")
	req.Header.Set("Authorization", "Token "+key)
	go func() { _, _ = client.Do(req) }()
	eventually(t, time.Second, "server works on the request", func() bool { return working.Load() > 0 })
	eventually(t, 800*time.Millisecond, "server stops working on the request", func() bool { return working.Load() == 0 })
}

// Guards against requests that take a detour for ever after the partition has ended.
func TestRequestsAreSentDirectlyAfterAPartition(t *testing.T) {
	f, _ := partitionedInstance(t, standin.PartitionHang, nil)
	f.instances[0].path.SetMode(standin.PartitionNone)
	eventually(t, 3*time.Second, "instance connects to servers again", func() bool {
		return strings.Contains(f.instances[0].log.String(), `"event":528`)
	})
	before := f.metric(0, `foxtailspoke_edge_forwarded_total{outcome="completed"}`)
	for range 10 {
		r, _ := f.order(0)
		must.Eq(t, http.StatusOK, r.status)
	}
	must.Eq(t, before, f.metric(0, `foxtailspoke_edge_forwarded_total{outcome="completed"}`))
}

// Guards against an open proxy on the forwarding address.
func TestOnlyInstancesReachOnlyKnownServersByForwarding(t *testing.T) {
	f := newFleet(t)
	f.configure(10000, key)
	b := f.backend("i-0", nil)
	f.startAll(1)
	for _, to := range []string{strings.TrimPrefix(b.server.URL, "http://"), "127.0.0.1:1"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+f.address(0, 5)+"/lookup/1", nil)
		must.NoError(t, err)
		req.Header.Set("Foxtailspoke-Forward-To", to)
		req.Header.Set("X-Expect-Instance", "i-0")
		req.Header.Set("X-Attempt-Id", "foreign")
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, http.StatusBadGateway, resp.StatusCode)
		must.Eq(t, "not-sent", resp.Header.Get("Foxtailspoke-Forward-Outcome"))
	}
	must.Eq(t, 0, b.total())
}

// Guards against a forwarder that tries to connect to a server that it knows it doesn't
// reach, while the sender waits.
func TestForwarderWithoutConnectionAnswersAtOnce(t *testing.T) {
	f, servers := partitionedInstance(t, standin.PartitionHang, nil)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(f.ip(1))}}
	client := http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodGet, "http://"+f.address(0, 5)+"/lookup/1", nil)
	must.NoError(t, err)
	req.Header.Set("Foxtailspoke-Forward-To", strings.TrimPrefix(servers[0].server.URL, "http://"))
	req.Header.Set("X-Expect-Instance", servers[0].id)
	req.Header.Set("X-Attempt-Id", "forwarded")
	start := time.Now()
	resp, err := client.Do(req)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, "not-sent", resp.Header.Get("Foxtailspoke-Forward-Outcome"))
	must.Less(t, 150*time.Millisecond, time.Since(start))
}

// Guards against spending the caller's time on a connection that hangs although another
// instance can forward the request.
func TestFirstOrderAtAHangingConnectionIsForwardedInTime(t *testing.T) {
	f := fleetOfTwo(t, 1)
	f.instances[0].path.SetMode(standin.PartitionHang)
	start := time.Now()
	r, _ := f.order(0)
	must.NoError(t, r.err)
	must.Eq(t, http.StatusOK, r.status)
	must.Less(t, 280*time.Millisecond, time.Since(start))
}

// Guards against a second attempt that is sent on a kept connection, which hangs for the
// same reason as the first one's.
func TestLookupOnConnectionsThatHangIsServed(t *testing.T) {
	f := fleetOfTwo(t, 3)
	for range 20 {
		f.lookup(0)
	}
	f.instances[0].path.SetMode(standin.PartitionHang)
	r, _ := f.lookup(0)
	must.NoError(t, r.err)
	must.Eq(t, http.StatusOK, r.status)
}

// Guards against passing a request through an instance in a region that may not handle it.
func TestRestrictedRequestIsNotForwardedToAnotherRegion(t *testing.T) {
	f := newFleet(t)
	f.configureWith(func(config map[string]any) {
		for _, r := range config["routes"].([]any) {
			if r := r.(map[string]any); r["name"] == "order" {
				r["allowed_regions"] = []string{"here"}
			}
		}
	}, 10000, key)
	b := f.backend("i-0", nil)
	f.start(withRegions)
	f.start(func(s *settings.Settings) { withRegions(s); s.DataCentre = "away" })
	for i := range 2 {
		eventually(t, 5*time.Second, "instance is ready", func() bool { return f.ready(i) })
	}
	f.instances[0].path.SetMode(standin.PartitionReset)
	eventually(t, 3*time.Second, "lookups are forwarded", func() bool {
		r, _ := f.lookup(0)
		return r.status == http.StatusOK
	})
	r, id := f.order(0)
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, 0, b.executions(id))
}

// Guards against reporting a forwarded request that ran out of time as broken off.
func TestForwardedRequestThatTimesOutIsATimeout(t *testing.T) {
	f, _ := partitionedInstance(t, standin.PartitionReset, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/order/") {
			<-r.Context().Done()
		}
		w.Header().Set("X-Response-Seal", "seal")
	})
	r, _ := f.order(0)
	must.NoError(t, r.err)
	must.Eq(t, http.StatusGatewayTimeout, r.status)
	eventually(t, time.Second, "attempt is logged as timed out", func() bool {
		return strings.Contains(f.instances[0].log.String(), `"result":"timeout"`)
	})
}

// Guards against reporting a request as broken off if the forwarder's time for it ends before
// the sender's.
func TestForwarderTimesOutBeforeTheSender(t *testing.T) {
	f := newFleet(t)
	f.configure(10000, key)
	f.backend("i-0", nil)
	f.start(nil)
	forwarder, err := net.Listen("tcp4", f.address(1, 5))
	must.NoError(t, err)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Foxtailspoke-Forward-Outcome", "timed-out")
		w.WriteHeader(http.StatusBadGateway)
	})}
	go func() { _ = server.Serve(forwarder) }()
	t.Cleanup(func() { _ = server.Close() })
	f.start(func(s *settings.Settings) { s.Listen.Forwarding = f.ip(1) + ":0" })
	for i := range 2 {
		eventually(t, 5*time.Second, "instance is ready", func() bool { return f.ready(i) })
	}
	eventually(t, 5*time.Second, "instances know each other", func() bool { return len(f.addresses(0)) == 2 })
	f.instances[0].path.SetMode(standin.PartitionReset)
	r, _ := f.order(0)
	must.NoError(t, r.err)
	must.Eq(t, http.StatusGatewayTimeout, r.status)
}

// backOffAfterRequestsTo has a server ask for no requests in response to one of instance first, sends
// lookups to instance next, and checks that the server gets none of them. Instance 0 is partitioned,
// and instance 1 forwards its requests.
func backOffAfterRequestsTo(t *testing.T, first, next int) *fleet {
	t.Helper()
	f, _ := partitionedInstance(t, standin.PartitionReset, nil)
	busy := f.busyServer("busy", 10*time.Second)
	eventually(t, 5*time.Second, "the busy server gets a request", func() bool {
		f.lookup(first)
		return busy.arrivals() > 0
	})
	before := busy.arrivals()
	must.Positive(t, f.sendLookups(3*time.Second, 10*time.Millisecond, next))
	must.Eq(t, before, busy.arrivals())
	return f
}

// Guards against a forwarder that sends a server its own requests before the Retry-After of a
// forwarded one.
func TestForwarderBacksOffAfterForwardedRequest(t *testing.T) {
	t.Parallel()
	backOffAfterRequestsTo(t, 0, 1)
}

// Guards against a forwarder that sends a server requests of others before its Retry-After, and
// against taking that for a failure of the server.
func TestRequestsAreNotForwardedBeforeRetryAfter(t *testing.T) {
	t.Parallel()
	f := backOffAfterRequestsTo(t, 1, 0)
	for line := range strings.Lines(f.instances[0].log.String()) {
		if strings.Contains(line, `"server":"busy"`) {
			must.StrNotContains(t, line, `"result":"connect failed"`)
		}
	}
}

// Guards against a forwarder that sends its own requests to a server that announced its stop in
// the response to a forwarded one.
func TestForwarderNoticesThatServerLeaves(t *testing.T) {
	t.Parallel()
	f, _ := partitionedInstance(t, standin.PartitionReset, nil)
	s := f.leavingServer("leaving")
	eventually(t, 5*time.Second, "the leaving server gets a forwarded request", func() bool {
		f.lookup(0)
		return s.arrivals.Load() > 0
	})
	before := s.arrivals.Load()
	must.Positive(t, f.sendLookups(3*time.Second, 10*time.Millisecond, 1))
	must.Eq(t, before, s.arrivals.Load())
}

// Guards against using up the fleet's budget of retries for servers that only this instance
// doesn't reach.
func TestForwardedRequestsNeedNoRetries(t *testing.T) {
	t.Parallel()
	for _, mode := range []standin.PartitionMode{standin.PartitionHang, standin.PartitionReset, standin.PartitionRefuse} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			f, _ := partitionedInstance(t, mode, nil)
			before := len(f.instances[0].log.String())
			for range 10 {
				r, _ := f.order(0)
				must.NoError(t, r.err)
				must.Eq(t, http.StatusOK, r.status)
			}
			must.StrNotContains(t, f.instances[0].log.String()[before:], `"attempt":2`)
		})
	}
}

// Guards against refusing requests because no instance reached a server a moment ago.
func TestServersAreTriedDirectlyWhereNobodyForwards(t *testing.T) {
	f := fleetOfTwo(t, 3)
	for i := range 2 {
		f.instances[i].path.SetMode(standin.PartitionReset)
	}
	eventually(t, 5*time.Second, "both instances notice that they are partitioned", func() bool {
		f.lookup(0)
		f.lookup(1)
		return strings.Contains(f.instances[0].log.String(), `"event":527`) && strings.Contains(f.instances[1].log.String(), `"event":527`)
	})
	time.Sleep(100 * time.Millisecond) // for the news to reach each other
	for i := range 2 {
		f.instances[i].path.SetMode(standin.PartitionNone)
	}
	r, _ := f.order(0)
	must.NoError(t, r.err)
	must.Eq(t, http.StatusOK, r.status)
}
