package quota

import (
	"slices"
	"time"

	"foxtailspoke/config"
)

// ask is an Ask that may still bring tokens or has some left.
type ask struct {
	id     uint64
	to     string
	bucket Bucket
	// most is what the ask can bring.
	most Amount
	// start is the asker's clock at the start of the ask.
	start    time.Duration
	answered bool
	tight    bool
	left     Amount
}

// StartAsk opens an ask for what lacks. The time counts from now.
func (h *Holder) StartAsk(now time.Duration, to string, b Bucket, l config.Limit, want Amount) Ask {
	h.expire(now)
	a := Ask{From: h.self, Bucket: b, Want: want}
	if own, parts := h.bucket(now, b, l); own != nil {
		a.Room = max(0, capacity(l, parts)-own.given(now)-own.level)
		a.Level = own.level
		a.Parts = parts
	}
	a.Partial = a.Room >= want
	h.lastAsk++
	a.ID = h.lastAsk
	h.asks = append(h.asks, &ask{id: a.ID, to: to, bucket: b, most: max(want, a.Room), start: now})
	a.Settled = h.settled(to)
	return a
}

// Rebalance returns an ask for tokens ahead of need, if this instance's share
// has become low, to be called after Take and Give. Without it one holder
// that gets all requests would be empty while others are full and gain
// nothing: the workspace would lose a part of its rate.
func (h *Holder) Rebalance(now time.Duration, row config.Shard, b Bucket, l config.Limit) (string, Ask, bool) {
	own, parts := h.bucket(now, b, l)
	if own == nil || now < own.calm || h.gathering(b) {
		return "", Ask{}, false
	}
	full := capacity(l, parts)
	low := full-own.given(now)-own.level > full/lowFraction
	if !low || full < Token {
		return "", Ask{}, false
	}
	peers := h.AskTargets(now, row, b)
	if len(peers) == 0 {
		return "", Ask{}, false
	}
	own.calm = now + h.settings.TransferTime
	return peers[0], h.StartAsk(now, peers[0], b, l, 0), true
}

// lowFraction of the capacity may be used before a holder asks for more.
const lowFraction = 8

// settled returns the highest ask id up to which nothing is open with a
// holder.
func (h *Holder) settled(to string) uint64 {
	settled := h.lastAsk
	for _, a := range h.asks {
		if a.to == to {
			settled = min(settled, a.id-1)
		}
	}
	return settled
}

// room returns how much the own bucket can store.
func (h *Holder) room(now time.Duration, b Bucket, l config.Limit) Amount {
	own, parts := h.bucket(now, b, l)
	if own == nil {
		return 0
	}
	return capacity(l, parts) - own.given(now) - own.level
}

// DrainSettlements returns the settlements to send and forgets them. To be called
// after Accept and Next; they may also be left unsent.
func (h *Holder) DrainSettlements() []Settlement {
	due := h.due
	h.due = nil
	return due
}

// HandleTransfer takes a transfer in and returns how much of it can be used. What
// fits into the own capacity is stored there; the rest must be used within
// the transfer time, counted from the start of the ask.
//
// An answer that comes twice, late, or to an instance that didn't ask (a
// former incarnation did) is dropped: the giver doesn't count on it any more.
func (h *Holder) HandleTransfer(now time.Duration, l config.Limit, t Transfer) Amount {
	h.expire(now)
	a := h.findAsk(t.Ask)
	if a == nil || a.answered || a.to != t.From || a.bucket != t.Bucket {
		return 0
	}
	a.answered = true
	a.tight = t.Tight
	amount := max(0, min(t.Amount, a.most))
	if t.RetryAfter > 0 {
		h.setShort(now, t)
	}
	a.left = amount - h.store(now, t.Bucket, l, amount)
	h.dropUsed()
	return amount
}

// dropUsed ends the asks whose tokens are used or stored.
func (h *Holder) dropUsed() {
	var tight []*ask
	h.dropAsks(func(a *ask) bool {
		used := a.answered && a.left == 0
		if used && a.tight {
			tight = append(tight, a)
		}
		return used
	})
	for _, a := range tight {
		h.due = append(h.due, Settlement{To: a.to, From: h.self, Bucket: a.bucket, UpTo: h.settled(a.to)})
	}
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

// AskFailed ends an ask that got no answer, so that its holder isn't asked again
// for a transfer time.
func (h *Holder) AskFailed(now time.Duration, id uint64) {
	a := h.findAsk(id)
	if a == nil || a.answered {
		return
	}
	h.dropAsks(func(a *ask) bool { return a.id == id })
	h.setShort(now, Transfer{From: a.to, Bucket: a.bucket, RetryAfter: h.settings.TransferTime})
}

// AskTargets returns the holders worth asking for a bucket's tokens, in order:
// those of the row that haven't just said that they have none. It keeps a
// workspace that floods from flooding the holders with asks. Each call starts
// with another holder, so that they are used evenly.
func (h *Holder) AskTargets(now time.Duration, row config.Shard, b Bucket) []string {
	order := AskOrder(row, h.self)
	if len(order) == 0 {
		return nil
	}
	h.turn++
	start := h.turn % len(order)
	order = slices.Concat(order[start:], order[:start])
	worth := order[:0]
	for _, id := range order {
		if h.short[b][id].until <= now {
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
	h.dropUsed()
	return taken
}
