package httphead_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"foxtailspoke/httphead"
)

// account counts what is reserved.
type account struct{ limit, held, peak int }

func (a *account) Reserve(n int) bool {
	if a.held+n > a.limit {
		return false
	}
	a.held += n
	a.peak = max(a.peak, a.held)
	return true
}

func (a *account) Release(n int) { a.held -= n }

// readers read a text as a whole and byte by byte.
var readers = map[string]func(string) io.Reader{
	"whole": func(s string) io.Reader { return strings.NewReader(s) },
	"bytes": func(s string) io.Reader { return iotest.OneByteReader(strings.NewReader(s)) },
}

// Guards against heads, bodies or following requests of which bytes are lost or repeated.
func TestRequestsOfAllSizesAreReadInSeries(t *testing.T) {
	for name, reader := range readers {
		for _, size := range []int{0, 100, 4000, 4096, 4097, 9000, 20000, 65000} {
			value := strings.Repeat("v", size)
			one := "POST /a HTTP/1.1\r\nHost: h\r\nX-A: " + value + "\r\nContent-Length: 6000\r\n\r\n" + strings.Repeat("b", 6000)
			a := &account{limit: 1 << 20}
			r := httphead.NewReader(reader(one + one + "GET /b HTTP/1.1\nHost: h\n\n"))
			for range 2 {
				head, err := r.Buffer(128<<10, a)
				must.NoError(t, err)
				must.Eq(t, len(one)-6000, head.Bytes, must.Sprintf("%s %d", name, size))
				must.Eq(t, 4, head.Lines)
				must.Zero(t, a.held)
				req, err := http.ReadRequest(r.Reader)
				must.NoError(t, err)
				must.Eq(t, value, req.Header.Get("X-A"))
				body, err := io.ReadAll(req.Body)
				must.NoError(t, err)
				must.Eq(t, 6000, len(body))
			}
			head, err := r.Buffer(128<<10, a)
			must.NoError(t, err)
			must.Eq(t, httphead.Head{Bytes: 25, Lines: 2}, head)
			_, err = http.ReadRequest(r.Reader)
			must.NoError(t, err)
			_, err = r.Buffer(128<<10, a)
			must.ErrorIs(t, err, io.EOF)
		}
	}
}

// Guards against heads that are accepted beyond a limit, or refused within it.
func TestLimitsOfHeads(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: h\r\n"
	long := head + strings.Repeat("X-A: b\r\n", 3000) + "\r\n"
	for name, reader := range readers {
		_, err := httphead.NewReader(reader(long)).Buffer(len(long), nil)
		must.NoError(t, err, must.Sprint(name))
		_, err = httphead.NewReader(reader(long)).Buffer(len(long)-1, nil)
		must.ErrorIs(t, err, httphead.ErrTooLarge)
		_, err = httphead.NewReader(reader(head+"\r\n")).Buffer(len(head)+2, nil)
		must.NoError(t, err)
		_, err = httphead.NewReader(reader(head+"\r\n")).Buffer(len(head)+1, nil)
		must.ErrorIs(t, err, httphead.ErrTooLarge)
		_, err = httphead.NewReader(reader(head)).Buffer(1<<20, nil)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		a := &account{limit: 20 << 10}
		_, err = httphead.NewReader(reader(long)).Buffer(1<<20, a)
		must.ErrorIs(t, err, httphead.ErrNoMemory)
		must.Zero(t, a.held)
		a.limit = 1 << 20
		_, err = httphead.NewReader(reader(long[:len(long)-2])).Buffer(1<<20, a)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.Zero(t, a.held)
		must.GreaterEq(t, len(long), a.peak)
	}
}
