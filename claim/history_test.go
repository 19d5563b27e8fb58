package claim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
)

var seeds = flag.Int("claim.seeds", 500, "number of simulated histories per kill rate, seeded from 0")

// historyEvent is one call on an operation in the history that is checked for
// linearizability. An end of 0 marks a call that is still open.
type historyEvent struct {
	call, end int64
	input     any
	verdict   Verdict
}

// requestOperation and finishOperation are the inputs of claimModel.
type (
	requestOperation struct{}
	finishOperation  struct{ outcome Outcome }
)

func (sim *simulation) nextTimestamp() int64 {
	sim.now++
	return int64(sim.now)
}

// recordCall records the start of a request and returns its index in the history.
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

// recordFinish records the end of an operation as an open call, because the row
// may show it at any later time.
func (sim *simulation) recordFinish(op *operationLog, o Outcome) {
	op.history = append(op.history, historyEvent{call: sim.nextTimestamp(), input: finishOperation{o}})
}

// keyState is the state of a key in claimModel.
type keyState int

const (
	free keyState = iota
	held
	ran
)

// claimModel is the sequential specification of a key. A request without a
// recorded verdict may or may not claim the key, and a finish may take effect at
// any later time. The model rejects a Run of a key that is held or ran, and a
// Replay or RanAlready of an operation that did not run.
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

// porcupineOperations converts the history for the checker. Open calls may take
// effect until the end of the simulation.
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

// Callers repeat requests at the same and at other instances, concurrently and
// after timeouts, while instances are killed or stall, the table is unavailable,
// or its response is lost after the write took effect. No operation may run
// twice, and NeverRan may not be set for one that ran.
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
				if violations := total.add(sim); len(violations) > 0 {
					total.failedSeeds++
					t.Logf("seed %d: %v", seed, violations)
				}
			}
			t.Log(total)
			must.Zero(t, total.failedSeeds)
		})
	}
}

// summary aggregates the results of all simulations.
type summary struct {
	verdicts          map[Verdict]int
	executions        int
	claimRuns         int // runs of caller-supplied keys
	writes            int
	avoidableUnknowns int
	failedSeeds       int
}

// add returns the violations of a finished simulation.
func (s *summary) add(sim *simulation) []string {
	last := sim.nextTimestamp()
	s.writes += sim.writes
	for _, op := range sim.ops {
		if op.executions > 1 {
			sim.reportViolation(op, "%d executions", op.executions)
		}
		if !isLinearizable(op.porcupineOperations(last)) {
			sim.reportViolation(op, "history is not linearizable")
		}
		s.executions += op.executions
		if op.operationKey == nil {
			s.claimRuns += op.verdicts[Run]
		}
		s.avoidableUnknowns += op.avoidableUnknowns
		for v, n := range op.verdicts {
			s.verdicts[v] += n
		}
	}
	return sim.violations
}

func (s summary) String() string {
	return fmt.Sprintf("%d executions; %.2f writes per claimed run; run %d, in progress %d, replay %d, unknown %d (%d known to a live instance), refused %d; %d failed seeds",
		s.executions, float64(s.writes)/float64(s.claimRuns), s.verdicts[Run], s.verdicts[InProgress], s.verdicts[Replay],
		s.verdicts[UnknownOutcome], s.avoidableUnknowns, s.verdicts[Refused], s.failedSeeds)
}

func isLinearizable(ops []porcupine.Operation) bool {
	model := claimModel.ToModel()
	return porcupine.CheckOperationsTimeout(model, ops, 10*time.Second) == porcupine.Ok
}
