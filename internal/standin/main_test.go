package standin_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"

	"foxtailspoke/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds every wait for something that must happen.
const patience = 10 * time.Second

// glance bounds the look for something that mustn't happen.
const glance = 60 * time.Millisecond

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(f), wait.Timeout(patience), wait.Gap(time.Millisecond)), must.Sprint(what))
}

func startBackend(t *testing.T, o standin.BackendOptions) *standin.Backend {
	t.Helper()
	o.Service = "catalogue"
	b, err := standin.StartBackend(o)
	must.NoError(t, err)
	t.Cleanup(b.Close)
	return b
}

// call is one request and what came of it.
type call struct {
	method  string
	path    string
	body    string
	header  map[string]string
	timeout time.Duration
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// client returns an HTTP client with its own connections.
func client(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (c call) send(t *testing.T, hc *http.Client, url string) reply {
	if c.timeout == 0 {
		c.timeout = patience
	}
	ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
	defer cancel()
	return c.sendWith(ctx, hc, url)
}

func (c call) sendWith(ctx context.Context, hc *http.Client, url string) reply {
	if c.method == "" {
		c.method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, c.method, url+c.path, strings.NewReader(c.body))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set(standin.AttemptHeader, "a1")
	r.Header.Set(standin.WorkspaceHeader, "cebu")
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	resp, err := hc.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// async sends the call and returns the reply later.
func (c call) async(ctx context.Context, t *testing.T, url string) <-chan reply {
	hc := client(t)
	out := make(chan reply, 1)
	go func() { out <- c.sendWith(ctx, hc, url) }()
	return out
}

func control(t *testing.T, method, url, body string) reply {
	t.Helper()
	r := call{method: method, body: body}.send(t, client(t), url)
	must.NoError(t, r.err)
	return r
}
