package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"foxtailspoke/storage"
)

// RowPrefix starts the keys of the claims table.
const RowPrefix = "claim/"

// RowKey returns the key of the row for a caller-made idempotency key. It
// shows neither the workspace nor the key.
func RowKey(workspace, key string) string {
	h := sha256.Sum256([]byte(workspace + "\x00" + key))
	return RowPrefix + hex.EncodeToString(h[:])
}

// State is what a claim's row says about its operation.
type State string

const (
	// StateStarted means that the claimer may run it or have run it.
	StateStarted State = "started"
	// StateRan means that a backend server answered.
	StateRan State = "ran"
	// StateUnknown means that it was sent and the end isn't known.
	StateUnknown State = "unknown"
)

// Record is the value of a claim's row. The attempt id of the insertion is
// the row's own Attempt.
type Record struct {
	// Digest of the request, in hex.
	Digest string `json:"digest"`
	// Owner is the claimer's incarnation id.
	Owner string `json:"by"`
	State State  `json:"state"`
	// Answer is kept if it is short.
	Answer *Answer `json:"answer,omitempty"`
}

func (d Digest) String() string { return hex.EncodeToString(d[:]) }

func decodeRecord(row storage.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, errors.Wrapf(err, "claim row %s", row.Key)
	}
	return r, nil
}

// encode can't fail: a Record has only strings, numbers and bytes.
func (r Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.AssertionFailedf("claim record: %v", err))
	}
	return b
}

// decideFromRow decides about a request whose key another attempt has claimed.
func decideFromRow(row storage.Row, d Digest) Decision {
	r, err := decodeRecord(row)
	switch {
	case err != nil:
		return Decision{Verdict: UnknownOutcome, Reason: OutcomeLost}
	case r.Digest != d.String():
		return Decision{Verdict: Refused, Reason: RequestMismatch}
	case r.State == StateStarted:
		return Decision{Verdict: InProgress, Owner: r.Owner}
	case r.State == StateRan && r.Answer != nil:
		return Decision{Verdict: Replay, Answer: r.Answer}
	case r.State == StateRan:
		return Decision{Verdict: RanAlready}
	default:
		return Decision{Verdict: UnknownOutcome, Reason: OutcomeLost}
	}
}

// ResolveInProgress turns a decision InProgress at another instance into what can be
// said when that instance's state is known. A claim whose claimer is gone
// stays unknown for good: the claimer may have sent the request just before.
func ResolveInProgress(d Decision, claimer PeerState) Decision {
	if d.Verdict != InProgress || claimer == PeerLive {
		return d
	}
	return Decision{Verdict: UnknownOutcome, Reason: ClaimerUnavailable, Owner: d.Owner}
}
