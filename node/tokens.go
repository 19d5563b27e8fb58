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

// acquireTokens counts the request against its workspace's limit, using this
// instance's own parts or tokens from the other holders.
func (n *Node) acquireTokens(r *request) {
	r.search = quota.NewSearch(r.bucket(), quota.Token)
	n.continueTokenSearch(r)
}

func (n *Node) continueTokenSearch(r *request) {
	row := n.rowWithFormerHolders(n.shardOf(r))
	step := n.holder.Next(n.now, r.search, row, r.limit)
	n.sendSettlements()
	n.rebalanceTokens(row, r.bucket(), r.limit)
	switch {
	case step.Admitted:
		n.startFirstAttempt(r)
	case step.To != "":
		n.askForTokens(step.To, step.Ask, r.arrived.Request)
	default:
		n.refuseRateExceeded(r, step.RetryAfter)
	}
}

// askForTokens asks a holder for tokens, either for a request or, if request is
// empty, to balance the holders' levels.
func (n *Node) askForTokens(to string, a quota.Ask, request string) {
	p := pendingEffect{owner: ownerTokens, id: a.ID, subject: request}
	n.emit(n.trackEffect(p, effect.Call{To: to, Request: PeerRequest{Ask: &a}}))
}

func (n *Node) rebalanceTokens(row config.Shard, b quota.Bucket, l config.Limit) {
	if to, ask, ok := n.holder.Rebalance(n.now, row, b, l); ok {
		n.askForTokens(to, ask, "")
	}
}

// sendSettlements tells the instances that transferred tokens here that those
// are used. Nothing depends on the reply.
func (n *Node) sendSettlements() {
	for _, s := range n.holder.DrainSettlements() {
		n.emit(n.trackEffect(pendingEffect{owner: ownerSettlement}, effect.Call{To: s.To, Request: PeerRequest{Settlement: &s}}))
	}
}

// handleTokenReply handles the result of a token request. The caller's request
// may have ended meanwhile; the transferred tokens are kept up to the bucket's
// capacity.
func (n *Node) handleTokenReply(id string, ask uint64, t *quota.Transfer, ok bool) {
	answered := ok && t != nil
	if answered {
		limit, _ := n.replica.Limit(t.Bucket.Workspace, t.Bucket.Service)
		n.holder.HandleTransfer(n.now, limit, *t)
	} else {
		n.holder.AskFailed(n.now, ask)
	}
	r, waiting := n.requests[id]
	if !waiting {
		n.sendSettlements()
		return
	}
	if !answered {
		r.unansweredAsks++
	}
	if rule := n.revalidate(r); rule != "" {
		n.refuse(r, rule, 0)
		return
	}
	n.continueTokenSearch(r)
}

func (n *Node) refuseRateExceeded(r *request, retryAfter time.Duration) {
	rule := decision.RuleRateExceeded
	switch {
	case n.hasNoHolders(n.shardOf(r)):
		rule = decision.RulePeerUnreachable
		r.figures.Detail = "no instance holds them yet"
	case r.unansweredAsks > 0:
		rule = decision.RulePeerUnreachable
	}
	r.figures.Parts = quota.PartsByInstance(n.replica.Shard(n.shardOf(r)))[n.settings.Self.ID]
	n.refuse(r, rule, retryAfter)
}

// hasNoHolders reports whether no instance may use any part of a shard's limits
// yet, because its first row isn't written or isn't in force. Its workspaces
// have used no tokens then, and must not be refused as over their rate.
func (n *Node) hasNoHolders(name string) bool {
	seen := n.shards.seen[name]
	return len(seen.row.Holders) == 0 || (len(seen.former.Holders) == 0 && n.now < seen.formerUntil)
}

// handleTokenAsk answers another instance's request for tokens from this
// instance's own parts. An instance whose configuration isn't confirmed gives
// none, because its parts may have been assigned to another instance.
func (n *Node) handleTokenAsk(a quota.Ask) (quota.Transfer, bool) {
	if n.member.Confirmation(n.now).State == membership.CutOff {
		return quota.Transfer{}, false
	}
	limit, ok := n.replica.Limit(a.Bucket.Workspace, a.Bucket.Service)
	if !ok {
		return quota.Transfer{}, false
	}
	t := n.holder.HandleAsk(n.now, limit, a)
	shard := quota.ShardOf(a.Bucket.Workspace, n.settings.Shards)
	n.rebalanceTokens(n.rowWithFormerHolders(shard), a.Bucket, limit)
	return t, true
}

// handleSettlement records that another instance has used the tokens that it
// was given.
func (n *Node) handleSettlement(s quota.Settlement) {
	if limit, ok := n.replica.Limit(s.Bucket.Workspace, s.Bucket.Service); ok {
		n.holder.HandleSettlement(n.now, limit, s)
	}
}

func (n *Node) shardOf(r *request) string {
	return quota.ShardOf(r.workspace.Name, n.settings.Shards)
}

// txn returns a transaction that writes one row of the control table, on the
// condition that the row still has the revision known to the replica.
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
