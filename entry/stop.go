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
	// handOverPollInterval is how often a stopping instance checks whether
	// other instances have taken over its quota parts and witness seat.
	handOverPollInterval = 50 * time.Millisecond
	// finalCallTimeout bounds the final flush of records, each announcement of
	// a stop, and the delivery of final answers to callers.
	finalCallTimeout = 2 * time.Second
)

// stop performs the planned stop. The order matters: the instance is first
// removed from locate answers, serves until the answers that name it have
// expired and its parts have moved, and only then closes its listener. So
// callers never get a closed address from a locate answer that is still valid.
func (e *Entry) stop(ended <-chan struct{}) {
	event.Stopping.Log(e.log, slog.String("instance", e.self.ID))
	e.leaving.Store(true)
	e.announceState(storage.Leaving)
	e.loop.Submit(node.LeaveRequested{})
	select {
	case <-time.After(time.Duration(e.settings.Fleet.LocateTTL)):
	case <-ended:
		return
	}
	e.awaitHandOver()
	cut := e.finishRequests()
	ctx, cancel := context.WithTimeout(context.Background(), finalCallTimeout)
	defer cancel()
	e.records.Flush(ctx)
	e.announceState(storage.Ended)
	event.Stopped.Log(e.log, slog.String("instance", e.self.ID), slog.Int("cut", cut))
}

// announceState announces a state once, without a retry. If the announcement is
// lost, the announcer repeats it or the platform detects the silent instance.
func (e *Entry) announceState(state storage.State) {
	ctx, cancel := context.WithTimeout(context.Background(), finalCallTimeout)
	defer cancel()
	self := e.self
	self.State = state
	_ = e.client.Announce(ctx, self)
}

// awaitHandOver waits until other instances have taken over the instance's
// parts and seat, at most for the stop timeout: while the platform is
// unavailable no hand-over is possible.
func (e *Entry) awaitHandOver() {
	deadline := time.Now().Add(time.Duration(e.settings.Stop.Timeout))
	for time.Now().Before(deadline) {
		done := true
		e.loop.Do(func(n *node.Node, _ time.Duration) { done = !n.HoldsParts() && !n.IsWitness() })
		if done {
			return
		}
		time.Sleep(handOverPollInterval)
	}
}

// finishRequests stops accepting connections and waits for the requests in
// progress. It returns the number of requests that were aborted.
func (e *Entry) finishRequests() int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.Stop.Timeout))
	defer cancel()
	_ = e.callerServer.Shutdown(ctx)
	cut := e.callers.Drain(ctx)
	if cut > 0 {
		// Let callers that still wait receive the outcome of their requests.
		ctx, cancel := context.WithTimeout(context.Background(), finalCallTimeout)
		defer cancel()
		_ = e.callerServer.Shutdown(ctx)
	}
	return max(cut, e.callers.InFlight())
}
