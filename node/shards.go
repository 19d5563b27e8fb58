package node

import (
	"math"
	"strconv"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/quota"
	"foxtailspoke/storage"
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
	// right has the basis on which a shard's row was found right.
	right map[string]basis
	// wantedAt is since when a shard's row should be written.
	wantedAt map[string]time.Duration
	writing  bool
	// writeAt is when the next write may be sent; more says that there may
	// be one to send.
	writeAt time.Duration
	more    bool
	// nextGrantCheck is when to look again at the entries that aren't in force.
	nextGrantCheck time.Duration
}

// seenRow is a shard's row as this instance knows it.
type seenRow struct {
	revision storage.Revision
	row      config.Shard
	// former is the row before, whose holders may still use their parts
	// until formerUntil.
	former      config.Shard
	formerUntil time.Duration
}

// heldShard is a shard whose row names this instance.
type heldShard struct {
	revision storage.Revision
	// granted has the entries that came in force, by their Since.
	granted map[uint64]bool
	waiting bool
}

// settleEvery is how often entries that wait for being in force are looked at.
const settleEvery = 50 * time.Millisecond

func newShards(count int) shards {
	s := shards{
		held:           map[string]*heldShard{},
		seen:           map[string]seenRow{},
		line:           map[string]int{},
		limits:         map[string][]config.Limit{},
		wantedAt:       map[string]time.Duration{},
		right:          map[string]basis{},
		nextGrantCheck: never,
	}
	for i := range count {
		s.names = append(s.names, itoa(uint64(i)))
	}
	return s
}

// nextWrite returns when to look for the next row to write, after one that
// was written.
func (s *shards) nextWrite() time.Duration {
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
		formerUntil: n.now + n.member.Settings().InForceDelay(),
	}
	held := n.shards.held[name]
	if held == nil && len(quota.EntryRevisions(shard, n.settings.Self.ID)) == 0 {
		return
	}
	if held == nil {
		held = &heldShard{granted: map[uint64]bool{}}
		n.shards.held[name] = held
	}
	held.revision = row.Revision
	n.emitMemberEffects(n.member.Require(n.now, row.Revision))
	n.settleShard(name, held, n.confirmedUntil)
}

// holderRow returns a shard's row for asking its holders. Until a new row is
// in force it names the former holders as well: they may still use their
// parts, and the new ones may not yet.
func (n *Node) holderRow(name string) config.Shard {
	seen := n.shards.seen[name]
	if n.now >= seen.formerUntil {
		return seen.row
	}
	return quota.WithPreviousHolders(seen.row, seen.former)
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
	n.holder.SetGrantsWithGrace(n.now, name, grants, lostUntil)
	held.granted = map[uint64]bool{}
	for _, g := range grants {
		held.granted[g.Since] = true
	}
	pending := quota.EntryRevisions(row, n.settings.Self.ID)
	held.waiting = len(grants) < len(pending)
	if held.waiting {
		n.shards.nextGrantCheck = min(n.shards.nextGrantCheck, n.now+settleEvery)
	}
	if len(pending) == 0 {
		delete(n.shards.held, name)
	}
}

func (n *Node) applyPendingGrants() {
	if n.now < n.shards.nextGrantCheck {
		return
	}
	n.shards.nextGrantCheck = never
	for _, name := range n.shards.names {
		if held := n.shards.held[name]; held != nil && held.waiting {
			n.settleShard(name, held, n.now)
		}
	}
}

func itoa(v uint64) string { return strconv.FormatUint(v, 10) }
