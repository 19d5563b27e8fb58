// Package loop runs a node on a single goroutine: it takes events in order,
// steps the node with the current time and dispatches the resulting effects.
//
// A step takes a few microseconds. Processing events serially makes the
// decisions of an instance reproducible: a Recorder sees exactly what the node
// saw.
package loop

import (
	"context"
	"time"

	"foxtailspoke/entry/clock"
	"foxtailspoke/node"
)

// queueSize is the capacity of the event queue. Submit blocks while the queue is
// full.
const queueSize = 1024

// maxSleep bounds the wait of an idle loop.
const maxSleep = time.Second

// Dispatcher executes effects. It is called on the goroutine of the loop and
// must not block or call Submit or Do.
type Dispatcher interface {
	Dispatch(n *node.Node, e node.Effect)
}

// Recorder records every step for replay. It is called on the goroutine of the
// loop.
type Recorder interface {
	// Record takes an event and its effects, which are valid only during the
	// call.
	Record(now time.Duration, e node.Event, effects []node.Effect)
	// RecordExternalChange records that the node was changed by something other
	// than an event.
	RecordExternalChange(now time.Duration)
}

// Loop owns a node, which must not be used from outside the goroutine of the
// loop.
type Loop struct {
	node       *node.Node
	clock      clock.Clock
	dispatcher Dispatcher
	recorder   Recorder
	events     chan node.Event
	calls      chan func(*node.Node, time.Duration)
	done       chan struct{}
}

// New returns a loop that is not running. The recorder may be nil.
func New(n *node.Node, c clock.Clock, d Dispatcher, r Recorder) *Loop {
	return &Loop{
		node:       n,
		clock:      c,
		dispatcher: d,
		recorder:   r,
		events:     make(chan node.Event, queueSize),
		calls:      make(chan func(*node.Node, time.Duration)),
		done:       make(chan struct{}),
	}
}

// Submit queues an event. It does nothing after the loop has ended.
func (l *Loop) Submit(e node.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// Do runs f on the goroutine of the loop and waits for it to return. It returns
// false if the loop has ended.
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

// DoAndDispatch runs f like Do and dispatches the effects that it returns.
func (l *Loop) DoAndDispatch(f func(n *node.Node, now time.Duration) []node.Effect) bool {
	return l.Do(func(n *node.Node, now time.Duration) {
		effects := f(n, now)
		if l.recorder != nil {
			l.recorder.RecordExternalChange(now)
		}
		l.dispatchAll(effects)
	})
}

// Run processes events until ctx is done. It must be called at most once.
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
		l.stepIfDue()
		timer.Reset(min(max(l.node.NextWake()-l.clock.Now(), 0), maxSleep))
	}
}

// stepIfDue steps the node if its wake time has passed. It is called after every
// event because under load the select may keep choosing events over the timer.
func (l *Loop) stepIfDue() {
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
	l.dispatchAll(effects)
}

func (l *Loop) dispatchAll(effects []node.Effect) {
	for _, e := range effects {
		l.dispatcher.Dispatch(l.node, e)
	}
}
