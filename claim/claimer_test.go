package claim

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/storage"
)

// newTestTable is a table whose answers a test loses at will.
func newTestTable() *simulation {
	return &simulation{rng: rand.New(rand.NewPCG(1, 1)), table: map[string]storage.Row{}}
}

func (sim *simulation) allRows() storage.Changes {
	ch := storage.Changes{Revision: sim.revision, Full: true}
	for _, row := range sim.table {
		ch.Rows = append(ch.Rows, row)
	}
	return ch
}

func requireDecision(t *testing.T, s Step) Decision {
	t.Helper()
	must.NotNil(t, s.Decision)
	return *s.Decision
}

var noResult = storage.WriteResult{}

// The table's answer is lost after the claim took effect. The claimer reads
// before it decides, finds its own attempt, and runs the order.
func TestLostResponseToOwnClaim(t *testing.T) {
	sim, c := newTestTable(), NewClaimer("a", DefaultClaimerSettings())
	id, s := c.Begin("w", "k", Digest{1})
	sim.commit(*s.Write)
	s = c.HandleWriteResult(id, noResult)
	must.Nil(t, s.Decision)
	must.NotNil(t, s.Read)
	must.Eq(t, Run, requireDecision(t, c.HandleReadResult(id, sim.allRows())).Verdict)
	end := c.Finish(id, Ran, &Answer{Status: 200})
	must.Eq(t, storage.Committed, sim.commit(*end.Write).Outcome)
}

// The claim's row isn't there after an unanswered write, which may still be
// on its way. The same attempt is sent again: only one can take effect, and
// whichever did is the claimer's own.
func TestUnansweredClaimIsResent(t *testing.T) {
	for _, firstArrives := range []bool{false, true} {
		sim, c := newTestTable(), NewClaimer("a", DefaultClaimerSettings())
		id, first := c.Begin("w", "k", Digest{1})
		c.HandleWriteResult(id, noResult)
		again := c.HandleReadResult(id, sim.allRows())
		must.NotNil(t, again.Write)
		must.Eq(t, first.Write.Attempt, again.Write.Attempt)
		if firstArrives {
			sim.commit(*first.Write)
		}
		must.Eq(t, Run, requireDecision(t, c.HandleWriteResult(id, sim.commit(*again.Write))).Verdict)
		must.Eq(t, storage.Conflict, sim.commit(*first.Write).Outcome)
	}
}

// The table goes away during a claim. The caller hears that this request
// wasn't run. The claim arrives in the table all the same; the caller's next
// try at this instance takes it over, one at another instance can't.
func TestAbandonedClaimIsTakenOver(t *testing.T) {
	sim, a, b := newTestTable(), NewClaimer("a", DefaultClaimerSettings()), NewClaimer("b", DefaultClaimerSettings())
	id, s := a.Begin("w", "k", Digest{1})
	a.HandleWriteResult(id, noResult)
	must.Eq(t, Decision{Verdict: Refused, Reason: StoreUnavailable}, requireDecision(t, a.HandleReadFailure(id)))
	sim.commit(*s.Write)

	id, s = b.Begin("w", "k", Digest{1})
	d := requireDecision(t, b.HandleWriteResult(id, sim.commit(*s.Write)))
	must.Eq(t, Decision{Verdict: InProgress, Owner: "a"}, d)
	must.Eq(t, Decision{Verdict: UnknownOutcome, Reason: ClaimerUnavailable, Owner: "a"}, ResolveInProgress(d, PeerEnded))

	id, s = a.Begin("w", "k", Digest{1})
	s = a.HandleWriteResult(id, sim.commit(*s.Write))
	must.NotNil(t, s.Write)
	must.Eq(t, Run, requireDecision(t, a.HandleWriteResult(id, sim.commit(*s.Write))).Verdict)
}

// The same, but the caller never comes back to this instance. It sweeps the
// claim away when the table answers again, and another instance may run.
func TestAbandonedClaimIsReleased(t *testing.T) {
	sim, a, b := newTestTable(), NewClaimer("a", DefaultClaimerSettings()), NewClaimer("b", DefaultClaimerSettings())
	id, s := a.Begin("w", "k", Digest{1})
	a.HandleWriteResult(id, noResult)
	a.HandleReadFailure(id)
	sim.commit(*s.Write)
	keys := a.AbandonedKeys(10)
	must.Eq(t, []string{RowKey("w", "k")}, keys)
	txn, ok := a.ReleaseAbandoned(keys[0], sim.allRows())
	must.True(t, ok)
	must.Eq(t, storage.Committed, sim.commit(txn).Outcome)
	must.SliceEmpty(t, a.AbandonedKeys(10))

	id, s = b.Begin("w", "k", Digest{1})
	must.Eq(t, Run, requireDecision(t, b.HandleWriteResult(id, sim.commit(*s.Write))).Verdict)
	_, ok = a.ReleaseAbandoned(keys[0], sim.allRows())
	must.False(t, ok)
}

// What a second instance says of an order, after each end at the first.
func TestRepeatAfterCompletion(t *testing.T) {
	long := &Answer{Status: 200, Body: make([]byte, 5000)}
	short := &Answer{Status: 201, Body: []byte("x")}
	for _, c := range []struct {
		name    string
		outcome Outcome
		answer  *Answer
		digest  Digest
		want    Verdict
	}{
		{"short answer", Ran, short, Digest{1}, Replay},
		{"long answer", Ran, long, Digest{1}, RanAlready},
		{"unknown", Unknown, nil, Digest{1}, UnknownOutcome},
		{"not run", NotRun, nil, Digest{1}, Run},
		{"other request", Ran, short, Digest{2}, Refused},
	} {
		sim, a, b := newTestTable(), NewClaimer("a", DefaultClaimerSettings()), NewClaimer("b", DefaultClaimerSettings())
		id, s := a.Begin("w", "k", Digest{1})
		a.HandleWriteResult(id, sim.commit(*s.Write))
		s = a.Finish(id, c.outcome, c.answer)
		must.Eq(t, Step{}, a.Finish(id, NotRun, nil)) // a second report doesn't count
		a.HandleWriteResult(id, sim.commit(*s.Write))
		must.Zero(t, a.OpenCount())
		id, s = b.Begin("w", "k", c.digest)
		must.Eq(t, c.want, requireDecision(t, b.HandleWriteResult(id, sim.commit(*s.Write))).Verdict, must.Sprint(c.name))
	}
}

// The end of an order can't be written. The claimer repeats it with growing
// waits, then remembers the end itself.
func TestUnwritableOutcomeIsRemembered(t *testing.T) {
	sim, c := newTestTable(), NewClaimer("a", DefaultClaimerSettings())
	id, s := c.Begin("w", "k", Digest{1})
	c.HandleWriteResult(id, sim.commit(*s.Write))
	s = c.Finish(id, Ran, &Answer{Status: 200})
	var waits time.Duration
	for s.Write != nil {
		waits += s.Delay
		_, again := c.Begin("w", "k", Digest{1})
		must.Eq(t, Replay, requireDecision(t, again).Verdict)
		s = c.HandleWriteResult(id, noResult)
	}
	must.Eq(t, 31*time.Second, waits)
	must.Zero(t, c.OpenCount())
	_, again := c.Begin("w", "k", Digest{1})
	must.Eq(t, Replay, requireDecision(t, again).Verdict)
}

// A caller's deadline ends during the claim. The claim is given back unused
// and another instance runs the caller's next try.
func TestCancelledClaimIsReleased(t *testing.T) {
	sim, a, b := newTestTable(), NewClaimer("a", DefaultClaimerSettings()), NewClaimer("b", DefaultClaimerSettings())
	id, s := a.Begin("w", "k", Digest{1})
	a.Cancel(id)
	s = a.HandleWriteResult(id, sim.commit(*s.Write))
	must.Nil(t, s.Decision)
	a.HandleWriteResult(id, sim.commit(*s.Write))
	id, s = b.Begin("w", "k", Digest{1})
	must.Eq(t, Run, requireDecision(t, b.HandleWriteResult(id, sim.commit(*s.Write))).Verdict)
}

// Claims are pruned once they are older than the retention by the pruner's
// clock. A claim that changed meanwhile stays.
func TestPruneByRetention(t *testing.T) {
	h := NewRetentionTracker(time.Hour)
	for at := time.Duration(0); at <= 2*time.Hour; at += time.Minute {
		h.Observe(at, storage.Revision(at/time.Minute))
		must.LessEq(t, samplesPerRetention+1, len(h.samples))
		must.LessEq(t, storage.Revision(max(0, at-time.Hour)/time.Minute), h.ExpiredRevision(at))
	}
	must.GreaterEq(t, 58, h.ExpiredRevision(2*time.Hour))

	sim, c := newTestTable(), NewClaimer("a", DefaultClaimerSettings())
	for _, key := range []string{"k1", "k2", "k3"} {
		id, s := c.Begin("w", key, Digest{1})
		c.HandleWriteResult(id, sim.commit(*s.Write))
	}
	txn, ok := c.Prune(sim.allRows().Rows, 2, 10)
	must.True(t, ok)
	must.Len(t, 2, txn.Puts)
	must.Eq(t, storage.Committed, sim.commit(txn).Outcome)
	must.Eq(t, storage.Conflict, sim.commit(txn).Outcome)
	must.MapLen(t, 1, sim.table)
	_, ok = c.Prune(sim.allRows().Rows, 2, 10)
	must.False(t, ok)
}

// An end can't be written, and the claimer has to forget it, too: its memory
// is full. The row says "started" of an order that ran; it stays unknown.
func TestEvictedOutcomeIsUnknown(t *testing.T) {
	for _, o := range []Outcome{Ran, Unknown} {
		s := DefaultClaimerSettings()
		s.MaxRemembered = 1
		sim, c := newTestTable(), NewClaimer("a", s)
		c.notRun.capacity = 100 // what never ran may be remembered for longer
		for _, key := range []string{"k1", "k2"} {
			id, step := c.Begin("w", key, Digest{1})
			c.HandleWriteResult(id, sim.commit(*step.Write))
			for step = c.Finish(id, o, nil); step.Write != nil; {
				step = c.HandleWriteResult(id, noResult)
			}
		}
		id, step := c.Begin("w", "k1", Digest{1})
		d := requireDecision(t, c.HandleWriteResult(id, sim.commit(*step.Write)))
		must.Eq(t, Decision{Verdict: UnknownOutcome, Reason: OutcomeLost}, d)
	}
}

// An order was given up, then sent again, and ran. What the first try left
// to sweep must not delete the row of the second.
func TestReleaseKeepsLaterClaim(t *testing.T) {
	for _, finished := range []bool{false, true} {
		sim, c := newTestTable(), NewClaimer("a", DefaultClaimerSettings())
		id, _ := c.Begin("w", "k", Digest{1})
		c.HandleWriteResult(id, noResult)
		c.HandleReadFailure(id)
		id, s := c.Begin("w", "k", Digest{1})
		must.Eq(t, Run, requireDecision(t, c.HandleWriteResult(id, sim.commit(*s.Write))).Verdict)
		if finished {
			c.HandleWriteResult(id, sim.commit(*c.Finish(id, Ran, nil).Write))
		}
		_, ok := c.ReleaseAbandoned(c.AbandonedKeys(1)[0], sim.allRows())
		must.False(t, ok)
	}
}

// A claim that never ran was for another request with the same key.
func TestTakeOverRequiresSameRequest(t *testing.T) {
	sim, c := newTestTable(), NewClaimer("a", DefaultClaimerSettings())
	id, first := c.Begin("w", "k", Digest{1})
	c.HandleWriteResult(id, noResult)
	c.HandleReadFailure(id)
	sim.commit(*first.Write)
	id, s := c.Begin("w", "k", Digest{2})
	d := requireDecision(t, c.HandleWriteResult(id, sim.commit(*s.Write)))
	must.Eq(t, Decision{Verdict: Refused, Reason: RequestMismatch}, d)
}
