package callers

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/claim"
	"foxtailspoke/decision"
	"foxtailspoke/entry/attempt"
)

// readBody buffers the beginning of the request body, within the size limits.
func (c *Service) readBody(w http.ResponseWriter, r *http.Request) (*attempt.Body, error) {
	if r.ContentLength > c.settings.MaxBodyBytes {
		return nil, errTooLarge
	}
	return attempt.ReadBody(http.MaxBytesReader(w, r.Body, c.settings.MaxBodyBytes), r.ContentLength, c.settings.MaxBufferedBytes)
}

// refuseBody refuses a request whose body cannot be read.
func (c *Service) refuseBody(w http.ResponseWriter, r *http.Request, id string, err error) {
	record := c.malformedRecord(r, id, "its body didn't arrive whole")
	var maxBytesErr *http.MaxBytesError
	if errors.Is(err, errTooLarge) || errors.As(err, &maxBytesErr) {
		record.Rule = decision.RuleTooLarge
		record.Figures = decision.Figures{Size: max(r.ContentLength, 0), MaxSize: c.settings.MaxBodyBytes}
	}
	c.refuseLocally(w, r, record)
}

// refuseLocally refuses a request without submitting it to the node.
func (c *Service) refuseLocally(w http.ResponseWriter, r *http.Request, record decision.Record) {
	c.metrics.Answered(record.Outcome, record.Rule)
	c.record(record)
	c.writeRefusal(w, r, record, nil)
}

// refuseMalformed refuses a request that is invalid for every caller.
func (c *Service) refuseMalformed(w http.ResponseWriter, r *http.Request, reason string) {
	id := decision.NewRequestID(c.instance, time.Now(), c.requestNumber.Add(1))
	c.refuseLocally(w, r, c.malformedRecord(r, id, reason))
}

func (c *Service) malformedRecord(r *http.Request, id, reason string) decision.Record {
	return decision.Record{
		Request:  id,
		At:       time.Now(),
		Instance: c.instance,
		Method:   r.Method,
		Outcome:  decision.NotRun,
		Rule:     decision.RuleBadRequest,
		Figures:  decision.Figures{Detail: reason},
	}
}

// digest hashes what a retry under the same idempotency key must have in common
// with the first request: method, path, query, body length and the buffered part
// of the body.
func digest(r *http.Request, b *attempt.Body) claim.Digest {
	h := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI()} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	h.Write(binary.AppendVarint(nil, b.Length()))
	bodyHash := b.Digest()
	h.Write(bodyHash[:])
	return claim.Digest(h.Sum(nil))
}
