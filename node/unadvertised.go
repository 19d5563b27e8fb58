package node

import (
	"encoding/json"
	"slices"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/membership"
)

const (
	// unadvertisedPeriod is how long callers aren't told of an instance whose
	// own network is bad, before it is tried again.
	unadvertisedPeriod = 20 * time.Second
	// instancesPerUnadvertised bounds these instances: one, or one of so many live
	// ones.
	instancesPerUnadvertised = 20
	// unadvertisedRole is the rendezvous key of the instance that ends it.
	unadvertisedRole = "unadvertised"
)

// unadvertised follows the row of the instances that callers aren't told of.
//
// An instance whose own network loses packets serves its callers badly
// whatever backend server it picks, and no server is to blame. Only the
// collectors see that it is alone in this; they keep it out of the answers to
// locate for a while, few at a time.
type unadvertised struct {
	revision  uint64
	instances []string
	// since is when this instance first saw each of them.
	since   map[string]time.Duration
	writing bool
}

func (n *Node) refreshUnadvertised() {
	row, _ := n.replica.Row(config.UnadvertisedKey)
	if uint64(row.Revision) == n.unadvertised.revision {
		return
	}
	var value config.Unadvertised
	_ = json.Unmarshal(row.Value, &value)
	since := map[string]time.Duration{}
	for _, id := range value.Instances {
		since[id] = n.now
		if known, ok := n.unadvertised.since[id]; ok {
			since[id] = known
		}
	}
	n.unadvertised.revision = uint64(row.Revision)
	n.unadvertised.instances = value.Instances
	n.unadvertised.since = since
}

// unadvertiseFaultyReporter looks whether the instance that sent a report is alone with
// its failures.
func (n *Node) unadvertiseFaultyReporter(from, service string) {
	u := &n.unadvertised
	bound := max(1, len(n.member.Directory().Entries())/instancesPerUnadvertised)
	if len(u.instances) >= bound || slices.Contains(u.instances, from) || !n.collector.ReporterAtFault(n.now, from, service) {
		return
	}
	n.writeUnadvertised(append(slices.Clone(u.instances), from))
}

// readvertiseInstances lets callers be told again of the instances whose time is
// over, and forgets those that have ended.
func (n *Node) readvertiseInstances() {
	u := &n.unadvertised
	if len(u.instances) == 0 || n.member.Directory().Collector(unadvertisedRole) != n.settings.Self.ID {
		return
	}
	live := n.entryIDs()
	rest := slices.DeleteFunc(slices.Clone(u.instances), func(id string) bool {
		return n.now >= u.since[id]+unadvertisedPeriod || !slices.Contains(live, id)
	})
	if len(rest) < len(u.instances) {
		n.writeUnadvertised(rest)
	}
}

func (n *Node) writeUnadvertised(ids []string) {
	if n.unadvertised.writing || n.member.Confirmation(n.now).State != membership.ConfirmedByTable {
		return
	}
	value, err := json.Marshal(config.Unadvertised{Instances: ids})
	if err != nil {
		panic(err)
	}
	n.unadvertised.writing = true
	p := pendingEffect{owner: ownerUnadvertised}
	n.emit(n.trackEffect(p, effect.WriteTable{Txn: n.txn(config.UnadvertisedKey, value)}))
}
