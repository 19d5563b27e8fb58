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

// readBody holds the beginning of the body, within the bounds.
func (c *Service) readBody(w http.ResponseWriter, r *http.Request) (*attempt.Body, error) {
	if r.ContentLength > c.settings.MaxBodyBytes {
		return nil, errTooLarge
	}
	return attempt.ReadBody(http.MaxBytesReader(w, r.Body, c.settings.MaxBodyBytes), r.ContentLength, c.settings.MaxBufferedBytes)
}

// refuseBody answers a request whose body can't be read.
func (c *Service) refuseBody(w http.ResponseWriter, r *http.Request, id string, err error) {
	record := c.malformed(r, id, "its body didn't arrive whole")
	var tooMuch *http.MaxBytesError
	if errors.Is(err, errTooLarge) || errors.As(err, &tooMuch) {
		record.Rule = decision.RuleTooLarge
		record.Figures = decision.Figures{Size: max(r.ContentLength, 0), MaxSize: c.settings.MaxBodyBytes}
	}
	c.refuseHere(w, r, record)
}

// refuseHere answers a request that the node doesn't hear of.
func (c *Service) refuseHere(w http.ResponseWriter, r *http.Request, record decision.Record) {
	c.metrics.Answered(record.Outcome, record.Rule)
	c.record(record)
	c.writeRefusal(w, r, record, nil)
}

// refuseMalformed answers a request that can't be served whoever sends it.
func (c *Service) refuseMalformed(w http.ResponseWriter, r *http.Request, why string) {
	id := decision.NewRequestID(c.instance, time.Now(), c.number.Add(1))
	c.refuseHere(w, r, c.malformed(r, id, why))
}

func (c *Service) malformed(r *http.Request, id, why string) decision.Record {
	return decision.Record{
		Request:  id,
		At:       time.Now(),
		Instance: c.instance,
		Method:   r.Method,
		Outcome:  decision.NotRun,
		Rule:     decision.RuleBadRequest,
		Figures:  decision.Figures{Detail: why},
	}
}

// digest identifies what a repeat under the same idempotency key must have
// in common with the first request: method, path, query, length and the part
// of the body that is held.
func digest(r *http.Request, b *attempt.Body) claim.Digest {
	h := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI()} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	h.Write(binary.AppendVarint(nil, b.Length()))
	held := b.Digest()
	h.Write(held[:])
	return claim.Digest(h.Sum(nil))
}
