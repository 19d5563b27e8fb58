package edge

import (
	"log/slog"
	"math"
	"net/http"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
	"foxtailspoke/upstream"
)

// limitMargin is how long another instance may take to learn of an answer that names
// a limit. An answer to a request that another instance sent within that time after
// it doesn't end the limit.
const limitMargin = time.Second

// updateLimit takes in what an answer says of its server's limit, and returns the
// limit that it names for the other instances. The lock must be held.
func (e *Edge) updateLimit(a *attempt, now time.Duration) *uint32 {
	if a.answer.Outcome != upstream.Completed || a.result == health.Mismatch || a.answer.Status == http.StatusMisdirectedRequest {
		return nil
	}
	hash := placement.Hash(a.choice.Server.ID)
	limit, named, err := platform.ServerLimit(a.answer.Header)
	switch {
	case err != nil:
		if e.budget.Take(now, routineLogShare) {
			event.EntryIgnored.Log(e.log, slog.String("server", a.choice.Server.ID), slog.Any("error", err))
		}
		return nil
	case named:
		milli := milliPerSecond(limit)
		e.limit(hash, *milli, now)
		return milli
	case a.result == health.OK && a.answer.Header.Get(platform.HeaderProof) == "":
		// An error that nobody has signed may not come from the server itself.
		return e.knownLimit(hash)
	case a.result == health.OK && e.state.throttle.LimitOlderThan(hash, a.start):
		e.unlimit(hash, now)
	}
	return nil
}

// knownLimit is the limit that a server last named, for the other instances.
func (e *Edge) knownLimit(server uint32) *uint32 {
	limit, limited := e.state.throttle.Limit(server)
	if !limited {
		return nil
	}
	return milliPerSecond(limit)
}

// perMilli is how many thousandths make a request a second.
const perMilli = 1000

func milliPerSecond(perSecond float64) *uint32 {
	m := uint32(math.Min(math.Round(perSecond*perMilli), math.MaxUint32))
	return &m
}

// applyPeerLimit takes in what an answer to another instance says of its server's
// limit. The lock must be held.
func (e *Edge) applyPeerLimit(a evidence.Attempt, now time.Duration) {
	if a.LimitMilli != nil {
		e.limit(a.Server, *a.LimitMilli, now)
		return
	}
	start := now - milliseconds(a.LatencyMS)
	if a.Result == health.OK && a.LatencyMS > 0 && e.state.throttle.LimitOlderThan(a.Server, start-limitMargin) {
		e.unlimit(a.Server, now)
	}
}

func (e *Edge) limit(server, milli uint32, now time.Duration) {
	perSecond := float64(milli) / perMilli
	before, limited := e.state.throttle.Limit(server)
	e.state.throttle.SetLimit(server, perSecond, now)
	if !limited || before != perSecond {
		e.logLimit(server, slog.Float64("limit", perSecond), slog.Float64("before", before), now)
	}
}

func (e *Edge) unlimit(server uint32, now time.Duration) {
	before, _ := e.state.throttle.Limit(server)
	e.state.throttle.RemoveLimit(server)
	e.logLimit(server, slog.Float64("limit", 0), slog.Float64("before", before), now)
}

func (e *Edge) logLimit(server uint32, limit, before slog.Attr, now time.Duration) {
	if entry, known := e.state.placer.Server(server); known && e.budget.Take(now, routineLogShare) {
		event.ServerLimited.Log(e.log, slog.String("server", entry.ID), slog.String("service", entry.Service), limit, before)
	}
}
