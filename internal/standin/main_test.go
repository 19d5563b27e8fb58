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

// testTimeout is the timeout of requests and of conditions that must become true.
const testTimeout = 10 * time.Second

// shortTimeout is how long tests wait for something that must not happen, and the
// timeout of requests that must fail by their timeout.
const shortTimeout = 60 * time.Millisecond

// eventually fails the test if isTrue does not return true within testTimeout.
func eventually(t *testing.T, condition string, isTrue func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(isTrue), wait.Timeout(testTimeout), wait.Gap(time.Millisecond)), must.Sprint(condition))
}

func startBackend(t *testing.T, o standin.BackendOptions) *standin.Backend {
	t.Helper()
	o.Service = "catalogue"
	b, err := standin.StartBackend(o)
	must.NoError(t, err)
	t.Cleanup(b.Close)
	return b
}

// request is an HTTP request to send. Method defaults to GET, timeout to
// testTimeout.
type request struct {
	method  string
	path    string
	body    string
	header  map[string]string
	timeout time.Duration
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// newClient returns an HTTP client with its own connections.
func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (req request) send(t *testing.T, client *http.Client, url string) response {
	if req.timeout == 0 {
		req.timeout = testTimeout
	}
	ctx, cancel := context.WithTimeout(t.Context(), req.timeout)
	defer cancel()
	return req.sendContext(ctx, client, url)
}

func (req request) sendContext(ctx context.Context, client *http.Client, url string) response {
	if req.method == "" {
		req.method = http.MethodGet
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, url+req.path, strings.NewReader(req.body))
	if err != nil {
		return response{err: err}
	}
	httpReq.Header.Set(standin.AttemptHeader, "a1")
	httpReq.Header.Set(standin.WorkspaceHeader, "cebu")
	for name, value := range req.header {
		httpReq.Header.Set(name, value)
	}
	resp, err := client.Do(httpReq)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// sendAsync sends the request in the background, on connections of its own.
func (req request) sendAsync(ctx context.Context, t *testing.T, url string) <-chan response {
	client := newClient(t)
	responses := make(chan response, 1)
	go func() { responses <- req.sendContext(ctx, client, url) }()
	return responses
}

func callControlAPI(t *testing.T, method, url, body string) response {
	t.Helper()
	resp := request{method: method, body: body}.send(t, newClient(t), url)
	must.NoError(t, resp.err)
	return resp
}
