package node

import (
	"encoding/gob"

	"foxtailspoke/health"
	"foxtailspoke/membership"
	"foxtailspoke/quota"
)

// PeerRequest is a call from one entry instance to another. Exactly one field
// is set.
type PeerRequest struct {
	Member *membership.Request
	Ask    *quota.Ask
	Report *health.Report
	// Settlement needs no reply.
	Settlement *quota.Settlement
}

// PeerReply answers a PeerRequest. The field that corresponds to the request's
// field is set.
type PeerReply struct {
	Member   *membership.Reply
	Transfer *quota.Transfer
	Advice   *Advice
}

// Advice is a collector's answer to a health report.
type Advice struct {
	Service  string
	Suspects []health.Suspect
}

func init() {
	gob.Register(PeerRequest{})
	gob.Register(PeerReply{})
}

func memberRequest(r any) PeerRequest {
	request, ok := r.(membership.Request)
	if !ok {
		panic("node: membership call without a membership.Request")
	}
	return PeerRequest{Member: &request}
}

func (n *Node) handleCall(e Called) {
	reply, ok := n.replyTo(e)
	n.emit(ReplyCall{Token: e.Token, Reply: reply, OK: ok})
}

func (n *Node) replyTo(e Called) (PeerReply, bool) {
	switch {
	case e.Request.Member != nil:
		reply := n.member.Handle(n.now, e.From, *e.Request.Member)
		n.applyUpdates()
		return PeerReply{Member: &reply}, true
	case e.Request.Ask != nil:
		transfer, ok := n.handleTokenAsk(*e.Request.Ask)
		return PeerReply{Transfer: &transfer}, ok
	case e.Request.Settlement != nil:
		n.handleSettlement(*e.Request.Settlement)
		return PeerReply{}, true
	case e.Request.Report != nil:
		suspects := n.collector.Accept(n.now, e.From, *e.Request.Report)
		n.unadvertiseFaultyReporter(e.From, e.Request.Report.Service)
		n.recordFailures(*e.Request.Report)
		return PeerReply{Advice: &Advice{Service: e.Request.Report.Service, Suspects: suspects}}, true
	}
	return PeerReply{}, false
}

func (n *Node) handleCallEnded(e CallEnded) {
	p, ok := n.takePending(e.ID)
	if !ok {
		return
	}
	switch p.owner {
	case ownerMember:
		reply := membership.Reply{}
		answered := e.OK && e.Reply.Member != nil
		if answered {
			reply = *e.Reply.Member
		}
		n.emitMemberEffects(n.member.CallDone(n.now, p.id, reply, answered))
		n.applyUpdates()
	case ownerTokens:
		n.handleTokenReply(p.subject, p.id, e.Reply.Transfer, e.OK)
	case ownerSettlement:
	case ownerReport:
		if e.OK && e.Reply.Advice != nil {
			n.observer.ApplyAdvice(n.now, e.Reply.Advice.Service, e.Reply.Advice.Suspects)
		}
	default:
		panic("node: call ended for a component that makes no calls")
	}
}
