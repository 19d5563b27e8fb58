package claim

// PeerState is what an instance knows of another one that it would need.
type PeerState int

const (
	// PeerLive means that the other instance can be asked.
	PeerLive PeerState = iota
	// PeerUnreachable means that it doesn't answer, but may still run.
	PeerUnreachable
	// PeerEnded means that it is gone for good.
	PeerEnded
)

// RouteToMinter decides about an operation key that another instance minted.
// forward is true if the request is to be sent to the minter; otherwise the
// decision is final. No instance but the minter ever runs the operation, also
// when the minter has ended: it may have run it just before.
func RouteToMinter(k OperationKey, minter PeerState) (d Decision, forward bool) {
	switch minter {
	case PeerLive:
		return Decision{}, true
	default:
		return Decision{Verdict: UnknownOutcome, Reason: MinterUnavailable, Owner: k.Minter}, false
	}
}

// ForwardFailed decides about a request that was forwarded to the minter and
// brought no answer. Whether the minter got it isn't known. Forwarding may be
// repeated before that as long as the deadline allows: the minter runs a key
// once, and tells a repeat how the first one ended.
func ForwardFailed(k OperationKey) Decision {
	return Decision{Verdict: UnknownOutcome, Reason: MinterUnavailable, Owner: k.Minter}
}
