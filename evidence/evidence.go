// Package evidence is what instances tell each other by datagram: that they
// live, what became of their attempts, what they admitted, and what the store
// has said.
//
// A datagram holds one or more messages; package relay carries them. Every
// message carries totals or absolute figures, so that a lost one is made good
// by the next.
package evidence

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"foxtailspoke/health"
)

// Message is what one instance says at one moment.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Source is the IPv4 address of the instance that speaks.
	Source uint32
	// Epoch is drawn at its start. Sequence and totals begin anew with it.
	Epoch uint32
	// Sequence counts its messages to all since its start. Uncounted ones go to
	// a single instance and hold no more than a description and a roster.
	Sequence uint32
	// DataCentre is set in heartbeats.
	DataCentre string
	// SlowLink is set in introductions by an instance that shouldn't be a relay.
	SlowLink bool
	// Leaving says that callers must not be sent to it: it isn't ready, or stops.
	Leaving bool
	// Stopping says that it will be gone soon.
	Stopping bool
	// Members are instances that the source hears, for one that greets it.
	Members      []Member
	Attempts     []Attempt
	Usage        []Usage
	TableUpdates []TableUpdate
	// Refused holds the hash of a service for each request to it that was
	// refused without an attempt.
	Refused []uint32
}

// Member is an instance that another one hears.
type Member struct {
	_          struct{} `cbor:",toarray"`
	ID         uint32
	DataCentre string
	SlowLink   bool
	Leaving    bool
	Stopping   bool
}

// Attempt is the state of a source's work at a backend server.
type Attempt struct {
	_ struct{} `cbor:",toarray"`
	// Server is the hash of the server's id.
	Server uint32
	// Outstanding is how many requests the source has there now.
	Outstanding uint16
	// Ended says that Result is how the attempt went; else it has begun.
	Ended  bool
	Result health.Result
	// Number of the attempt within its request, set when it begins.
	Number uint8
	// LatencyMS until the result, and WorkMS that is usual for its kind of request.
	LatencyMS        uint16
	TypicalLatencyMS uint16
	// RequestOutcome is the outcome of the request that the attempt belonged to.
	RequestOutcome RequestOutcome
	// LimitMilli is the limit that the server's answer named, in thousandths of a
	// request a second; nil if it named none, or none came.
	LimitMilli *uint32
}

// RequestOutcome is how a request ended for its caller.
type RequestOutcome uint8

// The ends of a request. RequestPending: it goes on.
const (
	RequestPending RequestOutcome = iota
	RequestServed
	RequestUnserved
)

// Usage is what a source has admitted for a workspace since its start.
type Usage struct {
	_ struct{} `cbor:",toarray"`
	// Workspace is the hash of its name.
	Workspace uint32
	Count     uint64
}

// TableUpdate hands on what the store has said of a table.
type TableUpdate struct {
	_     struct{} `cbor:",toarray"`
	Table Table
	// Era of the store that the versions and the stamp belong to.
	Era uint64
	// Since and Version span the changes that are told. They span several
	// answers of the store, so that one lost message isn't missed.
	Since   uint64
	Version uint64
	// LatestRowVersion is the version of the newest row of a table whose rows are too
	// large for a message: whoever has an older one reads the store.
	LatestRowVersion uint64
	// Packed holds the changed rows; see Pack.
	Packed []byte
	// StoreClockUS is the store's steady clock at its answer, in microseconds. 0
	// says that the store is being asked, or didn't answer.
	StoreClockUS int64
	// More says that further notices of the same answer follow; only the last
	// proves that nothing else has changed.
	More bool
}

// Table is a short name of a table.
type Table uint8

// The tables that notices speak of.
const (
	Config Table = iota
	Servers
	Instances
	// TableCount is the number of tables.
	TableCount
)

// StoreClock returns the store's clock at its answer.
func (n TableUpdate) StoreClock() time.Duration {
	return time.Duration(n.StoreClockUS) * time.Microsecond
}

// Unsequenced is the sequence number of messages that aren't for all.
const Unsequenced = 0

// Errors of Decode.
var ErrEmptyDatagram = errors.New("datagram without a message")

// Encode returns a message's bytes, which may be put one after the other.
func Encode(m Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Wrap(err, "message")
}

// Decode returns the messages of a datagram, and the bytes of each.
func Decode(b []byte) (messages []Message, parts [][]byte, err error) {
	if len(b) == 0 {
		return nil, nil, ErrEmptyDatagram
	}
	for len(b) > 0 {
		var m Message
		rest, err := cbor.UnmarshalFirst(b, &m)
		if err != nil {
			return nil, nil, errors.Wrap(err, "message")
		}
		messages = append(messages, m)
		parts = append(parts, b[:len(b)-len(rest)])
		b = rest
	}
	return messages, parts, nil
}
