package claim

import (
	"time"

	"foxtailspoke/storage"
)

// ClaimerSettings bounds the work and memory of an instance for caller-supplied
// keys.
type ClaimerSettings struct {
	// MaxOpen bounds the claims that are being written or whose operation runs.
	MaxOpen int
	// MaxAnswerBytes bounds the response that is stored in the row.
	MaxAnswerBytes int
	// MaxRemembered bounds separately the attempts known not to have run, the
	// abandoned claims, and the outcomes that could not be written to their row.
	MaxRemembered int
	// FinishRetry is the delay before the first retry of writing an outcome;
	// it doubles with each retry.
	FinishRetry time.Duration
}

// DefaultClaimerSettings returns settings for rows of a few kilobytes.
func DefaultClaimerSettings() ClaimerSettings {
	return ClaimerSettings{
		MaxOpen:        1000,
		MaxAnswerBytes: 4 << 10,
		MaxRemembered:  1000,
		FinishRetry:    time.Second,
	}
}

const (
	// maxInsertSends is the number of times that a claim sends an insertion.
	maxInsertSends = 2
	// maxFinishSends is the number of times that an outcome is sent.
	maxFinishSends = 6
)

// ID identifies a claim within one Claimer.
type ID uint64

// Step is the next step of a claim: exactly one of Decision, Write and Read, or
// none of them when the claim has ended.
type Step struct {
	Decision *Decision
	// Write is to be sent once; its result is passed to HandleWriteResult.
	Write *storage.Txn
	// Delay is the time to wait before sending Write.
	Delay time.Duration
	// Read's result is passed to HandleReadResult or HandleReadFailure.
	Read *storage.ReadRequest
}

func decisionStep(d Decision) Step { return Step{Decision: &d} }

// Claimer claims caller-supplied keys in the claims table. It is a state machine
// without I/O: its methods return the reads and writes to perform.
type Claimer struct {
	self         string
	settings     ClaimerSettings
	lastID       ID
	attemptCount uint64
	open         map[ID]*claim
	byKey        map[string]*claim
	// notRun holds the attempts of this instance that never ran an operation.
	// A row of such an attempt may be taken over.
	notRun *boundedMap[string, struct{}]
	// abandoned holds the keys of rows that may hold such an attempt.
	abandoned *boundedMap[string, struct{}]
	// unrecorded holds the outcomes whose row may still say "started".
	unrecorded *boundedMap[string, completion]
}

// phase is the state of a claim.
type phase int

const (
	inserting phase = iota
	resolving
	running
	finishing
)

// claim is a caller-supplied key that this instance is processing.
type claim struct {
	id     ID
	key    string
	digest Digest
	phase  phase
	// cancelled claims are not run, even if their insertion succeeds.
	cancelled   bool
	insertTxn   storage.Txn
	insertSends int
	// revision is that of the row that this claim holds.
	revision    storage.Revision
	finishTxn   storage.Txn
	finishSends int
	completion  completion
}

type completion struct {
	digest  Digest
	outcome Outcome
	answer  *Answer
}

// NewClaimer returns a claimer without claims. self is the incarnation id of this
// instance.
func NewClaimer(self string, s ClaimerSettings) *Claimer {
	return &Claimer{
		self:       self,
		settings:   s,
		open:       map[ID]*claim{},
		byKey:      map[string]*claim{},
		notRun:     newBoundedMap[string, struct{}](s.MaxRemembered),
		abandoned:  newBoundedMap[string, struct{}](s.MaxRemembered),
		unrecorded: newBoundedMap[string, completion](s.MaxRemembered),
	}
}

// Begin starts to claim a key for a request. The ID is 0 if the returned step is
// a decision.
func (c *Claimer) Begin(workspace, key string, d Digest) (ID, Step) {
	rowKey := RowKey(workspace, key)
	if other := c.byKey[rowKey]; other != nil {
		return 0, decisionStep(c.decideLocal(other, d))
	}
	if f, ok := c.unrecorded.get(rowKey); ok {
		return 0, decisionStep(f.decision(d))
	}
	if len(c.open) >= c.settings.MaxOpen {
		return 0, decisionStep(Decision{Verdict: Refused, Reason: CapacityReached})
	}
	c.lastID++
	cl := &claim{id: c.lastID, key: rowKey, digest: d}
	c.open[cl.id] = cl
	c.byKey[rowKey] = cl
	return cl.id, c.sendInsert(cl, 0)
}

// decideLocal decides on a repeat of a request that this instance is processing.
func (c *Claimer) decideLocal(cl *claim, d Digest) Decision {
	if cl.digest != d {
		return Decision{Verdict: Refused, Reason: RequestMismatch}
	}
	if cl.phase != finishing || cl.completion.outcome == NotRun {
		return Decision{Verdict: InProgress, Owner: c.self}
	}
	return cl.completion.decision(d)
}

func (done completion) decision(d Digest) Decision {
	switch {
	case done.digest != d:
		return Decision{Verdict: Refused, Reason: RequestMismatch}
	case done.outcome == Ran && done.answer != nil:
		return Decision{Verdict: Replay, Answer: done.answer}
	case done.outcome == Ran:
		return Decision{Verdict: RanAlready}
	default:
		return Decision{Verdict: UnknownOutcome, Reason: OutcomeLost}
	}
}

// Cancel cancels a claim whose request's deadline has expired. It has no effect
// after Run; the outcome is then reported with Finish.
func (c *Claimer) Cancel(id ID) {
	if cl := c.open[id]; cl != nil && cl.phase < running {
		cl.cancelled = true
	}
}

// OpenCount returns the number of open claims, for metrics.
func (c *Claimer) OpenCount() int { return len(c.open) }
