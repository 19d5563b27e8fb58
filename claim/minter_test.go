package claim

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A caller sends an order with an operation key, loses the answer and sends
// it again. The second time it gets the first answer; the order runs once.
func TestMinterRunsOnce(t *testing.T) {
	m := NewMinter("i1", []byte("secret"), DefaultSettings())
	k, err := Parse(m.Mint(0, "w"))
	must.NoError(t, err)
	d := Digest{1}
	must.Eq(t, Run, m.Begin(1, "w", k, d).Verdict)
	must.Eq(t, InProgress, m.Begin(2, "w", k, d).Verdict)
	m.Finish(3, k, Ran, &Answer{Status: 201})
	again := m.Begin(4, "w", k, d)
	must.Eq(t, Replay, again.Verdict)
	must.Eq(t, 201, again.Answer.Status)
	must.Eq(t, UnknownOutcome, m.Begin(time.Hour, "w", k, d).Verdict)
}
