// Package node composes the decisions of one entry instance: whether its
// configuration is confirmed, whether a request is inside its workspace's
// rate, which backend server gets it, what follows a failure, and how the
// instance shares in the fleet's work.
//
// A Node is a state machine: Step takes the time and one event, and returns
// effects. It has no goroutine, clock, input or output. The same events at
// the same times give the same effects, so a recorded run can be replayed.
// Request and answer bodies never pass through it.
//
// Whoever drives a Node calls Step with Wake at NextWake or earlier, carries
// out the effects, and reports how each one ended: every StartAttempt ends
// with one AttemptEnded, every effect.Call with one CallEnded, and so on.
package node
