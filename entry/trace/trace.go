// Package trace records what a node saw and decided, and replays it.
//
// A node's decisions depend on its settings, on the events and on the times at
// which it took them, and on nothing else. So a trace of an instance that did
// something odd replays in a test, step by step, with the same effects.
//
// A trace holds the hashes of keys, operation keys and kept answers, and the
// secret by which the instance signed operation keys until it ended. Treat the
// file like a secret.
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

// Format is the number of the layout that this package writes.
const Format = 1

// Header begins a trace.
type Header struct {
	Format   int
	Settings node.Settings
}

// Step is one event and what followed from it.
type Step struct {
	Now time.Duration
	// Kind names the event's type. Wake and LeaveRequested are their kind
	// alone: gob can't encode a type without fields.
	Kind  string
	Event node.Event
	// Effects is a hash of the effects in their order.
	Effects uint64
	// Outside says that something else than an event changed the node, and
	// that no replay is exact from here on.
	Outside bool
}

// bare are the events without fields, by their kind.
var bare = map[string]node.Event{
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

// Recorder writes a trace. It implements loop.Recorder and isn't safe for use
// by several goroutines at once.
type Recorder struct {
	to      *bounded
	encoder *gob.Encoder
	err     error
}

// NewRecorder begins a trace of at most limit bytes. What comes beyond is left
// out; a trace is useful from its beginning only.
func NewRecorder(w io.Writer, limit int64, s node.Settings) (*Recorder, error) {
	to := &bounded{w: w, left: limit}
	r := &Recorder{to: to, encoder: gob.NewEncoder(to)}
	if err := r.encoder.Encode(Header{Format: Format, Settings: s}); err != nil {
		return nil, errors.Wrap(err, "trace: header")
	}
	return r, nil
}

// Record implements loop.Recorder.
func (r *Recorder) Record(now time.Duration, e node.Event, effects []node.Effect) {
	s := Step{Now: now, Kind: kindOf(e), Event: e, Effects: digest(effects)}
	if _, ok := bare[s.Kind]; ok {
		s.Event = nil
	}
	r.write(s)
}

// RecordExternalChange implements loop.Recorder.
func (r *Recorder) RecordExternalChange(now time.Duration) { r.write(Step{Now: now, Outside: true}) }

// Err returns why the trace ended early, or nil.
func (r *Recorder) Err() error { return r.err }

func (r *Recorder) write(s Step) {
	if r.err == nil {
		r.err = r.encoder.Encode(s)
	}
}

// errFull reports that the trace has reached its limit.
var errFull = errors.New("trace: limit reached")

// bounded passes on whole writes until the limit. The encoder writes each step
// in one piece, so a trace ends between two steps.
type bounded struct {
	w    io.Writer
	left int64
}

// Write implements io.Writer.
func (b *bounded) Write(p []byte) (int, error) {
	if int64(len(p)) > b.left {
		b.left = 0
		return 0, errFull
	}
	b.left -= int64(len(p))
	return b.w.Write(p)
}

// digest hashes effects by their JSON, which has no addresses in it and whose
// maps are in order.
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
