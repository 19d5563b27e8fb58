package node

import (
	"time"

	"foxtailspoke/config"
	"foxtailspoke/decision"
	"foxtailspoke/effect"
	"foxtailspoke/membership"
	"foxtailspoke/quota"
	"foxtailspoke/storage"
)

// acquireTokens counts the request against its workspace's limit, out of this
// instance's own parts or by asking the other holders.
func (n *Node) acquireTokens(r *request) {
	r.search = quota.NewSearch(r.bucket(), quota.Token)
	n.searchTokens(r)
}

func (n *Node) searchTokens(r *request) {
	row := n.holderRow(n.shardOf(r))
	step := n.holder.Next(n.now, r.search, row, r.limit)
	n.settleTokens()
	n.balanceTokens(row, r.bucket(), r.limit)
	switch {
	case step.Admitted:
		n.startFirstAttempt(r)
	case step.To != "":
		n.ask(step.To, step.Ask, r.arrived.Request)
	default:
		n.refuseForRate(r, step.RetryAfter)
	}
}

// ask asks a holder for tokens, for a request or, without one, to even out
// the holders' levels.
func (n *Node) ask(to string, a quota.Ask, request string) {
	p := pendingEffect{owner: ownerTokens, id: a.ID, subject: request}
	n.emit(n.trackEffect(p, effect.Call{To: to, Request: PeerRequest{Ask: &a}}))
}

func (n *Node) balanceTokens(row config.Shard, b quota.Bucket, l config.Limit) {
	if to, ask, ok := n.holder.Rebalance(n.now, row, b, l); ok {
		n.ask(to, ask, "")
	}
}

// settleTokens tells givers that what they gave is used. Nothing depends on
// their answer.
func (n *Node) settleTokens() {
	for _, s := range n.holder.DrainSettlements() {
		n.emit(n.trackEffect(pendingEffect{owner: ownerSettlement}, effect.Call{To: s.To, Request: PeerRequest{Settlement: &s}}))
	}
}

// asked takes the end of an ask. The request may have ended meanwhile; what
// was given is kept as far as it fits.
func (n *Node) asked(id string, ask uint64, t *quota.Transfer, ok bool) {
	answered := ok && t != nil
	if answered {
		limit, _ := n.replica.Limit(t.Bucket.Workspace, t.Bucket.Service)
		n.holder.HandleTransfer(n.now, limit, *t)
	} else {
		n.holder.AskFailed(n.now, ask)
	}
	r, waiting := n.requests[id]
	if !waiting {
		n.settleTokens()
		return
	}
	if !answered {
		r.unansweredAsks++
	}
	if rule := n.revalidate(r); rule != "" {
		n.refuse(r, rule, 0)
		return
	}
	n.searchTokens(r)
}

func (n *Node) refuseForRate(r *request, retryAfter time.Duration) {
	rule := decision.RuleRateExceeded
	switch {
	case n.unheld(n.shardOf(r)):
		rule = decision.RulePeerUnreachable
		r.figures.Detail = "no instance holds them yet"
	case r.unansweredAsks > 0:
		rule = decision.RulePeerUnreachable
	}
	r.figures.Parts = quota.PartsByInstance(n.replica.Shard(n.shardOf(r)))[n.settings.Self.ID]
	n.refuse(r, rule, retryAfter)
}

// unheld says whether nobody may use any part of a shard's limits by now: its
// first row isn't written or isn't in force. Its workspaces have used nothing
// up then, and must not be told that they have.
func (n *Node) unheld(name string) bool {
	seen := n.shards.seen[name]
	return len(seen.row.Holders) == 0 || (len(seen.former.Holders) == 0 && n.now < seen.formerUntil)
}

// give answers another instance's ask out of the own parts. An instance
// whose configuration isn't confirmed gives nothing: its parts may be
// somebody else's by now.
func (n *Node) give(a quota.Ask) (quota.Transfer, bool) {
	if n.member.Confirmation(n.now).State == membership.CutOff {
		return quota.Transfer{}, false
	}
	limit, ok := n.replica.Limit(a.Bucket.Workspace, a.Bucket.Service)
	if !ok {
		return quota.Transfer{}, false
	}
	t := n.holder.HandleAsk(n.now, limit, a)
	shard := quota.ShardOf(a.Bucket.Workspace, n.settings.Shards)
	n.balanceTokens(n.holderRow(shard), a.Bucket, limit)
	return t, true
}

// settle takes another instance's word that what it was given is used.
func (n *Node) settle(s quota.Settlement) {
	if limit, ok := n.replica.Limit(s.Bucket.Workspace, s.Bucket.Service); ok {
		n.holder.HandleSettlement(n.now, limit, s)
	}
}

func (n *Node) shardOf(r *request) string {
	return quota.ShardOf(r.workspace.Name, n.settings.Shards)
}

// txn returns a transaction on one row of the control table, conditional on
// the row as the replica has it.
func (n *Node) txn(key string, value []byte) storage.Txn {
	n.lastTxn++
	row, _ := n.replica.Row(key)
	return storage.Txn{
		Attempt:    n.settings.Self.ID + "/" + itoa(n.lastTxn),
		Conditions: []storage.Condition{{Table: storage.Control, Key: key, Revision: row.Revision}},
		Puts:       []storage.Put{{Table: storage.Control, Key: key, Value: value}},
	}
}

func shardKey(name string) string { return config.ShardPrefix + name }
