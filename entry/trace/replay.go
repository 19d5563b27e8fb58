package trace

import (
	"encoding/gob"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/node"
)

// ReplayResult describes how far a replay went.
type ReplayResult struct {
	// Steps is the number of steps whose effects matched the trace.
	Steps int
	// ExternalChange means that the replay ended at a change of the node by
	// something other than an event.
	ExternalChange bool
}

// ErrMismatch means that the effects of a step differ from those in the trace.
var ErrMismatch = errors.New("trace: replayed effects differ from the recorded effects")

// Replay steps a new node with the events and times of the trace and compares
// the effects. Seen is called for every step and may be nil; tests use it to
// check the decisions.
func Replay(r io.Reader, seen func(now time.Duration, e node.Event, effects []node.Effect)) (ReplayResult, error) {
	var result ReplayResult
	decoder := gob.NewDecoder(r)
	var h Header
	if err := decoder.Decode(&h); err != nil {
		return result, errors.Wrap(err, "trace: read header")
	}
	if h.Format != Format {
		return result, errors.Newf("trace: unsupported format %d, want %d", h.Format, Format)
	}
	n := node.New(h.Settings)
	for {
		var s Step
		switch err := decoder.Decode(&s); {
		case errors.Is(err, io.EOF):
			return result, nil
		case err != nil:
			return result, errors.Wrapf(err, "trace: read step %d", result.Steps)
		case s.Outside:
			result.ExternalChange = true
			return result, nil
		}
		e := s.Event
		if e == nil {
			e = fieldlessEvents[s.Kind]
		}
		effects := n.Step(s.Now, e)
		if seen != nil {
			seen(s.Now, e, effects)
		}
		if digest(effects) != s.Effects {
			return result, errors.Wrapf(ErrMismatch, "step %d at %v (%s)", result.Steps, s.Now, s.Kind)
		}
		result.Steps++
	}
}
