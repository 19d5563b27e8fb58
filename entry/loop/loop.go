// Package loop drives a node: one goroutine takes events one after the
// other, steps the node with the time at which it takes them, and hands the
// effects on.
//
// One serial step of some microseconds is all that an instance's decisions
// cost, and it makes them repeatable: a Recorder sees exactly what the node
// saw.
package loop

import (
	"context"
	"time"

	"foxtailspoke/entry/clock"
	"foxtailspoke/node"
)

// queue is how many events may wait. Whoever submits beyond that waits.
const queue = 1024

// longestSleep bounds the sleep of an idle loop.
const longestSleep = time.Second

// Dispatcher carries out effects. It is called on the loop's goroutine: it
// must not block and must not call Submit or Do.
type Dispatcher interface {
	Dispatch(n *node.Node, e node.Effect)
}

// Recorder sees every step, for replay. It is called on the loop's goroutine.
type Recorder interface {
	// Record takes an event with its effects, which are valid during the call.
	Record(now time.Duration, e node.Event, effects []node.Effect)
	// RecordExternalChange says that the node was changed by something else than an event.
	RecordExternalChange(now time.Duration)
}

// Loop owns a node. No one else may touch it.
type Loop struct {
	node     *node.Node
	clock    clock.Clock
	dispatch Dispatcher
	recorder Recorder
	events   chan node.Event
	calls    chan func(*node.Node, time.Duration)
	done     chan struct{}
}

// New returns a loop that isn't running. The recorder may be nil.
func New(n *node.Node, c clock.Clock, d Dispatcher, r Recorder) *Loop {
	return &Loop{
		node:     n,
		clock:    c,
		dispatch: d,
		recorder: r,
		events:   make(chan node.Event, queue),
		calls:    make(chan func(*node.Node, time.Duration)),
		done:     make(chan struct{}),
	}
}

// Submit hands in an event. After the loop has ended it does nothing.
func (l *Loop) Submit(e node.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// Do runs f on the loop's goroutine and waits for its end. It returns false
// if the loop has ended.
func (l *Loop) Do(f func(n *node.Node, now time.Duration)) bool {
	finished := make(chan struct{})
	call := func(n *node.Node, now time.Duration) {
		defer close(finished)
		f(n, now)
	}
	select {
	case l.calls <- call:
	case <-l.done:
		return false
	}
	<-finished
	return true
}

// DoAndDispatch runs f like Do and carries out the effects that it returns.
func (l *Loop) DoAndDispatch(f func(n *node.Node, now time.Duration) []node.Effect) bool {
	return l.Do(func(n *node.Node, now time.Duration) {
		effects := f(n, now)
		if l.recorder != nil {
			l.recorder.RecordExternalChange(now)
		}
		l.carryOut(effects)
	})
}

// Run steps the node until ctx ends. It runs once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(e)
		case f := <-l.calls:
			f(l.node, l.clock.Now())
		case <-timer.C:
		}
		l.wake()
		timer.Reset(min(max(l.node.NextWake()-l.clock.Now(), 0), longestSleep))
	}
}

// wake steps the node if its time has come. It is asked after every event:
// under load, events alone would keep the timer from being looked at.
func (l *Loop) wake() {
	if l.node.NextWake() <= l.clock.Now() {
		l.step(node.Wake{})
	}
}

func (l *Loop) step(e node.Event) {
	now := l.clock.Now()
	effects := l.node.Step(now, e)
	if l.recorder != nil {
		l.recorder.Record(now, e, effects)
	}
	l.carryOut(effects)
}

func (l *Loop) carryOut(effects []node.Effect) {
	for _, e := range effects {
		l.dispatch.Dispatch(l.node, e)
	}
}
