// Package node implements the decision logic of one entry instance: whether its
// configuration is confirmed, whether a request is within its workspace's rate
// limit, which backend server serves it, how failures are handled, and which
// fleet-wide tasks the instance performs.
//
// A Node is a deterministic state machine: Step takes the time and one event,
// and returns effects. It has no goroutines, clock, input or output. The same
// events at the same times give the same effects, so a recorded run can be
// replayed. Request and answer bodies never pass through it.
//
// The driver of a Node calls Step with Wake no later than NextWake, carries out
// the effects, and reports the result of each one: every StartAttempt ends with
// one AttemptEnded, every effect.Call with one CallEnded, and so on.
package node
