package node

import (
	"encoding/json"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/membership"
	"foxtailspoke/quota"
	"foxtailspoke/storage"
)

// rankShardWriters determines the shards that this instance is a writer of.
func (n *Node) rankShardWriters() {
	n.shards.limitsVersion = 0
	clear(n.shards.writerRank)
	entries := n.member.Directory().Entries()
	for _, name := range n.shards.names {
		if rank, ok := n.writerRankOf(name, entries); ok {
			n.shards.writerRank[name] = rank
		}
	}
}

// writerRankOf returns the number of live instances ranked before this one for a
// shard by rendezvous hash, and whether this one is among the shard's writers.
func (n *Node) writerRankOf(name string, entries []storage.Instance) (int, bool) {
	key := "shard-writer/" + name
	before := 0
	listed := false
	for _, e := range entries {
		if e.ID == n.settings.Self.ID {
			listed = true
			continue
		}
		if membership.TopRanked(key, []string{e.ID, n.settings.Self.ID}) == e.ID {
			before++
		}
		if before >= writersPerShard {
			return 0, false
		}
	}
	return before, listed
}

// writeStaleShard writes at most one shard row that is out of date.
func (n *Node) writeStaleShard() {
	if n.member.Confirmation(n.now).State != membership.ConfirmedByTable || n.shards.writing || n.now < n.shards.writeAt {
		return
	}
	n.shards.mayHaveMore = false
	var candidates []quota.Candidate
	for _, name := range n.shards.names {
		rank, ok := n.shards.writerRank[name]
		if !ok || n.shards.upToDate[name] == n.planInputs(name) {
			continue
		}
		if candidates == nil {
			candidates = n.candidates()
		}
		if n.writeShardIfStale(name, rank, candidates) {
			return
		}
	}
}

// planInputs is everything that the plan for a shard depends on. A row that
// needed no change isn't planned again for the same inputs: ranking 2,000
// candidates four times a second would take 0.5 % of a core.
type planInputs struct {
	row     storage.Revision
	list    uint64
	lists   uint64
	leaving bool
}

func (n *Node) planInputs(name string) planInputs {
	row, _ := n.replica.Row(shardKey(name))
	return planInputs{row: row.Revision, list: n.followedListVersion, lists: n.replica.ListsVersion().Version, leaving: n.leaving}
}

func (n *Node) writeShardIfStale(name string, rank int, candidates []quota.Candidate) bool {
	row, _ := n.replica.Row(shardKey(name))
	holders := quota.HolderCount(n.shardLimits(name), n.settings.MaxHolders)
	next, changed := quota.Assign(name, n.replica.Shard(name), candidates, holders, uint64(row.Revision))
	if !changed {
		delete(n.shards.staleSince, name)
		n.shards.upToDate[name] = n.planInputs(name)
		return false
	}
	since, known := n.shards.staleSince[name]
	if !known {
		n.shards.staleSince[name] = n.now
		since = n.now
	}
	if n.now < since+time.Duration(rank)*n.settings.ShardStagger {
		return false
	}
	value, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	n.shards.writing = true
	p := pendingEffect{owner: ownerShard, subject: name}
	n.emit(n.trackEffect(p, effect.WriteTable{Txn: n.txn(shardKey(name), value)}))
	return true
}

// shardWritten handles the result of a shard write. Whatever the result, the row
// is taken from the replica, so a committed write whose answer was lost is seen
// when the replica is updated.
func (n *Node) shardWritten(name string, r storage.WriteResult) {
	n.shards.writing = false
	n.shards.writeAt = n.now + n.settings.ShardWriteGap
	if r.Outcome != storage.Committed {
		n.shards.writeAt = n.now + n.member.Settings().PollEvery
		return
	}
	n.shards.mayHaveMore = true
	delete(n.shards.staleSince, name)
	n.emit(Noted{Note: NoteShardWritten, Subject: name})
	n.emitMemberEffects(n.member.Require(n.now, r.Revisions[storage.Control]))
}

// candidates returns the instances that may hold parts.
func (n *Node) candidates() []quota.Candidate {
	entries := n.member.Directory().Entries()
	list := make([]quota.Candidate, 0, len(entries))
	for _, e := range entries {
		if e.ID == n.settings.Self.ID && n.leaving {
			continue
		}
		list = append(list, quota.Candidate{ID: e.ID, DataCentre: e.DataCentre, State: quota.Live})
	}
	return list
}

// shardLimits returns the limits of a shard's workspaces under the lists that
// this instance uses.
func (n *Node) shardLimits(name string) []config.Limit {
	if version := n.replica.ListsVersion().Version; version != n.shards.limitsVersion {
		n.shards.limitsVersion = version
		n.indexLimits()
	}
	return n.shards.limits[name]
}

// indexLimits collects the limits of the shards that this instance writes. It
// makes one pass over all workspaces and reads the services of each plan once.
func (n *Node) indexLimits() {
	clear(n.shards.limits)
	plans := map[string][]config.Limit{}
	for w := range n.replica.Workspaces() {
		shard := quota.ShardOf(w.Name, n.settings.Shards)
		if _, ok := n.shards.writerRank[shard]; !ok {
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
