package decision

import (
	"math"
	"time"
)

// Record is the decision on one request. It holds no key, header or body.
type Record struct {
	// Request is the id given by NewRequestID.
	Request string `json:"request"`
	// At is when the request arrived, on the instance's wall clock. It is
	// for people; nothing is decided by it.
	At time.Time `json:"at"`
	// Instance is the entry instance that decided.
	Instance  string  `json:"instance"`
	Workspace string  `json:"workspace,omitempty"`
	Service   string  `json:"service,omitempty"`
	Method    string  `json:"method,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Rule      Rule    `json:"rule"`
	// Server is the backend server of the last attempt.
	Server string `json:"server,omitempty"`
	// Attempts is how many times the request was sent to a backend server.
	Attempts int `json:"attempts,omitempty"`
	// Took is the time from arrival to the end of the answer.
	Took time.Duration `json:"took,omitempty"`
	// RetryAfter is what the caller was told to wait; 0 if nothing.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// SimilarSkipped is how many refusals of the same workspace, service and rule
	// before this one weren't kept.
	SimilarSkipped   int     `json:"alike,omitempty"`
	Figures Figures `json:"figures,omitzero"`
}

// Figures are the numbers that a rule was applied to. A zero means that the
// figure plays no part in the decision.
type Figures struct {
	// Plan is the workspace's plan.
	Plan string `json:"plan,omitempty"`
	// Rate and Burst are the workspace's limit over the whole fleet, in
	// requests per second and in requests.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Tokens is what was left of the burst where the request was decided.
	Tokens float64 `json:"tokens,omitempty"`
	// Parts of the limit that the deciding instance held, of
	// config.PartsPerShard.
	Parts int `json:"parts,omitempty"`
	// Age is how long ago the configuration was confirmed to be the newest.
	Age time.Duration `json:"age,omitempty"`
	// AgeLimit is the greatest Age with which an instance serves.
	AgeLimit time.Duration `json:"ageLimit,omitempty"`
	// Revision of the control table that the decision was made on.
	Revision uint64 `json:"revision,omitempty"`
	// Timeout is the service's time-out.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Waited is how long the request waited for a slot or a connection.
	Waited time.Duration `json:"waited,omitempty"`
	// Servers is how many backend servers the service has, and Usable how
	// many of them could be used.
	Servers int `json:"servers,omitempty"`
	Usable  int `json:"usable,omitempty"`
	// Size and MaxSize are in bytes.
	Size    int64 `json:"size,omitempty"`
	MaxSize int64 `json:"maxSize,omitempty"`
	// Detail is a short clause in plain words, such as "the connection was
	// closed before the whole answer had come". At most MaxDetail bytes are
	// kept. It must not hold a key, a header's value or part of a body.
	Detail string `json:"detail,omitempty"`
}

// MaxDetail bounds Figures.Detail, in bytes.
const MaxDetail = 200

// MaxField bounds every other string of a record, in bytes.
const MaxField = 128

// truncated returns the record with every string cut to its bound, so that a
// caller's oversized input can't take up the buffer's memory.
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

// finiteOrZero leaves out what JSON can't write: one such figure would cost the
// whole batch.
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
