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

// routineLogShare is the part of the log budget that routine lines may use. The
// rest is reserved for refusals and failures.
const routineLogShare = 0.5

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// handleRequest serves one request of a caller.
func (e *Edge) handleRequest(w http.ResponseWriter, r *http.Request) {
	if e.stopping.Load() {
		// The caller opens its next connection to another instance. Requests on this
		// connection are still served until then.
		w.Header().Set("Connection", "close")
	}
	c, v := e.newCall(r)
	defer e.releaseBody(c)
	if e.closing.Load() {
		v = &refusal{http.StatusServiceUnavailable, RuleStopping, retryAfterElsewhere}
	}
	if v == nil {
		v = e.readBody(c, w, r)
	}
	if v != nil {
		e.writeRefusal(w, c, v)
		return
	}
	c.header = upstreamHeader(r.Header)
	a, v := e.run(r.Context(), c)
	switch {
	case r.Context().Err() != nil:
		e.logRequest(c, 0, RuleCallerLeft, a)
	case v != nil:
		e.writeRefusal(w, c, v)
	default:
		e.writeResponse(w, c, a)
	}
}

// upstreamHeader returns the headers to forward to a backend server. It removes
// the API key, which only the fleet may see, and the headers that name the
// workspace and the server, which only the fleet may set.
func upstreamHeader(h http.Header) http.Header {
	out := withoutHopByHop(h)
	for _, name := range []string{
		platform.HeaderAuthorization, platform.HeaderWorkspace, platform.HeaderExpectInstance, platform.HeaderDeadline,
	} {
		out.Del(name)
	}
	return out
}

func withoutHopByHop(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				out.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// writeResponse forwards a backend server's response to the caller.
func (e *Edge) writeResponse(w http.ResponseWriter, c *call, a *attempt) {
	h := w.Header()
	for name, values := range withoutHopByHop(a.answer.Header) {
		h[name] = values
	}
	if c.method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.answer.Body)))
	}
	if e.stopping.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(a.answer.Status)
	// A write error means that the caller has disconnected.
	if o, ok := w.(interface{ WriteOwned(b []byte) }); ok {
		o.WriteOwned(a.answer.Body)
	} else {
		_, _ = w.Write(a.answer.Body)
	}
	rule := RuleServed
	if a.answer.Status >= http.StatusInternalServerError {
		rule = RuleServerFailed
	}
	e.logRequest(c, a.answer.Status, rule, a)
}

// writeRefusal responds to a request for which there is no response from a backend
// server.
func (e *Edge) writeRefusal(w http.ResponseWriter, c *call, v *refusal) {
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

// logRequest logs the outcome of a request with the values that led to it.
func (e *Edge) logRequest(c *call, status int, rule Rule, a *attempt) {
	now := e.now()
	e.metrics.observeRequest(rule, now-c.start)
	weight := 1.0
	if rule == RuleServed {
		weight = routineLogShare
	}
	if !e.budget.Allow(now, weight) {
		return
	}
	attrs := []slog.Attr{
		slog.String("request", c.id), slog.Int("status", status), slog.String("rule", string(rule)),
		slog.Int64("took_ms", (now - c.start).Milliseconds()),
		slog.Uint64("version", uint64(c.version)), ageAttr(c.configAge),
	}
	attrs = append(attrs, c.copies.logAttrs()...)
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
			slog.Float64("tokens", round3(tokens)), slog.Float64("share", round3(share)))
		if rule == RuleOverRate {
			attrs = append(attrs, slog.Float64("reserved", round3(c.reserved)))
		}
	}
	if a != nil {
		attrs = append(attrs, slog.String("server", a.choice.Server.ID), slog.Int("attempt", a.number),
			slog.Int("outstanding", a.choice.Outstanding), slog.Float64("risk", round3(a.choice.Risk)))
	}
	event.RequestEnded.Log(e.log, attrs...)
}

// droppedLinesLogInterval is the minimum time between two log lines about dropped
// log lines.
const droppedLinesLogInterval = 10 * time.Second

// logDroppedLines logs the number of dropped log lines if it has changed.
func (e *Edge) logDroppedLines(now time.Duration) {
	s := &e.state
	count := e.budget.Suppressed() + e.logWriter.Dropped()
	if count == s.loggedDroppedLines || now-s.droppedLinesLoggedAt < droppedLinesLogInterval {
		return
	}
	s.loggedDroppedLines, s.droppedLinesLoggedAt = count, now
	event.LogLinesDropped.Log(e.log, slog.Uint64("count", count))
}

// ageAttr returns the log attribute of an age, or an empty attribute if the age is
// unknown.
func ageAttr(d time.Duration) slog.Attr {
	if d == freshness.UnknownAge {
		return slog.Attr{}
	}
	return slog.Int64("age_ms", d.Milliseconds())
}

// millisOrUnknown returns d in milliseconds, or -1 if the age is unknown.
func millisOrUnknown(d time.Duration) int64 {
	if d > time.Hour {
		return -1
	}
	return d.Milliseconds()
}

func round3(x float64) float64 { return math.Round(x*1000) / 1000 }
