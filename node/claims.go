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
	// claimRetention is how long the row of a key chosen by a caller is kept.
	claimRetention = 24 * time.Hour
	// pruneInterval is the time between two reads of the claims table for
	// expired rows; each read covers one of pruneSlices key ranges.
	pruneInterval = 10 * time.Second
	pruneSlices   = 256
	// pruneLimit is the maximum number of rows deleted in one transaction.
	pruneLimit = 200
	// pruneSubject identifies the reads and writes that delete expired claims.
	pruneSubject = "prune"
	// abandonedInterval is the time between two checks of the claims that this
	// instance abandoned without knowing whether the write was committed.
	abandonedInterval = 5 * time.Second
	// abandonedLimit is the maximum number of claims read in one check.
	abandonedLimit = 8
)

// pruning schedules the deletion of expired and abandoned claims.
type pruning struct {
	nextPrune          time.Duration
	nextAbandonedCheck time.Duration
	slice              int
	retention          *claim.RetentionTracker
}

// runClaimStep carries out the next step of the claim for a key chosen by a caller.
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

// readExpiredClaims periodically reads one key range of the claims table, on the
// instance that ranks first as the claim pruner.
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

// readAbandonedClaims reads the rows of claims that were abandoned because the
// table did not answer. A claim that was committed after all is deleted:
// otherwise every instance would answer "in progress" for an operation that no
// instance runs.
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

// deleteClaims deletes rows that are no longer needed. If the write fails, a later
// check repeats it.
func (n *Node) deleteClaims(txn storage.Txn) {
	n.emit(n.trackEffect(pendingEffect{owner: ownerClaim, subject: pruneSubject}, effect.WriteTable{Txn: txn}))
}
