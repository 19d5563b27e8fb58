package standin_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
	"foxtailspoke/storage"
	platformclient "foxtailspoke/storage/client"
)

func startPlatform(t *testing.T, o standin.PlatformOptions) (*standin.Platform, *platformclient.Client) {
	t.Helper()
	p, err := standin.StartPlatform(o)
	must.NoError(t, err)
	t.Cleanup(p.Close)
	c, err := platformclient.New(p.URL(), platformclient.Settings{})
	must.NoError(t, err)
	t.Cleanup(c.Close)
	return p, c
}

func TestPlatformFaultsControlAPI(t *testing.T) {
	p, _ := startPlatform(t, standin.PlatformOptions{})
	url := p.ControlURL() + "/control/faults"
	set := func(body string) int { return callControlAPI(t, http.MethodPost, url, body).status }

	must.Eq(t, http.StatusOK, set(`{"table":{"loseAnswers":2},"instances":{"lag":"2s"}}`))
	must.Eq(t, http.StatusOK, set(`{"table":{"down":"silent"}}`))
	f := p.Faults()
	must.Eq(t, 2, f.Table.DropResponses)
	must.Eq(t, standin.DownSilent, f.Table.Down)
	must.StrContains(t, callControlAPI(t, http.MethodGet, url, "").body, `"lag":"2s"`)

	for _, bad := range []string{
		`{"table":{"down":"maybe"}}`, `{"tables":{}}`, `{"table":{"loseAnswersRatio":1.1}}`, `{`, ``,
		`{"objects":{"delay":"-1s"}}`, `{"instances":{"lag":"-1s"}}`, `{"table":{"loseAnswers":-1}}`,
	} {
		must.Eq(t, http.StatusBadRequest, set(bad), must.Sprint(bad))
	}
	must.Eq(t, f, p.Faults())
	must.Eq(t, http.StatusOK, callControlAPI(t, http.MethodDelete, url, "").status)
	must.Eq(t, standin.PlatformFaults{}, p.Faults())
	must.Eq(t, http.StatusMethodNotAllowed, callControlAPI(t, http.MethodPut, url, "").status)
}

// StaleReads must serve reads from the state at the time it was switched on, also
// after other faults change. Later writes must be visible only once it is
// switched off.
func TestStaleReadsShowStateAtActivation(t *testing.T) {
	p, c := startPlatform(t, standin.PlatformOptions{})
	write := func(key string) {
		r, err := c.Write(t.Context(), storage.Txn{Attempt: key, Puts: []storage.Put{{Table: storage.Control, Key: key}}})
		must.NoError(t, err)
		must.Eq(t, storage.Committed, r.Outcome)
	}
	revision := func() storage.Revision {
		changes, err := c.Read(t.Context(), storage.ReadRequest{Table: storage.Control})
		must.NoError(t, err)
		return changes.Revision
	}
	write("before")
	must.NoError(t, p.SetFaults(standin.PlatformFaults{Table: standin.TableFaults{StaleReads: true}}))
	write("after")
	must.Eq(t, 1, revision())
	must.NoError(t, p.UpdateFaults(func(f *standin.PlatformFaults) { f.Table.DropResponses = 1 }))
	must.Eq(t, 1, revision())
	must.NoError(t, p.SetFaults(standin.PlatformFaults{}))
	must.Eq(t, 2, revision())
}

// A dropped write and a dropped response must give the client the same outcome,
// Unknown; they differ only in the table's revision.
func TestDroppedWriteLooksLikeDroppedResponse(t *testing.T) {
	p, c := startPlatform(t, standin.PlatformOptions{})
	for i, f := range []standin.ServiceFaults{{DropWrites: 1}, {DropResponses: 1}, {DropResponseRatio: 1}} {
		must.NoError(t, p.SetFaults(standin.PlatformFaults{Table: standin.TableFaults{ServiceFaults: f}}))
		r, err := c.Write(t.Context(), storage.Txn{Attempt: "a", Puts: []storage.Put{{Table: storage.Control, Key: "k"}}})
		must.NoError(t, err)
		must.Eq(t, storage.Unknown, r.Outcome)
		must.Eq(t, storage.Revision(i), p.Tables().Revisions()[storage.Control])
	}
	must.Eq(t, standin.PlatformCounts{Writes: 3, DroppedResponses: 2, DroppedWrites: 1}, p.Counts())
}

// A write that is delayed beyond the client's timeout takes effect after the
// client's request has timed out, so the client must report it as Unknown.
func TestDelayedWriteTakesEffectAfterClientTimeout(t *testing.T) {
	p, _ := startPlatform(t, standin.PlatformOptions{})
	c, err := platformclient.New(p.URL(), platformclient.Settings{Timeout: shortTimeout})
	must.NoError(t, err)
	t.Cleanup(c.Close)
	slow := standin.ServiceFaults{Delay: config.Duration(2 * shortTimeout)}
	must.NoError(t, p.SetFaults(standin.PlatformFaults{Table: standin.TableFaults{ServiceFaults: slow}}))
	r, err := c.Write(t.Context(), storage.Txn{Attempt: "a", Puts: []storage.Put{{Table: storage.Control, Key: "k"}}})
	must.NoError(t, err)
	must.Eq(t, storage.Unknown, r.Outcome)
	must.Zero(t, p.Tables().Revisions()[storage.Control])
	eventually(t, "the write takes effect", func() bool { return p.Tables().Revisions()[storage.Control] == 1 })
}

// Requests above the rate limit have no effect. The client can't conclude that
// from status 429 and must report such a write as Unknown.
func TestRequestsAboveRateLimit(t *testing.T) {
	p, c := startPlatform(t, standin.PlatformOptions{})
	limited := standin.ServiceFaults{MaxReadsPerSecond: 1, MaxWritesPerSecond: 1}
	must.NoError(t, p.SetFaults(standin.PlatformFaults{Table: standin.TableFaults{ServiceFaults: limited}, Objects: limited}))
	outcomes := map[storage.WriteOutcome]int{}
	unavailable := 0
	for unavailable == 0 || outcomes[storage.Unknown] == 0 {
		r, err := c.Write(t.Context(), storage.Txn{Attempt: "a", Puts: []storage.Put{{Table: storage.Control, Key: "k"}}})
		must.NoError(t, err)
		outcomes[r.Outcome]++
		_, err = c.Read(t.Context(), storage.ReadRequest{Table: storage.Control})
		if err != nil {
			must.ErrorIs(t, err, storage.ErrUnavailable)
			unavailable++
		}
	}
	must.Positive(t, outcomes[storage.Committed])
	must.Eq(t, storage.Revision(outcomes[storage.Committed]), p.Tables().Revisions()[storage.Control])
	must.NoError(t, c.Objects().Put(t.Context(), "o", nil), must.Sprint("each service has its own limit"))
}

// One direction of the link to the platform is cut. With the responses cut, a
// write must take effect with outcome Unknown, and reads must fail; after the
// link is restored, the client must find its attempt in the table. With the
// requests cut, the write must have no effect.
func TestOneWayCutToPlatform(t *testing.T) {
	for _, cut := range []standin.LinkState{{Backward: standin.FlowCut}, {Forward: standin.FlowCut}} {
		p, _ := startPlatform(t, standin.PlatformOptions{})
		l, err := standin.StartLink(standin.LinkOptions{Name: "up", Target: p.Address()}, nil)
		must.NoError(t, err)
		t.Cleanup(l.Close)
		c, err := platformclient.New("http://"+l.Address(), platformclient.Settings{Timeout: 2 * shortTimeout})
		must.NoError(t, err)
		t.Cleanup(c.Close)
		read := storage.ReadRequest{Table: storage.Control}
		_, err = c.Read(t.Context(), read)
		must.NoError(t, err)

		must.NoError(t, l.SetState(cut))
		r, err := c.Write(t.Context(), storage.Txn{Attempt: "mine", Puts: []storage.Put{{Table: storage.Control, Key: "k"}}})
		must.NoError(t, err)
		must.Eq(t, storage.Unknown, r.Outcome)
		_, err = c.Read(t.Context(), read)
		must.ErrorIs(t, err, storage.ErrUnavailable)
		if cut.Forward == standin.FlowCut {
			must.Zero(t, p.Tables().Revisions()[storage.Control])
			continue
		}
		must.NoError(t, l.SetState(standin.LinkState{}))
		eventually(t, "reads return the write again", func() bool {
			changes, err := c.Read(t.Context(), read)
			return err == nil && len(changes.Rows) == 1 && changes.Rows[0].Attempt == "mine"
		})
	}
}
