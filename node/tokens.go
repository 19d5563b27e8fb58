package node

import (
	"foxtailspoke/config"
	"foxtailspoke/decision"
	"foxtailspoke/effect"
	"foxtailspoke/membership"
	"foxtailspoke/platform"
	"foxtailspoke/quota"
)

// takeTokens counts the request against its workspace's limit, out of this
// instance's own parts or by asking the other holders.
func (n *Node) takeTokens(r *request) {
	d := n.holder.Take(n.now, r.bucket(), r.limit, quota.Token)
	if d.Admitted {
		n.begin(r)
		return
	}
	r.asking = n.holder.Peers(n.now, n.replica.Shard(n.shardOf(r)), r.bucket())
	n.askNext(r, d)
}

// askNext asks the next holder for what lacks, or refuses.
func (n *Node) askNext(r *request, d quota.Decision) {
	if len(r.asking) == 0 {
		n.refuseForRate(r, d)
		return
	}
	to := r.asking[0]
	r.asking = r.asking[1:]
	ask := n.holder.Ask(n.now, to, r.bucket(), r.limit, d.Missing)
	p := pending{owner: ownerTokens, id: ask.ID, subject: r.arrived.Request}
	n.emit(n.own(p, effect.Call{To: to, Request: PeerRequest{Ask: &ask}}))
}

// asked takes the end of an ask. The request may have ended meanwhile; what
// was given is kept as far as it fits.
func (n *Node) asked(id string, ask uint64, t *quota.Transfer, ok bool) {
	r, found := n.requests[id]
	if !ok || t == nil {
		n.holder.Lost(n.now, ask)
	} else if found {
		n.holder.Accept(n.now, r.limit, *t)
	}
	if !found {
		return
	}
	if !ok {
		r.lost++
	}
	if n.member.Confirmed(n.now).State == membership.CutOff {
		n.refuse(r, decision.RuleCutOff, 0)
		return
	}
	d := n.holder.Take(n.now, r.bucket(), r.limit, quota.Token)
	if d.Admitted {
		n.begin(r)
		return
	}
	n.askNext(r, d)
}

func (n *Node) refuseForRate(r *request, d quota.Decision) {
	rule := decision.RuleOverRate
	if r.lost > 0 {
		rule = decision.RulePeerUnreachable
	}
	r.figures.Parts = quota.Parts(n.replica.Shard(n.shardOf(r)))[n.settings.Self.ID]
	n.refuse(r, rule, d.RetryAfter)
}

// give answers another instance's ask out of the own parts. An instance
// whose configuration isn't confirmed gives nothing: its parts may be
// somebody else's by now.
func (n *Node) give(a quota.Ask) (quota.Transfer, bool) {
	if n.member.Confirmed(n.now).State == membership.CutOff {
		return quota.Transfer{}, false
	}
	limit, ok := n.replica.Limit(a.Bucket.Workspace, a.Bucket.Service)
	if !ok {
		return quota.Transfer{}, false
	}
	return n.holder.Give(n.now, limit, a), true
}

func (n *Node) shardOf(r *request) string {
	return quota.ShardOf(r.workspace.Name, n.settings.Shards)
}

// txn returns a transaction on one row of the control table, conditional on
// the row as the replica has it.
func (n *Node) txn(key string, value []byte) platform.Txn {
	n.lastTxn++
	row, _ := n.replica.Row(key)
	return platform.Txn{
		Attempt:    n.settings.Self.ID + "/" + itoa(n.lastTxn),
		Conditions: []platform.Condition{{Table: platform.Control, Key: key, Revision: row.Revision}},
		Puts:       []platform.Put{{Table: platform.Control, Key: key, Value: value}},
	}
}

func shardKey(name string) string { return config.ShardPrefix + name }
