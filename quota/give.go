package quota

import (
	"slices"
	"time"

	"foxtailspoke/config"
)

// HandleAsk answers an ask out of the own bucket.
//
// The tokens keep their place in the capacity until the asker can't use them
// any more. An ask that arrives again gets the same answer while it is known.
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

// deferAsker tells an asker that got too little when to ask again.
//
// In a flood every instance asks, and all would come back for the same next
// token. So, after the first few, each is named a later time than the one
// before, up to a bound, and told that the piece left here isn't for it.
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

// uncontendedDeferrals in a row don't make a flood.
const uncontendedDeferrals = 8

// maxContendedWait bounds the waits that grow by the number of askers.
const maxContendedWait = 500 * time.Millisecond

func (b *bucket) wantsSettlement(now time.Duration, parts int) bool {
	return b.outstandingAmount(now) > capacity(b.limit, parts)/settlementDivisor
}

// settlementDivisor of the capacity may be given away without a Settlement.
const settlementDivisor = 4

// HandleSettlement takes a Settlement in.
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
// Where a transferAmount can't store a whole token, instances put tokens together from
// several shares. Two that do so at the same time would each get a piece and
// neither a token, again and again; so the lower id goes first.
func (h *Holder) transferAmount(own *bucket, parts int, a Ask) Amount {
	whole := min(a.Want, capacity(own.limit, parts))
	if own.level < whole && !a.Partial {
		return 0
	}
	tiny := capacity(own.limit, parts) < Token
	if tiny && h.hasOpenAsk(a.Bucket) && h.self < a.From {
		return 0
	}
	return min(own.level, max(0, a.Want, min(a.Room, balancingAmount(own.level, parts, a))))
}

// balancingAmount returns what to give so that both shares are equally full.
func balancingAmount(level Amount, parts int, a Ask) Amount {
	if a.Parts <= 0 {
		return 0
	}
	surplus := float64(level)*float64(a.Parts) - float64(a.Level)*float64(parts)
	return Amount(max(0, surplus/float64(parts+a.Parts)))
}

// hasOpenAsk tells whether this instance has asked for the bucket's tokens.
func (h *Holder) hasOpenAsk(b Bucket) bool {
	for _, a := range h.asks {
		if a.bucket == b {
			return true
		}
	}
	return false
}

// restoreReturned returns unused tokens to the level, once: the gift ends with it.
// After the gift has ended otherwise, they are lost.
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

// removeSettled ends the gifts that the asker says it can't use any more.
func (b *bucket) removeSettled(s Settlement) {
	b.outstanding = slices.DeleteFunc(b.outstanding, func(g outstandingTransfer) bool {
		return g.to == s.From && g.ask <= s.UpTo
	})
}

// amountGivenFor returns what was given for an ask before.
func (b *bucket) amountGivenFor(a Ask) (Amount, bool) {
	for _, g := range b.outstanding {
		if g.to == a.From && g.ask == a.ID {
			return g.amount, true
		}
	}
	return 0, false
}
