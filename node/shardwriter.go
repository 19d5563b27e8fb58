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

// rankShardWriters finds the shards that this instance is in line for.
func (n *Node) rankShardWriters() {
	n.shards.limited = 0
	clear(n.shards.line)
	entries := n.member.Directory().Entries()
	for _, name := range n.shards.names {
		if place, ok := n.place(name, entries); ok {
			n.shards.line[name] = place
		}
	}
}

// place counts the live instances before this one by rendezvous hash, and
// stops as soon as there are enough of them.
func (n *Node) place(name string, entries []storage.Instance) (int, bool) {
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
		if before >= inLine {
			return 0, false
		}
	}
	return before, listed
}

// writeStaleShard writes at most one row that should be different.
func (n *Node) writeStaleShard() {
	if n.member.Confirmation(n.now).State != membership.ConfirmedByTable || n.shards.writing || n.now < n.shards.writeAt {
		return
	}
	n.shards.more = false
	var candidates []quota.Candidate
	for _, name := range n.shards.names {
		place, ok := n.shards.line[name]
		if !ok || n.shards.right[name] == n.basis(name) {
			continue
		}
		if candidates == nil {
			candidates = n.candidates()
		}
		if n.planShard(name, place, candidates) {
			return
		}
	}
}

// basis is all that the plan for a shard depends on. A row that was found
// right isn't planned again on the same basis: ranking 2,000 candidates for
// it four times a second would take half a percent of a core.
type basis struct {
	row     storage.Revision
	list    uint64
	lists   uint64
	leaving bool
}

func (n *Node) basis(name string) basis {
	row, _ := n.replica.Row(shardKey(name))
	return basis{row: row.Revision, list: n.followedListVersion, lists: n.replica.ListsVersion().Version, leaving: n.leaving}
}

func (n *Node) planShard(name string, place int, candidates []quota.Candidate) bool {
	row, _ := n.replica.Row(shardKey(name))
	holders := quota.HolderCount(n.shardLimits(name), n.settings.MaxHolders)
	next, changed := quota.Assign(name, n.replica.Shard(name), candidates, holders, uint64(row.Revision))
	if !changed {
		delete(n.shards.wantedAt, name)
		n.shards.right[name] = n.basis(name)
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
	p := pendingEffect{owner: ownerShard, subject: name}
	n.emit(n.trackEffect(p, effect.WriteTable{Txn: n.txn(shardKey(name), value)}))
	return true
}

// shardWritten takes the end of a write. Whatever it was, the row is what the
// replica says when it comes by; a write whose answer was lost shows there.
func (n *Node) shardWritten(name string, r storage.WriteResult) {
	n.shards.writing = false
	n.shards.writeAt = n.now + n.settings.ShardWriteGap
	if r.Outcome != storage.Committed {
		n.shards.writeAt = n.now + n.member.Settings().PollEvery
		return
	}
	n.shards.more = true
	delete(n.shards.wantedAt, name)
	n.emit(Noted{Note: NoteShardWritten, Subject: name})
	n.emitMemberEffects(n.member.Require(n.now, r.Revisions[storage.Control]))
}

// candidates lists the instances that may hold parts.
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

// shardLimits returns the limits of a shard's workspaces under the lists in
// force here.
func (n *Node) shardLimits(name string) []config.Limit {
	if version := n.replica.ListsVersion().Version; version != n.shards.limited {
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
