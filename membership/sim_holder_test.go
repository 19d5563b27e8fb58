package membership

import (
	"encoding/json"
	"fmt"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/storage"
)

const shardRow = config.ShardPrefix + "s"

// tryToHold makes a node try to become the only holder of the shard.
func (s *sim) tryToHold(n *simNode) {
	s.deliver(n, func(time.Duration) []effect.Effect {
		row, _ := n.log.Row(shardRow)
		value, _ := json.Marshal(config.Shard{Holders: []config.Holder{{Instance: n.id, Parts: config.PartsPerShard}}})
		s.write(n, storage.Txn{
			Conditions: []storage.Condition{{Table: storage.Control, Key: shardRow, Revision: row.Revision}},
			Puts:       []storage.Put{{Table: storage.Control, Key: shardRow, Value: value}},
		}, func(now time.Duration, r storage.WriteResult) []effect.Effect {
			if r.Outcome != storage.Committed {
				return nil
			}
			return n.m.Require(now, r.Revisions[storage.Control])
		})
		return nil
	})
}

// holds says whether the node's replica names it as the only holder, and returns
// the revision of the shard's row.
func (n *simNode) holds() (storage.Revision, bool) {
	row, ok := n.log.Row(shardRow)
	holders := n.log.Shard("s").Holders
	return row.Revision, ok && len(holders) == 1 && holders[0].Instance == n.id
}

// actsAsHolder says whether the node currently uses the shard's parts.
func (n *simNode) actsAsHolder(now time.Duration) bool {
	rev, holds := n.holds()
	return holds && n.m.Confirmation(now).State != CutOff && n.m.InForce(now, rev)
}

// checkInvariants records violations of the safety invariants: replicas never revert, at
// most one holder acts, and no node acts on a revision older than the one in force.
func (s *sim) checkInvariants() {
	var acting []string
	for _, n := range s.nodes {
		if n == nil || n.dead || s.now < n.frozenUntil {
			continue
		}
		now := n.clock(s.now)
		if n.m.InForce(now, 0); n.m.inForce.revision > s.inForce {
			s.inForce = n.m.inForce.revision
		}
		if n.actsAsHolder(now) {
			acting = append(acting, n.id)
		}
		if n.log.Revision() < n.revision {
			s.fail("%s reverted from revision %d to %d", n.id, n.revision, n.log.Revision())
		}
		n.revision = n.log.Revision()
	}
	s.actingChecks += min(len(acting), 1)
	if len(acting) > 1 {
		s.fail("more than one holder acts: %v", acting)
	}
	for _, n := range s.nodes {
		if n == nil || n.dead || s.now < n.frozenUntil {
			continue
		}
		c := n.m.Confirmation(n.clock(s.now))
		s.states[c.State]++
		if c.State != CutOff && c.Revision < s.inForce {
			s.fail("%s acts on revision %d (%v, age %v) while %d is in force", n.id, c.Revision, c.State, c.Age, s.inForce)
		}
	}
}

func (s *sim) fail(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf("at %v: ", s.now)+fmt.Sprintf(format, args...))
}
