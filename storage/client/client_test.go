package client_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
)

func startPlatform(t *testing.T, o standin.PlatformOptions, s client.Settings) (*standin.Platform, *client.Client) {
	t.Helper()
	p, err := standin.StartPlatform(o)
	must.NoError(t, err)
	t.Cleanup(p.Close)
	c, err := client.New(p.URL(), s)
	must.NoError(t, err)
	t.Cleanup(c.Close)
	return p, c
}

func putTxn(attempt, key, value string, conditions ...storage.Condition) storage.Txn {
	return storage.Txn{
		Attempt:    attempt,
		Conditions: conditions,
		Puts:       []storage.Put{{Table: storage.Control, Key: key, Value: []byte(value)}},
	}
}

func readControl(t *testing.T, c *client.Client, since storage.Revision) storage.Changes {
	t.Helper()
	changes, err := c.Read(t.Context(), storage.ReadRequest{Table: storage.Control, Since: since})
	must.NoError(t, err)
	return changes
}

func TestTableOverHTTP(t *testing.T) {
	_, c := startPlatform(t, standin.PlatformOptions{}, client.Settings{})
	first := putTxn("t1", "plan/ä b/%2F", "\x00\xff", storage.Condition{Table: storage.Control, Key: "plan/ä b/%2F"})
	first.Puts = append(first.Puts, storage.Put{Table: storage.Audit, Key: "1", Value: []byte{}})

	result, err := c.Write(t.Context(), first)
	must.NoError(t, err)
	must.Eq(t, storage.Committed, result.Outcome)
	must.Eq(t, map[storage.TableName]storage.Revision{storage.Control: 1, storage.Audit: 1}, result.Revisions)

	row := storage.Row{Key: "plan/ä b/%2F", Value: []byte("\x00\xff"), Revision: 1, Attempt: "t1"}
	again, err := c.Write(t.Context(), first)
	must.NoError(t, err)
	must.Eq(t, storage.WriteResult{Outcome: storage.Conflict, Current: []storage.Row{row}}, again)

	must.Eq(t, storage.Changes{Revision: 1, Rows: []storage.Row{row}, Full: true}, readControl(t, c, 0))
	must.Eq(t, storage.Changes{Revision: 1}, readControl(t, c, 1))
	none, err := c.Read(t.Context(), storage.ReadRequest{Table: storage.Control, Prefix: "key/"})
	must.NoError(t, err)
	must.Eq(t, storage.Changes{Revision: 1, Full: true}, none)
}

// A write commits but its response is lost. The client must report the outcome
// as unknown. The row's attempt ID identifies the write, and a retry of the
// transaction is not applied twice because its condition no longer holds.
func TestLostResponseIsUnknown(t *testing.T) {
	p, c := startPlatform(t, standin.PlatformOptions{}, client.Settings{})
	must.NoError(t, p.SetFaults(standin.PlatformFaults{
		Table: standin.TableFaults{ServiceFaults: standin.ServiceFaults{DropResponses: 1}},
	}))
	txn := putTxn("mine", "lists", "v1", storage.Condition{Table: storage.Control, Key: "lists"})

	result, err := c.Write(t.Context(), txn)
	must.NoError(t, err)
	must.Eq(t, storage.Unknown, result.Outcome)
	must.Eq(t, 1, p.Counts().Writes)
	must.Eq(t, "mine", readControl(t, c, 0).Rows[0].Attempt)

	result, err = c.Write(t.Context(), txn)
	must.NoError(t, err)
	must.Eq(t, storage.Conflict, result.Outcome)
	must.Eq(t, 1, readControl(t, c, 0).Revision)
}

// The platform closes connections, does not respond, returns an error or responds
// after the client's timeout. In each case reads must fail with ErrUnavailable and
// writes must have an unknown outcome.
func TestPlatformUnavailable(t *testing.T) {
	faults := map[string]standin.ServiceFaults{
		"closed": {Down: standin.DownClosed},
		"silent": {Down: standin.DownSilent},
		"error":  {Down: standin.DownError},
		"slow":   {Delay: config.Duration(300 * time.Millisecond)},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			p, c := startPlatform(t, standin.PlatformOptions{}, client.Settings{Timeout: 100 * time.Millisecond})
			must.NoError(t, p.SetFaults(standin.PlatformFaults{
				Table: standin.TableFaults{ServiceFaults: f}, Objects: f,
				Instances: standin.InstanceFaults{ServiceFaults: f},
			}))
			result, err := c.Write(t.Context(), putTxn("a", "k", "v"))
			must.NoError(t, err)
			must.Eq(t, storage.Unknown, result.Outcome)
			for _, err := range callAll(t.Context(), c) {
				must.True(t, errors.Is(err, storage.ErrUnavailable), must.Sprint(err))
			}
		})
	}
}

func callAll(ctx context.Context, c *client.Client) []error {
	_, err1 := c.Read(ctx, storage.ReadRequest{Table: storage.Control})
	_, err2 := c.Objects().Get(ctx, "o")
	_, err3 := c.Objects().List(ctx, "")
	_, err4 := c.List(ctx, 0)
	return []error{err1, err2, err3, err4, c.Objects().Put(ctx, "o", nil)}
}

// Guards against HTTP-level retries of writes. HTTP clients may resend a request
// when a reused connection is closed or the response is a redirect; a write must
// be sent only once.
func TestWriteIsSentOnce(t *testing.T) {
	responses := map[string]http.HandlerFunc{
		"closed": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"redirected": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		},
		"garbled": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{") },
	}
	for name, respond := range responses {
		t.Run(name, func(t *testing.T) {
			var writes atomic.Int32
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					w.Header().Set("Content-Type", "application/json")
					_, _ = io.WriteString(w, `{"revision":1,"rows":[]}`)
					return
				}
				writes.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				respond(w, r)
			}))
			t.Cleanup(s.Close)
			c, err := client.New(s.URL, client.Settings{})
			must.NoError(t, err)
			t.Cleanup(c.Close)
			must.Eq(t, 1, readControl(t, c, 0).Revision)

			result, err := c.Write(t.Context(), putTxn("a", "k", "v"))
			must.NoError(t, err)
			must.Eq(t, storage.WriteResult{}, result)
			must.ErrorIs(t, c.Objects().Put(t.Context(), "o", nil), storage.ErrUnavailable)
			must.ErrorIs(t, c.Announce(t.Context(), storage.Instance{ID: "i", Kind: storage.Entry, State: storage.Live}), storage.ErrUnavailable)
			must.Eq(t, 3, writes.Load())
		})
	}
}

func TestInstancesOverHTTP(t *testing.T) {
	p, c := startPlatform(t, standin.PlatformOptions{InstanceTimeout: time.Nanosecond}, client.Settings{})
	full := storage.Instance{
		ID: "i 1/x", Kind: storage.BackendServer, Service: "s", DataCentre: "a", Region: "r", Address: "1:1",
		PeerAddress: "1:2", OperatorAddress: "1:3", Slots: 6, State: storage.Live,
	}
	must.NoError(t, c.Announce(t.Context(), full))
	full.State = storage.Ended
	list, err := c.List(t.Context(), 0)
	must.NoError(t, err)
	must.Eq(t, storage.InstanceChanges{Version: 2, Changed: []storage.Instance{full}, Full: true}, list)
	full.State = storage.Live
	must.ErrorIs(t, c.Announce(t.Context(), full), client.ErrEnded)
	must.NoError(t, p.SetFaults(standin.PlatformFaults{Instances: standin.InstanceFaults{Frozen: true}}))
	must.NoError(t, c.Announce(t.Context(), storage.Instance{ID: "new", Kind: storage.Entry, State: storage.Live}))
	list, err = c.List(t.Context(), 2)
	must.NoError(t, err)
	must.Eq(t, storage.InstanceChanges{Version: 2}, list)
}

func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, l.Close())
	c, err := client.New("http://"+l.Addr().String(), client.Settings{})
	must.NoError(t, err)
	_, err = c.Read(t.Context(), storage.ReadRequest{Table: storage.Control})
	must.ErrorIs(t, err, storage.ErrUnavailable)
	result, err := c.Write(t.Context(), putTxn("a", "k", "v"))
	must.NoError(t, err)
	must.Eq(t, storage.Unknown, result.Outcome)
}

func TestMalformedWriteIsAnError(t *testing.T) {
	p, c := startPlatform(t, standin.PlatformOptions{}, client.Settings{})
	twice := putTxn("a", "k", "1")
	twice.Puts = append(twice.Puts, twice.Puts[0])
	for _, txn := range []storage.Txn{putTxn("", "k", "v"), putTxn("a", "", "v"), {Attempt: "a"}, twice} {
		_, err := c.Write(t.Context(), txn)
		must.ErrorIs(t, err, client.ErrMalformed)
	}
	_, err := c.Read(t.Context(), storage.ReadRequest{Table: "nosuch"})
	must.ErrorIs(t, err, client.ErrMalformed)
	must.Eq(t, 1, p.Counts().Writes)
}

func TestObjectsOverHTTP(t *testing.T) {
	_, c := startPlatform(t, standin.PlatformOptions{}, client.Settings{MaxResponseBytes: 1000})
	o := c.Objects()
	_, err := o.Get(t.Context(), "trace/1")
	must.ErrorIs(t, err, client.ErrNotFound)
	must.NoError(t, o.Put(t.Context(), "trace/1", []byte{0, 1}))
	must.NoError(t, o.Put(t.Context(), "trace/ä%2f?", nil))
	must.NoError(t, o.Put(t.Context(), "big", make([]byte, 1000)))
	data, err := o.Get(t.Context(), "trace/1")
	must.NoError(t, err)
	must.Eq(t, []byte{0, 1}, data)
	names, err := o.List(t.Context(), "trace/")
	must.NoError(t, err)
	must.Eq(t, []string{"trace/1", "trace/ä%2f?"}, names)
	_, err = o.Get(t.Context(), "big")
	must.ErrorIs(t, err, storage.ErrUnavailable)
}
