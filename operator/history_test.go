package operator

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"foxtailspoke/config"
	"foxtailspoke/config/lists"
	"foxtailspoke/internal/standin/tables"
	"foxtailspoke/storage"
)

// TestMain fixes the seed and the number of the random histories; the flags
// -rapid.seed and -rapid.checks override them. The rarest known fault, a key
// that outlives its workspace, needs 256 histories to show.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260302")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

// faultyTable loses responses before and after the write takes effect, delays
// writes, and runs another operator between any two calls.
type faultyTable struct {
	store *tables.Store
	// interleave runs before a call. It is nil while it is running.
	interleave func()
	// lose draws the fault that a call meets.
	lose func() loss
	// late are delayed writes that have not arrived yet.
	late []storage.Txn
}

type loss int

const (
	answered loss = iota
	lostBefore
	lostAfter
	lostLate
)

func (f *faultyTable) Read(_ context.Context, r storage.ReadRequest) (storage.Changes, error) {
	f.between()
	if f.lose() == lostBefore {
		return storage.Changes{}, storage.ErrUnavailable
	}
	return f.store.Read(r)
}

func (f *faultyTable) Write(_ context.Context, t storage.Txn) (storage.WriteResult, error) {
	f.between()
	switch f.lose() {
	case lostBefore:
		return storage.WriteResult{}, nil
	case lostAfter:
		_, err := f.store.Write(t)
		return storage.WriteResult{}, err
	case lostLate:
		f.late = append(f.late, t)
		return storage.WriteResult{}, nil
	default:
		return f.store.Write(t)
	}
}

func (f *faultyTable) between() {
	if f.interleave != nil {
		f.interleave()
	}
}

func (f *faultyTable) arrive() {
	for _, t := range f.late {
		_, _ = f.store.Write(t)
	}
	f.late = nil
}

// history records the outcomes that the operators got.
type history struct {
	accepted, raced, unresolved map[string]bool
	givenUp                     int
}

func (h *history) note(o Outcome, attempt string) {
	switch o {
	case Accepted:
		h.accepted[attempt] = true
	case Conflict:
		h.raced[attempt] = true
	case Unresolved:
		h.unresolved[attempt] = true
	case NothingToDo, Stopped:
	}
}

// Two operators apply lists and issue and revoke keys concurrently. The table
// loses responses before or after a write takes effect, or a write arrives only
// after its operator gave up. Outcomes must match the audit trail: an accepted
// change is in it, a raced one isn't, and no accepted change may be overwritten
// by one based on an older version.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		runHistory(t, rand.New(rand.NewPCG(seed, 1)))
	})
}

func runHistory(t must.T, rng *rand.Rand) {
	f := &faultyTable{store: tables.New()}
	h := &history{accepted: map[string]bool{}, raced: map[string]bool{}, unresolved: map[string]bool{}}
	f.lose = func() loss {
		return []loss{answered, answered, answered, answered, lostBefore, lostAfter, lostLate}[rng.IntN(7)]
	}
	now, attempts := time.Date(2026, 3, 2, 23, 59, 0, 0, time.UTC), 0
	stageRows := []int{1, 2, 3, maxStageRows}[rng.IntN(4)]
	newOperator := func(who string) *Operator {
		o := New(f, Settings{
			OperatorName: who,
			Now:          func() time.Time { now = now.Add(time.Second); return now },
			NewAttempt: func() string {
				attempts++
				return fmt.Sprintf("attempt-%03d", attempts)
			},
			Random: rand.NewChaCha8([32]byte{byte(rng.Uint64()), byte(rng.Uint64())}),
			Pause: func(context.Context, time.Duration) error {
				if rng.IntN(4) == 0 {
					f.arrive()
				}
				if rng.IntN(6) == 0 {
					return context.DeadlineExceeded
				}
				return nil
			},
		})
		o.stageRows = stageRows
		return o
	}
	a, b := newOperator("a"), newOperator("b")
	f.interleave = func() {
		if rng.IntN(4) > 0 {
			return
		}
		resume := f.interleave
		f.interleave = nil
		act(b, h, rng)
		f.interleave = resume
	}
	for range 12 {
		act(a, h, rng)
	}
	f.arrive()
	checkHistory(t, f.store, h)
}

// act carries out one random action of an operator.
func act(o *Operator, h *history, rng *rand.Rand) {
	ctx := context.Background()
	switch rng.IntN(5) {
	case 0, 1, 2:
		p, err := o.Propose(ctx, randomLists(rng))
		if err != nil {
			h.givenUp++
			return
		}
		applied, _ := o.Commit(ctx, p)
		h.note(applied.Outcome, applied.Attempt)
	case 3:
		k, err := o.IssueKey(ctx, randomName(rng), "")
		if err != nil {
			h.givenUp++
			return
		}
		h.note(k.Outcome, k.Attempt)
	case 4:
		keys, err := o.ListKeys(ctx, "")
		if err != nil || len(keys) == 0 {
			h.givenUp++
			return
		}
		k, err := o.RevokeKey(ctx, KeySelector{ID: keys[rng.IntN(len(keys))].ID})
		if err == nil {
			h.note(k.Outcome, k.Attempt)
		}
	}
}

func randomName(rng *rand.Rand) string { return string(rune('u' + rng.IntN(4))) }

func randomLists(rng *rand.Rand) lists.Lists {
	l := lists.Empty()
	l.Services["s"] = config.Service{Name: "s", Floor: 1 + rng.IntN(3), Timeout: config.Duration(time.Second), Routes: []config.Route{{Prefix: "/s/"}}}
	l.Plans["p"] = config.Plan{Name: "p", Services: map[string]config.Limit{"s": {Rate: 1, Burst: 1}}}
	for range 3 {
		name := randomName(rng)
		l.Workspaces[name] = config.Workspace{Name: name, Plan: "p"}
	}
	return l
}

func checkHistory(t must.T, store *tables.Store, h *history) {
	ctx := context.Background()
	reliable := New(&faultyTable{store: store, lose: func() loss { return answered }}, Settings{
		Now: func() time.Time { return time.Date(2026, 3, 3, 12, 0, 0, 0, time.UTC) },
	})
	entries, err := reliable.Audit(ctx, AuditQuery{Since: time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)})
	must.NoError(t, err)
	inTrail := map[string]bool{}
	version, digest := uint64(0), ""
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		must.False(t, inTrail[e.Attempt], must.Sprintf("%s took effect twice", e.Attempt))
		inTrail[e.Attempt] = true
		must.False(t, h.raced[e.Attempt], must.Sprintf("%s reported raced, but took effect", e.Attempt))
	}
	for attempt := range h.accepted {
		must.True(t, inTrail[attempt], must.Sprintf("%s reported accepted, but isn't in the audit trail", attempt))
	}
	for _, e := range byVersion(entries) {
		must.Eq(t, version, e.From, must.Sprintf("%s isn't based on the previous version", e.Attempt))
		version, digest = e.To, e.Digest
	}
	s, err := reliable.Current(ctx)
	must.NoError(t, err)
	must.Eq(t, version, s.Version)
	must.Eq(t, digest, s.Digest)
	if version > 0 {
		must.Eq(t, digest, s.Lists.Digest(), must.Sprint("the rows aren't those of the last version"))
	}
	keys, err := reliable.ListKeys(ctx, "")
	must.NoError(t, err)
	for _, k := range keys {
		_, there := s.Lists.Workspaces[k.Workspace]
		must.True(t, there, must.Sprintf("key %s outlived its workspace %s", k.ID, k.Workspace))
	}
}

func byVersion(entries []AuditEntry) []AuditEntry {
	var applied []AuditEntry
	for v := uint64(1); ; v++ {
		n := len(applied)
		for _, e := range entries {
			if e.Action == ApplyLists && e.To == v {
				applied = append(applied, e)
			}
		}
		if len(applied) == n {
			return applied
		}
	}
}
