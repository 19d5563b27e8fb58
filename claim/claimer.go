package claim

import (
	"time"

	"foxtailspoke/storage"
)

// ClaimerSettings bound what an instance does and remembers for caller-made
// keys.
type ClaimerSettings struct {
	// MaxOpen bounds the claims that are being written or run.
	MaxOpen int
	// MaxAnswerBytes bounds an answer that is kept in the row.
	MaxAnswerBytes int
	// MaxRemembered bounds the attempts known not to have run, and the ended
	// operations whose row couldn't be brought up to date.
	MaxRemembered int
	// FinishRetry is the first wait before an end is written again; it
	// doubles with each try.
	FinishRetry time.Duration
}

// DefaultClaimerSettings suit rows of a few kilobytes.
func DefaultClaimerSettings() ClaimerSettings {
	return ClaimerSettings{
		MaxOpen:        1000,
		MaxAnswerBytes: 4 << 10,
		MaxRemembered:  1000,
		FinishRetry:    time.Second,
	}
}

const (
	// maxInsertSends is how often one insertion is sent.
	maxInsertSends = 2
	// maxFinishSends is how often the end of one operation is sent.
	maxFinishSends = 6
)

// ID names a claim among those of one Claimer.
type ID uint64

// Step is what comes next for a claim: exactly one of Decision, Write and
// Read, or nothing when the claim is over.
type Step struct {
	Decision *Decision
	// Write is to be sent once; its result goes to Written.
	Write *storage.Txn
	// Delay is how long to wait before Write is sent.
	Delay time.Duration
	// Read's result goes to Answered or Unanswered.
	Read *storage.ReadRequest
}

func decisionStep(d Decision) Step { return Step{Decision: &d} }

// Claimer claims caller-made keys in the claims table.
type Claimer struct {
	self         string
	settings     ClaimerSettings
	lastID       ID
	attemptCount uint64
	open         map[ID]*claim
	byKey        map[string]*claim
	// notRun has the attempts of this instance that never ran anything. A
	// row of such an attempt may be taken over.
	notRun *boundedMap[string, struct{}]
	// abandoned has the row keys that may yet hold such an attempt.
	abandoned *boundedMap[string, struct{}]
	// unrecorded has the outcomes whose row still says "started".
	unrecorded *boundedMap[string, completion]
}

// phase is how far a claim has come.
type phase int

const (
	inserting phase = iota
	resolving
	running
	finishing
)

// claim is one caller-made key while this instance works on it.
type claim struct {
	id     ID
	key    string
	digest Digest
	phase  phase
	// cancelled claims aren't run, even if their insertion succeeds.
	cancelled   bool
	insert      storage.Txn
	insertSends int
	// revision of the row that this claim holds.
	revision    storage.Revision
	finish      storage.Txn
	finishSends int
	completion  completion
}

type completion struct {
	digest  Digest
	outcome Outcome
	answer  *Answer
}

// NewClaimer returns a claimer without claims. self is the incarnation id.
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

// Begin starts to claim a key for a request.
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

// decideLocal decides about a key that this instance is already working on.
func (c *Claimer) decideLocal(cl *claim, d Digest) Decision {
	if cl.digest != d {
		return Decision{Verdict: Refused, Reason: RequestMismatch}
	}
	if cl.phase != finishing || cl.completion.outcome == NotRun {
		return Decision{Verdict: InProgress, Owner: c.self}
	}
	return cl.completion.decision(d)
}

func (f completion) decision(d Digest) Decision {
	switch {
	case f.digest != d:
		return Decision{Verdict: Refused, Reason: RequestMismatch}
	case f.outcome == Ran && f.answer != nil:
		return Decision{Verdict: Replay, Answer: f.answer}
	case f.outcome == Ran:
		return Decision{Verdict: RanAlready}
	default:
		return Decision{Verdict: UnknownOutcome, Reason: OutcomeLost}
	}
}

// Cancel says that the request isn't wanted any more, because its deadline
// is over. It has no effect after Run, whose end goes to Finish.
func (c *Claimer) Cancel(id ID) {
	if cl := c.open[id]; cl != nil && cl.phase < running {
		cl.cancelled = true
	}
}

// OpenCount returns how many claims are being worked on, for metrics.
func (c *Claimer) OpenCount() int { return len(c.open) }
