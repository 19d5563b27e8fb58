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

// world is a fleet in simulated time: real messengers, and a network that
// delays, loses and cuts datagrams.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	queue events
	nodes map[uint32]*node
	order []uint32
	// lost reports whether a datagram is lost.
	lost func(from, to *node) bool
	// said is when each message was said, heard how long it took to each other
	// instance, told urgently or not.
	said  map[word]time.Duration
	heard map[word]map[uint32]time.Duration
	// starting counts instances that are about to start.
	starting int
	// reported counts messages that were reported as missing.
	reported int
	// listed says that instances soon know from the store who is running.
	listed bool
	// rate of messages a second and instance; 0 for heartbeats alone.
	rate float64
}

type word struct{ source, epoch, sequence uint32 }

type node struct {
	id         uint32
	dataCentre string
	slow       bool
	seeds      []uint32
	epoch      uint32
	m          *fleet.Messenger
	// down is killed; frozen until it goes on, with what came meanwhile.
	down   bool
	frozen time.Duration
	inbox  []func()
	// life tells events of a former start from those of this one.
	life    int
	stepAt  time.Duration
	in, out int
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
	// notReadyFor is how long an instance isn't ready after its start.
	notReadyFor = 250 * time.Millisecond
	// storeAnswers is when it has read who is listed.
	storeAnswers = 60 * time.Millisecond
)

func newSim(t *testing.T, seed uint64, centres, each, fast int) *world {
	t.Helper()
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 2)), nodes: make(map[uint32]*node),
		said: make(map[word]time.Duration), heard: make(map[word]map[uint32]time.Duration),
		lost: func(*node, *node) bool { return false },
	}
	for c := range centres {
		for i := range each {
			w.add(c, i, fast)
		}
	}
	return w
}

func (w *world) add(c, i, fast int) *node {
	id := uint32(0x0a000000 + (c+1)<<16 + i + 1)
	n := &node{id: id, dataCentre: string(rune('a' + c)), slow: i >= fast, down: true, seeds: []uint32{0x0a010001, 0x0a020001, 0x0a030001}}
	w.nodes[id] = n
	w.order = append(w.order, id)
	return n
}

func (w *world) at(at time.Duration, run func()) {
	heap.Push(&w.queue, simEvent{max(at, w.now), len(w.queue) + int(w.rng.Uint32N(1000))<<20, run})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(simEvent)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// start starts an instance that knows nothing.
func (w *world) start(n *node) {
	n.down, n.inbox, n.frozen = false, nil, 0
	n.life++
	n.epoch = w.rng.Uint32()
	n.stepAt = 0
	started := w.now
	n.m = fleet.NewMessenger(fleet.Settings{
		Self: relay.Member{ID: n.id, DataCentre: n.dataCentre, SlowLink: n.slow}, Epoch: n.epoch, Seeds: n.seeds,
		// It isn't ready before it has read the store.
		Leaving:  func() bool { return w.now < started+notReadyFor },
		Stopping: func() bool { return false },
	})
	w.pulse(n, n.life)
	w.speak(n, n.life)
	if w.listed {
		w.at(w.now+storeAnswers, func() { w.does(n, n.life, func() { w.list(n) }) })
	}
}

func (w *world) list(n *node) {
	for id, other := range w.nodes {
		if id != n.id {
			n.m.MarkListed(id, other.dataCentre, other.slow, w.now)
		}
	}
	out, err := n.m.Join(w.now)
	must.NoError(w.t, err)
	w.send(n, out)
}

// startAll starts all within a third of a second, in any order.
func (w *world) startAll() {
	for _, id := range w.order {
		n := w.nodes[id]
		w.starting++
		w.at(w.now+time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() {
			w.starting--
			w.start(n)
		})
	}
}

func (w *world) kill(n *node) {
	n.down = true
	n.life++
}

// does runs something at an instance, once it goes on if it stands still.
func (w *world) does(n *node, life int, run func()) {
	switch {
	case n.down || n.life != life:
	case w.now < n.frozen:
		if len(n.inbox) == 0 {
			w.at(n.frozen, func() {
				all := n.inbox
				n.inbox = nil
				for _, f := range all {
					w.does(n, life, f)
				}
			})
		}
		n.inbox = append(n.inbox, run)
	default:
		run()
		w.arm(n)
	}
}

func (w *world) arm(n *node) {
	due := n.m.Due()
	if due > w.now+time.Minute || (n.stepAt > w.now && n.stepAt <= due) {
		return
	}
	n.stepAt = max(due, w.now)
	life, at := n.life, n.stepAt
	w.at(at, func() {
		w.does(n, life, func() {
			if n.stepAt == at {
				n.stepAt = 0
			}
			w.send(n, n.m.Step(w.now))
		})
	})
}

func (w *world) pulse(n *node, life int) {
	w.does(n, life, func() {
		_, out, err := n.m.Tick(w.now)
		must.NoError(w.t, err)
		w.send(n, out)
	})
	if n.life == life {
		w.at(w.now+fleet.TickInterval, func() { w.pulse(n, life) })
	}
}

// speak has an instance say what it says of its attempts, at random moments.
func (w *world) speak(n *node, life int) {
	if w.rate == 0 || n.life != life {
		return
	}
	wait := time.Duration(w.rng.ExpFloat64() / w.rate * float64(time.Second))
	w.at(w.now+wait, func() {
		w.does(n, life, func() { w.publish(n, w.rng.IntN(100) == 0) })
		w.speak(n, life)
	})
}

func (w *world) publish(n *node, urgent bool) word {
	out, err := n.m.Publish(evidence.Message{
		Attempts: []evidence.Attempt{{Server: w.rng.Uint32(), Outstanding: 1, Number: 1, LatencyMS: 300, TypicalLatencyMS: 300}},
		Usage:    []evidence.Usage{{Workspace: w.rng.Uint32(), Count: 70000}},
	}, urgent, w.now)
	must.NoError(w.t, err)
	id := word{n.id, n.epoch, n.m.Sequence()}
	w.said[id] = w.now
	w.heard[id] = make(map[uint32]time.Duration)
	w.send(n, out)
	w.arm(n)
	return id
}

func (w *world) send(n *node, out []relay.Datagram) {
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
			w.at(w.now+delay, func() { w.does(to, to.life, func() { w.take(to, n.id, b) }) })
		}
	}
}

func (w *world) take(n *node, from uint32, b []byte) {
	n.in++
	t, err := n.m.Receive(from, b, w.now)
	must.NoError(w.t, err)
	for _, h := range t.Messages {
		id := word{h.Source, h.Epoch, h.Sequence}
		if at, ok := w.said[id]; ok {
			w.heard[id][n.id] = w.now - at
		}
	}
	w.send(n, t.Outgoing)
}

// knowsAll reports whether every running instance hears every other.
func (w *world) knowsAll() bool {
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

// untilKnown runs until everybody hears everybody, and returns how long it
// took.
func (w *world) untilKnown(most time.Duration) time.Duration {
	w.t.Helper()
	start := w.now
	for w.now < start+most {
		w.run(w.now + 10*time.Millisecond)
		if w.knowsAll() {
			return w.now - start
		}
	}
	for _, n := range w.nodes {
		for id := range w.nodes {
			if m := n.m.Fleet().All()[id]; id != n.id && (m == nil || !m.Alive || m.DataCentre == "") {
				w.t.Logf("%x (told %x, %d listeners) doesn't hear %x: %+v", n.id, n.m.Hub().Relay(), n.m.Hub().Subscribers(), id, m)
			}
		}
	}
	w.t.Fatalf("after %v some instances don't hear each other", most)
	return 0
}

// times are how long the messages said in a span took to reach the running
// instances, sorted, and how many never came.
func (w *world) times(from, to time.Duration) (times []time.Duration, missing int) {
	for id, at := range w.said {
		if at < from || at >= to {
			continue
		}
		for other, n := range w.nodes {
			if other == id.source || n.down {
				continue
			}
			took, ok := w.heard[id][other]
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

func share(times []time.Duration, p float64) time.Duration {
	return times[min(int(p*float64(len(times))), len(times)-1)]
}
