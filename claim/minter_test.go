package claim

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func parse(t *testing.T, text string) OperationKey {
	t.Helper()
	k, err := Parse(text)
	must.NoError(t, err)
	must.Eq(t, text, k.String())
	return k
}

// A caller repeats a request after losing the response, at last after the
// operation has been evicted. It must run once, and NeverRan must stay false.
func TestMinterRunsOnce(t *testing.T) {
	s := DefaultSettings()
	m := NewMinter("i1", []byte("secret"), s)
	k, d := parse(t, m.Mint(0, "w")), Digest{1}
	must.Eq(t, Run, m.Begin(1, "w", k, d).Verdict)
	must.Eq(t, InProgress, m.Begin(2, "w", k, d).Verdict)
	must.Eq(t, Decision{Verdict: Refused, Reason: RequestMismatch}, m.Begin(2, "w", k, Digest{2}))
	m.Finish(3, k, Ran, &Answer{Status: 201})
	m.Finish(4, k, NotRun, nil) // a second report is ignored
	for _, now := range []time.Duration{5, s.KeyTime, s.KeyTime + s.KeepTime - 1} {
		again := m.Begin(now, "w", k, d)
		must.Eq(t, Replay, again.Verdict)
		must.Eq(t, 201, again.Answer.Status)
	}
	evicted := m.Begin(s.KeyTime+s.KeepTime, "w", k, d)
	must.Eq(t, Decision{Verdict: UnknownOutcome, Reason: Expired}, evicted)
	must.Zero(t, m.OperationCount())
}

// An operation that provably did not run may run until its key expires; one with
// an unknown outcome must never run again.
func TestMinterRepeatAfterCompletion(t *testing.T) {
	s := DefaultSettings()
	for _, c := range []struct {
		name    string
		outcome Outcome
		at      time.Duration
		want    Decision
	}{
		{"not run", NotRun, s.KeyTime - 1, Decision{Verdict: Run}},
		{"not run, expired", NotRun, s.KeyTime, Decision{Verdict: Refused, Reason: Expired, NeverRan: true}},
		{"unknown", Unknown, 2, Decision{Verdict: UnknownOutcome, Reason: OutcomeLost}},
		{"ran, response not stored", Ran, 2, Decision{Verdict: RanAlready}},
	} {
		m := NewMinter("i1", []byte("secret"), s)
		k := parse(t, m.Mint(0, "w"))
		must.Eq(t, Run, m.Begin(0, "w", k, Digest{}).Verdict)
		m.Finish(1, k, c.outcome, nil)
		must.Eq(t, c.want, m.Begin(c.at, "w", k, Digest{}), must.Sprint(c.name))
	}
}

// Keys of other minters or workspaces, forged keys, malformed keys and keys that
// expired unused must not run.
func TestMinterRefusesKeys(t *testing.T) {
	s := DefaultSettings()
	m := NewMinter("i1", []byte("secret"), s)
	text := m.Mint(0, "w")
	altered := strings.Replace(text, ".1.", ".2.", 1)
	for _, c := range []struct {
		name      string
		text      string
		workspace string
		at        time.Duration
		want      Decision
	}{
		{"number changed", altered, "w", 1, Decision{Verdict: Refused, Reason: Forged, NeverRan: true}},
		{"other workspace", text, "v", 1, Decision{Verdict: Refused, Reason: WorkspaceMismatch, NeverRan: true}},
		{"other minter", NewMinter("i2", []byte("secret"), s).Mint(0, "w"), "w", 1, Decision{Verdict: Refused, Reason: MinterMismatch}},
		{"previous secret", NewMinter("i1", []byte("former"), s).Mint(0, "w"), "w", 1, Decision{Verdict: Refused, Reason: Forged, NeverRan: true}},
		{"expired", text, "w", s.KeyTime, Decision{Verdict: Refused, Reason: Expired, NeverRan: true}},
		{"just before expiry", text, "w", s.KeyTime - 1, Decision{Verdict: Run}},
	} {
		must.Eq(t, c.want, m.Begin(c.at, c.workspace, parse(t, c.text), Digest{}), must.Sprint(c.name))
	}
	for _, malformed := range []string{"", "order-7", "op1.a.b", "op1..1.1.x.y", "op1.i.01.1.x.y", text + ".x", "op2" + text[3:], "op1." + strings.Repeat("i", 300) + ".1.1.x.y"} {
		_, err := Parse(malformed)
		must.ErrorIs(t, err, ErrMalformed)
	}
}

// Beyond its memory bounds the minter must drop the oldest stored responses, and
// refuse new operations rather than evict remembered ones.
func TestMinterMemoryIsBounded(t *testing.T) {
	s := Settings{KeyTime: time.Hour, KeepTime: time.Hour, MaxOperations: 3, MaxAnswerBytes: 10}
	m := NewMinter("i1", []byte("secret"), s)
	var keys []OperationKey
	for range 3 {
		k := parse(t, m.Mint(0, "w"))
		must.Eq(t, Run, m.Begin(0, "w", k, Digest{}).Verdict)
		m.Finish(0, k, Ran, &Answer{Body: []byte("12345")})
		keys = append(keys, k)
	}
	for i, want := range []Verdict{RanAlready, Replay, Replay} {
		must.Eq(t, want, m.Begin(1, "w", keys[i], Digest{}).Verdict)
	}
	another := parse(t, m.Mint(1, "w"))
	must.Eq(t, Decision{Verdict: Refused, Reason: CapacityReached, NeverRan: true}, m.Begin(1, "w", another, Digest{}))
	m.Begin(3*time.Hour, "w", another, Digest{})
	must.Zero(t, m.OperationCount()+m.answerBytes+len(m.answerQueue)+len(m.expiryQueue))
}

// No other instance may run a key whose minter has ended or is unreachable.
func TestRouteToMinterNeverRuns(t *testing.T) {
	k := OperationKey{Minter: "i1"}
	_, forward := RouteToMinter(k, PeerLive)
	must.True(t, forward)
	for _, state := range []PeerState{PeerUnreachable, PeerEnded} {
		d, forward := RouteToMinter(k, state)
		must.False(t, forward)
		must.Eq(t, Decision{Verdict: UnknownOutcome, Reason: MinterUnavailable, Owner: "i1"}, d)
	}
	must.Eq(t, UnknownOutcome, ForwardFailed(k).Verdict)
}
