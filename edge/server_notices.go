package edge

import (
	"log/slog"
	"time"

	"foxtailspoke/backoff"
	"foxtailspoke/event"
	"foxtailspoke/platform"
	"foxtailspoke/upstream"
)

// updateBackoff applies the Retry-After of a server's rejection. The lock must be
// held.
func (e *Edge) updateBackoff(a *attempt, now time.Duration) {
	if a.answer.Outcome != upstream.Completed {
		return
	}
	server := a.choice.Server
	d, named, err := platform.ServerRetryAfter(a.answer.Status, a.answer.Header)
	if err != nil && e.budget.Allow(now, routineLogShare) {
		event.EntryIgnored.Log(e.log, slog.String("server", server.ID), slog.Any("error", err))
	}
	if !named {
		return
	}
	run := backoff.Run{ID: server.ID, StartTimeMS: server.StartTimeMS}
	known := e.state.backoffs.Remaining(run, now) > 0
	e.state.backoffs.Extend(run, d, now)
	if !known && e.budget.Allow(now, routineLogShare) {
		event.ServerBackoff.Log(e.log, slog.String("server", server.ID), slog.String("service", server.Service),
			slog.Int64("retry_after_ms", d.Milliseconds()))
	}
}
