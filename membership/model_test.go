package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

const (
	modelNodes       = 7
	modelDataCentres = 3
	modelTime        = 60 * time.Second
	// checkEvery is shorter than any violation that a fault causes by the
	// passing of time alone, except for the millisecond that InForceDelay adds.
	checkEvery = 5 * time.Millisecond
)

// modelSettings configures one watcher per data centre, so that most proofs
// are relayed, and a clock rate error of up to 15 per cent in both directions.
func modelSettings() Settings {
	return Settings{WatchersPerDataCentre: 1, WitnessCount: 5, DriftPPM: 150_000, SeatStagger: 200 * time.Millisecond}
}

// faultHistory is the run of one seed. It injects long network partitions with
// the current holder on the cut side, table access for only one side, process
// freezes, restarts and planned shutdowns, while the shard moves between
// holders.
type faultHistory struct {
	*sim
	faults      *rand.Rand
	incarnation int
	cuts        int
}

func newHistory(seed uint64, mutate func(*sim)) *faultHistory {
	h := &faultHistory{sim: newSim(seed, modelSettings(), modelNodes, modelDataCentres), faults: rand.New(rand.NewPCG(seed, 3))}
	mutate(h.sim)
	h.startAll(modelDataCentres)
	h.afterEvent = h.requireInForce
	h.repeat(checkEvery, func() time.Duration { return checkEvery }, h.checkInvariants)
	h.repeat(2*time.Second, h.between(800, 6000), func() { h.tryToHold(h.anyClaimant()) })
	h.repeat(6*time.Second, h.between(3500, 9000), h.partitionGroup)
	h.repeat(5*time.Second, h.between(2000, 8000), h.freeze)
	h.repeat(9*time.Second, h.between(3000, 15000), h.restart)
	h.repeat(10*time.Second, h.between(4000, 15000), func() { h.leave(h.anyNode()) })
	return h
}

func (h *faultHistory) repeat(first time.Duration, gap func() time.Duration, do func()) {
	h.after(first, func() {
		do()
		h.repeat(gap(), gap, do)
	})
}

func (h *faultHistory) between(low, high int) func() time.Duration {
	return func() time.Duration { return time.Duration(low+h.faults.IntN(high-low)) * time.Millisecond }
}

func (h *faultHistory) anyNode() *simNode { return h.nodes[h.faults.IntN(modelNodes)] }

// anyClaimant returns a random node, preferably one that reaches the table.
func (h *faultHistory) anyClaimant() *simNode {
	n := h.anyNode()
	for range 5 {
		if !h.cannotReachTable(n) {
			break
		}
		n = h.anyNode()
	}
	return n
}

// claimantOutside returns a random node, preferably one outside side that
// reaches the table.
func (h *faultHistory) claimantOutside(side map[int]bool) *simNode {
	for _, slot := range h.faults.Perm(modelNodes) {
		if n := h.nodes[slot]; !side[slot] && !h.cannotReachTable(n) {
			return n
		}
	}
	return h.anyNode()
}

// holder returns the holder in the table, or else a random node.
func (h *faultHistory) holder() *simNode {
	if holders := h.table.Shard("s").Holders; len(holders) == 1 {
		if n := h.liveNode(holders[0].Instance); n != nil {
			return n
		}
	}
	return h.anyNode()
}

// requireInForce makes every holder call Require for its row, including a
// holder that learns of its own write only by a later read.
func (h *faultHistory) requireInForce() {
	for _, n := range h.nodes {
		rev, holds := n.holds()
		if holds && rev > n.m.inForce.target {
			h.deliver(n, func(now time.Duration) []effect.Effect { return n.m.Require(now, rev) })
		}
	}
}

// partitionGroup cuts a group of nodes off from the others for a long time, in
// one or both directions. The table stays reachable from the other side, from
// the group, from both or from neither. At the same time nodes that reach the
// table try to take over the shard, while proofs inside the group are fresh.
func (h *faultHistory) partitionGroup() {
	side := h.choosePartition()
	out, in := h.faults.IntN(3) > 0, h.faults.IntN(3) > 0
	for a := range modelNodes {
		for b := range modelNodes {
			h.cutLinks[[2]int{a, b}] = side[a] != side[b] && ((out && side[a]) || (in && side[b]))
		}
	}
	tableAccess := h.faults.IntN(8) // below 5: not from the group; 5: only from the group; 6: from neither
	loseAnswers := h.faults.IntN(3) == 0
	clear(h.tableUnreachable)
	clear(h.answersLost)
	for slot := range modelNodes {
		unreachable := (side[slot] && tableAccess < 5) || (!side[slot] && tableAccess == 5)
		h.tableUnreachable[slot], h.answersLost[slot] = unreachable && !loseAnswers, unreachable && loseAnswers
	}
	h.platformDown = tableAccess == 6
	h.saveStaleTable()
	for range 3 {
		h.after(time.Duration(h.faults.IntN(100))*time.Millisecond, func() { h.tryToHold(h.claimantOutside(side)) })
	}
	h.cuts++
	cut := h.cuts
	h.after(h.between(2500, 8000)(), func() { h.heal(cut) })
}

// choosePartition returns the holder with some other nodes, or else a majority
// of the witnesses, one of which begins to leave so that the other side
// changes the list of witnesses.
func (h *faultHistory) choosePartition() map[int]bool {
	side := map[int]bool{h.holder().slot: true}
	if h.faults.IntN(3) > 0 {
		for want := 1 + h.faults.IntN(4); len(side) < want; {
			side[h.faults.IntN(modelNodes)] = true
		}
		return side
	}
	members := h.table.Witnesses().Members
	clear(side)
	for _, i := range h.faults.Perm(len(members)) {
		n := h.liveNode(members[i])
		if n == nil || len(side) > len(members)/2 {
			continue
		}
		if len(side) == 0 {
			h.leave(n)
		}
		side[n.slot] = true
	}
	return side
}

func (h *faultHistory) heal(cut int) {
	if cut != h.cuts {
		return
	}
	clear(h.cutLinks)
	clear(h.tableUnreachable)
	clear(h.answersLost)
	h.platformDown = false
	h.staleTable = nil
}

// freeze suspends a node for 0.3 to 8 s, longer than CallTimeout. The freeze
// begins when the node next sends a message, so the answer arrives during it.
func (h *faultHistory) freeze() {
	n := h.holder()
	if h.faults.IntN(2) == 0 {
		n = h.anyNode()
	}
	n.nextFreeze = h.between(300, 8000)()
}

func (h *faultHistory) restart() { h.replace(h.anyNode()) }

// replace ends a node and starts another in its slot under a new id. The
// platform's list shows the change 0.1 to 3 s later.
func (h *faultHistory) replace(n *simNode) {
	if n.dead {
		return
	}
	n.dead = true
	h.incarnation++
	started := h.start(n.slot, h.incarnation, modelDataCentres)
	h.after(h.between(100, 3000)(), func() {
		ended, _ := h.list.Instance(n.id)
		ended.State = storage.Ended
		h.announce(ended, entryInstance(started.id, ended.DataCentre))
	})
}

// leave begins a planned shutdown: the list shows the node as leaving, and the
// node continues to run for 2 to 12 s.
func (h *faultHistory) leave(n *simNode) {
	leaving, ok := h.list.Instance(n.id)
	if !ok || leaving.State != storage.Live {
		return
	}
	leaving.State = storage.Leaving
	h.announce(leaving)
	h.deliver(n, n.m.Leave)
	h.after(h.between(2000, 12000)(), func() { h.replace(n) })
}

func runHistory(seed uint64, mutate func(*sim)) *faultHistory {
	h := newHistory(seed, mutate)
	h.run(modelTime)
	return h
}

var (
	modelSeeds          = flag.Uint64("model.seeds", 40, "number of seeds of the model test")
	countMutantFailures = flag.Bool("model.count", false, "count the failing seeds of every mutant")
)

// Guards against two instances spending the same part of a shard, or one
// accepting a key whose revocation is in force. Proofs on the cut side must
// expire before the other side begins to act. Every seed gives a different
// order of partitions, freezes, restarts, planned shutdowns and lost answers.
func TestModelNoInstanceActsOnRevokedState(t *testing.T) {
	const seedGroups = 4
	for group := range uint64(seedGroups) {
		t.Run(fmt.Sprintf("seed group %d", group), func(t *testing.T) {
			t.Parallel()
			states, acted, revisions, inForce := map[State]int{}, 0, storage.Revision(0), storage.Revision(0)
			for seed := group; seed < *modelSeeds; seed += seedGroups {
				h := runHistory(seed, func(*sim) {})
				must.SliceEmpty(t, h.failures, must.Sprintf("seed %d", seed))
				for state, n := range h.states {
					states[state] += n
				}
				acted += h.actingChecks
				revisions += h.table.Revision()
				inForce += h.inForce
			}
			t.Logf("%d revisions written, %d in force at the end; %d checks found an active holder; states of nodes: %v",
				revisions, inForce, acted, states)
			// A run in which no holder acts would not exercise the invariants.
			must.Positive(t, acted)
			must.Positive(t, states[ConfirmedByWitnesses])
			must.Positive(t, states[CutOff])
			must.Greater(t, revisions*8/10, inForce)
		})
	}
}
