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
	own.settle(Settlement{From: a.From, Bucket: a.Bucket, UpTo: a.Settled})
	if again, ok := own.gift(a); ok {
		t.Amount = again
		t.Tight = own.tight(now, parts)
		return t
	}
	t.Amount = h.share(own, parts, a)
	own.level -= t.Amount
	if t.Amount < a.Want {
		h.putOff(now, own, parts, a, &t)
	}
	if t.Amount == 0 {
		return t
	}
	own.used = now
	until := now + h.settings.settleTime()
	own.gifts = append(own.gifts, gift{to: a.From, ask: a.ID, amount: t.Amount, until: until})
	t.Tight = own.tight(now, parts)
	return t
}

// putOff tells an asker that got too little when to ask again.
//
// In a flood every instance asks, and all would come back for the same next
// token. So, after the first few, each is named a later time than the one
// before, up to a bound, and told that the piece left here isn't for it.
func (h *Holder) putOff(now time.Duration, own *bucket, parts int, a Ask, t *Transfer) {
	missing := min(a.Want, capacity(own.limit, parts)) - own.level
	wait := fillTime(own.limit, parts, missing, h.settings.Drift)
	if own.promised <= now {
		own.putOffs = 0
	}
	own.putOffs++
	t.Has = own.level
	t.Contended = own.putOffs > fewPutOffs
	if t.Contended {
		wait = min(own.promised-now+wait, max(wait, maxPromise))
	}
	t.RetryAfter = wait
	own.promised = max(own.promised, now+wait)
}

// fewPutOffs in a row don't make a flood.
const fewPutOffs = 8

// maxPromise bounds the waits that grow by the number of askers.
const maxPromise = 500 * time.Millisecond

func (b *bucket) tight(now time.Duration, parts int) bool {
	return b.given(now) > capacity(b.limit, parts)/tightFraction
}

// tightFraction of the capacity may be given away without a Settlement.
const tightFraction = 4

// HandleSettlement takes a Settlement in.
func (h *Holder) HandleSettlement(now time.Duration, l config.Limit, s Settlement) {
	own, parts := h.bucket(now, s.Bucket, l)
	if own == nil {
		return
	}
	if s.Back > 0 {
		own.takeBack(s)
		own.clamp(now, parts)
	}
	own.settle(s)
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
	return min(own.level, max(0, a.Want, min(a.Room, evenOut(own.level, parts, a))))
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

// takeBack returns unused tokens to the level, once: the gift ends with it.
// After the gift has ended otherwise, they are lost.
func (b *bucket) takeBack(s Settlement) {
	for _, g := range b.gifts {
		if g.to == s.From && g.ask == s.Ask {
			b.level += min(s.Back, g.amount)
		}
	}
	b.gifts = slices.DeleteFunc(b.gifts, func(g gift) bool {
		return g.to == s.From && g.ask == s.Ask
	})
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
