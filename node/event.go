package node

import (
	"time"

	"foxtailspoke/claim"
	"foxtailspoke/config"
	"foxtailspoke/decision"
	"foxtailspoke/health"
	"foxtailspoke/storage"
)

// Event is an input to Node.Step.
type Event interface{ event() }

// Wake is delivered at NextWake or earlier.
type Wake struct{}

// RequestArrived is a request from a caller or one forwarded by another entry
// instance. The driver keeps its body.
type RequestArrived struct {
	// Request is the request ID assigned by the driver.
	Request string
	// At is the wall-clock time, used only in the decision record.
	At time.Time
	// Key is the hash of the caller's API key; HasKey is false if the request
	// has none.
	Key    config.KeyHash
	HasKey bool
	Method string
	Path   string
	// Held is set if the whole body is buffered, so that two attempts can run
	// concurrently.
	Held bool
	// Operation is the idempotency key, or empty.
	Operation string
	// Digest identifies method, path and body. A repeat under the same
	// idempotency key must have the same digest.
	Digest claim.Digest
	// Forwarded is set if another entry instance forwarded the request.
	Forwarded bool
}

// RequestGone reports that the caller disconnected before it had its answer.
type RequestGone struct{ Request string }

// AttemptEnded reports the end of an attempt or, with Streaming, the start of an
// answer that is too large to buffer; StreamEnded follows in that case.
type AttemptEnded struct {
	Attempt string
	Result  health.Result
	Latency time.Duration
	// RetryAfter is the delay that the backend server asked for, or 0.
	RetryAfter time.Duration
	// Replayable is set if the request's body can be sent again.
	Replayable bool
	// Leaving is set if the backend server refused because it is about to stop.
	Leaving bool
	// Streaming is set if the answer continues beyond the buffered part.
	Streaming bool
	// Answer is the complete answer to a request with an idempotency key, kept
	// for repeats; nil if it is too large to keep.
	Answer *claim.Answer
	// Detail is a short description of the failure.
	Detail string
}

// StreamEnded reports the end of an answer that was streamed to the caller. Whole
// is set if it was complete.
type StreamEnded struct {
	Attempt string
	Whole   bool
}

// LocateAsked is a caller's query for the entry addresses to use.
type LocateAsked struct {
	Request string
	At      time.Time
	Key     config.KeyHash
	HasKey  bool
	// Operations is the number of operation keys requested.
	Operations int
}

// CallEnded reports the result of an effect.Call.
type CallEnded struct {
	ID    uint64
	Reply PeerReply
	OK    bool
}

// Called is a call from another entry instance. It is answered by one ReplyCall.
type Called struct {
	Token   uint64
	From    string
	Request PeerRequest
}

// TableRead reports the result of an effect.ReadTable.
type TableRead struct {
	ID      uint64
	Changes storage.Changes
	OK      bool
}

// TableWritten reports the result of an effect.WriteTable.
type TableWritten struct {
	ID     uint64
	Result storage.WriteResult
}

// InstancesRead reports the result of an effect.ReadInstances.
type InstancesRead struct {
	ID      uint64
	Changes storage.InstanceChanges
	OK      bool
}

// ProbeEnded reports the result of a StartProbe.
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

// A request is answered by one of the effects Relay, Refuse and Repeat.

// Relay sends the answer of an attempt to the caller.
type Relay struct {
	Request string
	Attempt string
	// Forwarded is set if the answer comes from another entry instance; its
	// outcome headers are relayed unchanged.
	Forwarded bool
}

// Refuse answers a request that is not served.
type Refuse struct {
	Request string
	Record  decision.Record
	// Addresses are other entry instances that the caller may try.
	Addresses []string
}

// Repeat answers a repeated request with the stored answer of its operation.
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
	// Timeout is the maximum duration of the attempt.
	Timeout time.Duration
	// Until is the time on the node's clock after which the attempt must not
	// be started, because the confirmation of the configuration expires then.
	Until   time.Duration
	Forward bool
}

// CancelAttempt cancels an attempt, which still ends with AttemptEnded.
type CancelAttempt struct{ Attempt string }

// StartProbe sends a health check to a backend server.
type StartProbe struct {
	Probe  health.Probe
	Server storage.Instance
	// Path is requested with GET.
	Path    string
	Timeout time.Duration
}

// ReplyCall answers Called. If OK is false, no reply is sent.
type ReplyCall struct {
	Token uint64
	Reply PeerReply
	OK    bool
}

// Located answers LocateAsked.
type Located struct {
	Request   string
	Addresses []string
	// TTL is how long the caller may cache the answer.
	TTL time.Duration
	// Operations are new operation keys; Self is the address of the instance
	// that runs requests with these keys.
	Operations []string
	Self       string
}

// Recorded is the decision record of a completed request.
type Recorded struct{ Record decision.Record }

// Noted is a state change for the operators, logged by the driver.
type Noted struct {
	Note Note
	// Subject is a backend server, a shard, or a confirmation state.
	Subject string
	// Detail is a sentence with the reason, or empty.
	Detail string
	// Took is set only for NoteDetected.
	Took time.Duration
}

// Note is the kind of a Noted event.
type Note int

const (
	// NoteEjected reports that a backend server was ejected.
	NoteEjected Note = iota
	// NoteReturned reports that a backend server is no longer ejected.
	NoteReturned
	// NoteShardWritten reports that the parts of a shard were reassigned.
	NoteShardWritten
	// NoteConfirmation reports that the confirmation state changed.
	NoteConfirmation
	// NoteDetected reports that a proposal of this instance ejected a backend
	// server. Took is the time since the first report of a failed or late
	// attempt at that server.
	NoteDetected
)
