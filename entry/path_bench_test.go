package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/entry/settings"
	"foxtailspoke/internal/standin"
	"foxtailspoke/operator"
	"foxtailspoke/storage/client"
)

// BenchmarkPath sends sequential requests to a stand-in backend server, through
// an entry instance and directly for comparison. All run in this process, so
// -cpuprofile shows the cost of the request path.
func BenchmarkPath(b *testing.B) {
	p, err := standin.StartPlatform(standin.PlatformOptions{})
	must.NoError(b, err)
	defer p.Close()
	c, err := client.New(p.URL(), client.Settings{})
	must.NoError(b, err)
	server, err := standin.StartBackend(standin.BackendOptions{
		Service: "lookup", DataCentre: "a", Slots: 64, Latency: time.Nanosecond, Instances: c, AnnounceInterval: time.Second,
	})
	must.NoError(b, err)
	defer server.Close()
	e := startEntry(b, p.URL())
	key := giveKey(b, c)
	header := http.Header{"Authorization": {"Bearer " + key}}
	through := "http://" + e.Addresses().Address + "/lookup/glue"
	deadline := time.Now().Add(20 * time.Second)
	for get(through, header) != http.StatusOK {
		must.True(b, time.Now().Before(deadline), must.Sprint("not served in time"))
		time.Sleep(50 * time.Millisecond)
	}
	b.Run("through", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			must.Eq(b, http.StatusOK, get(through, header))
		}
	})
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		direct := "http://" + server.Address() + "/lookup/glue"
		for b.Loop() {
			must.Eq(b, http.StatusOK, get(direct, http.Header{standin.AttemptHeader: {"a"}, standin.WorkspaceHeader: {"w"}, standin.TimeoutHeader: {"2000"}}))
		}
	})
}

func startEntry(b *testing.B, platform string) *Entry {
	secret := filepath.Join(b.TempDir(), "secret")
	must.NoError(b, os.WriteFile(secret, []byte("a secret of thirty-two bytes, so"), 0o600))
	s := settings.Default()
	s.DataCentre = "a"
	s.Callers.Listen, s.Peers.Listen, s.Operators.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Peers.SecretFile, s.Operators.TokenFile = secret, secret
	s.Platform.URL = platform
	s.Fleet.LocateTTL, s.Stop.Timeout = config.Duration(time.Second), config.Duration(100*time.Millisecond)
	e, err := New(s, slog.New(slog.DiscardHandler))
	must.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return e
}

func benchLists() lists.Lists {
	l := lists.Empty()
	l.Workspaces["load"] = config.Workspace{Name: "load", Plan: "load"}
	l.Plans["load"] = config.Plan{Name: "load", Services: map[string]config.Limit{"lookup": {Rate: 1e6, Burst: 1e6}}}
	l.Services["lookup"] = config.Service{Name: "lookup", Floor: 1, Timeout: config.Duration(2 * time.Second), Routes: []config.Route{{Prefix: "/lookup/"}}}
	return l
}

func giveKey(b *testing.B, c *client.Client) string {
	ctx := context.Background()
	o := operator.New(c, operator.Settings{OperatorName: "bench"})
	proposal, err := o.Propose(ctx, benchLists())
	must.NoError(b, err)
	_, err = o.Commit(ctx, proposal)
	must.NoError(b, err)
	change, err := o.IssueKey(ctx, "load", "bench")
	must.NoError(b, err)
	return change.Secret.Reveal()
}

func get(url string, header http.Header) int {
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		panic(err)
	}
	r.Header = header.Clone()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
