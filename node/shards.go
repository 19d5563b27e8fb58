package node

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/membership"
	"foxtailspoke/platform"
	"foxtailspoke/quota"
)

const never = time.Duration(math.MaxInt64)

// inLine is how many instances try to write a shard's row, one after the
// other, when the one before doesn't.
const inLine = 2

// shards is what the node does about the rows of shards: use what it holds,
// and write the rows that it is in line for.
type shards struct {
	names []string
	held  map[string]*heldShard
	seen  map[string]seenRow
	// line has the shards that this instance writes, with its place.
	line map[string]int
	// limits of the workspaces, by shard; for the lists with this version.
	limits  map[string][]config.Limit
	limited uint64
	// wantedAt is since when a shard's row should be written.
	wantedAt map[string]time.Duration
	writing  bool
	// writeAt is when the next write may be sent; more says that there may
	// be one to send.
	writeAt time.Duration
	more    bool
	// next is when to look again at the entries that aren't in force.
	next time.Duration
}

// seenRow is a shard's row as this instance knows it.
type seenRow struct {
	revision platform.Revision
	row      config.Shard
	// former is the row before, whose holders may still use their parts
	// until formerUntil.
	former      config.Shard
	formerUntil time.Duration
}

// heldShard is a shard whose row names this instance.
type heldShard struct {
	revision platform.Revision
	// granted has the entries that came in force, by their Since.
	granted map[uint64]bool
	waiting bool
}

// settleEvery is how often entries that wait for being in force are looked at.
const settleEvery = 50 * time.Millisecond

func newShards(count int) shards {
	s := shards{
		held:     map[string]*heldShard{},
		seen:     map[string]seenRow{},
		line:     map[string]int{},
		limits:   map[string][]config.Limit{},
		wantedAt: map[string]time.Duration{},
		next:     never,
	}
	for i := range count {
		s.names = append(s.names, itoa(uint64(i)))
	}
	return s
}

// wakeWriter returns when to look for the next row to write, after one that
// was written.
func (s *shards) wakeWriter() time.Duration {
	if s.writing || !s.more {
		return never
	}
	return s.writeAt
}

// refreshShards follows the rows after a new revision.
func (n *Node) refreshShards() {
	for _, name := range n.shards.names {
		n.refreshShard(name)
	}
}

func (n *Node) refreshShard(name string) {
	row, _ := n.replica.Row(shardKey(name))
	seen := n.shards.seen[name]
	if row.Revision == seen.revision {
		return
	}
	shard := n.replica.Shard(name)
	n.shards.seen[name] = seenRow{
		revision:    row.Revision,
		row:         shard,
		former:      seen.row,
		formerUntil: n.now + n.member.Settings().Wait(),
	}
	held := n.shards.held[name]
	if held == nil && len(quota.Pending(shard, n.settings.Self.ID)) == 0 {
		return
	}
	if held == nil {
		held = &heldShard{granted: map[uint64]bool{}}
		n.shards.held[name] = held
	}
	held.revision = row.Revision
	n.memberEffects(n.member.Require(n.now, row.Revision))
	n.settleShard(name, held, n.freshUntil)
}

// holderRow returns a shard's row for asking its holders. Until a new row is
// in force it names the former holders as well: they may still use their
// parts, and the new ones may not yet.
func (n *Node) holderRow(name string) config.Shard {
	seen := n.shards.seen[name]
	if n.now >= seen.formerUntil {
		return seen.row
	}
	return quota.WithFormer(seen.row, seen.former)
}

// settleShard hands the holder the entries of a row that are in force. Parts
// that the row takes away count until lostUntil.
//
// An entry counts as in force when the row that it was read from is. The
// entry's own Since is older than the write that made it: if that were
// enough, two instances could use the same parts for the time in which the
// former holder hasn't heard of the write.
func (n *Node) settleShard(name string, held *heldShard, lostUntil time.Duration) {
	row := n.replica.Shard(name)
	rowInForce := n.member.InForce(n.now, held.revision)
	inForce := func(since uint64) bool { return held.granted[since] || rowInForce }
	grants := quota.Grants(row, n.settings.Self.ID, inForce)
	n.holder.SetGrantsUntil(n.now, name, grants, lostUntil)
	held.granted = map[uint64]bool{}
	for _, g := range grants {
		held.granted[g.Since] = true
	}
	pending := quota.Pending(row, n.settings.Self.ID)
	held.waiting = len(grants) < len(pending)
	if held.waiting {
		n.shards.next = min(n.shards.next, n.now+settleEvery)
	}
	if len(pending) == 0 {
		delete(n.shards.held, name)
	}
}

func (n *Node) settleShards() {
	if n.now < n.shards.next {
		return
	}
	n.shards.next = never
	for _, name := range n.shards.names {
		if held := n.shards.held[name]; held != nil && held.waiting {
			n.settleShard(name, held, n.now)
		}
	}
}

// rankShards finds the shards that this instance is in line for.
func (n *Node) rankShards() {
	n.shards.limited = 0
	clear(n.shards.line)
	entries := n.member.Live().Entries()
	for _, name := range n.shards.names {
		if place, ok := n.place(name, entries); ok {
			n.shards.line[name] = place
		}
	}
}

// place counts the live instances before this one by rendezvous hash, and
// stops as soon as there are enough of them.
func (n *Node) place(name string, entries []platform.Instance) (int, bool) {
	key := "shard-writer/" + name
	before := 0
	listed := false
	for _, e := range entries {
		if e.ID == n.settings.Self.ID {
			listed = true
			continue
		}
		if membership.First(key, []string{e.ID, n.settings.Self.ID}) == e.ID {
			before++
		}
		if before >= inLine {
			return 0, false
		}
	}
	return before, listed
}

// planShards writes at most one row that should be different.
func (n *Node) planShards() {
	if n.member.Confirmed(n.now).State != membership.ByTable || n.shards.writing || n.now < n.shards.writeAt {
		return
	}
	n.shards.more = false
	candidates := n.candidates()
	for _, name := range n.shards.names {
		place, ok := n.shards.line[name]
		if ok && n.planShard(name, place, candidates) {
			return
		}
	}
}

func (n *Node) planShard(name string, place int, candidates []quota.Candidate) bool {
	row, _ := n.replica.Row(shardKey(name))
	holders := quota.HolderCount(n.shardLimits(name), n.settings.MaxHolders)
	next, changed := quota.Assign(name, n.replica.Shard(name), candidates, holders, uint64(row.Revision))
	if !changed {
		delete(n.shards.wantedAt, name)
		return false
	}
	since, known := n.shards.wantedAt[name]
	if !known {
		n.shards.wantedAt[name] = n.now
		since = n.now
	}
	if n.now < since+time.Duration(place)*n.settings.ShardStagger {
		return false
	}
	value, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	n.shards.writing = true
	p := pending{owner: ownerShard, subject: name}
	n.emit(n.own(p, effect.WriteTable{Txn: n.txn(shardKey(name), value)}))
	return true
}

// shardWritten takes the end of a write. Whatever it was, the row is what the
// replica says when it comes by; a write whose answer was lost shows there.
func (n *Node) shardWritten(name string, r platform.WriteResult) {
	n.shards.writing = false
	n.shards.writeAt = n.now + n.settings.ShardWriteGap
	if r.Outcome != platform.Committed {
		n.shards.writeAt = n.now + n.member.Settings().PollEvery
		return
	}
	n.shards.more = true
	delete(n.shards.wantedAt, name)
	n.emit(Noted{Note: NoteShardWritten, Subject: name})
	n.memberEffects(n.member.Require(n.now, r.Revisions[platform.Control]))
}

// candidates lists the instances that may hold parts.
func (n *Node) candidates() []quota.Candidate {
	entries := n.member.Live().Entries()
	list := make([]quota.Candidate, 0, len(entries))
	for _, e := range entries {
		if e.ID == n.settings.Self.ID && n.leaving {
			continue
		}
		list = append(list, quota.Candidate{ID: e.ID, DataCentre: e.DataCentre, State: quota.Live})
	}
	return list
}

// shardLimits returns the limits of a shard's workspaces under the lists in
// force here.
func (n *Node) shardLimits(name string) []config.Limit {
	if version := n.replica.Lists().Version; version != n.shards.limited {
		n.shards.limited = version
		n.indexLimits()
	}
	return n.shards.limits[name]
}

// indexLimits collects the limits of the shards that this instance writes.
// It goes once through all workspaces, and not through all services for each.
func (n *Node) indexLimits() {
	clear(n.shards.limits)
	plans := map[string][]config.Limit{}
	for w := range n.replica.Workspaces() {
		shard := quota.ShardOf(w.Name, n.settings.Shards)
		if _, ok := n.shards.line[shard]; !ok {
			continue
		}
		limits, known := plans[w.Plan]
		if !known {
			limits = n.planLimits(w.Plan)
			plans[w.Plan] = limits
		}
		n.shards.limits[shard] = append(n.shards.limits[shard], limits...)
	}
}

func (n *Node) planLimits(name string) []config.Limit {
	plan, _ := n.replica.Plan(name)
	limits := make([]config.Limit, 0, len(plan.Services))
	for _, service := range sortedKeys(plan.Services) {
		limits = append(limits, plan.Services[service])
	}
	return limits
}

func itoa(v uint64) string { return strconv.FormatUint(v, 10) }
