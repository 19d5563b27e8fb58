package evidence

import (
	"github.com/fxamacker/cbor/v2"

	"foxtailspoke/health"
)

// shortAttempt is the encoding of an Attempt without the bytes held, as nearly all are. Every
// attempt adds its message to the links between data centres.
type shortAttempt struct {
	_                struct{} `cbor:",toarray"`
	Server           uint32
	Outstanding      uint16
	Ended            bool
	Result           health.Result
	LatencyMS        uint16
	TypicalLatencyMS uint16
	RequestOutcome   RequestOutcome
	LimitMilli       *uint32
}

// fullAttempt is the encoding of any other Attempt.
type fullAttempt Attempt

// shortAttemptHead is the first byte of a shortAttempt: an array of 8 elements.
const shortAttemptHead = 0x88

// MarshalCBOR implements cbor.Marshaler.
func (a Attempt) MarshalCBOR() ([]byte, error) {
	if a.HeldKB != 0 || a.EndedHeldKB != 0 {
		return cbor.Marshal(fullAttempt(a))
	}
	return cbor.Marshal(shortAttempt{
		Server: a.Server, Outstanding: a.Outstanding, Ended: a.Ended, Result: a.Result, LatencyMS: a.LatencyMS,
		TypicalLatencyMS: a.TypicalLatencyMS, RequestOutcome: a.RequestOutcome, LimitMilli: a.LimitMilli,
	})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (a *Attempt) UnmarshalCBOR(b []byte) error {
	if len(b) == 0 || b[0] != shortAttemptHead {
		return cbor.Unmarshal(b, (*fullAttempt)(a))
	}
	var s shortAttempt
	if err := cbor.Unmarshal(b, &s); err != nil {
		return err
	}
	*a = Attempt{
		Server: s.Server, Outstanding: s.Outstanding, Ended: s.Ended, Result: s.Result, LatencyMS: s.LatencyMS,
		TypicalLatencyMS: s.TypicalLatencyMS, RequestOutcome: s.RequestOutcome, LimitMilli: s.LimitMilli,
	}
	return nil
}
