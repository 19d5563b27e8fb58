// Package trace records the events and effects of a node and replays them.
//
// The decisions of a node depend only on its settings, the events and the times
// at which they are processed. A trace of an instance with unexpected behaviour
// can therefore be replayed in a test, step by step, with the same effects.
//
// A trace contains hashes of API keys, operation keys, stored responses, and the
// secret with which the instance signed operation keys until it ended. Protect
// the file like a secret.
package trace

import (
	"encoding/gob"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/node"
)

// Format is the version of the file format that this package writes.
const Format = 1

// Header is the first record of a trace.
type Header struct {
	Format   int
	Settings node.Settings
}

// Step is one event and its effects.
type Step struct {
	Now time.Duration
	// Kind is the type name of the event. Wake and LeaveRequested are stored by
	// their kind alone because gob cannot encode a type without fields.
	Kind  string
	Event node.Event
	// Effects is a hash of the effects in order.
	Effects uint64
	// Outside means that something other than an event changed the node, so the
	// steps after it cannot be replayed exactly.
	Outside bool
}

// fieldlessEvents holds the events without fields by their kind.
var fieldlessEvents = map[string]node.Event{
	kindOf(node.Wake{}):           node.Wake{},
	kindOf(node.LeaveRequested{}): node.LeaveRequested{},
}

func kindOf(e node.Event) string { return fmt.Sprintf("%T", e) }

func init() {
	for _, e := range []node.Event{
		node.RequestArrived{},
		node.RequestGone{},
		node.AttemptEnded{},
		node.StreamEnded{},
		node.LocateAsked{},
		node.CallEnded{},
		node.Called{},
		node.TableRead{},
		node.TableWritten{},
		node.InstancesRead{},
		node.ProbeEnded{},
	} {
		gob.Register(e)
	}
}

// Recorder writes a trace. It implements loop.Recorder and is not safe for
// concurrent use.
type Recorder struct {
	to      *limitedWriter
	encoder *gob.Encoder
	err     error
}

// NewRecorder begins a trace of at most limit bytes. Recording stops at the
// limit: a trace can only be replayed from its beginning.
func NewRecorder(w io.Writer, limit int64, s node.Settings) (*Recorder, error) {
	to := &limitedWriter{w: w, remaining: limit}
	r := &Recorder{to: to, encoder: gob.NewEncoder(to)}
	if err := r.encoder.Encode(Header{Format: Format, Settings: s}); err != nil {
		return nil, errors.Wrap(err, "trace: write header")
	}
	return r, nil
}

// Record implements loop.Recorder.
func (r *Recorder) Record(now time.Duration, e node.Event, effects []node.Effect) {
	s := Step{Now: now, Kind: kindOf(e), Event: e, Effects: digest(effects)}
	if _, ok := fieldlessEvents[s.Kind]; ok {
		s.Event = nil
	}
	r.write(s)
}

// RecordExternalChange implements loop.Recorder.
func (r *Recorder) RecordExternalChange(now time.Duration) { r.write(Step{Now: now, Outside: true}) }

// Err returns the error that ended the trace early, or nil.
func (r *Recorder) Err() error { return r.err }

func (r *Recorder) write(s Step) {
	if r.err == nil {
		r.err = r.encoder.Encode(s)
	}
}

// errFull means that the size limit of the trace has been reached.
var errFull = errors.New("trace: size limit reached")

// limitedWriter passes on writes until the limit and never a part of one. The
// encoder writes each step in a single call, so a trace always ends between two
// steps.
type limitedWriter struct {
	w         io.Writer
	remaining int64
}

// Write implements io.Writer.
func (b *limitedWriter) Write(p []byte) (int, error) {
	if int64(len(p)) > b.remaining {
		b.remaining = 0
		return 0, errFull
	}
	b.remaining -= int64(len(p))
	return b.w.Write(p)
}

// digest hashes the effects by their JSON encoding, which contains no pointers
// and sorts maps by key.
func digest(effects []node.Effect) uint64 {
	h := fnv.New64a()
	for _, e := range effects {
		_, _ = fmt.Fprintf(h, "%T", e)
		if err := json.NewEncoder(h).Encode(e); err != nil {
			_, _ = fmt.Fprint(h, err)
		}
	}
	return h.Sum64()
}
