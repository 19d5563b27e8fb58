package quota

import (
	"slices"
	"time"

	"foxtailspoke/config"
)

// Search is one request's way to its tokens: from the instance's own share,
// else from the holders, each asked once for all that lacks. If none of them
// has that much, but all together do, they are asked for what they have.
type Search struct {
	Bucket Bucket
	Need   Amount
	tried  []string
	// has is what the holders said they have.
	has     Amount
	partial bool
	// retry is the shortest wait that a holder named.
	retry time.Duration
}

// NewSearch returns the search of a request that needs n tokens.
func NewSearch(b Bucket, n Amount) *Search {
	return &Search{Bucket: b, Need: n}
}

// SearchStep is what comes next in a search.
type SearchStep struct {
	// Admitted means that the request has its tokens.
	Admitted bool
	// To is the holder to send Ask to. Its answer goes to Accept and
	// Replied, no answer to Lost, and then Next is called again.
	To  string
	Ask Ask
	// RetryAfter is set if the request is refused: neither admitted nor to
	// ask anyone. 0 means that it can never have so many tokens.
	RetryAfter time.Duration
}

// Next decides how a search goes on. The row and the limit are those of the
// instance's present configuration, which must be fresh.
func (h *Holder) Next(now time.Duration, s *Search, row config.Shard, l config.Limit) SearchStep {
	d := h.Take(now, s.Bucket, l, s.Need)
	if d.Admitted {
		return SearchStep{Admitted: true}
	}
	if Tokens(l.Burst) < s.Need {
		return SearchStep{}
	}
	to, ok := h.untried(now, s, row)
	if !ok && !s.partial && s.has >= d.Missing {
		s.partial, s.tried = true, nil
		to, ok = h.untried(now, s, row)
	}
	if !ok {
		return SearchStep{RetryAfter: s.retryAfter(d)}
	}
	s.tried = append(s.tried, to)
	a := h.Ask(now, to, s.Bucket, l, d.Missing)
	a.Partial = a.Partial || s.partial
	return SearchStep{To: to, Ask: a}
}

// untried returns a holder worth asking. In the second round all are asked
// that said what they have.
func (h *Holder) untried(now time.Duration, s *Search, row config.Shard) (string, bool) {
	peers := h.Peers(now, row, s.Bucket)
	if s.partial {
		peers = AskOrder(row, h.self)
	}
	for _, id := range peers {
		if !slices.Contains(s.tried, id) {
			return id, true
		}
	}
	return "", false
}

// Replied notes a holder's answer, after Accept.
func (s *Search) Replied(t Transfer) {
	if t.Amount > 0 || s.partial {
		return
	}
	s.has += t.Has
	if t.RetryAfter > 0 && (s.retry == 0 || t.RetryAfter < s.retry) {
		s.retry = t.RetryAfter
	}
}

func (s *Search) retryAfter(d Decision) time.Duration {
	if s.retry > 0 && s.retry < d.RetryAfter {
		return s.retry
	}
	return d.RetryAfter
}
