package claim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
)

var seeds = flag.Int("claim.seeds", 500, "number of seeded histories")

// historyEvent is one call on an operation, for the checker of the register.
type historyEvent struct {
	call, end int64
	input     any
	verdict   Verdict
}

// requestOperation and finishOperation are the register's operations.
type (
	requestOperation struct{}
	finishOperation  struct{ outcome Outcome }
)

func (sim *simulation) nextTimestamp() int64 {
	sim.now++
	return int64(sim.now)
}

// recordCall notes the start of a request and returns its place in the history.
func (sim *simulation) recordCall(op *operationLog) int {
	op.history = append(op.history, historyEvent{call: sim.nextTimestamp(), input: requestOperation{}})
	return len(op.history) - 1
}

func (sim *simulation) recordReturn(op *operationLog, call int, d Decision) {
	if call < 0 || op.history[call].end != 0 {
		return
	}
	op.history[call].end = sim.nextTimestamp()
	op.history[call].verdict = d.Verdict
}

// recordFinish notes an end. When the row shows it is open.
func (sim *simulation) recordFinish(op *operationLog, o Outcome) {
	op.history = append(op.history, historyEvent{call: sim.nextTimestamp(), input: finishOperation{o}})
}

// keyState is what a claim may look like from outside: free, held, ran.
type keyState int

const (
	free keyState = iota
	held
	ran
)

// claimModel lets a request without a known answer claim the key or not, and
// an end take effect at any later time. What it never allows is a run of a
// key that is held or ran, and an answer of an operation that didn't run.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{free} },
	Step: func(state, input, output any) []any {
		s := state.(keyState)
		if f, ok := input.(finishOperation); ok {
			return s.finish(f.outcome)
		}
		switch output.(Verdict) {
		case Run:
			return transitionIf(s == free, held)
		case Replay, RanAlready:
			return transitionIf(s == ran, ran)
		case InProgress, UnknownOutcome:
			return []any{s}
		default:
			return []any{s, max(s, held)}
		}
	},
}

func (s keyState) finish(o Outcome) []any {
	switch {
	case s != held:
		return nil
	case o == Ran:
		return []any{ran}
	case o == NotRun:
		return []any{free}
	default:
		return []any{held}
	}
}

func transitionIf(ok bool, next keyState) []any {
	if !ok {
		return nil
	}
	return []any{next}
}

// porcupineOperations returns an operation's history for the checker. What has no end
// may take effect until the very end.
func (op *operationLog) porcupineOperations(last int64) []porcupine.Operation {
	var ops []porcupine.Operation
	for i, e := range op.history {
		o := porcupine.Operation{ClientId: i, Input: e.input, Call: e.call, Output: e.verdict, Return: e.end}
		if e.end == 0 {
			o.Return = last
		}
		ops = append(ops, o)
	}
	return ops
}

// Callers send the same orders again and again, to the same and to other
// instances, at the same time and after timeouts. Instances are killed and
// stall; the table is away, or its answer is lost after the write. No order
// runs twice, and nobody is told "never ran" of an order that did.
func TestHistoriesRunAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		kills int
	}{
		{"few kills", 1},
		{"many kills", 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			total := summary{verdicts: map[Verdict]int{}}
			for seed := range uint64(*seeds) {
				sim := newSimulation(seed, 4, 8, c.kills)
				sim.run()
				if faults := total.add(sim); len(faults) > 0 {
					total.failedSeeds++
					t.Logf("seed %d: %v", seed, faults)
				}
			}
			t.Log(total)
			must.Zero(t, total.failedSeeds)
		})
	}
}

// summary sums up histories.
type summary struct {
	verdicts    map[Verdict]int
	executed    int
	claimRuns   int // runs of caller-made keys
	writes      int
	avoidable   int
	failedSeeds int
}

func (s *summary) add(sim *simulation) []string {
	last := sim.nextTimestamp()
	s.writes += sim.writes
	for _, op := range sim.ops {
		if op.executions > 1 {
			sim.reportViolation(op, "%d executions", op.executions)
		}
		if !isLinearizable(op.porcupineOperations(last)) {
			sim.reportViolation(op, "not a register")
		}
		s.executed += op.executions
		if op.operationKey == nil {
			s.claimRuns += op.verdicts[Run]
		}
		s.avoidable += op.avoidableUnknowns
		for v, n := range op.verdicts {
			s.verdicts[v] += n
		}
	}
	return sim.violations
}

func (s summary) String() string {
	return fmt.Sprintf("%d executed; %.2f writes a run with a claim; run %d, in progress %d, replay %d, unknown %d (%d known elsewhere), refused %d; %d red",
		s.executed, float64(s.writes)/float64(s.claimRuns), s.verdicts[Run], s.verdicts[InProgress], s.verdicts[Replay],
		s.verdicts[UnknownOutcome], s.avoidable, s.verdicts[Refused], s.failedSeeds)
}

func isLinearizable(ops []porcupine.Operation) bool {
	model := claimModel.ToModel()
	return porcupine.CheckOperationsTimeout(model, ops, 10*time.Second) == porcupine.Ok
}
