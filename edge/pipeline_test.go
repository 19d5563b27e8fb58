package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// pipelinedConn is a caller's connection that pipelines requests.
type pipelinedConn struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (f *fleet) pipelinedConn(n int) *pipelinedConn {
	f.t.Helper()
	conn, err := net.Dial("tcp4", f.address(n, 0))
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	must.NoError(f.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &pipelinedConn{t: f.t, conn: conn, in: bufio.NewReader(conn)}
}

// rawRequest returns a request in its wire format.
func rawRequest(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n"+
		"Authorization: Token %s\r\nContent-Length: %d\r\n\r\n%s", method, path, id, key, len(body), body)
}

func (l *pipelinedConn) send(requests ...string) {
	l.t.Helper()
	_, err := io.WriteString(l.conn, strings.Join(requests, ""))
	must.NoError(l.t, err)
}

// readResponse reads the next response.
func (l *pipelinedConn) readResponse() (status int, id, body string, closes bool) {
	l.t.Helper()
	r, err := http.ReadResponse(l.in, nil)
	must.NoError(l.t, err)
	b, err := io.ReadAll(r.Body)
	must.NoError(l.t, err)
	return r.StatusCode, r.Header.Get("X-Attempt-Id"), string(b), r.Close
}

// closed reports that the instance has closed the connection.
func (l *pipelinedConn) closed() bool {
	_, err := l.in.ReadByte()
	return err != nil
}

// echoPath is a signed response with the path of the executed request.
func echoPath(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = io.WriteString(w, r.RequestURI)
}

// The first of several pipelined lookups takes longest. Responses must arrive in
// the order of the requests, each with its own id and body, whether they come from
// a server or from the instance itself.
func TestPipelinedResponsesKeepRequestOrder(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.RequestURI, "/0") {
			time.Sleep(200 * time.Millisecond)
		}
		echoPath(w, r)
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.pipelinedConn(0)
	wrongKey := strings.Replace(rawRequest("GET", "/lookup/k", "a-k", ""), key, "wrong", 1)
	l.send(rawRequest("GET", "/lookup/0", "a-0", ""), rawRequest("GET", "/lookup/1", "a-1", ""),
		rawRequest("GET", "/nowhere/", "a-n", ""), wrongKey, rawRequest("GET", "/lookup/2", "a-2", ""))
	for _, want := range []struct {
		status   int
		id, body string
	}{
		{200, "a-0", "/lookup/0"},
		{200, "a-1", "/lookup/1"},
		{404, "a-n", "no-route\n"},
		{401, "a-k", "unknown-key\n"},
		{200, "a-2", "/lookup/2"},
	} {
		status, id, body, closes := l.readResponse()
		must.Eq(t, want.status, status)
		must.Eq(t, want.id, id)
		must.Eq(t, want.body, body)
		must.False(t, closes)
	}
}

// Pipelines requests with bodies, of known length, chunked, and too large. Guards
// against a part of a body being parsed as the next request, and against losing
// the request after a body.
func TestPipelinedRequestsWithBodies(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(1)
	l := f.pipelinedConn(0)
	smuggled := rawRequest("GET", "/lookup/smuggled", "a-x", "")
	chunked := strings.Replace(rawRequest("POST", "/order/2", "a-2", ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) +
		"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
	l.send(rawRequest("POST", "/order/0", "a-0", smuggled), rawRequest("GET", "/lookup/1", "a-1", ""), chunked, rawRequest("GET", "/lookup/3", "a-3", ""))
	for i, want := range []string{"i-1:" + smuggled, "i-1:", "i-1:abcdefg", "i-1:"} {
		status, id, body, _ := l.readResponse()
		must.Eq(t, 200, status)
		must.Eq(t, fmt.Sprintf("a-%d", i), id)
		must.Eq(t, want, body)
	}
	must.Zero(t, b.executions("a-x"))
	l.send(rawRequest("POST", "/order/4", "a-4", strings.Repeat("x", 100001)), rawRequest("GET", "/lookup/5", "a-5", ""))
	status, id, _, closes := l.readResponse()
	must.Eq(t, http.StatusRequestEntityTooLarge, status)
	must.Eq(t, "a-4", id)
	if closes {
		// The caller treats the later requests as not read.
		must.True(t, l.closed())
		must.Zero(t, b.executions("a-5"))
		return
	}
	_, id, _, _ = l.readResponse()
	must.Eq(t, "a-5", id)
}

// Four pipelined lookups take 300 ms each. Executed one after the other they would
// take 1.2 s, and the last would miss its latency target because of unrelated
// requests.
func TestPipelinedLookupsRunConcurrently(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		echoPath(w, r)
	}
	f.backend("i-1", slow)
	f.backend("i-2", slow)
	f.configure(1000, key)
	f.startAll(1)
	l := f.pipelinedConn(0)
	start := time.Now()
	for i := range 4 {
		l.send(rawRequest("GET", fmt.Sprintf("/lookup/%d", i), fmt.Sprintf("a-%d", i), ""))
	}
	for i := range 4 {
		status, id, _, _ := l.readResponse()
		must.Eq(t, 200, status)
		must.Eq(t, fmt.Sprintf("a-%d", i), id)
	}
	must.Less(t, 900*time.Millisecond, time.Since(start))
}

// An order follows a lookup whose response may close the connection, in which case
// the caller resends the order on another one. The order must not be executed
// before the lookup is answered, or it might be executed twice.
func TestPipelinedOrderWaitsForEarlierRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var mu sync.Mutex
	var ran []string
	f.backend("i-1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.RequestURI, "/lookup/") {
			time.Sleep(200 * time.Millisecond)
		}
		mu.Lock()
		ran = append(ran, r.RequestURI)
		mu.Unlock()
		echoPath(w, r)
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.pipelinedConn(0)
	l.send(rawRequest("GET", "/lookup/0", "a-0", ""), rawRequest("POST", "/order/1", "a-1", "body"), rawRequest("GET", "/lookup/2", "a-2", ""))
	for i := range 3 {
		_, id, _, _ := l.readResponse()
		must.Eq(t, fmt.Sprintf("a-%d", i), id)
	}
	must.Eq(t, []string{"/lookup/0", "/order/1", "/lookup/2"}, ran)
}

// The instance stops while three pipelined requests are pending and closes the
// connection with the first response. The caller treats the later requests as not
// read and resends them whatever their kind, so they must not be executed here.
func TestRequestsAfterClosingResponseAreNotExecuted(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	begun, release := make(chan struct{}, 8), make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	t.Cleanup(finish)
	b := f.backend("i-1", func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-release
		echoPath(w, r)
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.pipelinedConn(0)
	l.send(rawRequest("GET", "/lookup/0", "a-0", ""), rawRequest("POST", "/order/1", "a-1", "body"), rawRequest("POST", "/order/2", "a-2", "body"))
	<-begun
	f.instances[0].cancel()
	eventually(t, time.Second, "instance is not ready", func() bool { return !f.ready(0) })
	finish()
	status, id, body, closes := l.readResponse()
	must.Eq(t, 200, status)
	must.Eq(t, "a-0", id)
	must.Eq(t, "/lookup/0", body)
	must.True(t, closes)
	must.True(t, l.closed())
	must.Zero(t, b.executions("a-1")+b.executions("a-2"))
}

// The instance stops while two pipelined lookups are in progress. Both must be
// answered, and only the last response may close the connection: otherwise the
// caller cannot know whether the second was executed.
func TestStopAnswersStartedPipelinedRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	begun, release := make(chan struct{}, 8), make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	t.Cleanup(finish)
	f.backend("i-1", func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-release
		echoPath(w, r)
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.pipelinedConn(0)
	l.send(rawRequest("GET", "/lookup/0", "a-0", ""), rawRequest("GET", "/lookup/1", "a-1", ""))
	<-begun
	<-begun
	f.instances[0].cancel()
	eventually(t, time.Second, "instance is not ready", func() bool { return !f.ready(0) })
	finish()
	for i, last := range []bool{false, true} {
		status, id, _, closes := l.readResponse()
		must.Eq(t, 200, status)
		must.Eq(t, fmt.Sprintf("a-%d", i), id)
		must.Eq(t, last, closes)
	}
	must.True(t, l.closed())
}

// A caller disconnects while its pipelined lookups are in progress. Their servers
// must be free within half a second, and requests that have not started must not
// be executed.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	begun, left := make(chan struct{}, 8), make(chan struct{}, 8)
	b := f.backend("i-1", func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
		left <- struct{}{}
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.pipelinedConn(0)
	l.send(rawRequest("GET", "/lookup/0", "a-0", ""))
	<-begun
	// These arrive while the first is in progress.
	l.send(rawRequest("GET", "/lookup/1", "a-1", ""), rawRequest("POST", "/order/2", "a-2", "body"))
	time.Sleep(50 * time.Millisecond)
	_ = l.conn.Close()
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("server not cancelled within 500 ms after its caller disconnected")
	}
	time.Sleep(300 * time.Millisecond)
	must.Zero(t, b.executions("a-2"))
}

// A caller pipelines 300 lookups at once. The number in progress must be bounded,
// so that one connection cannot occupy the servers, and all must be answered.
func TestPipelinedRequestsInProgressAreBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var mu sync.Mutex
	now, most := 0, 0
	f.backend("i-1", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		now++
		most = max(most, now)
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		mu.Lock()
		now--
		mu.Unlock()
		echoPath(w, r)
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.pipelinedConn(0)
	const all = 300
	go func() {
		var b strings.Builder
		for i := range all {
			b.WriteString(rawRequest("GET", fmt.Sprintf("/lookup/%d", i), fmt.Sprintf("a-%d", i), ""))
		}
		_, _ = io.WriteString(l.conn, b.String())
	}()
	for i := range all {
		_, id, _, _ := l.readResponse()
		must.Eq(t, fmt.Sprintf("a-%d", i), id)
	}
	must.LessEq(t, 16, most)
}

// A request is followed by bytes that are not HTTP. Pending responses must be
// sent, the bytes must be refused, and the connection must be closed.
func TestInvalidRequestClosesConnection(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", echoPath)
	f.configure(1000, key)
	f.startAll(1)
	l := f.pipelinedConn(0)
	l.send(rawRequest("GET", "/lookup/0", "a-0", ""), "no request\r\n\r\n")
	status, id, _, _ := l.readResponse()
	must.Eq(t, 200, status)
	must.Eq(t, "a-0", id)
	status, _, _, closes := l.readResponse()
	must.Eq(t, http.StatusBadRequest, status)
	must.True(t, closes)
	must.True(t, l.closed())
}
