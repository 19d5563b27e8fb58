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
	// unadvertisedPeriod is how long an instance with a faulty network is left
	// out of the answers to locate before it is included again.
	unadvertisedPeriod = 20 * time.Second
	// instancesPerUnadvertised limits the unadvertised instances to one per
	// this many live instances, with a minimum of one.
	instancesPerUnadvertised = 20
	// unadvertisedRole is the rendezvous key that selects the instance which
	// ends the unadvertised periods.
	unadvertisedRole = "unadvertised"
)

// unadvertised tracks the row of the instances that are left out of the answers
// to locate.
//
// An instance whose own network loses packets serves its callers badly whichever
// backend server it picks, and the servers are not at fault. Only the collectors
// can see that no other instance has these failures. They leave it out of the
// answers to locate for a limited time, and only a few instances at once.
type unadvertised struct {
	revision  uint64
	instances []string
	// since is when this instance first saw each of them in the row.
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

// unadvertiseFaultyReporter stops advertising the instance that sent a report if
// no other instance has the failures that it reports.
func (n *Node) unadvertiseFaultyReporter(from, service string) {
	u := &n.unadvertised
	bound := max(1, len(n.member.Directory().Entries())/instancesPerUnadvertised)
	if len(u.instances) >= bound || slices.Contains(u.instances, from) || !n.collector.ReporterAtFault(n.now, from, service) {
		return
	}
	n.writeUnadvertised(append(slices.Clone(u.instances), from))
}

// readvertiseInstances ends the unadvertised period of the instances whose time
// is over, and removes those that have ended.
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
