package edge

import (
	"log/slog"
	"slices"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/mechanism"
	"foxtailspoke/memory"
	"foxtailspoke/placement"
)

// addServerBytes adds the body of a request to what this instance has outstanding at a server.
// The lock must be held, as for the other functions of this file.
func (e *Edge) addServerBytes(a *attempt, change int) {
	own, h := e.state.ownBytes, placement.Hash(a.choice.Server.ID)
	if own[h] += int64(change); own[h] <= 0 {
		delete(own, h)
	}
	e.state.serverBytes.ChangeBody(h, e.self, int64(change))
}

// reportServerBytes records what this instance has outstanding at a server, and returns it in KiB
// for the other instances, or 0 if it is too little.
func (e *Edge) reportServerBytes(server uint32) uint32 {
	bytes := e.state.ownBytes[server]
	if bytes < memory.ReportedBytes {
		bytes = 0
	}
	held := e.state.serverBytes
	held.Set(server, e.self, bytes, held.Bodies(server, e.self), e.now())
	return uint32(bytes >> 10)
}

// applyServerBytes applies what another instance reports with an attempt.
func (e *Edge) applyServerBytes(from uint32, a evidence.Attempt, latest bool, now time.Duration) {
	if latest {
		e.state.serverBytes.SetReported(a.Server, from, int64(a.HeldKB)<<10, int(a.Outstanding), now)
	}
	if server, known := e.state.placer.Server(a.Server); known && a.EndedHeldKB > 0 {
		e.boundServers(server, int64(a.EndedHeldKB)<<10, now)
	}
}

// endsOverloaded reports whether an end of the server wouldn't be due to one of its requests.
func (e *Edge) endsOverloaded(server discovery.Server, now time.Duration) bool {
	return e.mechanisms.Enabled(mechanism.ServerMemory) &&
		e.state.serverBytes.EndedOverloaded(placement.Hash(server.ID), now)
}

// recordOverloadedEnd records that a server ended, or may have, during an attempt. It returns the
// KiB that it held if it ended because of them.
func (e *Edge) recordOverloadedEnd(a *attempt, now time.Duration) uint32 {
	server := a.choice.Server
	if a.result != health.Incomplete || server.Draining {
		return 0
	}
	hash := placement.Hash(server.ID)
	e.state.serverBytes.RecordInterruption(hash, now)
	held := e.state.serverBytes.HeldAtEnd(hash, now)
	if !a.answer.ServerEnded || held < memory.OverloadBytes {
		return 0
	}
	e.boundServers(server, held, now)
	return uint32(held >> 10)
}

// recordOverloadedFormerRun records the end of a server whose entry has disappeared or names a
// later start.
func (e *Edge) recordOverloadedFormerRun(former discovery.Server, removed bool, now time.Duration) {
	hash := placement.Hash(former.ID)
	held := e.state.serverBytes.HeldWhenInterrupted(hash, now)
	if !removed {
		held = e.state.serverBytes.HeldAtEnd(hash, now)
	}
	if held >= memory.OverloadBytes {
		e.boundServers(former, held, now)
	}
}

// boundServers bounds what the servers of a service get after one of them ended.
func (e *Edge) boundServers(ended discovery.Server, bytes int64, now time.Duration) {
	if !e.mechanisms.Enabled(mechanism.ServerMemory) {
		return
	}
	held, run := e.state.serverBytes, uint32(serverRun(ended))
	_, isNew := held.RecordEnd(ended.Service, run, bytes, now)
	limit := held.RaiseLimit(ended.Service, run, held.LongestAtEnd(placement.Hash(ended.ID), now), now)
	if isNew && e.budget.Allow(now, 1) {
		event.ServersBounded.Log(e.log, slog.String("server", ended.ID), slog.String("service", ended.Service),
			slog.Int64("held_kb", bytes>>10), slog.Int64("limit_kb", limit>>10))
	}
}

// excludeFullServers excludes the servers that a request would bring above the bound of its
// service, and reports whether there are any. It returns a refusal if the request alone is above.
func (e *Edge) excludeFullServers(c *call, r *placement.Request, now time.Duration) (full bool, _ *refusal) {
	n := int64(len(c.body))
	limit, bounded := e.state.serverBytes.Limit(c.service, now)
	if !bounded || n < memory.ReportedBytes {
		return false, nil
	}
	if n > limit {
		return true, e.noMemoryRefusal(e.state.serverBytes.Wait(c.service, n, now))
	}
	r.TriedServers = slices.Clone(r.TriedServers)
	for _, hash := range e.state.serverBytes.Full(limit, n, now) {
		if server, known := e.state.placer.Server(hash); known && server.Service == c.service {
			r.TriedServers = append(r.TriedServers, server.ID)
			full = true
		}
	}
	return full, nil
}
