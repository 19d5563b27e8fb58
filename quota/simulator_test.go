package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/config"
)

// freshTime stands for F of package membership.
const freshTime = 2 * time.Second

// row is a state of the control table: a shard's row and a plan's limit.
type row struct {
	shard config.Shard
	limit config.Limit
	// written is the true time of the write.
	written time.Duration
}

// fleet is a handful of instances with their own clocks, over a table and
// links that lose, delay and repeat. It is the driver of the histories below.
type fleet struct {
	rng      *rand.Rand
	settings Settings
	bucket   Bucket
	// size is how many tokens one request takes.
	size     int
	now      time.Duration // true time
	rows     []row         // by revision, from 1
	nodes    []*testNode
	started  int
	inFlight []message
	cut      map[[2]int]time.Duration
	// scheduled are faults that wait for their turn.
	scheduled []scheduledFault
	// admitted is ordered by time.
	admitted []admission
	// offered has the true times of requests, ascending.
	offered  []time.Duration
	refused  int
	messages int
}

// admission is what callers got at a true time.
type admission struct {
	at     time.Duration
	tokens float64
}

type message struct {
	at      time.Duration
	from    int
	to      int
	payload any
}

// testNode is one instance: its clock, its copy of the table, its tokens.
type testNode struct {
	id       string
	holder   *Holder
	rate     float64
	offset   time.Duration
	revision int
	fresh    time.Duration // own clock
	frozen   time.Duration // true time of waking
	tableCut time.Duration
	waiting  map[uint64]*waiting
}

// waiting is a request that has asked a holder for tokens.
type waiting struct {
	search *Search
	until  time.Duration
}

func newFleet(seed uint64, s Settings, instances int, l config.Limit) *fleet {
	f := &fleet{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		settings: s,
		bucket:   Bucket{Workspace: "w", Service: "s"},
		size:     1,
		cut:      map[[2]int]time.Duration{},
		rows:     []row{{limit: l}},
	}
	for range instances {
		f.nodes = append(f.nodes, f.start())
	}
	f.assign(3)
	return f
}

func (f *fleet) start() *testNode {
	f.started++
	id := fmt.Sprintf("i%d", f.started)
	rates := []float64{1 / (1 + f.settings.Drift), 1, 1 + f.settings.Drift}
	return &testNode{
		id:      id,
		holder:  NewHolder(id, 1, f.settings),
		rate:    rates[f.rng.IntN(len(rates))],
		offset:  time.Duration(f.rng.Int64N(int64(time.Hour))),
		waiting: map[uint64]*waiting{},
	}
}

// clock returns an instance's own time.
func (f *fleet) clock(n *testNode) time.Duration {
	return n.offset + time.Duration(float64(f.now)*n.rate)
}

func (f *fleet) newest() row { return f.rows[len(f.rows)-1] }

// write puts a new state into the table. Its revision is len(rows)-1.
func (f *fleet) write(r row) {
	r.written = f.now
	f.rows = append(f.rows, r)
}

// assign writes the shard's row. The instances in without count as gone,
// though they may be running.
func (f *fleet) assign(holders int, without ...int) {
	var candidates []Candidate
	for i, n := range f.nodes {
		c := Candidate{ID: n.id, DataCentre: fmt.Sprint(i % 3)}
		if slices.Contains(without, i) {
			c.State = Unreachable
		}
		candidates = append(candidates, c)
	}
	r := f.newest()
	next, changed := Assign("0", r.shard, candidates, holders, uint64(len(f.rows)-1))
	if changed {
		r.shard = next
		f.write(r)
	}
}

// inForce is the sharpest true answer: since the write, every round that was
// started before has run out on the slowest clock.
func (f *fleet) inForce(since uint64) bool {
	slowest := time.Duration(float64(freshTime) * (1 + f.settings.Drift))
	return f.now >= f.rows[since+1].written+slowest
}

// applyGrants lets an instance bring its state up to its copy of the table.
func (f *fleet) applyGrants(n *testNode) time.Duration {
	now := f.clock(n)
	if now < n.fresh {
		grants := Grants(f.rows[n.revision].shard, n.id, f.inForce)
		n.holder.SetGrants(now, "0", grants)
	}
	return now
}

// refresh ends a round that read the table as it was at the round's start.
func (f *fleet) refresh(n *testNode, took time.Duration) {
	if f.now < n.tableCut || f.now < n.frozen {
		return
	}
	read := n.revision
	for i, r := range f.rows {
		if r.written <= f.now-took {
			read = max(read, i)
		}
	}
	before := n.fresh
	if n.revision != read {
		n.revision = read
		n.holder.SetGrantsWithGrace(f.clock(n), "0", Grants(f.rows[read].shard, n.id, f.inForce), before)
	}
	n.fresh = f.clock(n) - time.Duration(float64(took)*n.rate) + freshTime
	f.applyGrants(n)
}

// request is one caller's request at an instance.
func (f *fleet) request(i int) {
	n := f.nodes[i]
	f.offered = append(f.offered, f.now)
	if f.now < n.frozen {
		return
	}
	now := f.applyGrants(n)
	if now >= n.fresh {
		f.refused++
		return
	}
	search := NewSearch(f.bucket, Amount(f.size)*Token)
	f.try(i, now, &waiting{search: search, until: now + f.settings.TransferTime})
}

// try takes the tokens, or asks the next holder for what lacks.
func (f *fleet) try(i int, now time.Duration, w *waiting) {
	n := f.nodes[i]
	r := f.rows[n.revision]
	step := n.holder.Next(now, w.search, r.shard, r.limit)
	f.balance(i, now)
	switch {
	case step.Admitted:
		f.admitted = append(f.admitted, admission{at: f.now, tokens: float64(f.size)})
	case step.To != "" && now < w.until:
		n.waiting[step.Ask.ID] = w
		f.send(i, f.index(step.To), step.Ask)
	default:
		f.refused++
	}
}

// balance sends what the holder asks for ahead of need.
func (f *fleet) balance(i int, now time.Duration) {
	n := f.nodes[i]
	r := f.rows[n.revision]
	if to, a, ok := n.holder.Rebalance(now, r.shard, f.bucket, r.limit); ok {
		f.send(i, f.index(to), a)
	}
}

func (f *fleet) settle(i int) {
	for _, due := range f.nodes[i].holder.DrainSettlements() {
		f.send(i, f.index(due.To), due)
	}
}

func (f *fleet) index(id string) int {
	return slices.IndexFunc(f.nodes, func(n *testNode) bool { return n.id == id })
}

// send loses, delays and repeats. Some messages come after the transfer time.
func (f *fleet) send(from, to int, payload any) {
	f.messages++
	if to < 0 || f.now < f.cut[[2]int{from, to}] {
		return
	}
	delay := time.Duration(f.rng.Int64N(int64(5 * time.Millisecond)))
	if f.rng.IntN(20) == 0 {
		delay = time.Duration(f.rng.Int64N(int64(2 * f.settings.TransferTime)))
	}
	f.inFlight = append(f.inFlight, message{at: f.now + delay, from: from, to: to, payload: payload})
	if f.rng.IntN(20) == 0 {
		f.inFlight = append(f.inFlight, message{at: f.now + 2*delay, from: from, to: to, payload: payload})
	}
}

// deliver hands over what has arrived, in the order of arrival.
func (f *fleet) deliver() {
	due := f.inFlight
	f.inFlight = nil
	for _, m := range due {
		switch {
		case f.nodes[m.to].frozen > f.now || m.at > f.now:
			f.inFlight = append(f.inFlight, m)
		default:
			f.receive(m)
		}
	}
}

func (f *fleet) receive(m message) {
	n := f.nodes[m.to]
	now := f.applyGrants(n)
	limit := f.rows[n.revision].limit
	switch p := m.payload.(type) {
	case Ask:
		if now < n.fresh {
			f.send(m.to, m.from, n.holder.HandleAsk(now, limit, p))
			f.balance(m.to, now)
		}
	case Settlement:
		n.holder.HandleSettlement(now, limit, p)
	case Transfer:
		if now >= n.fresh {
			return
		}
		n.holder.HandleTransfer(now, limit, p)
		defer f.settle(m.to)
		if w := n.waiting[p.Ask]; w != nil {
			delete(n.waiting, p.Ask)
			f.try(m.to, now, w)
		}
	}
}
