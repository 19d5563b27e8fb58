package node

import (
	"fmt"
	"strings"
	"time"

	"foxtailspoke/claim"
	"foxtailspoke/effect"
	"foxtailspoke/membership"
	"foxtailspoke/storage"
)

const (
	// claimRetention is how long the row of a caller-made key is kept.
	claimRetention = 24 * time.Hour
	// pruneInterval is the time between two reads of the claims table for old
	// rows; each covers one of pruneSlices slices of it.
	pruneInterval = 10 * time.Second
	pruneSlices   = 256
	// pruneLimit bounds the rows deleted at once.
	pruneLimit = 200
	// pruneSubject marks the reads and writes of pruning.
	pruneSubject = "prune"
	// abandonedInterval is the time between two looks at claims that this instance
	// gave up without knowing whether they took effect.
	abandonedInterval = 5 * time.Second
	// abandonedLimit bounds the claims looked at each time.
	abandonedLimit = 8
)

// pruning is the state of deleting old claims.
type pruning struct {
	nextPrune          time.Duration
	nextAbandonedCheck time.Duration
	slice              int
	retention          *claim.RetentionTracker
}

// runClaimStep does what comes next for a caller-made key.
func (n *Node) runClaimStep(id claim.ID, request string, s claim.Step) {
	p := pendingEffect{owner: ownerClaim, id: uint64(id), subject: request}
	switch {
	case s.Decision != nil:
		n.handleClaimDecision(id, request, *s.Decision)
	case s.Write != nil && s.Delay > 0:
		write := effect.WriteTable{Txn: *s.Write}
		n.timers.add(n.now+s.Delay, func() { n.emit(n.trackEffect(p, write)) })
	case s.Write != nil:
		n.emit(n.trackEffect(p, effect.WriteTable{Txn: *s.Write}))
	case s.Read != nil:
		n.emit(n.trackEffect(p, effect.ReadTable{Read: *s.Read}))
	}
}

func (n *Node) handleClaimDecision(id claim.ID, request string, d claim.Decision) {
	r, waiting := n.requests[request]
	switch {
	case d.Verdict == claim.Run && !waiting:
		n.runClaimStep(id, "", n.claimer.Finish(id, claim.NotRun, nil))
	case d.Verdict == claim.Run:
		r.operation = &operation{claim: id}
		n.resume(r)
	case waiting:
		n.answerDuplicate(r, claim.ResolveInProgress(d, n.peerState(d.Owner)))
	}
}

func (n *Node) peerState(id string) claim.PeerState {
	i, ok := n.member.Directory().Instance(id)
	if !ok || i.State == storage.Ended {
		return claim.PeerEnded
	}
	return claim.PeerLive
}

func (n *Node) handleClaimRead(p pendingEffect, e TableRead) {
	if e.OK {
		n.pruning.retention.Observe(n.now, e.Changes.Revision)
	}
	switch {
	case p.subject == pruneSubject:
		n.deleteExpiredClaims(e)
	case strings.HasPrefix(p.subject, claim.RowPrefix):
		n.releaseAbandonedClaim(p.subject, e)
	case e.OK:
		n.runClaimStep(claim.ID(p.id), p.subject, n.claimer.HandleReadResult(claim.ID(p.id), e.Changes))
	default:
		n.runClaimStep(claim.ID(p.id), p.subject, n.claimer.HandleReadFailure(claim.ID(p.id)))
	}
}

func (n *Node) handleClaimWrite(p pendingEffect, r storage.WriteResult) {
	if p.subject != pruneSubject {
		n.runClaimStep(claim.ID(p.id), p.subject, n.claimer.HandleWriteResult(claim.ID(p.id), r))
	}
}

// readExpiredClaims reads one slice of the claims table now and then, if this
// instance is the one that does so.
func (n *Node) readExpiredClaims() {
	if n.now < n.pruning.nextPrune || n.member.Confirmation(n.now).State != membership.ConfirmedByTable {
		return
	}
	n.pruning.nextPrune = n.now + pruneInterval
	if membership.TopRanked("claim-pruner", n.entryIDs()) != n.settings.Self.ID {
		return
	}
	prefix := fmt.Sprintf("%s%02x", claim.RowPrefix, n.pruning.slice)
	n.pruning.slice = (n.pruning.slice + 1) % pruneSlices
	read := storage.ReadRequest{Table: storage.Claims, Prefix: prefix}
	n.emit(n.trackEffect(pendingEffect{owner: ownerClaim, subject: pruneSubject}, effect.ReadTable{Read: read}))
}

func (n *Node) deleteExpiredClaims(e TableRead) {
	if !e.OK {
		return
	}
	if txn, some := n.claimer.Prune(e.Changes.Rows, n.pruning.retention.ExpiredRevision(n.now), pruneLimit); some {
		n.deleteClaims(txn)
	}
}

// readAbandonedClaims reads the rows of claims that were given up while
// the table didn't answer. One that took effect late is deleted: it would make
// every instance say "in progress" of an operation that nobody runs.
func (n *Node) readAbandonedClaims() {
	if n.now < n.pruning.nextAbandonedCheck || n.member.Confirmation(n.now).State != membership.ConfirmedByTable {
		return
	}
	n.pruning.nextAbandonedCheck = n.now + abandonedInterval
	for _, key := range n.claimer.AbandonedKeys(abandonedLimit) {
		read := storage.ReadRequest{Table: storage.Claims, Prefix: key}
		n.emit(n.trackEffect(pendingEffect{owner: ownerClaim, subject: key}, effect.ReadTable{Read: read}))
	}
}

func (n *Node) releaseAbandonedClaim(key string, e TableRead) {
	if !e.OK {
		return
	}
	if txn, some := n.claimer.ReleaseAbandoned(key, e.Changes); some {
		n.deleteClaims(txn)
	}
}

// deleteClaims deletes rows that nobody needs. If it fails, a later look repeats it.
func (n *Node) deleteClaims(txn storage.Txn) {
	n.emit(n.trackEffect(pendingEffect{owner: ownerClaim, subject: pruneSubject}, effect.WriteTable{Txn: txn}))
}
