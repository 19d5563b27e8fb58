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
	instance string
	secret   []byte
	settings Settings
	last     uint64
	// operations are those begun, by number.
	operations map[uint64]*operation
	// expiry has the numbers by time of forgetting, oldest first.
	expiry []expiring
	// answers has the numbers with a stored answer, oldest first.
	answers     []uint64
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

type expiring struct {
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
	m.last++
	k := OperationKey{
		Minter:  m.instance,
		Number:  m.last,
		Expires: now + m.settings.KeyTime,
		tag:     workspaceTag(m.secret, workspace),
	}
	k.mac = keyMAC(m.secret, k.signed())
	return k.String()
}

// Begin decides about a request that carries a key of this minter.
func (m *Minter) Begin(now time.Duration, workspace string, k OperationKey, d Digest) Decision {
	m.forget(now)
	if reason := m.verify(workspace, k); reason != NoReason {
		// Such a key never ran and never will.
		return Decision{Verdict: Refused, Reason: reason, NeverRan: reason != MinterMismatch}
	}
	if op, ok := m.operations[k.Number]; ok {
		return m.repeat(now, k, op, d)
	}
	if now >= k.Expires {
		return m.expired(now, k)
	}
	if len(m.operations) >= m.settings.MaxOperations {
		return Decision{Verdict: Refused, Reason: CapacityReached, NeverRan: true}
	}
	m.operations[k.Number] = &operation{digest: d, running: true}
	m.expiry = append(m.expiry, expiring{number: k.Number, at: k.Expires + m.settings.KeepTime})
	return Decision{Verdict: Run}
}

// verify tells why a key isn't genuine for the workspace.
func (m *Minter) verify(workspace string, k OperationKey) Reason {
	if k.Minter != m.instance {
		return MinterMismatch
	}
	if !hmac.Equal([]byte(k.mac), []byte(keyMAC(m.secret, k.signed()))) {
		return Forged
	}
	if !hmac.Equal([]byte(k.tag), []byte(workspaceTag(m.secret, workspace))) {
		return WorkspaceMismatch
	}
	return NoReason
}

// repeat decides about a key whose operation is remembered.
func (m *Minter) repeat(now time.Duration, k OperationKey, op *operation, d Digest) Decision {
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

// expired decides about a key that is too old and not remembered. While its
// operation would still be remembered, it can't have run. After that nobody
// knows: "not run" would be false for an operation that was forgotten.
func (m *Minter) expired(now time.Duration, k OperationKey) Decision {
	if now < k.Expires+m.settings.KeepTime {
		return Decision{Verdict: Refused, Reason: Expired, NeverRan: true}
	}
	return Decision{Verdict: UnknownOutcome, Reason: Expired}
}

// Finish reports the end of an operation after Run.
func (m *Minter) Finish(now time.Duration, k OperationKey, o Outcome, a *Answer) {
	m.forget(now)
	op := m.operations[k.Number]
	if op == nil || !op.running {
		return
	}
	op.running = false
	op.outcome = o
	if o == Ran && a != nil {
		m.store(k.Number, op, a)
	}
}

// store keeps an answer and drops the oldest ones beyond the bound.
func (m *Minter) store(number uint64, op *operation, a *Answer) {
	if a.size() > m.settings.MaxAnswerBytes {
		return
	}
	op.answer = a
	m.answers = append(m.answers, number)
	m.answerBytes += a.size()
	for m.answerBytes > m.settings.MaxAnswerBytes {
		m.dropOldestAnswer()
	}
}

func (m *Minter) dropOldestAnswer() {
	op := m.operations[m.answers[0]]
	m.answers = m.answers[1:]
	if op == nil || op.answer == nil {
		return
	}
	m.answerBytes -= op.answer.size()
	op.answer = nil
}

// forget drops the operations whose keys can't run any more, and only these:
// an operation that is forgotten earlier would run a second time.
func (m *Minter) forget(now time.Duration) {
	for len(m.expiry) > 0 && m.expiry[0].at <= now {
		number := m.expiry[0].number
		m.expiry = m.expiry[1:]
		if op := m.operations[number]; op != nil {
			m.answerBytes -= op.answer.size()
			delete(m.operations, number)
		}
	}
	for len(m.answers) > 0 && m.operations[m.answers[0]] == nil {
		m.answers = m.answers[1:]
	}
}

// OperationCount returns how many operations are remembered, for metrics.
func (m *Minter) OperationCount() int { return len(m.operations) }
