package standin_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
	"foxtailspoke/platform"
	platformclient "foxtailspoke/platform/client"
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

func TestFaultsOverHTTP(t *testing.T) {
	p, _ := startPlatform(t, standin.PlatformOptions{})
	url := p.ControlURL() + "/control/faults"
	set := func(body string) int { return control(t, http.MethodPost, url, body).status }

	must.Eq(t, http.StatusOK, set(`{"table":{"loseAnswers":2},"instances":{"lag":"2s"}}`))
	must.Eq(t, http.StatusOK, set(`{"table":{"down":"silent"}}`))
	f := p.Faults()
	must.Eq(t, 2, f.Table.LoseAnswers)
	must.Eq(t, standin.DownSilent, f.Table.Down)
	must.StrContains(t, control(t, http.MethodGet, url, "").body, `"lag":"2s"`)

	for _, bad := range []string{
		`{"table":{"down":"maybe"}}`, `{"tables":{}}`, `{"table":{"loseAnswersRatio":1.1}}`, `{`, ``,
		`{"objects":{"delay":"-1s"}}`, `{"instances":{"lag":"-1s"}}`, `{"table":{"loseAnswers":-1}}`,
	} {
		must.Eq(t, http.StatusBadRequest, set(bad), must.Sprint(bad))
	}
	must.Eq(t, f, p.Faults())
	must.Eq(t, http.StatusOK, control(t, http.MethodDelete, url, "").status)
	must.Eq(t, standin.PlatformFaults{}, p.Faults())
	must.Eq(t, http.StatusMethodNotAllowed, control(t, http.MethodPut, url, "").status)
}

// The old copy is the state at the moment of the switch: a write after it
// must not show, and must once the fault has ended.
func TestOldCopyIsFromTheSwitch(t *testing.T) {
	p, c := startPlatform(t, standin.PlatformOptions{})
	write := func(key string) {
		r, err := c.Write(t.Context(), platform.Txn{Attempt: key, Puts: []platform.Put{{Table: platform.Control, Key: key}}})
		must.NoError(t, err)
		must.Eq(t, platform.Committed, r.Outcome)
	}
	revision := func() platform.Revision {
		changes, err := c.Read(t.Context(), platform.ReadRequest{Table: platform.Control})
		must.NoError(t, err)
		return changes.Revision
	}
	write("before")
	must.NoError(t, p.SetFaults(standin.PlatformFaults{Table: standin.TableFaults{OldCopy: true}}))
	write("after")
	must.Eq(t, 1, revision())
	must.NoError(t, p.UpdateFaults(func(f *standin.PlatformFaults) { f.Table.LoseAnswers = 1 }))
	must.Eq(t, 1, revision())
	must.NoError(t, p.SetFaults(standin.PlatformFaults{}))
	must.Eq(t, 2, revision())
}

// A lost write and a lost answer look the same to their writers; only the
// table knows the difference.
func TestLostWriteLooksLikeLostAnswer(t *testing.T) {
	p, c := startPlatform(t, standin.PlatformOptions{})
	for i, f := range []standin.ServiceFaults{{LoseWrites: 1}, {LoseAnswers: 1}, {LoseAnswersRatio: 1}} {
		must.NoError(t, p.SetFaults(standin.PlatformFaults{Table: standin.TableFaults{ServiceFaults: f}}))
		r, err := c.Write(t.Context(), platform.Txn{Attempt: "a", Puts: []platform.Put{{Table: platform.Control, Key: "k"}}})
		must.NoError(t, err)
		must.Eq(t, platform.Unknown, r.Outcome)
		must.Eq(t, platform.Revision(i), p.Tables().Revisions()[platform.Control])
	}
	must.Eq(t, standin.PlatformCounts{Writes: 3, LostAnswers: 2, LostWrites: 1}, p.Counts())
}

// The store is slow: a writer gives up, and its write takes effect after
// that. What it was told, that the outcome is unknown, was true.
func TestSlowWriteTakesEffectLate(t *testing.T) {
	p, _ := startPlatform(t, standin.PlatformOptions{})
	c, err := platformclient.New(p.URL(), platformclient.Settings{Timeout: glance})
	must.NoError(t, err)
	t.Cleanup(c.Close)
	slow := standin.ServiceFaults{Delay: config.Duration(2 * glance)}
	must.NoError(t, p.SetFaults(standin.PlatformFaults{Table: standin.TableFaults{ServiceFaults: slow}}))
	r, err := c.Write(t.Context(), platform.Txn{Attempt: "a", Puts: []platform.Put{{Table: platform.Control, Key: "k"}}})
	must.NoError(t, err)
	must.Eq(t, platform.Unknown, r.Outcome)
	must.Zero(t, p.Tables().Revisions()[platform.Control])
	eventually(t, "takes effect", func() bool { return p.Tables().Revisions()[platform.Control] == 1 })
}
