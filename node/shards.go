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

// writersPerShard is how many instances may write a shard's row. Each waits for
// the one ranked before it and writes only if that one doesn't.
const writersPerShard = 2

// shards is the state of the node's work on shard rows: using the parts that it
// holds, and writing the rows that it is a writer of.
type shards struct {
	names []string
	held  map[string]*heldShard
	seen  map[string]seenRow
	// writerRank maps each shard that this instance writes to its rank among the
	// shard's writers.
	writerRank map[string]int
	// limits are the workspaces' limits by shard, as of the lists with version
	// limitsVersion.
	limits        map[string][]config.Limit
	limitsVersion uint64
	// upToDate has the inputs for which a shard's row was found to need no change.
	upToDate map[string]planInputs
	// staleSince is when a shard's row was first found to need a write.
	staleSince map[string]time.Duration
	writing    bool
	// writeAt is the earliest time of the next write; mayHaveMore reports whether
	// another row may need one.
	writeAt     time.Duration
	mayHaveMore bool
	// nextGrantCheck is when to check again the entries that aren't in force yet.
	nextGrantCheck time.Duration
}

// seenRow is a shard's row as this instance knows it.
type seenRow struct {
	revision storage.Revision
	row      config.Shard
	// former is the previous row. Its holders may use their parts until
	// formerUntil.
	former      config.Shard
	formerUntil time.Duration
}

// heldShard is a shard whose row names this instance.
type heldShard struct {
	revision storage.Revision
	// granted has the entries that have come into force, keyed by Since.
	granted       map[uint64]bool
	grantsPending bool
}

// grantCheckInterval is how often entries that aren't in force yet are checked.
const grantCheckInterval = 50 * time.Millisecond

func newShards(count int) shards {
	s := shards{
		held:           map[string]*heldShard{},
		seen:           map[string]seenRow{},
		writerRank:     map[string]int{},
		limits:         map[string][]config.Limit{},
		staleSince:     map[string]time.Duration{},
		upToDate:       map[string]planInputs{},
		nextGrantCheck: never,
	}
	for i := range count {
		s.names = append(s.names, itoa(uint64(i)))
	}
	return s
}

// nextWrite returns when to look for the next row to write after a committed
// write, or never.
func (s *shards) nextWrite() time.Duration {
	if s.writing || !s.mayHaveMore {
		return never
	}
	return s.writeAt
}

// refreshShards applies the shard rows of a new table revision.
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
	n.applyGrants(name, held, n.confirmedUntil)
}

// rowWithFormerHolders returns a shard's row for asking its holders for tokens.
// Until a new row is in force it includes the former holders: they may still
// use their parts, and the new holders may not yet.
func (n *Node) rowWithFormerHolders(name string) config.Shard {
	seen := n.shards.seen[name]
	if n.now >= seen.formerUntil {
		return seen.row
	}
	return quota.WithPreviousHolders(seen.row, seen.former)
}

// applyGrants passes the entries of a row that are in force to the holder. Parts
// that the row takes away count until lostUntil.
//
// An entry is in force when the row that it was read from is. The entry's own
// Since isn't sufficient, because it is older than the write that created the
// entry: two instances could use the same parts until the former holder learns
// of that write.
func (n *Node) applyGrants(name string, held *heldShard, lostUntil time.Duration) {
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
	held.grantsPending = len(grants) < len(pending)
	if held.grantsPending {
		n.shards.nextGrantCheck = min(n.shards.nextGrantCheck, n.now+grantCheckInterval)
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
		if held := n.shards.held[name]; held != nil && held.grantsPending {
			n.applyGrants(name, held, n.now)
		}
	}
}

func itoa(v uint64) string { return strconv.FormatUint(v, 10) }
