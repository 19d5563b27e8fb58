package decision

import (
	"math"
	"time"
)

// Record describes the decision on one request. It contains no key, header or
// body.
type Record struct {
	// Request is the id from NewRequestID.
	Request string `json:"request"`
	// At is the time of arrival by the instance's wall clock. It is
	// informational; no decision depends on it.
	At time.Time `json:"at"`
	// Instance is the entry instance that made the decision.
	Instance  string  `json:"instance"`
	Workspace string  `json:"workspace,omitempty"`
	Service   string  `json:"service,omitempty"`
	Method    string  `json:"method,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Rule      Rule    `json:"rule"`
	// Server is the backend server of the last attempt.
	Server string `json:"server,omitempty"`
	// Attempts is the number of times the request was sent to a backend
	// server.
	Attempts int `json:"attempts,omitempty"`
	// Took is the time from arrival to the end of the answer.
	Took time.Duration `json:"took,omitempty"`
	// RetryAfter is the Retry-After time sent to the caller; 0 if none.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// SimilarSkipped is the number of refusals of the same workspace, service
	// and rule that weren't kept since the previous record of them.
	SimilarSkipped int     `json:"alike,omitempty"`
	Figures        Figures `json:"figures,omitzero"`
}

// Figures are the inputs of a decision. A field that is zero had no part in the
// decision.
type Figures struct {
	// Plan is the workspace's plan.
	Plan string `json:"plan,omitempty"`
	// Rate and Burst are the fleet-wide limit of the workspace, in requests
	// per second and in requests.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Tokens is the number of tokens left in the bucket of the deciding
	// instance.
	Tokens float64 `json:"tokens,omitempty"`
	// Parts is the number of parts of the limit, out of
	// config.PartsPerShard, that the deciding instance held.
	Parts int `json:"parts,omitempty"`
	// Age is the time since the configuration was confirmed to be current.
	Age time.Duration `json:"age,omitempty"`
	// AgeLimit is the maximum Age at which an instance serves requests.
	AgeLimit time.Duration `json:"ageLimit,omitempty"`
	// Revision is the revision of the control table at the decision.
	Revision uint64 `json:"revision,omitempty"`
	// Timeout is the request time-out of the service.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Waited is the time the request waited for a slot or a connection.
	Waited time.Duration `json:"waited,omitempty"`
	// Servers is the number of backend servers of the service, and Usable
	// the number of those that could receive the request.
	Servers int `json:"servers,omitempty"`
	Usable  int `json:"usable,omitempty"`
	// Size and MaxSize are in bytes.
	Size    int64 `json:"size,omitempty"`
	MaxSize int64 `json:"maxSize,omitempty"`
	// Detail is a short clause for people, such as "the connection was closed
	// before the whole answer had come", truncated to MaxDetail bytes. It must
	// not contain a key, a header value or part of a body.
	Detail string `json:"detail,omitempty"`
}

// MaxDetail is the maximum length of Figures.Detail in bytes.
const MaxDetail = 200

// MaxField is the maximum length of any other string of a record in bytes.
const MaxField = 128

// truncated returns the record with every string truncated to its maximum
// length, so that oversized input can't exhaust the buffer's memory, and without
// values that JSON can't represent.
func (r Record) truncated() Record {
	for _, s := range []*string{&r.Request, &r.Instance, &r.Workspace, &r.Service, &r.Method, &r.Server, &r.Figures.Plan} {
		*s = truncate(*s, MaxField)
	}
	r.Figures.Detail = truncate(r.Figures.Detail, MaxDetail)
	for _, f := range []*float64{&r.Figures.Rate, &r.Figures.Burst, &r.Figures.Tokens} {
		*f = finiteOrZero(*f)
	}
	return r
}

// finiteOrZero replaces NaN and infinities by zero. JSON can't represent them,
// and a single one would make the whole batch fail to encode.
func finiteOrZero(f float64) float64 {
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}

func truncate(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return s[:limit]
}
