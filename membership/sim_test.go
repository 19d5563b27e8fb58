package membership

import (
	"container/heap"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

// sim runs real Members on simulated time, with fakes of the table, the instance
// list and the network. A run is deterministic: it has one goroutine, one event
// queue and one seed.
type sim struct {
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	seq   int
	set   Settings
	rules func(*rules)

	nodes    []*simNode // one per slot; replaced on restart
	cutLinks map[[2]int]bool
	// tableUnreachable are the slots whose requests don't reach the table;
	// answersLost are those whose requests do but whose answers are lost.
	tableUnreachable, answersLost map[int]bool
	platformDown                  bool
	tableDelay                    time.Duration // added to every read of the table
	// serveStaleTable answers reads of slots that can't reach the table from
	// staleTable. A mutant sets it.
	serveStaleTable bool
	staleTable      *config.Replica

	table        *config.Replica
	writes       map[string]storage.Revision
	list         *Directory
	inForce      storage.Revision
	reads        int
	calls        int
	sent         map[string]int // bytes sent and received, by instance
	encoder      *gob.Encoder
	encoded      int
	failures     []string
	actingChecks int           // checks in which a holder acted
	states       map[State]int // number of node checks, by state
	afterEvent   func()
}

type simNode struct {
	id          string
	slot        int
	m           *Member
	log         *config.Replica
	rate        float64
	frozenUntil time.Duration
	nextFreeze  time.Duration
	wakeAt      time.Duration
	dead        bool
	revision    storage.Revision
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSim(seed uint64, set Settings, nodes, centres int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), set: set, rules: func(*rules) {},
		cutLinks: map[[2]int]bool{}, tableUnreachable: map[int]bool{}, answersLost: map[int]bool{},
		table: config.NewReplica(), writes: map[string]storage.Revision{}, sent: map[string]int{}, states: map[State]int{},
		list: newDirectory(set.withDefaults()), nodes: make([]*simNode, nodes), now: time.Second,
	}
	s.encoder = gob.NewEncoder(s)
	s.announce(addressedEntryInstances(nodes, centres)...)
	return s
}

// Write counts the bytes of the encoded messages.
func (s *sim) Write(p []byte) (int, error) {
	s.encoded += len(p)
	return len(p), nil
}

func addressedEntryInstances(n, centres int) []storage.Instance {
	all := entryInstances(n, centres)
	for i := range all {
		all[i].ID = nodeID(i, 0)
		all[i].PeerAddress = fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		all[i].Address, all[i].OperatorAddress = all[i].PeerAddress, all[i].PeerAddress
	}
	return all
}

func nodeID(slot, incarnation int) string {
	return fmt.Sprintf("%08x-0000-4000-8000-%012x", slot, incarnation)
}

func (s *sim) announce(changed ...storage.Instance) {
	s.list.apply(storage.InstanceChanges{Version: s.list.version + 1, Full: s.list.version == 0, Changed: changed})
}

func (s *sim) start(slot, incarnation, centres int) *simNode {
	set := s.set
	set.Self, set.DataCentre = nodeID(slot, incarnation), fmt.Sprintf("dc%d", slot%centres)
	n := &simNode{id: set.Self, slot: slot, log: config.NewReplica(), wakeAt: never}
	drift := float64(set.withDefaults().DriftPPM) / 1e6
	n.rate = 1 + drift*float64(s.rng.IntN(2)*2-1)
	n.m = New(set, n.log, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	s.rules(&n.m.rules)
	s.nodes[slot] = n
	s.deliver(n, func(now time.Duration) []effect.Effect { return n.m.Tick(now) })
	return n
}

func (s *sim) startAll(centres int) {
	for slot := range s.nodes {
		s.start(slot, 0, centres)
	}
}

func (n *simNode) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * n.rate)
}

func (n *simNode) realTime(clock time.Duration) time.Duration {
	return time.Duration(float64(clock)/n.rate) + 1
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, do: do})
}

// run processes events up to a simulated time.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until && len(s.failures) == 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = max(s.now, e.at)
		e.do()
		if s.afterEvent != nil {
			s.afterEvent()
		}
	}
	s.now = max(s.now, until)
}

// deliver delivers an event to a node, or defers it while the node is frozen.
func (s *sim) deliver(n *simNode, do func(now time.Duration) []effect.Effect) {
	if n.dead {
		return
	}
	if s.now < n.frozenUntil {
		s.after(n.frozenUntil-s.now, func() { s.deliver(n, do) })
		return
	}
	effects := do(n.clock(s.now))
	s.runEffects(n, effects)
	if n.nextFreeze > 0 && len(effects) > 0 {
		n.frozenUntil, n.nextFreeze = s.now+n.nextFreeze, 0
	}
	s.schedule(n)
}

func (s *sim) schedule(n *simNode) {
	at := max(n.realTime(min(n.m.NextWake(), time.Hour*1000)), s.now)
	if n.wakeAt > s.now && n.wakeAt <= at {
		return
	}
	n.wakeAt = at
	s.after(at-s.now, func() {
		if n.wakeAt == at {
			n.wakeAt = never
			s.deliver(n, func(now time.Duration) []effect.Effect {
				effects := n.m.Tick(now)
				if n.m.NextWake() <= now {
					panic("Tick left work that is already due")
				}
				return effects
			})
		}
	})
}

func (s *sim) runEffects(n *simNode, effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Call:
			s.call(n, e)
		case effect.ReadTable:
			s.readTable(n, e)
		case effect.WriteTable:
			s.write(n, e.Txn, func(now time.Duration, r storage.WriteResult) []effect.Effect {
				return n.m.WriteDone(now, e.ID, r)
			})
		case effect.ReadInstances:
			s.readList(n, e)
		}
	}
}

func (s *sim) latency() time.Duration {
	if s.rng.IntN(100) == 0 {
		return time.Duration(s.rng.IntN(400)) * time.Millisecond
	}
	return time.Duration(1000+s.rng.IntN(1000)) * time.Microsecond
}

func (s *sim) call(n *simNode, c effect.Call) {
	timeout := s.set.withDefaults().CallTimeout
	s.after(timeout, func() {
		s.deliver(n, func(now time.Duration) []effect.Effect { return n.m.CallDone(now, c.ID, Reply{}, false) })
	})
	to := s.liveNode(c.To)
	s.calls++
	s.count(n.id, c.To, c.Request)
	if to == nil || s.cutLinks[[2]int{n.slot, to.slot}] {
		return
	}
	s.after(s.latency(), func() {
		s.deliver(to, func(now time.Duration) []effect.Effect {
			reply := to.m.Handle(now, n.id, c.Request.(Request))
			s.count(to.id, n.id, reply)
			if s.cutLinks[[2]int{to.slot, n.slot}] {
				return nil
			}
			s.after(s.latency(), func() {
				s.deliver(n, func(now time.Duration) []effect.Effect { return n.m.CallDone(now, c.ID, reply, true) })
			})
			return nil
		})
	})
}

func (s *sim) count(from, to string, message any) {
	if s.encoder == nil {
		return
	}
	before := s.encoded
	if err := s.encoder.Encode(message); err != nil {
		panic(err)
	}
	s.sent[from] += s.encoded - before
	s.sent[to] += s.encoded - before
}

func (s *sim) liveNode(id string) *simNode {
	for _, n := range s.nodesAt(id) {
		if n != nil && n.id == id && !n.dead {
			return n
		}
	}
	return nil
}

// nodesAt returns the slot that an id contains. It avoids a search over all nodes
// of a large fleet.
func (s *sim) nodesAt(id string) []*simNode {
	slot, err := strconv.ParseUint(id[:8], 16, 32)
	if err != nil {
		return nil
	}
	return s.nodes[slot : slot+1]
}
