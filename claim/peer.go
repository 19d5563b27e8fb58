package claim

// PeerState is another instance's state as known to this instance.
type PeerState int

const (
	// PeerLive means that requests can be forwarded to the instance.
	PeerLive PeerState = iota
	// PeerUnreachable means that the instance does not respond but may still
	// be running.
	PeerUnreachable
	// PeerEnded means that the instance has ended; its id is never reused.
	PeerEnded
)

// RouteToMinter decides on a request whose operation key another instance minted.
// forward is true if the request is to be sent to the minter; otherwise the
// decision is final. Only the minter runs the operation, even after it has ended:
// it may have run the operation just before.
func RouteToMinter(k OperationKey, minter PeerState) (d Decision, forward bool) {
	switch minter {
	case PeerLive:
		return Decision{}, true
	default:
		return Decision{Verdict: UnknownOutcome, Reason: MinterUnavailable, Owner: k.Minter}, false
	}
}

// ForwardFailed decides on a request that was forwarded to the minter without
// response; whether the minter received it is not known. Forwarding may be retried
// before that within the deadline, because the minter runs a key once and answers
// a repeat with the outcome of the first request.
func ForwardFailed(k OperationKey) Decision {
	return Decision{Verdict: UnknownOutcome, Reason: MinterUnavailable, Owner: k.Minter}
}
