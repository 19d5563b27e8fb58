package node

import (
	"slices"
	"time"

	"foxtailspoke/decision"
	"foxtailspoke/membership"
	"foxtailspoke/quota"
)

// handleLocate answers a caller's query for the entry addresses to use.
func (n *Node) handleLocate(e LocateAsked) {
	r := &request{arrived: RequestArrived{Request: e.Request, At: e.At}, arrivedAt: n.now}
	rule, workspace := n.authenticate(e.Key, e.HasKey, &r.figures)
	if rule != "" {
		n.refuse(r, rule, 0)
		return
	}
	located := Located{
		Request:   e.Request,
		Addresses: n.addresses(workspace.Name, true),
		TTL:       n.settings.LocateTTL,
		Self:      n.settings.Self.Address,
	}
	for range e.Operations {
		located.Operations = append(located.Operations, n.minter.Mint(n.now, workspace.Name))
	}
	n.emit(located)
}

// addresses returns the addresses of the entry instances for a workspace, in
// order of preference: those that hold parts of its limits, then others by
// rendezvous hash. This confines the load of an overactive workspace to a small
// and stable set of instances. The own address is left out if includeSelf is
// false or the instance is leaving.
func (n *Node) addresses(workspace string, includeSelf bool) []string {
	shard := quota.ShardOf(workspace, n.settings.Shards)
	ids := n.liveHolders(shard)
	for _, id := range n.member.Directory().HolderCandidates("locate/"+workspace, n.settings.LocateAddresses) {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	advertised := slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		return slices.Contains(n.unadvertised.instances, id)
	})
	if len(advertised) > 0 {
		ids = advertised
	}
	var addresses []string
	for _, id := range ids {
		own := id == n.settings.Self.ID
		if own && (!includeSelf || n.leaving) {
			continue
		}
		if i, ok := n.member.Directory().Instance(id); ok {
			addresses = append(addresses, i.Address)
		}
	}
	return addresses[:min(len(addresses), n.settings.LocateAddresses)]
}

// liveHolders returns the live holders of a shard, those with the most
// parts first.
func (n *Node) liveHolders(shard string) []string {
	live := n.entryIDs()
	ids := quota.AskOrder(n.replica.Shard(shard), "")
	return slices.DeleteFunc(ids, func(id string) bool { return !slices.Contains(live, id) })
}

func (n *Node) entryIDs() []string {
	entries := n.member.Directory().Entries()
	ids := make([]string, len(entries))
	for i, e := range entries {
		ids[i] = e.ID
	}
	return ids
}

// Serving reports whether the instance accepts requests and, if not, the rule
// under which it refuses them.
func (n *Node) Serving(now time.Duration) (decision.Rule, bool) {
	n.now = max(n.now, now)
	switch {
	case n.member.Confirmation(n.now).State == membership.CutOff:
		return decision.RuleConfigUnconfirmed, false
	case n.leaving:
		return decision.RuleInstanceLeaving, false
	}
	return "", true
}
