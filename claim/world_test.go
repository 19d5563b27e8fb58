package claim

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/storage"
)

// world runs callers, entry instances, the claims table and a backend server
// as actions in a random order. An action that waits long is a slow message,
// or a frozen instance; actions of a killed instance never happen.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	pending  []action
	nodes    []*node
	started  int
	table    map[string]storage.Row
	revision storage.Revision
	away     bool
	// writes counts the transactions that were sent to the table.
	writes int
	// kills is how many of a thousand steps end an instance.
	kills  int
	ops    []*operationLog
	faults []string
}

type action struct {
	// owner is the instance that acts; nil for the world around.
	owner *node
	do    func()
}

type node struct {
	id      string
	ended   bool
	minter  *Minter
	claimer *Claimer
}

// operationLog is what really happened to one operation.
type operationLog struct {
	key    string
	minted *OperationKey
	minter *node
	digest Digest
	// executions is how often the backend server ran it; coming is how
	// often it still will.
	executions int
	coming     int
	// ends are the definite ends that an instance learnt.
	ends     map[*node]Outcome
	history  []event
	verdicts map[Verdict]int
	// avoidable counts unknown outcomes that a live instance could tell.
	avoidable int
}

func newWorld(seed uint64, instances, operations, kills int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 2)), table: map[string]storage.Row{}, kills: kills}
	for range instances {
		w.nodes = append(w.nodes, w.start())
	}
	for i := range operations {
		op := &operationLog{
			key:      fmt.Sprintf("order-%d", i),
			digest:   Digest{byte(i), byte(i >> 8)},
			ends:     map[*node]Outcome{},
			verdicts: map[Verdict]int{},
		}
		if i%2 == 0 {
			op.minter = w.anyNode()
			k, err := Parse(op.minter.minter.Mint(w.now, "w"))
			if err != nil {
				panic(err)
			}
			op.minted = &k
		}
		w.ops = append(w.ops, op)
		for range 1 + w.rng.IntN(5) {
			w.add(nil, func() { w.try(op) })
		}
	}
	return w
}

func (w *world) start() *node {
	w.started++
	id := fmt.Sprintf("i%d", w.started)
	s := DefaultClaimerSettings()
	return &node{
		id:      id,
		minter:  NewMinter(id, []byte(id), DefaultSettings()),
		claimer: NewClaimer(id, s),
	}
}

func (w *world) anyNode() *node { return w.nodes[w.rng.IntN(len(w.nodes))] }

func (w *world) add(owner *node, do func()) {
	w.pending = append(w.pending, action{owner: owner, do: do})
}

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *world) fail(op *operationLog, format string, args ...any) {
	w.faults = append(w.faults, op.key+": "+fmt.Sprintf(format, args...))
}

// run does everything that is pending, with kills and outages in between.
func (w *world) run() {
	for len(w.pending) > 0 {
		w.now += time.Millisecond
		if w.rng.IntN(1000) < w.kills {
			k := w.rng.IntN(len(w.nodes))
			w.nodes[k].ended = true
			w.nodes[k] = w.start()
		}
		if w.chance(5) {
			w.away = !w.away && w.chance(30)
		}
		w.sweep()
		i := w.rng.IntN(len(w.pending))
		a := w.pending[i]
		w.pending = slices.Delete(w.pending, i, i+1)
		if a.owner == nil || !a.owner.ended {
			a.do()
		}
	}
}

// sweep lets an instance look after its abandoned claims, now and then.
func (w *world) sweep() {
	n := w.anyNode()
	keys := n.claimer.AbandonedKeys(1)
	if len(keys) == 0 || w.away || !w.chance(10) {
		return
	}
	t, ok := n.claimer.ReleaseAbandoned(keys[0], storage.Changes{Rows: slices.Collect(maps.Values(w.table))})
	if ok {
		w.add(nil, func() { w.commit(t) })
	}
}

// try is one caller's request, sent to any instance.
func (w *world) try(op *operationLog) {
	n := w.anyNode()
	call := w.begin(op)
	if op.minted == nil {
		id, step := n.claimer.Begin("w", op.key, op.digest)
		w.follow(op, n, id, step, call)
		return
	}
	if op.minter == n {
		w.atMinter(op, call, true)
		return
	}
	state := PeerLive
	if op.minter.ended {
		state = PeerEnded
	}
	d, forward := RouteToMinter(*op.minted, state)
	if !forward {
		w.decided(op, n, d, call, nil)
		return
	}
	answered := !w.chance(20)
	w.add(op.minter, func() { w.atMinter(op, call, answered) })
	if !answered {
		w.decided(op, n, ForwardFailed(*op.minted), -1, nil)
	}
}

func (w *world) atMinter(op *operationLog, call int, answered bool) {
	d := op.minter.minter.Begin(w.now, "w", *op.minted, op.digest)
	if !answered && d.Verdict != Run {
		return
	}
	w.decided(op, op.minter, d, call, func(o Outcome, a *Answer) {
		op.minter.minter.Finish(w.now, *op.minted, o, a)
		w.ended(op, op.minter, o)
	})
}

// follow does what a step of a claim asks for.
func (w *world) follow(op *operationLog, n *node, id ID, s Step, call int) {
	switch {
	case s.Decision != nil:
		w.decided(op, n, *s.Decision, call, func(o Outcome, a *Answer) {
			w.ended(op, n, o)
			w.follow(op, n, id, n.claimer.Finish(id, o, a), -1)
		})
	case s.Write != nil:
		w.write(*s.Write, func(r storage.WriteResult) {
			w.add(n, func() { w.follow(op, n, id, n.claimer.HandleWriteResult(id, r), call) })
		})
	case s.Read != nil:
		w.add(nil, func() { w.read(op, n, id, *s.Read, call) })
	}
	if w.chance(5) {
		n.claimer.Cancel(id)
	}
}

// decided is the answer to the caller, or the start of the operation.
func (w *world) decided(op *operationLog, n *node, d Decision, call int, end func(Outcome, *Answer)) {
	if d.Verdict == InProgress && d.Owner != n.id {
		d = ResolveInProgress(d, w.state(d.Owner))
	}
	op.verdicts[d.Verdict]++
	w.check(op, n, d)
	w.end(op, call, d)
	if d.Verdict == Run {
		w.execute(op, n, end)
	}
}

func (w *world) state(id string) PeerState {
	for _, n := range w.nodes {
		if n.id == id {
			return PeerLive
		}
	}
	return PeerEnded
}

// check compares what a caller is told with what really happened.
func (w *world) check(op *operationLog, n *node, d Decision) {
	ran := op.executions + op.coming
	switch d.Verdict {
	case Run:
		if ran > 0 {
			w.fail(op, "run again")
		}
	case Replay:
		if op.executions != 1 || d.Answer.Status != 201 || string(d.Answer.Body) != op.key {
			w.fail(op, "replays another answer")
		}
	case RanAlready:
		if op.executions != 1 {
			w.fail(op, "didn't run")
		}
	case UnknownOutcome:
		for m, o := range op.ends {
			if o == Ran && !m.ended {
				op.avoidable++
			}
		}
		if o, ok := op.ends[n]; ok && o == Ran {
			w.fail(op, "unknown where %s knows", n.id)
		}
	}
	if d.NeverRan && ran > 0 {
		w.fail(op, "said never ran: %v", d)
	}
}

// execute sends the operation to the backend server, which may run it late,
// not at all, or without an answer.
func (w *world) execute(op *operationLog, n *node, end func(Outcome, *Answer)) {
	runs := func(then func()) {
		op.coming++
		w.add(nil, func() {
			op.coming--
			op.executions++
			then()
		})
	}
	switch kind := w.rng.IntN(10); {
	case kind < 6:
		runs(func() { w.add(n, func() { end(Ran, &Answer{Status: 201, Body: []byte(op.key)}) }) })
	case kind < 8:
		w.add(n, func() { end(NotRun, nil) })
	default:
		runs(func() {})
		w.add(n, func() { end(Unknown, nil) })
	}
}

func (w *world) ended(op *operationLog, n *node, o Outcome) {
	if o == Ran {
		op.ends[n] = o
	}
	w.endOperation(op, o)
}
