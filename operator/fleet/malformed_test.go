package fleet_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/httphead"
)

// Guards against a response with an invalid field name that operators are shown as an instance's.
func TestMalformedResponseOfAnInstanceIsAnError(t *testing.T) {
	err := requestStatus(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length : 2\r\n\r\n{}")
		_ = c.Close()
	})
	must.ErrorIs(t, err, httphead.ErrInvalidResponse)
}
