package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"foxtailspoke/storage"
)

// RowPrefix is the prefix of all row keys in the claims table.
const RowPrefix = "claim/"

// RowKey returns the row key for a caller-supplied idempotency key. It discloses
// neither the workspace nor the key.
func RowKey(workspace, key string) string {
	h := sha256.Sum256([]byte(workspace + "\x00" + key))
	return RowPrefix + hex.EncodeToString(h[:])
}

// State is the state of an operation as recorded in its row.
type State string

const (
	// StateStarted means that the claimer may run the operation or have run it.
	StateStarted State = "started"
	// StateRan means that a backend server responded.
	StateRan State = "ran"
	// StateUnknown means that the operation was sent and its outcome is not
	// known.
	StateUnknown State = "unknown"
)

// Record is the value of a claim's row. The attempt id of the insertion is in the
// row's Attempt field.
type Record struct {
	// Digest is the hex-encoded request digest.
	Digest string `json:"digest"`
	// Owner is the incarnation id of the claiming instance.
	Owner string `json:"by"`
	State State  `json:"state"`
	// Answer is the response, unless it exceeds MaxAnswerBytes.
	Answer *Answer `json:"answer,omitempty"`
}

func (d Digest) String() string { return hex.EncodeToString(d[:]) }

func decodeRecord(row storage.Row) (Record, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Record{}, errors.Wrapf(err, "decode claim row %s", row.Key)
	}
	return r, nil
}

// encode panics on an error, which cannot occur: a Record has only strings,
// numbers and bytes.
func (r Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.AssertionFailedf("encode claim record: %v", err))
	}
	return b
}

// decideFromRow decides on a request whose key another attempt has claimed.
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

// ResolveInProgress replaces an InProgress decision by UnknownOutcome if the
// claiming instance is not live. This is final, because the claimer may have sent
// the request just before it ended.
func ResolveInProgress(d Decision, claimer PeerState) Decision {
	if d.Verdict != InProgress || claimer == PeerLive {
		return d
	}
	return Decision{Verdict: UnknownOutcome, Reason: ClaimerUnavailable, Owner: d.Owner}
}
