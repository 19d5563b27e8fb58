package claim

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/storage"
)

// newTestTable returns an empty table without scheduled faults. Tests lose a
// response by passing noResult to the claimer.
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

// The write response is lost after the claim took effect. The claimer must read
// the row, recognise its own attempt and run the operation.
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

// After a write without response the row is absent, but the write may still be
// in flight. The claimer must resend it with the same attempt id, so that only
// one of the two takes effect and either is recognised as its own.
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

// The table becomes unavailable during a claim and the request is refused, but
// the insertion takes effect later. A repeat at the same instance must take the
// row over; one at another instance must not run.
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

// The insertion of an abandoned claim takes effect and the caller does not repeat
// the request at this instance. The instance must delete the row once the table
// is available, so that another instance can run the operation.
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

// Covers the verdict of a second instance for each outcome at the first.
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
		{"short response", Ran, short, Digest{1}, Replay},
		{"long response", Ran, long, Digest{1}, RanAlready},
		{"unknown", Unknown, nil, Digest{1}, UnknownOutcome},
		{"not run", NotRun, nil, Digest{1}, Run},
		{"other request", Ran, short, Digest{2}, Refused},
	} {
		sim, a, b := newTestTable(), NewClaimer("a", DefaultClaimerSettings()), NewClaimer("b", DefaultClaimerSettings())
		id, s := a.Begin("w", "k", Digest{1})
		a.HandleWriteResult(id, sim.commit(*s.Write))
		s = a.Finish(id, c.outcome, c.answer)
		must.Eq(t, Step{}, a.Finish(id, NotRun, nil)) // a second report is ignored
		a.HandleWriteResult(id, sim.commit(*s.Write))
		must.Zero(t, a.OpenCount())
		id, s = b.Begin("w", "k", c.digest)
		must.Eq(t, c.want, requireDecision(t, b.HandleWriteResult(id, sim.commit(*s.Write))).Verdict, must.Sprint(c.name))
	}
}

// The outcome of an operation cannot be written. The claimer must retry with
// exponential backoff and then keep the outcome in memory.
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

// The request's deadline expires while the key is being claimed. The claim must
// be released unused, so that another instance can run the next repeat.
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

// Rows must be pruned once they are older than the retention period by the
// pruner's clock, and not if they change between the read and the deletion.
func TestPruneByRetention(t *testing.T) {
	tracker := NewRetentionTracker(time.Hour)
	for at := time.Duration(0); at <= 2*time.Hour; at += time.Minute {
		tracker.Observe(at, storage.Revision(at/time.Minute))
		must.LessEq(t, samplesPerRetention+1, len(tracker.samples))
		must.LessEq(t, storage.Revision(max(0, at-time.Hour)/time.Minute), tracker.ExpiredRevision(at))
	}
	must.GreaterEq(t, 58, tracker.ExpiredRevision(2*time.Hour))

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

// The outcome can neither be written nor kept in memory, because MaxRemembered is
// reached. The row still says "started", so a repeat must get UnknownOutcome.
func TestEvictedOutcomeIsUnknown(t *testing.T) {
	for _, o := range []Outcome{Ran, Unknown} {
		s := DefaultClaimerSettings()
		s.MaxRemembered = 1
		sim, c := newTestTable(), NewClaimer("a", s)
		c.notRun.capacity = 100 // attempts that never ran are remembered for longer than outcomes
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

// A claim is abandoned and the repeated request runs. Releasing the abandoned
// claim must not delete the row of the repeat.
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

// A row whose attempt never ran must not be taken over by a different request
// with the same key.
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
