package quota

import (
	"slices"
	"time"

	"foxtailspoke/config"
)

// Search collects the tokens for one request: from the instance's own share,
// else from the holders, each asked once for the whole missing amount. If no
// holder has that much but all together do, a second round asks them for
// whatever they have.
type Search struct {
	Bucket Bucket
	Need   Amount
	tried  []string
	// partial is set in the second round.
	partial bool
}

// NewSearch returns the search for a request that needs n tokens.
func NewSearch(b Bucket, n Amount) *Search {
	return &Search{Bucket: b, Need: n}
}

// SearchStep is the next step of a search.
type SearchStep struct {
	// Admitted means that the request has its tokens.
	Admitted bool
	// To is the holder to send Ask to. Pass its answer to HandleTransfer, or
	// call AskFailed if there is none; then call Next again.
	To  string
	Ask Ask
	// RetryAfter is set if the request is refused: neither admitted nor any
	// holder left to ask. 0 means that the request can never get so many
	// tokens.
	RetryAfter time.Duration
}

// Next returns the next step of a search. The row and the limit are those of
// the instance's current configuration, which must be fresh.
func (h *Holder) Next(now time.Duration, s *Search, row config.Shard, l config.Limit) SearchStep {
	d := h.Take(now, s.Bucket, l, s.Need)
	if d.Admitted {
		return SearchStep{Admitted: true}
	}
	if Tokens(l.Burst) < s.Need {
		return SearchStep{}
	}
	to, ok := h.nextHolder(now, s, row)
	if !ok && !s.partial && h.estimateAvailable(now, s.Bucket, row, l) >= d.Missing {
		s.partial, s.tried = true, nil
		to, ok = h.nextHolder(now, s, row)
	}
	if !ok {
		h.returnUnused(s.Bucket)
		return SearchStep{RetryAfter: h.retryAfter(now, s.Bucket, d)}
	}
	s.tried = append(s.tried, to)
	a := h.StartAsk(now, to, s.Bucket, l, d.Missing)
	a.Partial = a.Partial || s.partial
	return SearchStep{To: to, Ask: a}
}

// returnUnused returns the tokens collected for a refused request to their
// givers, unless another request may be waiting for them. If they were kept,
// they would expire here after the transfer time, and a workspace that exceeds
// its limit would lose part of its rate.
func (h *Holder) returnUnused(b Bucket) {
	waiting := slices.ContainsFunc(h.asks, func(a *pendingAsk) bool { return a.bucket == b && !a.answered })
	if waiting {
		return
	}
	var unused []*pendingAsk
	h.removeAsks(func(a *pendingAsk) bool {
		drop := a.bucket == b && a.unused > 0
		if drop {
			unused = append(unused, a)
		}
		return drop
	})
	for _, a := range unused {
		h.unsentSettlements = append(h.unsentSettlements, Settlement{
			To: a.to, From: h.self, Bucket: b, UpTo: h.settledUpTo(a.to), Back: a.unused, Ask: a.id,
		})
	}
}

// nextHolder returns the next holder to ask. The first round skips holders
// that reported a shortage; the second asks all of them.
func (h *Holder) nextHolder(now time.Duration, s *Search, row config.Shard) (string, bool) {
	peers := h.AskTargets(now, row, s.Bucket)
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

// shortage is a holder's report that it had too little.
type shortage struct {
	// at is the time of the answer, until the end of the retry delay it gave.
	at, until time.Duration
	has       Amount
	contended bool
}

// recordShortage records that a holder has too little until the transfer's
// retry delay is over.
func (h *Holder) recordShortage(now time.Duration, t Transfer) {
	known := h.shortages[t.Bucket]
	if known == nil {
		known = map[string]shortage{}
		h.shortages[t.Bucket] = known
	}
	known[t.From] = shortage{at: now, until: now + t.RetryAfter, has: t.Has, contended: t.Contended}
}

// estimateAvailable returns the estimated total of the holders that reported a
// shortage, assuming that nobody else has taken tokens since. Contended
// holders are left out.
func (h *Holder) estimateAvailable(now time.Duration, b Bucket, row config.Shard, l config.Limit) Amount {
	var sum Amount
	parts := PartsByInstance(row)
	for id, s := range h.shortages[b] {
		if p := parts[id]; p > 0 && !s.contended {
			has := s.has + refill(l, p, now-s.at, h.settings.Drift)
			sum += min(has, capacity(l, p))
		}
	}
	return sum
}

// retryAfter returns the shortest retry delay known from this instance's own
// estimate or the holders' answers.
func (h *Holder) retryAfter(now time.Duration, b Bucket, d Decision) time.Duration {
	wait := d.RetryAfter
	for _, s := range h.shortages[b] {
		if s.until > now {
			wait = min(wait, s.until-now)
		}
	}
	return wait
}
