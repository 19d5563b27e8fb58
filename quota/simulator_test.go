package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/config"
)

// freshTime is the freshness time F of package membership.
const freshTime = 2 * time.Second

// row is a revision of the control table: a shard's row and a plan's limit.
type row struct {
	shard config.Shard
	limit config.Limit
	// written is the real time of the write.
	written time.Duration
}

// fleet simulates a few instances with their own clocks, a table, and links
// that lose, delay and duplicate messages.
type fleet struct {
	rng      *rand.Rand
	settings Settings
	bucket   Bucket
	// tokensPerRequest is the number of tokens that one request takes.
	tokensPerRequest int
	now              time.Duration // real time
	rows             []row         // by revision, from 1
	nodes            []*testNode
	started          int
	inFlight         []message
	cutLinks         map[[2]int]time.Duration
	// scheduled has the faults to run later.
	scheduled []scheduledFault
	// admitted is ordered by time.
	admitted []admission
	// offered has the real times of requests, ascending.
	offered  []time.Duration
	refused  int
	messages int
}

// admission is the number of tokens admitted at a point in real time.
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

// testNode is one instance: its clock, its replica of the table, and its
// tokens.
type testNode struct {
	id       string
	holder   *Holder
	rate     float64
	offset   time.Duration
	revision int
	fresh    time.Duration // local time
	frozen   time.Duration // real time at which it resumes
	tableCut time.Duration
	waiting  map[uint64]*waiting
}

// waiting is a request that waits for a holder's answer.
type waiting struct {
	search *Search
	until  time.Duration
}

func newFleet(seed uint64, s Settings, instances int, l config.Limit) *fleet {
	f := &fleet{
		rng:              rand.New(rand.NewPCG(seed, 1)),
		settings:         s,
		bucket:           Bucket{Workspace: "w", Service: "s"},
		tokensPerRequest: 1,
		cutLinks:         map[[2]int]time.Duration{},
		rows:             []row{{limit: l}},
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

// clock returns an instance's local time.
func (f *fleet) clock(n *testNode) time.Duration {
	return n.offset + time.Duration(float64(f.now)*n.rate)
}

func (f *fleet) newest() row { return f.rows[len(f.rows)-1] }

// write adds a revision to the table. Its number is len(rows)-1.
func (f *fleet) write(r row) {
	r.written = f.now
	f.rows = append(f.rows, r)
}

// assign writes the shard's row. The instances in without count as
// unreachable, although they may be running.
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

// inForce returns the earliest correct answer: true once every round started
// before the write has expired on the slowest clock.
func (f *fleet) inForce(since uint64) bool {
	slowest := time.Duration(float64(freshTime) * (1 + f.settings.Drift))
	return f.now >= f.rows[since+1].written+slowest
}

// applyGrants updates an instance's grants from its replica of the table while
// it is fresh.
func (f *fleet) applyGrants(n *testNode) time.Duration {
	now := f.clock(n)
	if now < n.fresh {
		grants := Grants(f.rows[n.revision].shard, n.id, f.inForce)
		n.holder.SetGrants(now, "0", grants)
	}
	return now
}

// refresh completes a round that read the table as of the round's start.
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

// request sends one request to an instance.
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
	search := NewSearch(f.bucket, Amount(f.tokensPerRequest)*Token)
	f.try(i, now, &waiting{search: search, until: now + f.settings.TransferTime})
}

// try takes the tokens, or asks the next holder for the missing ones.
func (f *fleet) try(i int, now time.Duration, w *waiting) {
	n := f.nodes[i]
	r := f.rows[n.revision]
	step := n.holder.Next(now, w.search, r.shard, r.limit)
	f.balance(i, now)
	switch {
	case step.Admitted:
		f.admitted = append(f.admitted, admission{at: f.now, tokens: float64(f.tokensPerRequest)})
	case step.To != "" && now < w.until:
		n.waiting[step.Ask.ID] = w
		f.send(i, f.index(step.To), step.Ask)
	default:
		f.refused++
	}
}

// balance sends the holder's rebalancing ask, if there is one.
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

// send puts a message on a link that may lose, delay or duplicate it. Some
// messages arrive after the transfer time.
func (f *fleet) send(from, to int, payload any) {
	f.messages++
	if to < 0 || f.now < f.cutLinks[[2]int{from, to}] {
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

// deliver delivers the messages that are due, in the order of the queue.
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
