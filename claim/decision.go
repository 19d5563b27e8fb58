package claim

import "crypto/sha256"

// Verdict tells how to handle a request that carries a key.
type Verdict int

const (
	// Run means that the request is to be sent to a backend server and its
	// outcome to be reported with Finish.
	Run Verdict = iota + 1
	// InProgress means that an earlier request with the key is still running.
	InProgress
	// Replay means that the operation ran and its response is in Answer.
	Replay
	// RanAlready means that the operation ran and its response was not kept.
	RanAlready
	// UnknownOutcome means that an earlier request with the key may have
	// run and that this cannot be determined.
	UnknownOutcome
	// Refused means that the request is not run, for the given Reason.
	Refused
)

// Reason explains a Refused or UnknownOutcome verdict.
type Reason int

const (
	// NoReason accompanies all other verdicts.
	NoReason Reason = iota
	// Malformed means that the text is not an operation key.
	Malformed
	// Forged means that the MAC does not match.
	Forged
	// WorkspaceMismatch means that the key was minted for another workspace.
	WorkspaceMismatch
	// MinterMismatch means that another instance minted the key.
	MinterMismatch
	// Expired means that the key's time for a first run is over.
	Expired
	// RequestMismatch means that the key was used for a different request.
	RequestMismatch
	// CapacityReached means that this instance tracks as many operations as
	// its settings allow.
	CapacityReached
	// StoreUnavailable means that the claims table cannot be reached.
	StoreUnavailable
	// MinterUnavailable means that the instance that minted the key has ended
	// or cannot be reached.
	MinterUnavailable
	// ClaimerUnavailable means that the instance that claimed the key has
	// ended or cannot be reached.
	ClaimerUnavailable
	// OutcomeLost means that the operation may have been sent and its outcome
	// is not known.
	OutcomeLost
)

// Decision is a verdict with the details that may be returned to the caller.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// NeverRan means that no request with this key has run at a backend
	// server. A refusal without it states only that this request was not
	// sent; an earlier one may have been.
	NeverRan bool
	// Answer is the stored response; set with Replay.
	Answer *Answer
	// Owner is the incarnation id of the instance that minted or claimed the
	// key, with InProgress, MinterUnavailable and ClaimerUnavailable.
	Owner string
}

// Answer is the part of a backend server's response that is stored for repeats.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// size returns the bytes that count towards MaxAnswerBytes.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	return len(a.Body) + len(a.ContentType)
}

// Outcome is the result of an operation after the verdict Run.
type Outcome int

const (
	// Ran means that the backend server responded.
	Ran Outcome = iota + 1
	// NotRun means that provably no backend server ran the operation.
	NotRun
	// Unknown means that the operation may have run: the response was lost,
	// truncated or late.
	Unknown
)

// Digest is the SHA-256 hash of a request's method, path and body, by which a
// repeat is told from a different request. The caller of this package computes
// it.
type Digest [sha256.Size]byte
