package pipeline_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/pipeline"
)

// serve starts a server and returns a function that connects to it.
func serve(t *testing.T, s *pipeline.Server) func() (net.Conn, *bufio.Reader) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
	})
	return func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp4", l.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		must.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		return c, bufio.NewReader(c)
	}
}

func newServer(h http.HandlerFunc) *pipeline.Server {
	return &pipeline.Server{
		Handler: h, AllowConcurrent: func(*http.Request) bool { return true }, MaxPipelined: 4,
		HeaderTimeout: 200 * time.Millisecond, MaxHeaderBytes: 8 << 10,
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Path", r.URL.Path)
	_, _ = w.Write(b)
}

func write(t *testing.T, c net.Conn, s string) {
	t.Helper()
	_, err := io.WriteString(c, s)
	must.NoError(t, err)
}

func readResponse(t *testing.T, in *bufio.Reader, method string) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(in, &http.Request{Method: method})
	must.NoError(t, err)
	b, err := io.ReadAll(r.Body)
	must.NoError(t, err)
	return r, string(b)
}

func TestResponsesByMethodAndStatus(t *testing.T) {
	dial := serve(t, newServer(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/none" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		echo(w, r)
	}))
	c, in := dial()
	write(t, c, "HEAD /h HTTP/1.1\r\nHost: h\r\n\r\nGET /none HTTP/1.1\r\nHost: h\r\n\r\nPOST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	r, body := readResponse(t, in, http.MethodHead)
	must.Eq(t, "/h", r.Header.Get("X-Path"))
	must.Eq(t, "", body)
	r, _ = readResponse(t, in, http.MethodGet)
	must.Eq(t, http.StatusNoContent, r.StatusCode)
	must.Eq(t, "", r.Header.Get("Content-Length"))
	r, body = readResponse(t, in, http.MethodPost)
	must.Eq(t, "abc", body)
	must.NotEq(t, "", r.Header.Get("Date"))
}

// Guards against a response without a valid status that callers get as a success or as no response.
func TestInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []int{0, -1, 99, 101, 1000} {
		dial := serve(t, newServer(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "x")
		}))
		c, in := dial()
		write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		r, _ := readResponse(t, in, http.MethodGet)
		must.Eq(t, http.StatusInternalServerError, r.StatusCode, must.Sprintf("status %d", status))
	}
}

// A caller that waits for 100 Continue gets it before it sends the body.
func TestExpectContinue(t *testing.T) {
	dial := serve(t, newServer(echo))
	c, in := dial()
	write(t, c, "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
	line, err := in.ReadString('\n')
	must.NoError(t, err)
	must.StrContains(t, line, "100")
	_, err = in.ReadString('\n')
	must.NoError(t, err)
	write(t, c, "abc")
	_, body := readResponse(t, in, http.MethodPost)
	must.Eq(t, "abc", body)
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	dial := serve(t, newServer(echo))
	for sent, status := range map[string]int{
		"GET / HTTP/1.1\r\n\r\n":                                                         http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n":                                   http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: a\r\nX-A: \x00\r\n\r\n":                                 http.StatusBadRequest,
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n":                  http.StatusNotImplemented,
		"GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("x", 20<<10):               http.StatusRequestHeaderFieldsTooLarge,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab": http.StatusBadRequest,
	} {
		c, in := dial()
		write(t, c, sent)
		r, _ := readResponse(t, in, http.MethodGet)
		must.Eq(t, status, r.StatusCode, must.Sprint(sent[:min(len(sent), 60)]))
		must.True(t, r.Close)
	}
}

// A caller stalls in the middle of a request's headers. Its earlier requests
// are answered, and the connection ends.
func TestSlowHeadersEndTheConnection(t *testing.T) {
	dial := serve(t, newServer(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(400 * time.Millisecond)
		echo(w, r)
	}))
	c, in := dial()
	write(t, c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HT")
	r, _ := readResponse(t, in, http.MethodGet)
	must.Eq(t, "/a", r.Header.Get("X-Path"))
	_, err := in.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

// A connection without a request is closed after the idle timeout; one whose
// request takes longer is not.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s := newServer(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		echo(w, r)
	})
	s.SetIdleTimeout(100 * time.Millisecond)
	dial := serve(t, s)
	c, in := dial()
	write(t, c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	readResponse(t, in, http.MethodGet)
	start := time.Now()
	_, err := in.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	must.Between(t, 50*time.Millisecond, time.Since(start), 500*time.Millisecond)
}

// CloseIdle must not wait for a caller that does not read its response; that
// would delay the shutdown of the instance.
func TestCloseIdleKeepsBusyConnections(t *testing.T) {
	large := strings.Repeat("x", 16<<20)
	s := newServer(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, large) })
	dial := serve(t, s)
	stuck, _ := dial()
	write(t, stuck, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	_, idle := dial()
	for s.OpenConnections() < 2 || s.InFlight() < 1 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	s.CloseIdle()
	_, err := idle.ReadByte()
	must.Error(t, err)
	must.Eq(t, 1, s.InFlight())
}

// The unread rest of a body must not be parsed as the next request.
func TestUnreadBodyIsDiscarded(t *testing.T) {
	dial := serve(t, newServer(func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Path", r.URL.Path) }))
	for length, kept := range map[int]bool{1000: true, 1 << 20: false} {
		c, in := dial()
		go func() {
			_, _ = io.WriteString(c, "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: "+itoa(length)+"\r\n\r\n"+
				strings.Repeat("G", length)+"GET /g HTTP/1.1\r\nHost: h\r\n\r\n")
		}()
		r, _ := readResponse(t, in, http.MethodPost)
		must.Eq(t, "/p", r.Header.Get("X-Path"))
		must.Eq(t, !kept, r.Close, must.Sprint(length))
		if kept {
			r, _ = readResponse(t, in, http.MethodGet)
			must.Eq(t, "/g", r.Header.Get("X-Path"))
		}
	}
}

func itoa(n int) string { return strconv.Itoa(n) }

// headAccount is memory for a number of bytes.
type headAccount struct{ left atomic.Int64 }

func (a *headAccount) Reserve(n int) bool {
	if a.left.Add(-int64(n)) < 0 {
		a.left.Add(int64(n))
		return false
	}
	return true
}

func (a *headAccount) Release(n int) { a.left.Add(int64(n)) }

// Guards against a promise not to run a request that doesn't reach its caller, and against memory that is
// never freed.
func TestHeadsThatDoNotFitAreRefusedAsNotRun(t *testing.T) {
	a := &headAccount{}
	a.left.Store(10 << 10)
	s := newServer(echo)
	s.HeadMemory = a
	dial := serve(t, s)
	many := "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1000) + "\r\n"
	for range 20 {
		c, in := dial()
		write(t, c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"+many)
		r, _ := readResponse(t, in, http.MethodGet)
		must.Eq(t, http.StatusOK, r.StatusCode)
		r, _ = readResponse(t, in, http.MethodGet)
		must.Eq(t, http.StatusServiceUnavailable, r.StatusCode)
		must.Eq(t, "1", r.Header.Get("Retry-After"))
		must.True(t, r.Close)
	}
	must.Eq(t, 10<<10, a.left.Load())
}
