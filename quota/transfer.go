package quota

import (
	"slices"
	"time"

	"foxtailspoke/config"
)

// Ask is the message by which an instance asks a holder for tokens. It is
// sent once; sending it again may lose tokens but never doubles them.
type Ask struct {
	// ID is unique among the asks of one instance.
	ID     uint64
	From   string
	Bucket Bucket
	Want   Amount
	// Partial means that less than Want is of use, too.
	Partial bool
	// Settled tells that nothing given for this and lower ids by the same
	// holder can be used any more, because it was spent, stored in the
	// asker's own capacity, or refused.
	Settled uint64
}

// Transfer is the answer to an Ask. The giver has already subtracted the
// tokens; if the message is lost, so are they.
type Transfer struct {
	Ask    uint64
	From   string
	Bucket Bucket
	// Amount is 0 if the giver has too little.
	Amount Amount
	// RetryAfter is when the giver will have enough, if Amount is 0.
	RetryAfter time.Duration
}

// ask is an Ask that may still bring tokens or has some left.
type ask struct {
	id     uint64
	to     string
	bucket Bucket
	want   Amount
	// start is the asker's clock at the start of the ask.
	start    time.Duration
	answered bool
	left     Amount
}

// Ask opens an ask for what lacks. The time counts from now.
func (h *Holder) Ask(now time.Duration, to string, b Bucket, l config.Limit, want Amount) Ask {
	h.expire(now)
	h.lastAsk++
	h.asks = append(h.asks, &ask{id: h.lastAsk, to: to, bucket: b, want: want, start: now})
	return Ask{
		ID:      h.lastAsk,
		From:    h.self,
		Bucket:  b,
		Want:    want,
		Partial: h.room(now, b, l) >= want,
		Settled: h.settled(to),
	}
}

// settled returns the highest ask id up to which nothing is open with a
// holder.
func (h *Holder) settled(to string) uint64 {
	lowest := h.lastAsk
	for _, a := range h.asks {
		if a.to == to {
			lowest = min(lowest, a.id)
		}
	}
	return lowest - 1
}

// room returns how much the own bucket can store.
func (h *Holder) room(now time.Duration, b Bucket, l config.Limit) Amount {
	own, parts := h.bucket(now, b, l)
	if own == nil {
		return 0
	}
	return capacity(l, parts) - own.given(now) - own.level
}

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
	own.settle(a)
	if again, ok := own.gift(a); ok {
		t.Amount = again
		return t
	}
	t.Amount = h.share(own, parts, a)
	if t.Amount == 0 {
		short := min(a.Want, capacity(l, parts)) - own.level
		t.RetryAfter = fillTime(l, parts, short, h.settings.Drift)
		return t
	}
	own.level -= t.Amount
	own.used = now
	until := now + h.settings.settleTime()
	own.gifts = append(own.gifts, gift{to: a.From, ask: a.ID, amount: t.Amount, until: until})
	return t
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
	return min(a.Want, own.level)
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
func (b *bucket) settle(a Ask) {
	kept := b.gifts[:0]
	for _, g := range b.gifts {
		if g.to != a.From || g.ask > a.Settled {
			kept = append(kept, g)
		}
	}
	b.gifts = kept
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

// Accept takes a transfer in and returns how much of it can be used. What
// fits into the own capacity is stored there; the rest must be used within
// the transfer time, counted from the start of the ask.
//
// An answer that comes twice, late, or to an instance that didn't ask (a
// former incarnation did) is dropped: the giver doesn't count on it any more.
func (h *Holder) Accept(now time.Duration, l config.Limit, t Transfer) Amount {
	h.expire(now)
	a := h.findAsk(t.Ask)
	if a == nil || a.answered || a.to != t.From || a.bucket != t.Bucket {
		return 0
	}
	a.answered = true
	amount := max(0, min(t.Amount, a.want))
	if amount == 0 {
		h.setShort(now, t)
	}
	a.left = amount - h.store(now, t.Bucket, l, amount)
	h.dropAsks(func(a *ask) bool { return a.answered && a.left == 0 })
	return amount
}

func (h *Holder) findAsk(id uint64) *ask {
	for _, a := range h.asks {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (h *Holder) dropAsks(over func(*ask) bool) {
	h.asks = slices.DeleteFunc(h.asks, over)
}

// store puts tokens into the own bucket, as far as they fit.
func (h *Holder) store(now time.Duration, b Bucket, l config.Limit, amount Amount) Amount {
	fits := min(amount, h.room(now, b, l))
	if fits <= 0 {
		return 0
	}
	own, _ := h.bucket(now, b, l)
	own.level += fits
	return fits
}

// Lost ends an ask that got no answer, so that its holder isn't asked again
// for a transfer time.
func (h *Holder) Lost(now time.Duration, id uint64) {
	a := h.findAsk(id)
	if a == nil || a.answered {
		return
	}
	h.dropAsks(func(a *ask) bool { return a.id == id })
	h.setShort(now, Transfer{From: a.to, Bucket: a.bucket, RetryAfter: h.settings.TransferTime})
}

func (h *Holder) setShort(now time.Duration, t Transfer) {
	until := h.short[t.Bucket]
	if until == nil {
		until = map[string]time.Duration{}
		h.short[t.Bucket] = until
	}
	until[t.From] = now + t.RetryAfter
}

// Peers returns the holders worth asking for a bucket's tokens, in order:
// those of the row that haven't just said that they have none. It keeps a
// workspace that floods from flooding the holders with asks.
func (h *Holder) Peers(now time.Duration, row config.Shard, b Bucket) []string {
	order := AskOrder(row, h.self)
	worth := order[:0]
	for _, id := range order {
		if h.short[b][id] <= now {
			worth = append(worth, id)
		}
	}
	return worth
}

// expire ends the asks whose time has run out.
func (h *Holder) expire(now time.Duration) {
	h.dropAsks(func(a *ask) bool { return now-a.start >= h.settings.TransferTime })
}

// received returns what other holders gave for a bucket and is left.
func (h *Holder) received(b Bucket) Amount {
	var sum Amount
	for _, a := range h.asks {
		if a.bucket == b {
			sum += a.left
		}
	}
	return sum
}

// spend takes up to n of the received tokens and returns how much it took.
func (h *Holder) spend(b Bucket, n Amount) Amount {
	taken := Amount(0)
	for _, a := range h.asks {
		if a.bucket != b {
			continue
		}
		part := min(a.left, n-taken)
		a.left -= part
		taken += part
	}
	h.dropAsks(func(a *ask) bool { return a.answered && a.left == 0 })
	return taken
}
