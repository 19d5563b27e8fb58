package node

import (
	"time"

	"foxtailspoke/claim"
	"foxtailspoke/config"
	"foxtailspoke/decision"
	"foxtailspoke/health"
	"foxtailspoke/storage"
)

// Event is something that happened outside of the node.
type Event interface{ event() }

// Wake says that NextWake has come.
type Wake struct{}

// RequestArrived is a caller's request, or one that another entry instance
// passed on. Its body is with the driver.
type RequestArrived struct {
	// Request is the id that the driver gave it.
	Request string
	// At is the wall-clock time, for the decision record only.
	At time.Time
	// Key is the hash of the caller's key; HasKey is false without one.
	Key    config.KeyHash
	HasKey bool
	Method string
	Path   string
	// Held says that the whole body is held, so that two attempts can be
	// under way at the same time.
	Held bool
	// Operation is the caller's idempotency key, or empty.
	Operation string
	// Digest identifies method, path and body. A repeat under the same
	// idempotency key must have the same.
	Digest claim.Digest
	// Forwarded says that another entry instance passed the request on.
	Forwarded bool
}

// RequestGone says that the caller hung up before it had its answer.
type RequestGone struct{ Request string }

// AttemptEnded is the end of an attempt, or the beginning of an answer that
// is too large to hold; then StreamEnded follows.
type AttemptEnded struct {
	Attempt string
	Result  health.Result
	Latency time.Duration
	// RetryAfter is what the backend server asked for; 0 if nothing.
	RetryAfter time.Duration
	// Replayable says that the request's body can be sent once more.
	Replayable bool
	// Leaving says that the backend server refused because it is about to
	// stop.
	Leaving bool
	// Streaming says that the answer continues behind what is held.
	Streaming bool
	// Answer is the whole answer of a request with an operation key, for
	// repeats; nil if it is too large to keep.
	Answer *claim.Answer
	// Detail says in a few words what failed.
	Detail string
}

// StreamEnded is the end of an answer that was passed on as it came.
type StreamEnded struct {
	Attempt string
	Whole   bool
}

// LocateAsked is a caller's question which addresses to use.
type LocateAsked struct {
	Request string
	At      time.Time
	Key     config.KeyHash
	HasKey  bool
	// Operations is how many operation keys the caller wants.
	Operations int
}

// CallEnded is the end of an effect.Call.
type CallEnded struct {
	ID    uint64
	Reply PeerReply
	OK    bool
}

// Called is a call from another entry instance. One ReplyCall follows.
type Called struct {
	Token   uint64
	From    string
	Request PeerRequest
}

// TableRead is the end of an effect.ReadTable.
type TableRead struct {
	ID      uint64
	Changes storage.Changes
	OK      bool
}

// TableWritten is the end of an effect.WriteTable.
type TableWritten struct {
	ID     uint64
	Result storage.WriteResult
}

// InstancesRead is the end of an effect.ReadInstances.
type InstancesRead struct {
	ID      uint64
	Changes storage.InstanceChanges
	OK      bool
}

// ProbeEnded is the end of a StartProbe.
type ProbeEnded struct {
	Probe   health.Probe
	Result  health.Result
	Latency time.Duration
}

// LeaveRequested begins a planned stop.
type LeaveRequested struct{}

func (Wake) event()           {}
func (RequestArrived) event() {}
func (RequestGone) event()    {}
func (AttemptEnded) event()   {}
func (StreamEnded) event()    {}
func (LocateAsked) event()    {}
func (CallEnded) event()      {}
func (Called) event()         {}
func (TableRead) event()      {}
func (TableWritten) event()   {}
func (InstancesRead) event()  {}
func (ProbeEnded) event()     {}
func (LeaveRequested) event() {}

// Answer of a request is one of the following effects.

// Relay passes an attempt's answer on to the caller.
type Relay struct {
	Request string
	Attempt string
	// Forwarded says that the answer is another entry instance's, and goes
	// on with its outcome headers.
	Forwarded bool
}

// Refuse answers a request that isn't served.
type Refuse struct {
	Request string
	Record  decision.Record
	// Addresses of other entry instances that the caller may try.
	Addresses []string
}

// Repeat gives the first answer of an operation again.
type Repeat struct {
	Request string
	Answer  claim.Answer
}

// StartAttempt sends a request to a backend server or, with Forward, to
// another entry instance.
type StartAttempt struct {
	Request   string
	Attempt   string
	Server    storage.Instance
	Workspace string
	Operation string
	// Timeout bounds the attempt.
	Timeout time.Duration
	// Until is the time on the node's clock after which the attempt must not
	// begin any more, because the configuration isn't confirmed for longer.
	Until   time.Duration
	Forward bool
}

// CancelAttempt gives an attempt up. It ends with AttemptEnded all the same.
type CancelAttempt struct{ Attempt string }

// StartProbe sends a request that no caller waits for.
type StartProbe struct {
	Probe  health.Probe
	Server storage.Instance
	// Path is what the probe asks for by GET.
	Path    string
	Timeout time.Duration
}

// ReplyCall answers Called. With OK false the caller gets no answer.
type ReplyCall struct {
	Token uint64
	Reply PeerReply
	OK    bool
}

// Located answers LocateAsked.
type Located struct {
	Request   string
	Addresses []string
	// TTL is how long the caller may keep the answer.
	TTL time.Duration
	// Operations are operation keys; Self is the address that runs them.
	Operations []string
	Self       string
}

// Recorded is the decision on a request that has ended.
type Recorded struct{ Record decision.Record }

// Noted is something that operators should know. The driver logs it.
type Noted struct {
	Note Note
	// Subject is a backend server, a shard, or a confirmation state.
	Subject string
	// Detail is a plain sentence or empty.
	Detail string
	// Took is set with NoteDetected.
	Took time.Duration
}

// Note says what Noted is about.
type Note int

const (
	// NoteEjected: a backend server was ejected.
	NoteEjected Note = iota
	// NoteReturned: a backend server is used again.
	NoteReturned
	// NoteShardWritten: a shard's parts were divided anew.
	NoteShardWritten
	// NoteConfirmation: the confirmation state changed.
	NoteConfirmation
	// NoteDetected: this instance had a backend server ejected; Took is the
	// time since the first bad attempt reported against it.
	NoteDetected
)
