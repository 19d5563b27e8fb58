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

// line is a caller's connection on which requests are sent ahead.
type line struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (f *fleet) line(n int) *line {
	f.t.Helper()
	conn, err := net.Dial("tcp4", f.address(n, 0))
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	must.NoError(f.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &line{t: f.t, conn: conn, in: bufio.NewReader(conn)}
}

// ask is a request as it stands on the wire.
func ask(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n"+
		"Authorization: Token %s\r\nContent-Length: %d\r\n\r\n%s", method, path, id, key, len(body), body)
}

func (l *line) send(requests ...string) {
	l.t.Helper()
	_, err := io.WriteString(l.conn, strings.Join(requests, ""))
	must.NoError(l.t, err)
}

// next reads the next answer.
func (l *line) next() (status int, id, body string, closes bool) {
	l.t.Helper()
	r, err := http.ReadResponse(l.in, nil)
	must.NoError(l.t, err)
	b, err := io.ReadAll(r.Body)
	must.NoError(l.t, err)
	return r.StatusCode, r.Header.Get("X-Attempt-Id"), string(b), r.Close
}

// ended reports that nothing more comes on the connection.
func (l *line) ended() bool {
	_, err := l.in.ReadByte()
	return err != nil
}

// sealed is a server's usual answer: the path of what it ran.
func sealed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = io.WriteString(w, r.RequestURI)
}

// A caller sends lookups ahead. The first takes longest at its server; the
// answers must come in the order of the requests all the same, each with its
// own id and body, whether a server or the instance itself gives them.
func TestRequestsSentAheadAreAnsweredInTheirOrder(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.RequestURI, "/0") {
			time.Sleep(200 * time.Millisecond)
		}
		sealed(w, r)
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.line(0)
	wrongKey := strings.Replace(ask("GET", "/lookup/k", "a-k", ""), key, "wrong", 1)
	l.send(ask("GET", "/lookup/0", "a-0", ""), ask("GET", "/lookup/1", "a-1", ""),
		ask("GET", "/nowhere/", "a-n", ""), wrongKey, ask("GET", "/lookup/2", "a-2", ""))
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
		status, id, body, closes := l.next()
		must.Eq(t, want.status, status)
		must.Eq(t, want.id, id)
		must.Eq(t, want.body, body)
		must.False(t, closes)
	}
}

// Requests with bodies lie among those sent ahead, with a length and in
// chunks, also one that is too large. Not a byte of a body may be taken for the
// next request, nor may a request be lost behind one.
func TestBodiesAmongRequestsSentAhead(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	b := f.backend("i-1", nil)
	f.configure(1000, key)
	f.startAll(1)
	l := f.line(0)
	smuggled := ask("GET", "/lookup/smuggled", "a-x", "")
	chunked := strings.Replace(ask("POST", "/order/2", "a-2", ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) +
		"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n"
	l.send(ask("POST", "/order/0", "a-0", smuggled), ask("GET", "/lookup/1", "a-1", ""), chunked, ask("GET", "/lookup/3", "a-3", ""))
	for i, want := range []string{"i-1:" + smuggled, "i-1:", "i-1:abcdefg", "i-1:"} {
		status, id, body, _ := l.next()
		must.Eq(t, 200, status)
		must.Eq(t, fmt.Sprintf("a-%d", i), id)
		must.Eq(t, want, body)
	}
	must.Zero(t, b.runs("a-x"))
	l.send(ask("POST", "/order/4", "a-4", strings.Repeat("x", 100001)), ask("GET", "/lookup/5", "a-5", ""))
	status, id, _, closes := l.next()
	must.Eq(t, http.StatusRequestEntityTooLarge, status)
	must.Eq(t, "a-4", id)
	if closes {
		// What lies behind counts as not read.
		must.True(t, l.ended())
		must.Zero(t, b.runs("a-5"))
		return
	}
	_, id, _, _ = l.next()
	must.Eq(t, "a-5", id)
}

// A caller sends four lookups ahead, each of which keeps a server busy for
// 300 ms. One after the other they would take 1.2 s, and the last would miss
// its aim behind answers that have nothing to do with it.
func TestLookupsSentAheadRunAtTheSameTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		sealed(w, r)
	}
	f.backend("i-1", slow)
	f.backend("i-2", slow)
	f.configure(1000, key)
	f.startAll(1)
	l := f.line(0)
	start := time.Now()
	for i := range 4 {
		l.send(ask("GET", fmt.Sprintf("/lookup/%d", i), fmt.Sprintf("a-%d", i), ""))
	}
	for i := range 4 {
		status, id, _, _ := l.next()
		must.Eq(t, 200, status)
		must.Eq(t, fmt.Sprintf("a-%d", i), id)
	}
	must.Less(t, 900*time.Millisecond, time.Since(start))
}

// An order lies behind a lookup whose answer may close the connection; the
// caller then sends the order again on another one. It must not have run
// before the lookup is answered.
func TestOrderSentAheadWaitsForWhatIsBeforeIt(t *testing.T) {
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
		sealed(w, r)
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.line(0)
	l.send(ask("GET", "/lookup/0", "a-0", ""), ask("POST", "/order/1", "a-1", "body"), ask("GET", "/lookup/2", "a-2", ""))
	for i := range 3 {
		_, id, _, _ := l.next()
		must.Eq(t, fmt.Sprintf("a-%d", i), id)
	}
	must.Eq(t, []string{"/lookup/0", "/order/1", "/lookup/2"}, ran)
}

// The instance is told to stop while three requests sent ahead are with it. It
// closes the connection with one answer; what lies behind that counts as not
// read, is sent again by the caller whatever its kind, and must not run here.
func TestWhatLiesBehindAClosingAnswerIsntRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	begun, release := make(chan struct{}, 8), make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	t.Cleanup(finish)
	b := f.backend("i-1", func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-release
		sealed(w, r)
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.line(0)
	l.send(ask("GET", "/lookup/0", "a-0", ""), ask("POST", "/order/1", "a-1", "body"), ask("POST", "/order/2", "a-2", "body"))
	<-begun
	f.instances[0].cancel()
	eventually(t, time.Second, "it stops", func() bool { return !f.ready(0) })
	finish()
	status, id, body, closes := l.next()
	must.Eq(t, 200, status)
	must.Eq(t, "a-0", id)
	must.Eq(t, "/lookup/0", body)
	must.True(t, closes)
	must.True(t, l.ended())
	must.Zero(t, b.runs("a-1")+b.runs("a-2"))
}

// The instance is told to stop while two lookups sent ahead are at work. Both
// are answered, and only the last answer closes the connection: the caller of
// the second couldn't know whether it has run.
func TestStopAnswersAllThatWasStarted(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	begun, release := make(chan struct{}, 8), make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	t.Cleanup(finish)
	f.backend("i-1", func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-release
		sealed(w, r)
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.line(0)
	l.send(ask("GET", "/lookup/0", "a-0", ""), ask("GET", "/lookup/1", "a-1", ""))
	<-begun
	<-begun
	f.instances[0].cancel()
	eventually(t, time.Second, "it stops", func() bool { return !f.ready(0) })
	finish()
	for i, last := range []bool{false, true} {
		status, id, _, closes := l.next()
		must.Eq(t, 200, status)
		must.Eq(t, fmt.Sprintf("a-%d", i), id)
		must.Eq(t, last, closes)
	}
	must.True(t, l.ended())
}

// A caller leaves while lookups that it sent ahead are at work. Its servers
// must be free again within half a second, and what wasn't begun isn't.
func TestCallerLeavesRequestsSentAhead(t *testing.T) {
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
	l := f.line(0)
	l.send(ask("GET", "/lookup/0", "a-0", ""))
	<-begun
	// These arrive while the first is at work.
	l.send(ask("GET", "/lookup/1", "a-1", ""), ask("POST", "/order/2", "a-2", "body"))
	time.Sleep(50 * time.Millisecond)
	_ = l.conn.Close()
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the server is still at work for a caller that has left")
	}
	time.Sleep(300 * time.Millisecond)
	must.Zero(t, b.runs("a-2"))
}

// A caller sends three hundred lookups ahead at once. What one connection
// holds is bounded, so that it can't take the servers from all others, and all
// of them are answered.
func TestOneConnectionHoldsFewRequestsAtATime(t *testing.T) {
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
		sealed(w, r)
	})
	f.configure(1000, key)
	f.startAll(1)
	l := f.line(0)
	const all = 300
	go func() {
		var b strings.Builder
		for i := range all {
			b.WriteString(ask("GET", fmt.Sprintf("/lookup/%d", i), fmt.Sprintf("a-%d", i), ""))
		}
		_, _ = io.WriteString(l.conn, b.String())
	}()
	for i := range all {
		_, id, _, _ := l.next()
		must.Eq(t, fmt.Sprintf("a-%d", i), id)
	}
	must.LessEq(t, 16, most)
}

// What comes behind a request isn't HTTP. The answers due before it are given,
// it is refused, and the connection ends.
func TestBytesThatAreNoRequestEndTheConnection(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", sealed)
	f.configure(1000, key)
	f.startAll(1)
	l := f.line(0)
	l.send(ask("GET", "/lookup/0", "a-0", ""), "no request\r\n\r\n")
	status, id, _, _ := l.next()
	must.Eq(t, 200, status)
	must.Eq(t, "a-0", id)
	status, _, _, closes := l.next()
	must.Eq(t, http.StatusBadRequest, status)
	must.True(t, closes)
	must.True(t, l.ended())
}
