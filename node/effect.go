package node

import "foxtailspoke/effect"

// Effect is what a step asks the driver to do: Relay, Refuse, Repeat,
// StartAttempt, CancelAttempt, StartProbe, ReplyCall, Located, Recorded,
// Noted, or one of package effect with ids that are unique in the node.
type Effect any

// component is the part of the node that an effect's answer belongs to.
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

// pendingEffect is an effect whose answer is awaited.
type pendingEffect struct {
	owner component
	// id is the effect's id within the owner.
	id uint64
	// subject is a shard, a service or a request, by owner.
	subject string
}

// trackEffect gives an effect of a part its id in the node.
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
	panic("node: effect of unknown type")
}

// takePending removes and returns what an answer belongs to.
func (n *Node) takePending(id uint64) (pendingEffect, bool) {
	p, ok := n.pending[id]
	delete(n.pending, id)
	return p, ok
}

// emitMemberEffects passes the membership's effects on.
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
