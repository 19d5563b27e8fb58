package fleet_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/evidence"
	"foxtailspoke/fleet"
	"foxtailspoke/relay"
)

// simulation is a fleet in simulated time: real messengers, and a network that
// delays, loses and partitions datagrams.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	queue events
	nodes map[uint32]*node
	order []uint32
	// lost reports whether a datagram is lost.
	lost func(from, to *node) bool
	// sentAt is when each message was published, deliveryTime the time that it
	// took to each other instance, both for urgent and ordinary messages.
	sentAt       map[messageID]time.Duration
	deliveryTime map[messageID]map[uint32]time.Duration
	// starting is the number of instances that are about to start.
	starting int
	// reported is the number of missing messages that were logged.
	reported int
	// listed makes instances read the list of running instances from the store.
	listed bool
	// rate of messages per second and instance; 0 for heartbeats only.
	rate float64
}

type messageID struct{ source, epoch, sequence uint32 }

type node struct {
	id         uint32
	dataCentre string
	slow       bool
	seeds      []uint32
	epoch      uint32
	m          *fleet.Messenger
	// down marks a killed instance. One that is suspended until frozen keeps
	// what arrives meanwhile in inbox.
	down   bool
	frozen time.Duration
	inbox  []func()
	// generation separates events of an earlier run from those of the current
	// one.
	generation int
	stepAt     time.Duration
	in, out    int
}

type simEvent struct {
	at  time.Duration
	n   int
	run func()
}

type events []simEvent

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].n < q[j].n)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	nearDelay = 100 * time.Microsecond
	farDelay  = 1400 * time.Microsecond
	// readyDelay is the time from the start of an instance until it is ready.
	readyDelay = 250 * time.Millisecond
	// storeReadDelay is the time from the start of an instance until it has
	// read the list of instances.
	storeReadDelay = 60 * time.Millisecond
)

func newSim(t *testing.T, seed uint64, centres, each, fast int) *simulation {
	t.Helper()
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 2)), nodes: make(map[uint32]*node),
		sentAt: make(map[messageID]time.Duration), deliveryTime: make(map[messageID]map[uint32]time.Duration),
		lost: func(*node, *node) bool { return false },
	}
	for c := range centres {
		for i := range each {
			w.add(c, i, fast)
		}
	}
	return w
}

func (w *simulation) add(c, i, fast int) *node {
	id := uint32(0x0a000000 + (c+1)<<16 + i + 1)
	n := &node{id: id, dataCentre: string(rune('a' + c)), slow: i >= fast, down: true, seeds: []uint32{0x0a010001, 0x0a020001, 0x0a030001}}
	w.nodes[id] = n
	w.order = append(w.order, id)
	return n
}

func (w *simulation) at(at time.Duration, run func()) {
	heap.Push(&w.queue, simEvent{max(at, w.now), len(w.queue) + int(w.rng.Uint32N(1000))<<20, run})
}

func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// start starts an instance with no state.
func (w *simulation) start(n *node) {
	n.down, n.inbox, n.frozen = false, nil, 0
	n.generation++
	n.epoch = w.rng.Uint32()
	n.stepAt = 0
	started := w.now
	n.m = fleet.NewMessenger(fleet.Settings{
		Self: relay.Member{ID: n.id, DataCentre: n.dataCentre, SlowLink: n.slow}, Epoch: n.epoch, Seeds: n.seeds,
		// An instance is not ready before it has read the store.
		Leaving:     func() bool { return w.now < started+readyDelay },
		Stopping:    func() bool { return false },
		Partitioned: func() bool { return false },

		ServiceAttempts: func() []evidence.ServiceAttempts { return nil },
		SuspectRequests: func() []evidence.SuspectRequest { return nil },
	})
	w.tick(n, n.generation)
	w.publishRandomly(n, n.generation)
	if w.listed {
		w.at(w.now+storeReadDelay, func() { w.runOn(n, n.generation, func() { w.markAllListed(n) }) })
	}
}

func (w *simulation) markAllListed(n *node) {
	for id, other := range w.nodes {
		if id != n.id {
			n.m.MarkListed(id, other.dataCentre, other.slow, w.now)
		}
	}
	out, err := n.m.Join(w.now)
	must.NoError(w.t, err)
	w.send(n, out)
}

// startAll starts all instances within a third of a second, in random order.
func (w *simulation) startAll() {
	for _, id := range w.order {
		n := w.nodes[id]
		w.starting++
		w.at(w.now+time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() {
			w.starting--
			w.start(n)
		})
	}
}

func (w *simulation) kill(n *node) {
	n.down = true
	n.generation++
}

// runOn runs a function on an instance, after its suspension if it is
// suspended.
func (w *simulation) runOn(n *node, generation int, run func()) {
	switch {
	case n.down || n.generation != generation:
	case w.now < n.frozen:
		if len(n.inbox) == 0 {
			w.at(n.frozen, func() {
				all := n.inbox
				n.inbox = nil
				for _, f := range all {
					w.runOn(n, generation, f)
				}
			})
		}
		n.inbox = append(n.inbox, run)
	default:
		run()
		w.scheduleStep(n)
	}
}

func (w *simulation) scheduleStep(n *node) {
	due := n.m.Due()
	if due > w.now+time.Minute || (n.stepAt > w.now && n.stepAt <= due) {
		return
	}
	n.stepAt = max(due, w.now)
	generation, at := n.generation, n.stepAt
	w.at(at, func() {
		w.runOn(n, generation, func() {
			if n.stepAt == at {
				n.stepAt = 0
			}
			w.send(n, n.m.Step(w.now))
		})
	})
}

func (w *simulation) tick(n *node, generation int) {
	w.runOn(n, generation, func() {
		_, out, err := n.m.Tick(w.now)
		must.NoError(w.t, err)
		w.send(n, out)
	})
	if n.generation == generation {
		w.at(w.now+fleet.TickInterval, func() { w.tick(n, generation) })
	}
}

// publishRandomly publishes attempt messages of an instance at random times.
func (w *simulation) publishRandomly(n *node, generation int) {
	if w.rate == 0 || n.generation != generation {
		return
	}
	wait := time.Duration(w.rng.ExpFloat64() / w.rate * float64(time.Second))
	w.at(w.now+wait, func() {
		w.runOn(n, generation, func() { w.publish(n, w.rng.IntN(100) == 0) })
		w.publishRandomly(n, generation)
	})
}

func (w *simulation) publish(n *node, urgent bool) messageID {
	out, err := n.m.Publish(evidence.Message{
		Attempts: []evidence.Attempt{{Server: w.rng.Uint32(), Outstanding: 1, LatencyMS: 300, TypicalLatencyMS: 300}},
		Usage:    []evidence.Usage{{Workspace: w.rng.Uint32(), Count: 70000}},

		ServiceAttempts: []evidence.ServiceAttempts{{Service: 0xdeadbeef, Requests: 60000, Retries: 6000}},
	}, urgent, w.now)
	must.NoError(w.t, err)
	id := messageID{n.id, n.epoch, n.m.Sequence()}
	w.sentAt[id] = w.now
	w.deliveryTime[id] = make(map[uint32]time.Duration)
	w.send(n, out)
	w.scheduleStep(n)
	return id
}

func (w *simulation) send(n *node, out []relay.Datagram) {
	for i := range out {
		d := &out[i]
		b := d.Encode()
		for _, id := range d.To {
			n.out++
			to := w.nodes[id]
			if to == nil || w.lost(n, to) {
				continue
			}
			delay := farDelay
			if to.dataCentre == n.dataCentre {
				delay = nearDelay
			}
			delay += time.Duration(w.rng.Int64N(int64(200 * time.Microsecond)))
			w.at(w.now+delay, func() { w.runOn(to, to.generation, func() { w.receive(to, n.id, b) }) })
		}
	}
}

func (w *simulation) receive(n *node, from uint32, b []byte) {
	n.in++
	t, err := n.m.Receive(from, b, w.now)
	must.NoError(w.t, err)
	for _, h := range t.Messages {
		id := messageID{h.Source, h.Epoch, h.Sequence}
		if at, ok := w.sentAt[id]; ok {
			w.deliveryTime[id][n.id] = w.now - at
		}
	}
	w.send(n, t.Outgoing)
}

// allConnected reports whether every running instance hears every other.
func (w *simulation) allConnected() bool {
	if w.starting > 0 {
		return false
	}
	for _, n := range w.nodes {
		for id, other := range w.nodes {
			if n.down || other.down || id == n.id {
				continue
			}
			if m := n.m.Fleet().All()[id]; m == nil || !m.Alive || m.DataCentre == "" {
				return false
			}
		}
	}
	return true
}

// runUntilConnected runs until all instances hear each other, and returns how
// long that took.
func (w *simulation) runUntilConnected(limit time.Duration) time.Duration {
	w.t.Helper()
	start := w.now
	for w.now < start+limit {
		w.run(w.now + 10*time.Millisecond)
		if w.allConnected() {
			return w.now - start
		}
	}
	for _, n := range w.nodes {
		for id := range w.nodes {
			if m := n.m.Fleet().All()[id]; id != n.id && (m == nil || !m.Alive || m.DataCentre == "") {
				w.t.Logf("%x (relay %x, %d subscribers) does not hear %x: %+v", n.id, n.m.Hub().Relay(), n.m.Hub().Subscribers(), id, m)
			}
		}
	}
	w.t.Fatalf("some instances do not hear each other after %v", limit)
	return 0
}

// deliveryTimes returns the sorted delivery times of the messages published in
// a time span to the running instances, and the number of missing deliveries.
func (w *simulation) deliveryTimes(from, to time.Duration) (times []time.Duration, missing int) {
	for id, at := range w.sentAt {
		if at < from || at >= to {
			continue
		}
		for other, n := range w.nodes {
			if other == id.source || n.down {
				continue
			}
			took, ok := w.deliveryTime[id][other]
			if !ok {
				missing++
				continue
			}
			times = append(times, took)
		}
	}
	slices.Sort(times)
	return times, missing
}

func quantile(times []time.Duration, p float64) time.Duration {
	return times[min(int(p*float64(len(times))), len(times)-1)]
}
