package quota

import (
	"slices"
	"time"

	"foxtailspoke/config"
)

// Give answers an ask out of the own bucket.
//
// The tokens keep their place in the capacity until the asker can't use them
// any more. An ask that arrives again gets the same answer while it is known.
func (h *Holder) Give(now time.Duration, l config.Limit, a Ask) Transfer {
	t := Transfer{Ask: a.ID, From: h.self, Bucket: a.Bucket}
	own, parts := h.bucket(now, a.Bucket, l)
	if own == nil {
		t.RetryAfter = h.settings.TransferTime
		return t
	}
	own.settle(Settlement{From: a.From, Bucket: a.Bucket, UpTo: a.Settled})
	if again, ok := own.gift(a); ok {
		t.Amount = again
		return t
	}
	t.Amount = h.share(own, parts, a)
	if t.Amount == 0 && a.Want == 0 {
		return t
	}
	if t.Amount == 0 {
		t.Has = own.level
		short := min(a.Want, capacity(l, parts)) - own.level
		t.RetryAfter = fillTime(l, parts, short, h.settings.Drift)
		return t
	}
	own.level -= t.Amount
	own.used = now
	until := now + h.settings.settleTime()
	own.gifts = append(own.gifts, gift{to: a.From, ask: a.ID, amount: t.Amount, until: until})
	t.Tight = own.given(now) > capacity(l, parts)/tightFraction
	return t
}

// tightFraction of the capacity may be given away without a Settlement.
const tightFraction = 4

// Settle takes a Settlement in.
func (h *Holder) Settle(now time.Duration, l config.Limit, s Settlement) {
	if own, _ := h.bucket(now, s.Bucket, l); own != nil {
		own.settle(s)
	}
}

// share decides how much of the bucket an asker gets.
//
// Where a share can't store a whole token, instances put tokens together from
// several shares. Two that do so at the same time would each get a piece and
// neither a token, again and again; so the lower id goes first.
func (h *Holder) share(own *bucket, parts int, a Ask) Amount {
	whole := min(a.Want, capacity(own.limit, parts))
	if own.level < whole && !a.Partial {
		return 0
	}
	tiny := capacity(own.limit, parts) < Token
	if tiny && h.gathering(a.Bucket) && h.self < a.From {
		return 0
	}
	return min(own.level, max(a.Want, min(a.Room, evenOut(own.level, parts, a))))
}

// evenOut returns what to give so that both shares are equally full.
func evenOut(level Amount, parts int, a Ask) Amount {
	if a.Parts <= 0 {
		return 0
	}
	surplus := float64(level)*float64(a.Parts) - float64(a.Level)*float64(parts)
	return Amount(max(0, surplus/float64(parts+a.Parts)))
}

// gathering tells whether this instance has asked for the bucket's tokens.
func (h *Holder) gathering(b Bucket) bool {
	for _, a := range h.asks {
		if a.bucket == b {
			return true
		}
	}
	return false
}

// settle ends the gifts that the asker says it can't use any more.
func (b *bucket) settle(s Settlement) {
	b.gifts = slices.DeleteFunc(b.gifts, func(g gift) bool {
		return g.to == s.From && g.ask <= s.UpTo
	})
}

// gift returns what was given for an ask before.
func (b *bucket) gift(a Ask) (Amount, bool) {
	for _, g := range b.gifts {
		if g.to == a.From && g.ask == a.ID {
			return g.amount, true
		}
	}
	return 0, false
}
