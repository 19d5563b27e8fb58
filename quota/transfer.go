package quota

import (
	"slices"
	"time"

	"foxtailspoke/config"
)

// HandleAsk answers an ask from the local bucket.
//
// The transferred tokens occupy capacity here until the asker can't use them
// any more. A duplicate ask gets the same answer while the transfer is
// outstanding.
func (h *Holder) HandleAsk(now time.Duration, l config.Limit, a Ask) Transfer {
	t := Transfer{Ask: a.ID, From: h.self, Bucket: a.Bucket}
	own, parts := h.bucket(now, a.Bucket, l)
	if own == nil {
		t.RetryAfter = h.settings.TransferTime
		return t
	}
	own.removeSettled(Settlement{From: a.From, Bucket: a.Bucket, UpTo: a.Settled})
	if again, ok := own.amountGivenFor(a); ok {
		t.Amount = again
		t.Tight = own.wantsSettlement(now, parts)
		return t
	}
	t.Amount = h.transferAmount(own, parts, a)
	own.level -= t.Amount
	if t.Amount < a.Want {
		h.deferAsker(now, own, parts, a, &t)
	}
	if t.Amount == 0 {
		return t
	}
	own.lastUsed = now
	until := now + h.settings.settleTime()
	own.outstanding = append(own.outstanding, outstandingTransfer{to: a.From, ask: a.ID, amount: t.Amount, until: until})
	t.Tight = own.wantsSettlement(now, parts)
	return t
}

// deferAsker sets the retry time in the answer to an asker that got too
// little.
//
// When a workspace exceeds its limit, all instances ask, and would all retry
// for the same next token. After uncontendedDeferrals askers, each one is
// therefore given a later time than the one before, up to a bound, and told
// that the tokens left here are contended.
func (h *Holder) deferAsker(now time.Duration, own *bucket, parts int, a Ask, t *Transfer) {
	missing := min(a.Want, capacity(own.limit, parts)) - own.level
	wait := timeToRefill(own.limit, parts, missing, h.settings.Drift)
	if own.latestRetryAt <= now {
		own.deferrals = 0
	}
	own.deferrals++
	t.Has = own.level
	t.Contended = own.deferrals > uncontendedDeferrals
	if t.Contended {
		wait = min(own.latestRetryAt-now+wait, max(wait, maxContendedWait))
	}
	t.RetryAfter = wait
	own.latestRetryAt = max(own.latestRetryAt, now+wait)
}

// uncontendedDeferrals is the number of consecutive deferrals after which a
// bucket counts as contended.
const uncontendedDeferrals = 8

// maxContendedWait bounds the retry delays that grow with the number of
// askers.
const maxContendedWait = 500 * time.Millisecond

func (b *bucket) wantsSettlement(now time.Duration, parts int) bool {
	return b.outstandingAmount(now) > capacity(b.limit, parts)/settlementDivisor
}

// settlementDivisor sets the fraction of the capacity, 1/settlementDivisor,
// that may be outstanding before the giver requests a Settlement.
const settlementDivisor = 4

// HandleSettlement ends the outstanding transfers that a Settlement covers and
// takes back the tokens that it returns.
func (h *Holder) HandleSettlement(now time.Duration, l config.Limit, s Settlement) {
	own, parts := h.bucket(now, s.Bucket, l)
	if own == nil {
		return
	}
	if s.Back > 0 {
		own.restoreReturned(s)
		own.clampToCapacity(now, parts)
	}
	own.removeSettled(s)
}

// transferAmount decides how much of the bucket an asker gets.
//
// Where a share can't store a whole token, instances combine tokens from
// several shares. Two that do so at the same time could each keep getting a
// fraction and never a whole token; so the instance with the lower ID has
// precedence.
func (h *Holder) transferAmount(own *bucket, parts int, a Ask) Amount {
	whole := min(a.Want, capacity(own.limit, parts))
	if own.level < whole && !a.Partial {
		return 0
	}
	belowOneToken := capacity(own.limit, parts) < Token
	if belowOneToken && h.hasOpenAsk(a.Bucket) && h.self < a.From {
		return 0
	}
	return min(own.level, max(0, a.Want, min(a.Room, balancingAmount(own.level, parts, a))))
}

// balancingAmount returns the amount to give so that both shares are equally
// full.
func balancingAmount(level Amount, parts int, a Ask) Amount {
	if a.Parts <= 0 {
		return 0
	}
	surplus := float64(level)*float64(a.Parts) - float64(a.Level)*float64(parts)
	return Amount(max(0, surplus/float64(parts+a.Parts)))
}

// hasOpenAsk reports whether this instance has an open ask for the bucket.
func (h *Holder) hasOpenAsk(b Bucket) bool {
	for _, a := range h.asks {
		if a.bucket == b {
			return true
		}
	}
	return false
}

// restoreReturned adds returned tokens to the level and ends the transfer, so
// that a duplicate has no effect. Tokens of a transfer that has already ended
// are lost.
func (b *bucket) restoreReturned(s Settlement) {
	for _, g := range b.outstanding {
		if g.to == s.From && g.ask == s.Ask {
			b.level += min(s.Back, g.amount)
		}
	}
	b.outstanding = slices.DeleteFunc(b.outstanding, func(g outstandingTransfer) bool {
		return g.to == s.From && g.ask == s.Ask
	})
}

// removeSettled ends the transfers whose tokens the asker reports as no longer
// usable.
func (b *bucket) removeSettled(s Settlement) {
	b.outstanding = slices.DeleteFunc(b.outstanding, func(g outstandingTransfer) bool {
		return g.to == s.From && g.ask <= s.UpTo
	})
}

// amountGivenFor returns the amount of the outstanding transfer for an ask, if
// there is one.
func (b *bucket) amountGivenFor(a Ask) (Amount, bool) {
	for _, g := range b.outstanding {
		if g.to == a.From && g.ask == a.ID {
			return g.amount, true
		}
	}
	return 0, false
}
