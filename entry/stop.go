package entry

import (
	"context"
	"log/slog"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/node"
	"foxtailspoke/storage"
)

const (
	// handOverCheck is how often a stopping instance looks whether its parts
	// and its seat have gone to others.
	handOverCheck = 50 * time.Millisecond
	// lastWords bounds the last batch of records and the last announcement.
	lastWords = 2 * time.Second
)

// stop is the planned stop. The order matters: the instance first leaves the
// answers to locate, goes on serving until the answers that name it have run
// out and its parts have moved, and closes its listener only then. A caller
// never finds the address that it was given closed.
func (e *Entry) stop(ended <-chan struct{}) {
	event.Stopping.Log(e.log, slog.String("instance", e.self.ID))
	e.leaving.Store(true)
	e.tell(storage.Leaving)
	e.loop.Submit(node.LeaveRequested{})
	select {
	case <-time.After(time.Duration(e.settings.Fleet.LocateTTL)):
	case <-ended:
		return
	}
	e.awaitHandOver()
	cut := e.finishRequests()
	ctx, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	e.records.Flush(ctx)
	e.tell(storage.Ended)
	event.Stopped.Log(e.log, slog.String("instance", e.self.ID), slog.Int("cut", cut))
}

// tell announces a state once. A lost announcement is made good by the
// announcer, or by the platform noticing that the instance is silent.
func (e *Entry) tell(state storage.State) {
	ctx, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	self := e.self
	self.State = state
	_ = e.client.Announce(ctx, self)
}

// awaitHandOver waits for the instance's parts and seat to go to others, but
// not longer than the patience: with the platform away they can't.
func (e *Entry) awaitHandOver() {
	deadline := time.Now().Add(time.Duration(e.settings.Stop.Timeout))
	for time.Now().Before(deadline) {
		done := true
		e.loop.Do(func(n *node.Node, _ time.Duration) { done = !n.HoldsParts() && !n.IsWitness() })
		if done {
			return
		}
		time.Sleep(handOverCheck)
	}
}

// finishRequests stops to accept connections and waits for the requests in
// progress. It returns how many had to be cut.
func (e *Entry) finishRequests() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.Stop.Timeout))
	defer cancel()
	_ = e.callerServer.Shutdown(ctx)
	cut := e.callers.Drain(ctx)
	if cut > 0 {
		// Callers that still wait are told how their requests ended.
		ctx, cancel := context.WithTimeout(context.Background(), lastWords)
		defer cancel()
		_ = e.callerServer.Shutdown(ctx)
	}
	return max(cut, e.callers.InFlight())
}
