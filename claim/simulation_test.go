package claim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/storage"
)

// simulation executes the actions of callers, entry instances, the claims table
// and a backend server in random order. A long-pending action stands for a slow
// message or a stalled instance; actions of a killed instance are skipped.
type simulation struct {
	rng         *rand.Rand
	now         time.Duration
	pending     []action
	instances   []*simInstance
	startCount  int
	table       map[string]storage.Row
	revision    storage.Revision
	unavailable bool
	// writes counts the transactions that were sent to the table.
	writes int
	// killsPerMille is the number of steps in a thousand that kill an instance.
	killsPerMille int
	ops           []*operationLog
	violations    []string
}

type action struct {
	// instance performs the action; nil for callers, the table and the backend
	// server.
	instance *simInstance
	do       func()
}

type simInstance struct {
	id      string
	ended   bool
	minter  *Minter
	claimer *Claimer
}

// operationLog records the actual course of one operation.
type operationLog struct {
	key          string
	operationKey *OperationKey
	minter       *simInstance
	digest       Digest
	// executions counts the completed runs at the backend server.
	executions int
	// pendingExecutions counts the scheduled runs.
	pendingExecutions int
	// endsByInstance holds Ran for each instance that received the response.
	endsByInstance map[*simInstance]Outcome
	history        []historyEvent
	verdicts       map[Verdict]int
	// avoidableUnknowns counts UnknownOutcome verdicts for operations whose
	// outcome a live instance knew, once for each such instance.
	avoidableUnknowns int
}

func newSimulation(seed uint64, instances, operations, kills int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 2)), table: map[string]storage.Row{}, killsPerMille: kills}
	for range instances {
		sim.instances = append(sim.instances, sim.startInstance())
	}
	for i := range operations {
		op := &operationLog{
			key:            fmt.Sprintf("order-%d", i),
			digest:         Digest{byte(i), byte(i >> 8)},
			endsByInstance: map[*simInstance]Outcome{},
			verdicts:       map[Verdict]int{},
		}
		if i%2 == 0 {
			op.minter = sim.randomInstance()
			k, err := Parse(op.minter.minter.Mint(sim.now, "w"))
			if err != nil {
				panic(err)
			}
			op.operationKey = &k
		}
		sim.ops = append(sim.ops, op)
		for range 1 + sim.rng.IntN(5) {
			sim.schedule(nil, func() { sim.sendRequest(op) })
		}
	}
	return sim
}

func (sim *simulation) startInstance() *simInstance {
	sim.startCount++
	id := fmt.Sprintf("i%d", sim.startCount)
	s := DefaultClaimerSettings()
	return &simInstance{
		id:      id,
		minter:  NewMinter(id, []byte(id), DefaultSettings()),
		claimer: NewClaimer(id, s),
	}
}

func (sim *simulation) randomInstance() *simInstance {
	return sim.instances[sim.rng.IntN(len(sim.instances))]
}

func (sim *simulation) schedule(inst *simInstance, do func()) {
	sim.pending = append(sim.pending, action{instance: inst, do: do})
}

func (sim *simulation) chance(percent int) bool { return sim.rng.IntN(100) < percent }

func (sim *simulation) reportViolation(op *operationLog, format string, args ...any) {
	sim.violations = append(sim.violations, op.key+": "+fmt.Sprintf(format, args...))
}

// run executes all pending actions, interleaved with kills and table outages.
func (sim *simulation) run() {
	for len(sim.pending) > 0 {
		sim.now += time.Millisecond
		if sim.rng.IntN(1000) < sim.killsPerMille {
			k := sim.rng.IntN(len(sim.instances))
			sim.instances[k].ended = true
			sim.instances[k] = sim.startInstance()
		}
		if sim.chance(5) {
			sim.unavailable = !sim.unavailable && sim.chance(30)
		}
		sim.releaseAbandoned()
		i := sim.rng.IntN(len(sim.pending))
		a := sim.pending[i]
		sim.pending = slices.Delete(sim.pending, i, i+1)
		if a.instance == nil || !a.instance.ended {
			a.do()
		}
	}
}

// releaseAbandoned makes a random instance release one of its abandoned claims,
// with a probability of 10 % a step.
func (sim *simulation) releaseAbandoned() {
	inst := sim.randomInstance()
	keys := inst.claimer.AbandonedKeys(1)
	if len(keys) == 0 || sim.unavailable || !sim.chance(10) {
		return
	}
	t, ok := inst.claimer.ReleaseAbandoned(keys[0], storage.Changes{Rows: slices.Collect(maps.Values(sim.table))})
	if ok {
		sim.schedule(nil, func() { sim.commit(t) })
	}
}

// sendRequest sends one request of a caller to a random instance.
func (sim *simulation) sendRequest(op *operationLog) {
	inst := sim.randomInstance()
	call := sim.recordCall(op)
	if op.operationKey == nil {
		id, step := inst.claimer.Begin("w", op.key, op.digest)
		sim.applyStep(op, inst, id, step, call)
		return
	}
	if op.minter == inst {
		sim.handleAtMinter(op, call, true)
		return
	}
	state := PeerLive
	if op.minter.ended {
		state = PeerEnded
	}
	d, forward := RouteToMinter(*op.operationKey, state)
	if !forward {
		sim.handleDecision(op, inst, d, call, nil)
		return
	}
	answered := !sim.chance(20)
	sim.schedule(op.minter, func() { sim.handleAtMinter(op, call, answered) })
	if !answered {
		sim.handleDecision(op, inst, ForwardFailed(*op.operationKey), -1, nil)
	}
}

func (sim *simulation) handleAtMinter(op *operationLog, call int, answered bool) {
	d := op.minter.minter.Begin(sim.now, "w", *op.operationKey, op.digest)
	if !answered && d.Verdict != Run {
		return
	}
	sim.handleDecision(op, op.minter, d, call, func(o Outcome, a *Answer) {
		op.minter.minter.Finish(sim.now, *op.operationKey, o, a)
		sim.recordOperationEnd(op, op.minter, o)
	})
}

// applyStep schedules the action that a claim's step requires.
func (sim *simulation) applyStep(op *operationLog, inst *simInstance, id ID, s Step, call int) {
	switch {
	case s.Decision != nil:
		sim.handleDecision(op, inst, *s.Decision, call, func(o Outcome, a *Answer) {
			sim.recordOperationEnd(op, inst, o)
			sim.applyStep(op, inst, id, inst.claimer.Finish(id, o, a), -1)
		})
	case s.Write != nil:
		sim.write(*s.Write, func(r storage.WriteResult) {
			sim.schedule(inst, func() { sim.applyStep(op, inst, id, inst.claimer.HandleWriteResult(id, r), call) })
		})
	case s.Read != nil:
		sim.schedule(nil, func() { sim.read(op, inst, id, *s.Read, call) })
	}
	if sim.chance(5) {
		inst.claimer.Cancel(id)
	}
}

// handleDecision checks and records a decision, and starts the operation on Run.
func (sim *simulation) handleDecision(op *operationLog, inst *simInstance, d Decision, call int, end func(Outcome, *Answer)) {
	if d.Verdict == InProgress && d.Owner != inst.id {
		d = ResolveInProgress(d, sim.peerState(d.Owner))
	}
	op.verdicts[d.Verdict]++
	sim.checkDecision(op, inst, d)
	sim.recordReturn(op, call, d)
	if d.Verdict == Run {
		sim.execute(op, inst, end)
	}
}

func (sim *simulation) peerState(id string) PeerState {
	for _, inst := range sim.instances {
		if inst.id == id {
			return PeerLive
		}
	}
	return PeerEnded
}

// checkDecision compares a decision with the operation's actual course.
func (sim *simulation) checkDecision(op *operationLog, inst *simInstance, d Decision) {
	ran := op.executions + op.pendingExecutions
	switch d.Verdict {
	case Run:
		if ran > 0 {
			sim.reportViolation(op, "verdict Run for an operation that was run before")
		}
	case Replay:
		if op.executions != 1 || d.Answer.Status != 201 || string(d.Answer.Body) != op.key {
			sim.reportViolation(op, "replayed response differs from the original")
		}
	case RanAlready:
		if op.executions != 1 {
			sim.reportViolation(op, "verdict RanAlready for an operation that did not run")
		}
	case UnknownOutcome:
		for m, o := range op.endsByInstance {
			if o == Ran && !m.ended {
				op.avoidableUnknowns++
			}
		}
		if o, ok := op.endsByInstance[inst]; ok && o == Ran {
			sim.reportViolation(op, "verdict UnknownOutcome at %s, which knows the outcome", inst.id)
		}
	}
	if d.NeverRan && ran > 0 {
		sim.reportViolation(op, "NeverRan set for an operation that ran: %v", d)
	}
}

// execute sends the operation to the backend server, which runs it and responds,
// does not run it, or runs it late with the response lost.
func (sim *simulation) execute(op *operationLog, inst *simInstance, end func(Outcome, *Answer)) {
	scheduleExecution := func(done func()) {
		op.pendingExecutions++
		sim.schedule(nil, func() {
			op.pendingExecutions--
			op.executions++
			done()
		})
	}
	switch kind := sim.rng.IntN(10); {
	case kind < 6:
		scheduleExecution(func() { sim.schedule(inst, func() { end(Ran, &Answer{Status: 201, Body: []byte(op.key)}) }) })
	case kind < 8:
		sim.schedule(inst, func() { end(NotRun, nil) })
	default:
		scheduleExecution(func() {})
		sim.schedule(inst, func() { end(Unknown, nil) })
	}
}

func (sim *simulation) recordOperationEnd(op *operationLog, inst *simInstance, o Outcome) {
	if o == Ran {
		op.endsByInstance[inst] = o
	}
	sim.recordFinish(op, o)
}
