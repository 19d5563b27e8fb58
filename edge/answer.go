package edge

import (
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/freshness"
	"foxtailspoke/platform"
)

// routineLogShare of the log's budget is for lines that tell the usual; the rest is
// kept for refusals and failures.
const routineLogShare = 0.5

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// answerCaller serves one request of a caller.
func (e *Edge) answerCaller(w http.ResponseWriter, r *http.Request) {
	if e.stopping.Load() {
		// The caller opens its next connection elsewhere; what it sends on
		// this one until then is still served.
		w.Header().Set("Connection", "close")
	}
	c, v := e.open(r)
	if e.closing.Load() {
		v = &verdict{http.StatusServiceUnavailable, RuleStopping, comeBackElsewhere}
	}
	if v == nil {
		v = e.readBody(c, w, r)
	}
	if v != nil {
		e.refuse(w, c, v)
		return
	}
	c.header = forwarded(r.Header)
	a, v := e.run(r.Context(), c)
	switch {
	case r.Context().Err() != nil:
		e.logRequest(c, 0, RuleCallerLeft, a)
	case v != nil:
		e.refuse(w, c, v)
	default:
		e.deliver(w, c, a)
	}
}

// forwarded returns the headers that a server gets. The key is for this fleet
// only, and nobody but this fleet says which workspace or server is meant.
func forwarded(h http.Header) http.Header {
	out := withoutHop(h)
	for _, name := range []string{
		platform.HeaderKey, platform.HeaderWorkspace, platform.HeaderExpect, platform.HeaderDeadline,
	} {
		out.Del(name)
	}
	return out
}

func withoutHop(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				out.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// deliver passes a server's answer on.
func (e *Edge) deliver(w http.ResponseWriter, c *call, a *attempt) {
	h := w.Header()
	for name, values := range withoutHop(a.answer.Header) {
		h[name] = values
	}
	if c.method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.answer.Body)))
	}
	if e.stopping.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(a.answer.Status)
	// A caller that has gone can't be told; the server closes the connection.
	_, _ = w.Write(a.answer.Body)
	rule := RuleServed
	if a.answer.Status >= http.StatusInternalServerError {
		rule = RuleServerFailed
	}
	e.logRequest(c, a.answer.Status, rule, a)
}

// refuse answers a request that no server has answered.
func (e *Edge) refuse(w http.ResponseWriter, c *call, v *verdict) {
	h := w.Header()
	if c.id != "" {
		h.Set(platform.HeaderAttempt, c.id)
	}
	if v.retryAfter > 0 {
		h.Set("Retry-After", platform.FormatRetryAfter(v.retryAfter))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(v.status)
	_, _ = w.Write([]byte(string(v.rule) + "\n"))
	e.logRequest(c, v.status, v.rule, nil)
}

// logRequest writes how a request ended and the figures that decided it.
func (e *Edge) logRequest(c *call, status int, rule Rule, a *attempt) {
	now := e.now()
	e.metrics.ended(rule, now-c.start)
	weight := 1.0
	if rule == RuleServed {
		weight = routineLogShare
	}
	if !e.budget.Take(now, weight) {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.Int("status", status), slog.String("rule", string(rule)),
		slog.Int64("took_ms", (now - c.start).Milliseconds()),
		slog.Uint64("version", uint64(c.version)), ageAttr(c.keyAge),
	}
	if c.route != nil {
		attrs = append(attrs, slog.String("route", c.route.Name), slog.String("service", c.service),
			slog.Int64("aim_ms", c.route.LatencyTarget.Milliseconds()))
	}
	if c.workspace != nil {
		e.mu.Lock()
		tokens, share := e.state.usage.Tokens(workspaceHash(c.workspace.Name), now), e.state.usage.RateShare
		e.mu.Unlock()
		attrs = append(attrs, slog.String("workspace", c.workspace.Name),
			slog.Float64("rate", c.workspace.Rate), slog.Float64("burst", c.workspace.Burst),
			slog.Float64("tokens", round(tokens)), slog.Float64("share", round(share)))
	}
	if a != nil {
		attrs = append(attrs, slog.String("server", a.choice.Server.ID), slog.Int("attempt", a.number),
			slog.Int("outstanding", a.choice.Outstanding), slog.Float64("risk", round(a.choice.Risk)))
	}
	event.RequestEnded.Log(e.log, attrs...)
}

// leftOutEvery is how often the number of lines that were left out is logged.
const leftOutEvery = 10 * time.Second

// logDroppedLines logs how many lines were left out, if any were.
func (e *Edge) logDroppedLines(now time.Duration) {
	s := &e.state
	count := e.budget.LeftOut() + e.lines.Dropped()
	if count == s.leftOut || now-s.leftOutAt < leftOutEvery {
		return
	}
	s.leftOut, s.leftOutAt = count, now
	event.LinesLeftOut.Log(e.log, slog.Uint64("count", count))
}

// ageAttr is the attribute of an age, left out if it isn't known.
func ageAttr(d time.Duration) slog.Attr {
	if d == freshness.UnknownAge {
		return slog.Attr{}
	}
	return slog.Int64("age_ms", d.Milliseconds())
}

// milli is whole milliseconds; -1 for an age that isn't known.
func milli(d time.Duration) int64 {
	if d > time.Hour {
		return -1
	}
	return d.Milliseconds()
}

func round(x float64) float64 { return math.Round(x*1000) / 1000 }
