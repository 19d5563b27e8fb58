package edge

import (
	"log/slog"
	"net/http"
	"time"

	"foxtailspoke/backoff"
	"foxtailspoke/event"
	"foxtailspoke/health"
	"foxtailspoke/platform"
	"foxtailspoke/upstream"
)

// answeredByServer reports whether the attempt's response comes from the chosen server,
// not from another one that has its address now.
func (a *attempt) answeredByServer() bool {
	return a.answer.Outcome == upstream.Completed && a.result != health.Mismatch && a.answer.Status != http.StatusMisdirectedRequest
}

// updateLeaving applies a server's announcement that it is about to stop. The lock
// must be held.
func (e *Edge) updateLeaving(a *attempt, now time.Duration) {
	if !a.answeredByServer() || !platform.ServerLeaving(a.answer.Header) {
		return
	}
	server := a.choice.Server
	c, changed := e.state.serverList.MarkLeaving(server.ID, server.StartTimeMS, now)
	if !changed {
		return
	}
	e.applyServerChange(c, now)
	event.ServerLeaving.Log(e.log, slog.String("server", server.ID), slog.String("service", server.Service))
}

// updateBackoff applies the Retry-After of a server's rejection. The lock must be
// held.
func (e *Edge) updateBackoff(a *attempt, now time.Duration) {
	if !a.answeredByServer() {
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
