package claim

import (
	"crypto/hmac"
	"time"
)

// Settings bounds the operations that an instance remembers.
type Settings struct {
	// KeyTime is the time for which an operation key may start a run.
	KeyTime time.Duration
	// KeepTime is the time for which an operation is remembered after its key
	// has expired.
	KeepTime time.Duration
	// MaxOperations bounds the remembered operations. Beyond it new operations
	// are refused; remembered ones are not evicted.
	MaxOperations int
	// MaxAnswerBytes bounds the stored responses; the oldest are dropped first.
	MaxAnswerBytes int
}

// DefaultSettings returns settings under which a key stays usable slightly longer
// than callers cache a locate response.
func DefaultSettings() Settings {
	return Settings{
		KeyTime:        10 * time.Minute,
		KeepTime:       20 * time.Minute,
		MaxOperations:  100_000,
		MaxAnswerBytes: 16 << 20,
	}
}

// Minter mints operation keys and decides on requests that carry them.
type Minter struct {
	instance   string
	secret     []byte
	settings   Settings
	lastNumber uint64
	// operations holds the operations begun, by key number.
	operations map[uint64]*operation
	// expiryQueue holds the key numbers in order of eviction time.
	expiryQueue []expiryEntry
	// answerQueue holds the numbers of keys with a stored response, oldest
	// first.
	answerQueue []uint64
	answerBytes int
}

// operation is the state of an operation that was begun.
type operation struct {
	digest  Digest
	running bool
	// outcome is valid once running is false.
	outcome Outcome
	answer  *Answer
}

type expiryEntry struct {
	number uint64
	at     time.Duration
}

// NewMinter returns a minter without operations. The secret must be random, kept
// in memory only, and not shared with another incarnation.
func NewMinter(instance string, secret []byte, s Settings) *Minter {
	return &Minter{
		instance:   instance,
		secret:     secret,
		settings:   s,
		operations: map[uint64]*operation{},
	}
}

// Mint returns a new operation key for a workspace. An unused key takes no memory.
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

// Begin decides on a request that carries an operation key.
func (m *Minter) Begin(now time.Duration, workspace string, k OperationKey, d Digest) Decision {
	m.evictExpired(now)
	if reason := m.verify(workspace, k); reason != NoReason {
		// This minter has never run such a key and never will.
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

// verify returns why the key is not valid for the workspace, or NoReason.
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

// decideRepeat decides on a key whose operation is remembered.
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

// decideExpired decides on an expired key whose operation is not remembered. Within
// KeepTime after expiry the operation would still be remembered if it had begun,
// so it did not run. After that the outcome is unknown, because the operation may
// have been evicted.
func (m *Minter) decideExpired(now time.Duration, k OperationKey) Decision {
	if now < k.Expires+m.settings.KeepTime {
		return Decision{Verdict: Refused, Reason: Expired, NeverRan: true}
	}
	return Decision{Verdict: UnknownOutcome, Reason: Expired}
}

// Finish reports the outcome of an operation after Run.
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

// storeAnswer stores a response and drops the oldest ones beyond MaxAnswerBytes.
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

// evictExpired evicts operations once KeepTime after their key's expiry is over,
// and only these: an operation evicted earlier could run a second time or be
// reported as never run.
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

// OperationCount returns the number of remembered operations, for metrics.
func (m *Minter) OperationCount() int { return len(m.operations) }
