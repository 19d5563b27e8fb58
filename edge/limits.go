package edge

import (
	"log/slog"
	"math"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
)

// limitPropagationDelay is the time that another instance may take to learn of a
// response that sets a limit. A response without a limit does not end the limit if
// another instance sent its request within this time after the limit was set.
const limitPropagationDelay = time.Second

// updateLimit applies the limit in a server's response and returns the limit to
// announce to the other instances, if any. The lock must be held.
func (e *Edge) updateLimit(a *attempt, now time.Duration) *uint32 {
	if !a.answeredByServer() {
		return nil
	}
	hash := placement.Hash(a.choice.Server.ID)
	limit, named, err := platform.ServerLimit(a.answer.Header)
	switch {
	case err != nil:
		if e.budget.Allow(now, routineLogShare) {
			event.EntryIgnored.Log(e.log, slog.String("server", a.choice.Server.ID), slog.Any("error", err))
		}
		return nil
	case named:
		milli := milliPerSecond(limit)
		e.setLimit(hash, *milli, now)
		return milli
	case a.result == health.OK && a.answer.Header.Get(platform.HeaderResponseSeal) == "":
		// An unsigned error may not come from the server itself, so it does not end
		// the limit.
		return e.knownLimit(hash)
	case a.result == health.OK && e.state.throttle.LimitOlderThan(hash, a.start):
		e.clearLimit(hash, now)
	}
	return nil
}

// knownLimit returns the limit that the server last set, to announce to the other
// instances.
func (e *Edge) knownLimit(server uint32) *uint32 {
	limit, limited := e.state.throttle.Limit(server)
	if !limited {
		return nil
	}
	return milliPerSecond(limit)
}

// milliPerRequest converts requests per second to thousandths of a request per
// second.
const milliPerRequest = 1000

func milliPerSecond(perSecond float64) *uint32 {
	m := uint32(math.Min(math.Round(perSecond*milliPerRequest), math.MaxUint32))
	return &m
}

// applyPeerLimit applies the limit in a server's response to another instance. The
// lock must be held.
func (e *Edge) applyPeerLimit(a evidence.Attempt, now time.Duration) {
	if a.LimitMilli != nil {
		e.setLimit(a.Server, *a.LimitMilli, now)
		return
	}
	start := now - milliseconds(a.LatencyMS)
	if a.Result == health.OK && a.LatencyMS > 0 && e.state.throttle.LimitOlderThan(a.Server, start-limitPropagationDelay) {
		e.clearLimit(a.Server, now)
	}
}

func (e *Edge) setLimit(server, milli uint32, now time.Duration) {
	perSecond := float64(milli) / milliPerRequest
	before, limited := e.state.throttle.Limit(server)
	e.state.throttle.SetLimit(server, perSecond, now)
	if !limited || before != perSecond {
		e.logLimit(server, slog.Float64("limit", perSecond), slog.Float64("before", before), now)
	}
}

func (e *Edge) clearLimit(server uint32, now time.Duration) {
	before, _ := e.state.throttle.Limit(server)
	e.state.throttle.RemoveLimit(server)
	e.logLimit(server, slog.Float64("limit", 0), slog.Float64("before", before), now)
}

func (e *Edge) logLimit(server uint32, limit, before slog.Attr, now time.Duration) {
	if entry, known := e.state.placer.Server(server); known && e.budget.Allow(now, routineLogShare) {
		event.ServerLimited.Log(e.log, slog.String("server", entry.ID), slog.String("service", entry.Service), limit, before)
	}
}
