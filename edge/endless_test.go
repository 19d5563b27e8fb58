package edge_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sendEndlessHeaders sends headers without end instead of a response.
func sendEndlessHeaders(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	block := []byte(strings.Repeat("X-A: some value\r\n", 1000))
	_, err = c.Write([]byte("HTTP/1.1 200 OK\r\n"))
	for err == nil {
		_, err = c.Write(block)
	}
}

// Guards against servers that send without end and are used on, or hold their requests until
// the deadline.
func TestServerThatSendsWithoutEndIsAvoided(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	endless := f.backend("i-endless", sendEndlessHeaders)
	f.backend("i-well", nil)
	f.configure(10000, key)
	f.startFirst(1)
	for range 50 {
		start := time.Now()
		r, _ := f.lookup(0)
		must.Eq(t, http.StatusOK, r.status)
		must.Less(t, 500*time.Millisecond, time.Since(start))
	}
	must.LessEq(t, 10, endless.total())
	eventually(t, time.Second, "the cause is logged", func() bool {
		return strings.Contains(f.instances[0].log.String(), "response headers exceed 64 KiB")
	})
}
