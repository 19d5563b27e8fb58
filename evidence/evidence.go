// Package evidence defines the messages that instances exchange by datagram:
// liveness, attempt results, admitted requests and table changes read from the
// store.
//
// A datagram holds one or more messages; package relay distributes them.
// Messages carry totals or absolute values, so that the next message makes up
// for a lost one.
package evidence

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"foxtailspoke/health"
)

// Message is the report of one instance at one point in time.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Source is the IPv4 address of the sending instance.
	Source uint32
	// Epoch is a random number that identifies a run of the instance. Sequence
	// and totals restart with it.
	Epoch uint32
	// Sequence counts the messages that the instance has broadcast since its
	// start. Unsequenced messages go to a single instance and contain only a
	// description and a member list.
	Sequence uint32
	// Announcement describes the source; nil in most messages.
	Announcement *Announcement
	// Leaving reports that the instance must not receive callers, because it is
	// not ready or is stopping.
	Leaving bool
	// Stopping reports that the instance is about to stop.
	Stopping bool
	// Partitioned reports that the instance fails to connect to any backend server.
	Partitioned bool
	// Members are instances that the source considers alive. A join is answered
	// with them, and newly found instances are broadcast with them.
	Members      []Member
	Attempts     []Attempt
	Usage        []Usage
	TableUpdates []TableUpdate
	// Unserved holds each request whose outcome isn't part of Attempts: it was refused
	// without an attempt, found no server for another one, or timed out.
	Unserved []Unserved
	// ServiceAttempts holds what the source has sent to some services: in messages about the
	// start of an attempt that of its service, in announcements and heartbeats that of all
	// recently used.
	ServiceAttempts []ServiceAttempts
	// SuspectRequests holds the requests under which servers ended as the source saw, or which
	// were served afterwards: in messages about that, and for some time in announcements
	// and heartbeats.
	SuspectRequests []SuspectRequest
}

// Announcement describes an instance to the others.
type Announcement struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	// SlowLink means that the instance should not be a relay.
	SlowLink bool
}

// Member describes an instance that the source considers alive.
type Member struct {
	_          struct{} `cbor:",toarray"`
	ID         uint32
	DataCentre string
	SlowLink   bool
	Leaving    bool
	Stopping   bool
}

// Attempt describes one attempt of the source at a backend server, and its load
// there.
type Attempt struct {
	_ struct{} `cbor:",toarray"`
	// Server is the hash of the server ID.
	Server uint32
	// Outstanding is the number of requests that the source currently has at
	// the server.
	Outstanding uint16
	// Ended reports that the attempt has finished with Result; otherwise it is
	// in progress.
	Ended  bool
	Result health.Result
	// LatencyMS is the time until the result, TypicalLatencyMS the usual time
	// for this kind of request.
	LatencyMS        uint16
	TypicalLatencyMS uint16
	// RequestOutcome is the outcome of the request that the attempt belongs to.
	RequestOutcome RequestOutcome
	// LimitMilli is the rate limit in the server's response, in thousandths of
	// a request per second; nil if there was no response or it had no limit.
	LimitMilli *uint32
	// HeldKB is the size of the requests that the source currently has at the server, in KiB; 0
	// if it is below 64.
	HeldKB uint32
	// EndedHeldKB is what the server held of all instances when its process ended, in KiB; 0 if
	// it didn't end, or held less than 1024.
	EndedHeldKB uint32
}

// Unserved is a request that wasn't served.
type Unserved struct {
	_ struct{} `cbor:",toarray"`
	// Service is the hash of the service name.
	Service uint32
	// NotAdmitted is the priority of the request plus 1 if it was rejected because the servers
	// of its service are full, otherwise 0.
	NotAdmitted uint8
	// Abandoned reports that the caller left while a server was at work on the request.
	Abandoned bool
}

// ServiceAttempts are the attempts that the source has begun since its start at the servers
// of a service, modulo 65536: the first ones of requests, and retries.
type ServiceAttempts struct {
	_ struct{} `cbor:",toarray"`
	// Service is the hash of the service name.
	Service  uint32
	Requests uint16
	Retries  uint16
}

// SuspectRequest is all that the source knows of a request under which servers ended.
type SuspectRequest struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	// Served reports that a server has responded to it, ServedAgeMS ago.
	Served      bool
	ServedAgeMS uint32
	// Ends has the servers that have ended since.
	Ends []ServerEnd
}

// ServerEnd is the end of a backend server's process.
type ServerEnd struct {
	_ struct{} `cbor:",toarray"`
	// Run is the hash of the server's ID and start time.
	Run   uint32
	AgeMS uint32
}

// RequestOutcome is the outcome of a request for its caller.
type RequestOutcome uint8

// Request outcomes. RequestPending means that the request is still being
// attempted.
const (
	RequestPending RequestOutcome = iota
	RequestServed
	RequestUnserved
	// RequestStarted and the values up to maxRank above it come with the start of the first
	// attempt of a request. They carry its priority without another byte in each message.
	RequestStarted RequestOutcome = 8
)

// maxRank is the lowest priority in messages. Values up to 23 take a single byte.
const maxRank = 7

// StartOfRequest returns the outcome for the start of the first attempt of a request with the
// given priority.
func StartOfRequest(rank int) RequestOutcome {
	return RequestStarted + RequestOutcome(min(max(rank, 0), maxRank))
}

// StartedRank returns the priority of the request if the attempt is its first one and has just
// started.
func (o RequestOutcome) StartedRank() (rank int, started bool) {
	if o < RequestStarted || o > RequestStarted+maxRank {
		return 0, false
	}
	return int(o - RequestStarted), true
}

// Final reports whether the outcome is known.
func (o RequestOutcome) Final() bool { return o == RequestServed || o == RequestUnserved }

// Usage is the number of requests that the source has admitted for a workspace
// since its start.
type Usage struct {
	_ struct{} `cbor:",toarray"`
	// Workspace is the hash of the workspace name.
	Workspace uint32
	Count     uint64
}

// TableUpdate forwards changes of a table that the source has read from the
// store.
type TableUpdate struct {
	_     struct{} `cbor:",toarray"`
	Table Table
	// Era of the store that the versions and StoreClockUS belong to.
	Era uint64
	// Since and Version delimit the changes contained. They cover several reads
	// of the store, so that the loss of one message leaves no gap.
	Since   uint64
	Version uint64
	// LatestRowVersion is the version of the newest row of a table whose rows
	// are too large for a message. A receiver with an older row reads the
	// store.
	LatestRowVersion uint64
	// Packed holds the changed rows, encoded by Pack.
	Packed []byte
	// StoreClockUS is the monotonic clock of the store at the time of its
	// response, in microseconds. 0 means that the store is being read or did
	// not respond.
	StoreClockUS int64
	// More reports that further updates of the same read follow. Only the last
	// one proves that there are no other changes.
	More bool
}

// Table identifies a table of the store.
type Table uint8

// Tables that updates refer to.
const (
	Config Table = iota
	Servers
	Instances
	// TableCount is the number of tables.
	TableCount
)

// StoreClock returns the clock of the store at the time of its response.
func (n TableUpdate) StoreClock() time.Duration {
	return time.Duration(n.StoreClockUS) * time.Microsecond
}

// Unsequenced is the sequence number of messages to a single instance.
const Unsequenced = 0

// ErrEmptyDatagram is returned by Decode for an empty datagram.
var ErrEmptyDatagram = errors.New("datagram contains no message")

// Encode returns the encoding of a message. Encoded messages may be
// concatenated.
func Encode(m Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Wrap(err, "encode message")
}

// Decode returns the messages of a datagram and the encoding of each. It
// returns no messages if any of them is malformed.
func Decode(b []byte) (messages []Message, parts [][]byte, err error) {
	if len(b) == 0 {
		return nil, nil, ErrEmptyDatagram
	}
	for len(b) > 0 {
		var m Message
		rest, err := cbor.UnmarshalFirst(b, &m)
		if err != nil {
			return nil, nil, errors.Wrap(err, "decode message")
		}
		messages = append(messages, m)
		parts = append(parts, b[:len(b)-len(rest)])
		b = rest
	}
	return messages, parts, nil
}
