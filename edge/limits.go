package edge

import (
	"log/slog"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/health"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
	"foxtailspoke/upstream"
)

// noteLimit takes in what an answer says of its server's limit. The lock must be
// held.
func (e *Edge) noteLimit(a *attempt, now time.Duration) {
	if a.answer.Outcome != upstream.Answered || a.result == health.Mismatch || a.result == health.NotRun {
		return
	}
	limit, named, err := platform.ServerLimit(a.answer.Header)
	if err != nil {
		if e.budget.Take(now, quietShare) {
			event.EntryIgnored.Log(e.log, slog.String("server", a.choice.Server.ID), slog.Any("error", err))
		}
		return
	}
	hash := placement.Hash(a.choice.Server.ID)
	before, limited := e.state.limits[hash]
	if named == limited && limit == before {
		return
	}
	if named {
		e.state.limits[hash] = limit
	} else {
		delete(e.state.limits, hash)
	}
	event.ServerLimited.Log(e.log, slog.String("server", a.choice.Server.ID), slog.String("service", a.choice.Server.Service),
		slog.Float64("limit", limit), slog.Float64("before", before))
}
