package httphead_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/httphead"
)

// sharedAccount is an account for concurrent use.
type sharedAccount struct {
	mu sync.Mutex
	account
}

func (a *sharedAccount) Reserve(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account.Reserve(n)
}

func (a *sharedAccount) Release(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account.Release(n)
}

func (a *sharedAccount) heldBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// serveGuarded starts a server that echoes bodies and returns its address.
func serveGuarded(t *testing.T, a *sharedAccount) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	s := &http.Server{MaxHeaderBytes: 32 << 10, ReadHeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Held", strconv.FormatBool(a.heldBytes() > 0))
		_, _ = w.Write(append([]byte(r.URL.Path), b...))
	})}
	g := httphead.Guard{MaxBytes: 36 << 10, Timeout: 300 * time.Millisecond, Memory: a, Header: http.Header{"X-Outcome": {"not-run"}}}
	done := make(chan error, 1)
	go func() { done <- g.Serve(s, l) }()
	t.Cleanup(func() {
		_ = s.Close()
		must.ErrorIs(t, <-done, http.ErrServerClosed)
	})
	return l.Addr().String()
}

func connect(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, bufio.NewReader(c)
}

func readBody(t *testing.T, in *bufio.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(in, nil)
	must.NoError(t, err)
	b, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	return r, string(b)
}

// Guards against requests that are lost, mixed up or held behind others on a guarded connection.
func TestGuardedConnectionsServeRequestsInSeries(t *testing.T) {
	a := &sharedAccount{account: account{limit: 1 << 20}}
	address := serveGuarded(t, a)
	body := strings.Repeat("b", 9000)
	long := "X-A: " + strings.Repeat("v", 20000) + "\r\n"
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		c, in := connect(t, address)
		for _, part := range []string{
			"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + body + "GET /2 HTTP/1.1\r\nHo", "st: h\r\n\r\n",
			"POST /3 HTTP/1.1\r\nHost: h\r\n" + long + "Content-Length: 9000\r\n\r\n" + body[:10], body[10:],
			"GET /4 HTTP/1.1\r\nHost: h\r\n\r\nPOST /5 HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + body,
			"POST /6 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		} {
			_, err := io.WriteString(c, part)
			must.NoError(t, err)
			time.Sleep(pause)
		}
		for _, want := range []string{"/1" + body, "/2", "/3" + body, "/4", "/5" + body, "/6ok"} {
			r, got := readBody(t, in)
			must.Eq(t, http.StatusOK, r.StatusCode)
			must.Eq(t, want, got)
		}
	}
}

// Guards against heads that aren't counted, or never given back, and against refusals without a promise.
func TestGuardRefusesHeadsThatDoNotFit(t *testing.T) {
	a := &sharedAccount{account: account{limit: 256 << 10}}
	address := serveGuarded(t, a)
	for range 5 {
		c, in := connect(t, address)
		_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		must.NoError(t, err)
		r, _ := readBody(t, in)
		must.Eq(t, "true", r.Header.Get("X-Held"))
		_, err = io.WriteString(c, "GET /2 HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 2000)+"\r\n")
		must.NoError(t, err)
		r, _ = readBody(t, in)
		must.Eq(t, http.StatusServiceUnavailable, r.StatusCode)
		must.Eq(t, "1", r.Header.Get("Retry-After"))
		must.Eq(t, "not-run", r.Header.Get("X-Outcome"))
		_, err = in.ReadByte()
		must.Error(t, err)
	}
	c, in := connect(t, address)
	_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\nX-A: "+strings.Repeat("v", 50<<10))
	must.NoError(t, err)
	r, _ := readBody(t, in)
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, r.StatusCode)
	// A head that never ends is given up after its timeout, also behind a request.
	c, in = connect(t, address)
	_, err = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2")
	must.NoError(t, err)
	_, _ = readBody(t, in)
	_, err = in.ReadByte()
	must.Error(t, err)
	for end := time.Now().Add(5 * time.Second); a.heldBytes() > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprintf("%d bytes are still held", a.heldBytes()))
	}
}

// Guards against heads that aren't counted as they lie in the server's buffer behind a body.
func TestGuardCountsHeadsBehindBodies(t *testing.T) {
	for _, body := range []string{"Content-Length: 1\r\n\r\nb", "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"} {
		a := &sharedAccount{account: account{limit: 256 << 10}}
		c, in := connect(t, serveGuarded(t, a))
		_, err := io.WriteString(c, "POST /1 HTTP/1.1\r\nHost: h\r\n"+body+"GET /2 HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 900)+"\r\n")
		must.NoError(t, err)
		_, got := readBody(t, in)
		must.Eq(t, "/1b", got)
		r, _ := readBody(t, in)
		must.Eq(t, http.StatusServiceUnavailable, r.StatusCode)
		must.Eq(t, "1", r.Header.Get("Retry-After"))
		must.Eq(t, "not-run", r.Header.Get("X-Outcome"))
		_, err = in.ReadByte()
		must.ErrorIs(t, err, io.EOF)
	}
}
