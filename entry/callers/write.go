package callers

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"foxtailspoke/api/caller/oas"
	"foxtailspoke/decision"
	"foxtailspoke/entry/attempt"
	"foxtailspoke/node"
	"foxtailspoke/wire"
)

// problemType is the media type of problem details (RFC 9457).
const problemType = "application/problem+json"

// write sends the response that the node decided on.
func (c *Service) write(w http.ResponseWriter, r *http.Request, x *exchange, a answer, start time.Time) {
	switch {
	case a.refusal != nil:
		c.metrics.Answered(a.refusal.Outcome, a.refusal.Rule)
		if a.refusal.Attempts == 0 {
			c.metrics.Added(time.Since(start))
		}
		c.writeRefusal(w, r, *a.refusal, a.addresses)
	case a.stored != nil:
		c.metrics.Answered(decision.RanBefore, decision.RuleServed)
		c.metrics.Added(time.Since(start))
		c.setResponseHeaders(w, r, x.id, decision.RanBefore)
		w.Header().Set("Content-Type", a.stored.ContentType)
		w.Header().Set("Content-Length", strconv.Itoa(len(a.stored.Body)))
		w.WriteHeader(a.stored.Status)
		_, _ = w.Write(a.stored.Body)
	case a.outcome != nil:
		c.metrics.Answered(decision.Served, decision.RuleServed)
		c.metrics.Added(time.Since(start) - a.outcome.Latency)
		c.relay(w, r, x, a)
	}
}

// setResponseHeaders sets the write deadline and the headers that every response
// of this instance carries.
func (c *Service) setResponseHeaders(w http.ResponseWriter, r *http.Request, id string, o decision.Outcome) {
	h := w.Header()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(c.settings.WriteTimeout))
	h.Set(wire.HeaderRequest, id)
	h.Set(wire.HeaderOutcome, string(o))
	if r.Header.Get(wire.HeaderForwarded) != "" {
		h.Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	}
}

// relay sends the response of a backend server or of another entry instance to
// the caller.
func (c *Service) relay(w http.ResponseWriter, r *http.Request, x *exchange, a answer) {
	o := *a.outcome
	attempt.CopyResponseHeader(w.Header(), o.Header)
	c.setResponseHeaders(w, r, x.id, decision.Served)
	if a.forwarded {
		w.Header().Set(wire.HeaderOutcome, o.Header.Get(wire.HeaderOutcome))
		w.Header().Set(wire.HeaderRequest, o.Header.Get(wire.HeaderRequest))
	}
	w.WriteHeader(o.Status)
	to := callerWriter{w: w, timeout: c.settings.WriteTimeout}
	_, err := to.Write(o.Body)
	if o.Rest == nil {
		return
	}
	if err == nil {
		_, err = io.Copy(&to, o.Rest)
	}
	if to.failed {
		// The caller has disconnected or does not read. StreamEnded alone would
		// make the node count the truncated response against the backend server.
		c.loop.Submit(node.RequestGone{Request: x.id})
	}
	c.loop.Submit(node.StreamEnded{Attempt: a.attempt, Whole: err == nil})
	if err != nil {
		// Returning normally would make a truncated chunked response look
		// complete to the caller. Aborting the handler closes the connection
		// instead.
		closeRest(o)
		c.remove(x, a.attempt)
		panic(http.ErrAbortHandler)
	}
}

// callerWriter writes to a caller and fails if a write blocks for the timeout.
// Otherwise a caller that stops reading would keep its exchange and the
// connection to the backend server open indefinitely.
type callerWriter struct {
	w       http.ResponseWriter
	timeout time.Duration
	// failed means that a write to the caller failed.
	failed bool
}

// Write implements io.Writer.
func (cw *callerWriter) Write(b []byte) (int, error) {
	_ = http.NewResponseController(cw.w).SetWriteDeadline(time.Now().Add(cw.timeout))
	n, err := cw.w.Write(b)
	cw.failed = cw.failed || err != nil
	return n, err
}

// writeRefusal responds with problem details.
func (c *Service) writeRefusal(w http.ResponseWriter, r *http.Request, record decision.Record, addresses []string) {
	c.setResponseHeaders(w, r, record.Request, record.Outcome)
	p := problem(record, addresses)
	if s, ok := p.RetryAfterSeconds.Get(); ok {
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	body, err := json.Marshal(&p)
	if err != nil {
		body = []byte(`{}`)
	}
	w.Header().Set("Content-Type", problemType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// problem returns the problem details of a refusal.
func problem(record decision.Record, addresses []string) oas.Problem {
	info := record.Rule.Info()
	p := oas.Problem{
		Type:      "urn:foxtailspoke:rule:" + string(record.Rule),
		Title:     info.Title,
		Status:    info.Status,
		Detail:    record.Sentence(),
		Outcome:   oas.ProblemOutcome(record.Outcome),
		Rule:      string(record.Rule),
		Request:   record.Request,
		Addresses: addresses,
	}
	if info.RetryAfter && record.RetryAfter > 0 {
		p.RetryAfterSeconds.SetTo(wholeSeconds(record.RetryAfter))
	}
	return p
}

// wholeSeconds rounds up: a caller that retries too early is refused again.
func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
