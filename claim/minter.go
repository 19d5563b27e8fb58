package claim

import (
	"crypto/hmac"
	"time"
)

// Settings bound what an instance remembers of operations.
type Settings struct {
	// KeyTime is how long an operation key may be used for a first run.
	KeyTime time.Duration
	// KeepTime is how long after a key's expiry its operation is remembered.
	KeepTime time.Duration
	// MaxOperations bounds the operations remembered. Beyond it, operations
	// are refused rather than forgotten.
	MaxOperations int
	// MaxAnswerBytes bounds the stored answers; the oldest go first.
	MaxAnswerBytes int
}

// DefaultSettings keep a key usable for as long as callers keep an answer of
// locate, and a little over.
func DefaultSettings() Settings {
	return Settings{
		KeyTime:        10 * time.Minute,
		KeepTime:       20 * time.Minute,
		MaxOperations:  100_000,
		MaxAnswerBytes: 16 << 20,
	}
}

// Minter makes operation keys and decides about requests that carry them.
type Minter struct {
	instance   string
	secret     []byte
	settings   Settings
	lastNumber uint64
	// operations are those begun, by number.
	operations map[uint64]*operation
	// expiryQueue has the numbers by time of forgetting, oldest first.
	expiryQueue []expiryEntry
	// answerQueue has the numbers with a stored answer, oldest first.
	answerQueue []uint64
	answerBytes int
}

// operation is one that was begun.
type operation struct {
	digest  Digest
	running bool
	// outcome is set once it isn't running any more.
	outcome Outcome
	answer  *Answer
}

type expiryEntry struct {
	number uint64
	at     time.Duration
}

// NewMinter returns a minter without operations. The secret is random, kept
// in memory only, and never used by another incarnation.
func NewMinter(instance string, secret []byte, s Settings) *Minter {
	return &Minter{
		instance:   instance,
		secret:     secret,
		settings:   s,
		operations: map[uint64]*operation{},
	}
}

// Mint returns a new operation key for a workspace. A key that isn't used
// costs no memory.
func (m *Minter) Mint(now time.Duration, workspace string) string {
	m.lastNumber++
	k := OperationKey{
		Minter:  m.instance,
		Number:  m.lastNumber,
		Expires: now + m.settings.KeyTime,
		tag:     workspaceTag(m.secret, workspace),
	}
	k.mac = keyMAC(m.secret, k.signedPart())
	return k.String()
}

// Begin decides about a request that carries a key of this minter.
func (m *Minter) Begin(now time.Duration, workspace string, k OperationKey, d Digest) Decision {
	m.evictExpired(now)
	if reason := m.verify(workspace, k); reason != NoReason {
		// Such a key never ran and never will.
		return Decision{Verdict: Refused, Reason: reason, NeverRan: reason != MinterMismatch}
	}
	if op, ok := m.operations[k.Number]; ok {
		return m.decideRepeat(now, k, op, d)
	}
	if now >= k.Expires {
		return m.decideExpired(now, k)
	}
	if len(m.operations) >= m.settings.MaxOperations {
		return Decision{Verdict: Refused, Reason: CapacityReached, NeverRan: true}
	}
	m.operations[k.Number] = &operation{digest: d, running: true}
	m.expiryQueue = append(m.expiryQueue, expiryEntry{number: k.Number, at: k.Expires + m.settings.KeepTime})
	return Decision{Verdict: Run}
}

// verify tells why a key isn't genuine for the workspace.
func (m *Minter) verify(workspace string, k OperationKey) Reason {
	if k.Minter != m.instance {
		return MinterMismatch
	}
	if !hmac.Equal([]byte(k.mac), []byte(keyMAC(m.secret, k.signedPart()))) {
		return Forged
	}
	if !hmac.Equal([]byte(k.tag), []byte(workspaceTag(m.secret, workspace))) {
		return WorkspaceMismatch
	}
	return NoReason
}

// decideRepeat decides about a key whose operation is remembered.
func (m *Minter) decideRepeat(now time.Duration, k OperationKey, op *operation, d Digest) Decision {
	if op.digest != d {
		return Decision{Verdict: Refused, Reason: RequestMismatch}
	}
	if op.running {
		return Decision{Verdict: InProgress, Owner: m.instance}
	}
	switch op.outcome {
	case NotRun:
		if now >= k.Expires {
			return Decision{Verdict: Refused, Reason: Expired, NeverRan: true}
		}
		op.running = true
		return Decision{Verdict: Run}
	case Ran:
		if op.answer != nil {
			return Decision{Verdict: Replay, Answer: op.answer}
		}
		return Decision{Verdict: RanAlready}
	default:
		return Decision{Verdict: UnknownOutcome, Reason: OutcomeLost}
	}
}

// decideExpired decides about a key that is too old and not remembered. While its
// operation would still be remembered, it can't have run. After that nobody
// knows: "not run" would be false for an operation that was forgotten.
func (m *Minter) decideExpired(now time.Duration, k OperationKey) Decision {
	if now < k.Expires+m.settings.KeepTime {
		return Decision{Verdict: Refused, Reason: Expired, NeverRan: true}
	}
	return Decision{Verdict: UnknownOutcome, Reason: Expired}
}

// Finish reports the end of an operation after Run.
func (m *Minter) Finish(now time.Duration, k OperationKey, o Outcome, a *Answer) {
	m.evictExpired(now)
	op := m.operations[k.Number]
	if op == nil || !op.running {
		return
	}
	op.running = false
	op.outcome = o
	if o == Ran && a != nil {
		m.storeAnswer(k.Number, op, a)
	}
}

// storeAnswer keeps an answer and drops the oldest ones beyond the bound.
func (m *Minter) storeAnswer(number uint64, op *operation, a *Answer) {
	if a.size() > m.settings.MaxAnswerBytes {
		return
	}
	op.answer = a
	m.answerQueue = append(m.answerQueue, number)
	m.answerBytes += a.size()
	for m.answerBytes > m.settings.MaxAnswerBytes {
		m.dropOldestAnswer()
	}
}

func (m *Minter) dropOldestAnswer() {
	op := m.operations[m.answerQueue[0]]
	m.answerQueue = m.answerQueue[1:]
	if op == nil || op.answer == nil {
		return
	}
	m.answerBytes -= op.answer.size()
	op.answer = nil
}

// evictExpired drops the operations whose keys can't run any more, and only these:
// an operation that is forgotten earlier would run a second time.
func (m *Minter) evictExpired(now time.Duration) {
	for len(m.expiryQueue) > 0 && m.expiryQueue[0].at <= now {
		number := m.expiryQueue[0].number
		m.expiryQueue = m.expiryQueue[1:]
		if op := m.operations[number]; op != nil {
			m.answerBytes -= op.answer.size()
			delete(m.operations, number)
		}
	}
	for len(m.answerQueue) > 0 && m.operations[m.answerQueue[0]] == nil {
		m.answerQueue = m.answerQueue[1:]
	}
}

// OperationCount returns how many operations are remembered, for metrics.
func (m *Minter) OperationCount() int { return len(m.operations) }
