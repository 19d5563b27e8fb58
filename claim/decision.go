package claim

import "crypto/sha256"

// Verdict is what to do with a request that carries a key.
type Verdict int

const (
	// Run means that this request is to be sent to a backend server, and
	// its end to be reported.
	Run Verdict = iota + 1
	// InProgress means that an earlier request with the key is running.
	InProgress
	// Replay means that the operation ran; its answer comes along.
	Replay
	// RanAlready means that the operation ran; its answer isn't kept.
	RanAlready
	// UnknownOutcome means that an earlier request with the key may have
	// run, and nobody can know.
	UnknownOutcome
	// Refused means that this request isn't run, for the Reason.
	Refused
)

// Reason tells why a request was refused, or why an outcome is unknown.
type Reason int

const (
	// NoReason goes with the verdicts that speak for themselves.
	NoReason Reason = iota
	// Malformed keys aren't operation keys at all.
	Malformed
	// Forged keys have a wrong MAC.
	Forged
	// WorkspaceMismatch means that the key was minted for another workspace.
	WorkspaceMismatch
	// MinterMismatch means that another instance minted the key.
	MinterMismatch
	// Expired keys are never run.
	Expired
	// RequestMismatch means that the key was used for a different request.
	RequestMismatch
	// CapacityReached means that this instance remembers too many operations.
	CapacityReached
	// StoreUnavailable means that the claims table can't be reached.
	StoreUnavailable
	// MinterUnavailable means that the instance that minted the key has ended.
	MinterUnavailable
	// ClaimerUnavailable means that the instance that claimed the key has ended
	// or can't be reached.
	ClaimerUnavailable
	// OutcomeLost means that the operation was sent and its end isn't known.
	OutcomeLost
)

// Decision is a verdict with what a caller may be told.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// NeverRan means that no request with this key was ever sent to a
	// backend server. Where it is false in a refusal, only this one wasn't,
	// and an earlier one may have been.
	NeverRan bool
	// Answer is set with Replay.
	Answer *Answer
	// Owner is the instance that has the operation, with InProgress.
	Owner string
}

// Answer is a backend server's answer as far as it is kept for repeats.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// size is what an answer counts for in a bound on memory.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	return len(a.Body) + len(a.ContentType)
}

// Outcome is how an operation that was run ended.
type Outcome int

const (
	// Ran means that the backend server answered.
	Ran Outcome = iota + 1
	// NotRun means that it was proved that no backend server ran it.
	NotRun
	// Unknown means that it may have run: an answer was lost, cut or late.
	Unknown
)

// Digest is the SHA-256 of what makes a request the same when it is repeated:
// method, path and body. The caller of this package computes it.
type Digest [sha256.Size]byte
