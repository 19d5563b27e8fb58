package edge_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against limits of a configuration that are ignored, or that refuse requests within them.
func TestLimitsOfAConfigurationBoundHeads(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.backend("i-1", nil)
	f.configureWith(func(config map[string]any) {
		config["limits"] = map[string]any{"max_header_bytes": 16384, "header_timeout_s": 3}
	}, 10000, key)
	f.startFirst(1)
	status := func(headerBytes int) int {
		c, err := net.Dial("tcp4", f.address(0, 0))
		must.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET /unknown HTTP/1.1\r\nHost: h\r\nX-A: "+strings.Repeat("x", headerBytes)+"\r\n\r\n")
		must.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		must.NoError(t, err)
		return resp.StatusCode
	}
	must.Eq(t, http.StatusNotFound, status(16000))
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, status(30000))
}
