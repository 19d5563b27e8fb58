package client_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
	"foxtailspoke/storage"
	"foxtailspoke/storage/client"
)

const (
	historyWorkers = 6
	historySteps   = 40
	historyKey     = "shard/1"
)

// register is the state of the single row that all workers access.
type register struct {
	revision storage.Revision
	attempt  string
}

// operation is a read, or a write conditional on a revision.
type operation struct {
	write    bool
	expected storage.Revision
	attempt  string
}

type result struct {
	outcome storage.WriteOutcome
	// seen is the state returned by a read or conflict, or set by a commit.
	seen register
}

// model is a compare-and-set register. A write with an unknown outcome may or may
// not have been applied.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		s, a, r := state.(register), input.(operation), output.(result)
		next := register{revision: s.revision + 1, attempt: a.attempt}
		holds := s.revision == a.expected
		switch {
		case !a.write || r.outcome == storage.Conflict:
			if r.seen == s && !(a.write && holds) {
				return []any{s}
			}
		case r.outcome == storage.Committed:
			if holds && r.seen == next {
				return []any{next}
			}
		case holds:
			return []any{s, next}
		default:
			return []any{s}
		}
		return nil
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// recorder records the operations of all workers.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// record makes a call and records it, unless the call failed without effect.
func (r *recorder) record(worker int, a operation, call func() (result, bool)) (result, bool) {
	called := time.Since(r.start)
	out, ok := call()
	returned := time.Since(r.start)
	if !ok {
		return out, false
	}
	if a.write && out.outcome == storage.Unknown {
		returned = time.Hour
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: worker, Input: a, Call: int64(called), Output: out, Return: int64(returned),
	})
	return out, true
}

// hasOutcomes reports whether the writes had every outcome possible under the
// injected faults.
func (r *recorder) hasOutcomes(f standin.PlatformFaults) bool {
	found := map[storage.WriteOutcome]bool{}
	for _, op := range r.ops {
		if op.Input.(operation).write {
			found[op.Output.(result).outcome] = true
		}
	}
	lossless := f.Table.DropResponseRatio == 0
	return found[storage.Committed] && found[storage.Conflict] && (lossless || found[storage.Unknown])
}

// registerOf returns the register state held by the result of a read or conflict.
func registerOf(rows []storage.Row) register {
	if len(rows) == 0 {
		return register{}
	}
	return register{revision: rows[0].Revision, attempt: rows[0].Attempt}
}

func readRegister(t *testing.T, c *client.Client) (result, bool) {
	changes, err := c.Read(t.Context(), storage.ReadRequest{Table: storage.Control, Prefix: historyKey})
	return result{seen: registerOf(changes.Rows)}, err == nil
}

func writeRegister(t *testing.T, c *client.Client, a operation) (result, bool) {
	txn := putTxn(a.attempt, historyKey, "v", storage.Condition{
		Table: storage.Control, Key: historyKey, Revision: a.expected,
	})
	w, err := c.Write(t.Context(), txn)
	out := result{outcome: w.Outcome, seen: registerOf(w.Current)}
	if w.Outcome == storage.Committed {
		out.seen = register{revision: w.Revisions[storage.Control], attempt: a.attempt}
	}
	return out, err == nil
}

// runWorker repeatedly reads the row and writes it on condition that it is
// unchanged. Writes with an unknown outcome are retried unmodified with a
// probability of 1/2.
func runWorker(t *testing.T, c *client.Client, r *recorder, worker int, rng *rand.Rand) {
	for step := range historySteps {
		known, ok := r.record(worker, operation{}, func() (result, bool) { return readRegister(t, c) })
		if !ok {
			continue
		}
		a := operation{write: true, expected: known.seen.revision, attempt: fmt.Sprintf("%d-%d", worker, step)}
		for {
			out, _ := r.record(worker, a, func() (result, bool) { return writeRegister(t, c, a) })
			if out.outcome != storage.Unknown || rng.IntN(2) == 0 {
				break
			}
		}
	}
}

func checkHistory(t *testing.T, seed uint64, f standin.PlatformFaults, during func(*standin.Platform, *client.Client)) porcupine.CheckResult {
	p, c := startPlatform(t, standin.PlatformOptions{Seed: seed, Faults: f}, client.Settings{Timeout: 30 * time.Millisecond})
	longTimeout, err := client.New(p.URL(), client.Settings{})
	must.NoError(t, err)
	t.Cleanup(longTimeout.Close)
	r := &recorder{start: time.Now()}
	var workers sync.WaitGroup
	for worker := range historyWorkers {
		rng := rand.New(rand.NewPCG(seed, uint64(worker)))
		workers.Go(func() { runWorker(t, c, r, worker, rng) })
		if during != nil {
			workers.Go(func() { during(p, longTimeout) })
		}
	}
	workers.Wait()
	must.True(t, r.hasOutcomes(f), must.Sprint("history does not contain every possible write outcome"))
	checked, _ := porcupine.CheckOperationsVerbose(model.ToModel(), r.ops, 20*time.Second)
	return checked
}

// Concurrent writers access one row while responses and writes are lost and some
// writes are applied after the client has timed out. The recorded history must be
// linearizable.
func TestHistoryIsLinearizable(t *testing.T) {
	faults := standin.PlatformFaults{Table: standin.TableFaults{ServiceFaults: standin.ServiceFaults{
		DropResponseRatio: 0.1, DropWrites: 5,
	}}}
	delayTable := func(p *standin.Platform, longTimeout *client.Client) {
		_ = p.UpdateFaults(func(f *standin.PlatformFaults) { f.Table.Delay = config.Duration(29 * time.Millisecond) })
		_, _ = readRegister(t, longTimeout)
		_ = p.UpdateFaults(func(f *standin.PlatformFaults) { f.Table.Delay = 0 })
	}
	for seed := range uint64(4) {
		must.Eq(t, porcupine.Ok, checkHistory(t, seed, faults, delayTable))
	}
}

// Checks that the linearizability check can fail: reads served from a stale copy
// during concurrent writes must be reported as a violation.
func TestStaleReadsAreNotLinearizable(t *testing.T) {
	staleReads := standin.PlatformFaults{Table: standin.TableFaults{StaleReads: true}}
	must.Eq(t, porcupine.Illegal, checkHistory(t, 1, staleReads, nil))
}
