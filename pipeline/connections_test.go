package pipeline_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// endsWithin reports whether a connection on which nothing is sent ends within a time.
func endsWithin(t *testing.T, d time.Duration, c net.Conn) bool {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(d)))
	_, err := c.Read(make([]byte, 1))
	must.NoError(t, c.SetReadDeadline(time.Time{}))
	ne, ok := err.(net.Error)
	return !ok || !ne.Timeout()
}

func ends(t *testing.T, c net.Conn) bool {
	t.Helper()
	return endsWithin(t, 10*time.Second, c)
}

func staysOpen(t *testing.T, c net.Conn) bool {
	t.Helper()
	return !endsWithin(t, 100*time.Millisecond, c)
}

// Guards against connections without a request that keep out others, and against requests in progress
// that are cut off for new connections.
func TestConnectionsWithoutRequestMakeRoom(t *testing.T) {
	started, release := make(chan struct{}, 4), make(chan struct{})
	s := newServer(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			started <- struct{}{}
			<-release
		}
		if _, err := io.ReadAll(r.Body); err == nil {
			echo(w, r)
		}
	})
	s.MaxConnections = 4
	s.HeaderTimeout = time.Minute
	dial := serve(t, s)
	busy, busyIn := dial()
	write(t, busy, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	idle, idleIn := dial()
	write(t, idle, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _ = readResponse(t, idleIn, http.MethodGet)
	silent, _ := dial()
	begun, _ := dial()
	write(t, begun, "GET /a HT")
	eventually(t, 4, s.OpenConnections)

	uploading, _ := dial()
	write(t, uploading, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
	must.True(t, ends(t, silent))
	eventually(t, 2, func() int { return int(s.InFlight()) })
	_, _ = dial()
	must.True(t, ends(t, begun))
	must.True(t, staysOpen(t, idle))
	for range 3 {
		c, in := dial()
		write(t, c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		r, _ := readResponse(t, in, http.MethodGet)
		must.Eq(t, http.StatusOK, r.StatusCode)
	}
	must.True(t, ends(t, idle))
	for range 3 {
		c, _ := dial()
		write(t, c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		<-started
		must.True(t, staysOpen(t, c))
	}
	must.True(t, ends(t, uploading))
	refused, _ := dial()
	must.True(t, ends(t, refused))
	must.LessEq(t, 4, s.OpenConnections())
	close(release)
	r, _ := readResponse(t, busyIn, http.MethodGet)
	must.Eq(t, http.StatusOK, r.StatusCode)
}

// eventually waits until a count has a value.
func eventually(t *testing.T, want int, count func() int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); count() != want; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprintf("%d instead of %d", count(), want))
	}
}
