package node

import "foxtailspoke/effect"

// Effect is an action that the driver must carry out: Relay, Refuse, Repeat,
// StartAttempt, CancelAttempt, StartProbe, ReplyCall, Located, Recorded, Noted,
// or a type of package effect with an ID that is unique within the node.
type Effect any

// component identifies the part of the node that handles an effect's result.
type component int

const (
	ownerMember component = iota
	ownerShard
	ownerPermits
	ownerTokens
	ownerSettlement
	ownerReport
	ownerClaim
	ownerUnadvertised
)

// pendingEffect is an effect whose result is outstanding.
type pendingEffect struct {
	owner component
	// id is the effect's ID within the owner.
	id uint64
	// subject is a shard, service or request, depending on the owner.
	subject string
}

// trackEffect assigns an effect its node-wide ID and records it as pending.
func (n *Node) trackEffect(p pendingEffect, e effect.Effect) Effect {
	n.lastEffect++
	id := n.lastEffect
	n.pending[id] = p
	switch e := e.(type) {
	case effect.Call:
		e.ID = id
		return e
	case effect.ReadTable:
		e.ID = id
		return e
	case effect.WriteTable:
		e.ID = id
		return e
	case effect.ReadInstances:
		e.ID = id
		return e
	}
	panic("node: unknown effect type")
}

// takePending removes and returns the pending effect with the given ID.
func (n *Node) takePending(id uint64) (pendingEffect, bool) {
	p, ok := n.pending[id]
	delete(n.pending, id)
	return p, ok
}

// emitMemberEffects emits the membership's effects under node-wide IDs.
func (n *Node) emitMemberEffects(effects []effect.Effect) {
	for _, e := range effects {
		p := pendingEffect{owner: ownerMember}
		switch e := e.(type) {
		case effect.Call:
			p.id = e.ID
			e.Request = memberRequest(e.Request)
			n.emit(n.trackEffect(p, e))
		case effect.ReadTable:
			p.id = e.ID
			n.emit(n.trackEffect(p, e))
		case effect.WriteTable:
			p.id = e.ID
			n.emit(n.trackEffect(p, e))
		case effect.ReadInstances:
			p.id = e.ID
			n.emit(n.trackEffect(p, e))
		}
	}
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }
