package trace

import (
	"encoding/gob"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/node"
)

// ReplayResult is how far a replay went.
type ReplayResult struct {
	// Steps had the same effects as in the trace.
	Steps int
	// ExternalChange says that the replay ended where something else than an event
	// changed the node.
	ExternalChange bool
}

// ErrMismatch reports a step whose effects aren't those of the trace.
var ErrMismatch = errors.New("trace: the replay differs")

// Replay gives a fresh node the trace's events at the trace's times and
// compares the effects. Seen is called for every step and may be nil; it is
// where a test states what should have been decided.
func Replay(r io.Reader, seen func(now time.Duration, e node.Event, effects []node.Effect)) (ReplayResult, error) {
	var done ReplayResult
	decoder := gob.NewDecoder(r)
	var h Header
	if err := decoder.Decode(&h); err != nil {
		return done, errors.Wrap(err, "trace: header")
	}
	if h.Format != Format {
		return done, errors.Newf("trace: format %d, this program reads %d", h.Format, Format)
	}
	n := node.New(h.Settings)
	for {
		var s Step
		switch err := decoder.Decode(&s); {
		case errors.Is(err, io.EOF):
			return done, nil
		case err != nil:
			return done, errors.Wrapf(err, "trace: step %d", done.Steps)
		case s.Outside:
			done.ExternalChange = true
			return done, nil
		}
		e := s.Event
		if e == nil {
			e = bare[s.Kind]
		}
		effects := n.Step(s.Now, e)
		if seen != nil {
			seen(s.Now, e, effects)
		}
		if digest(effects) != s.Effects {
			return done, errors.Wrapf(ErrMismatch, "step %d at %v (%s)", done.Steps, s.Now, s.Kind)
		}
		done.Steps++
	}
}
