package quota

import (
	"slices"
	"time"

	"foxtailspoke/config"
)

// pendingAsk is an Ask that may still bring tokens or has some left.
type pendingAsk struct {
	id     uint64
	to     string
	bucket Bucket
	// maxAmount is what the ask can bring.
	maxAmount Amount
	// start is the asker's clock at the start of the ask.
	start    time.Duration
	answered bool
	wantsSettlement    bool
	unused     Amount
}

// StartAsk opens an ask for what lacks. The time counts from now.
func (h *Holder) StartAsk(now time.Duration, to string, b Bucket, l config.Limit, want Amount) Ask {
	h.expireAsks(now)
	a := Ask{From: h.self, Bucket: b, Want: want}
	if own, parts := h.bucket(now, b, l); own != nil {
		a.Room = max(0, capacity(l, parts)-own.outstandingAmount(now)-own.level)
		a.Level = own.level
		a.Parts = parts
	}
	a.Partial = a.Room >= want
	h.lastAskID++
	a.ID = h.lastAskID
	h.asks = append(h.asks, &pendingAsk{id: a.ID, to: to, bucket: b, maxAmount: max(want, a.Room), start: now})
	a.Settled = h.settledUpTo(to)
	return a
}

// Rebalance returns an ask for tokens ahead of need, if this instance's share
// has become low, to be called after Take and Give. Without it one holder
// that gets all requests would be empty while others are full and gain
// nothing: the workspace would lose a part of its rate.
func (h *Holder) Rebalance(now time.Duration, row config.Shard, b Bucket, l config.Limit) (string, Ask, bool) {
	own, parts := h.bucket(now, b, l)
	if own == nil || now < own.nextRebalance || h.hasOpenAsk(b) {
		return "", Ask{}, false
	}
	full := capacity(l, parts)
	low := full-own.outstandingAmount(now)-own.level > full/rebalanceDivisor
	if !low || full < Token {
		return "", Ask{}, false
	}
	peers := h.AskTargets(now, row, b)
	if len(peers) == 0 {
		return "", Ask{}, false
	}
	own.nextRebalance = now + h.settings.TransferTime
	return peers[0], h.StartAsk(now, peers[0], b, l, 0), true
}

// rebalanceDivisor of the capacity may be used before a holder asks for more.
const rebalanceDivisor = 8

// settledUpTo returns the highest ask id up to which nothing is open with a
// holder.
func (h *Holder) settledUpTo(to string) uint64 {
	settled := h.lastAskID
	for _, a := range h.asks {
		if a.to == to {
			settled = min(settled, a.id-1)
		}
	}
	return settled
}

// freeCapacity returns how much the own bucket can store.
func (h *Holder) freeCapacity(now time.Duration, b Bucket, l config.Limit) Amount {
	own, parts := h.bucket(now, b, l)
	if own == nil {
		return 0
	}
	return capacity(l, parts) - own.outstandingAmount(now) - own.level
}

// DrainSettlements returns the settlements to send and forgets them. To be called
// after Accept and Next; they may also be left unsent.
func (h *Holder) DrainSettlements() []Settlement {
	due := h.unsentSettlements
	h.unsentSettlements = nil
	return due
}

// HandleTransfer takes a transfer in and returns how much of it can be used. What
// fits into the own capacity is stored there; the rest must be used within
// the transfer time, counted from the start of the ask.
//
// An answer that comes twice, late, or to an instance that didn't ask (a
// former incarnation did) is dropped: the giver doesn't count on it any more.
func (h *Holder) HandleTransfer(now time.Duration, l config.Limit, t Transfer) Amount {
	h.expireAsks(now)
	a := h.findAsk(t.Ask)
	if a == nil || a.answered || a.to != t.From || a.bucket != t.Bucket {
		return 0
	}
	a.answered = true
	a.wantsSettlement = t.Tight
	amount := max(0, min(t.Amount, a.maxAmount))
	if t.RetryAfter > 0 {
		h.recordShortage(now, t)
	}
	a.unused = amount - h.store(now, t.Bucket, l, amount)
	h.removeUsedAsks()
	return amount
}

// removeUsedAsks ends the asks whose tokens are used or stored.
func (h *Holder) removeUsedAsks() {
	var tight []*pendingAsk
	h.removeAsks(func(a *pendingAsk) bool {
		used := a.answered && a.unused == 0
		if used && a.wantsSettlement {
			tight = append(tight, a)
		}
		return used
	})
	for _, a := range tight {
		h.unsentSettlements = append(h.unsentSettlements, Settlement{To: a.to, From: h.self, Bucket: a.bucket, UpTo: h.settledUpTo(a.to)})
	}
}

func (h *Holder) findAsk(id uint64) *pendingAsk {
	for _, a := range h.asks {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (h *Holder) removeAsks(over func(*pendingAsk) bool) {
	h.asks = slices.DeleteFunc(h.asks, over)
}

// store puts tokens into the own bucket, as far as they fit.
func (h *Holder) store(now time.Duration, b Bucket, l config.Limit, amount Amount) Amount {
	fits := min(amount, h.freeCapacity(now, b, l))
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
	h.removeAsks(func(a *pendingAsk) bool { return a.id == id })
	h.recordShortage(now, Transfer{From: a.to, Bucket: a.bucket, RetryAfter: h.settings.TransferTime})
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
	h.targetRotation++
	start := h.targetRotation % len(order)
	order = slices.Concat(order[start:], order[:start])
	worth := order[:0]
	for _, id := range order {
		if h.shortages[b][id].until <= now {
			worth = append(worth, id)
		}
	}
	return worth
}

// expireAsks ends the asks whose time has run out.
func (h *Holder) expireAsks(now time.Duration) {
	h.removeAsks(func(a *pendingAsk) bool { return now-a.start >= h.settings.TransferTime })
}

// receivedAmount returns what other holders gave for a bucket and is left.
func (h *Holder) receivedAmount(b Bucket) Amount {
	var sum Amount
	for _, a := range h.asks {
		if a.bucket == b {
			sum += a.unused
		}
	}
	return sum
}

// spendReceived takes up to n of the received tokens and returns how much it took.
func (h *Holder) spendReceived(b Bucket, n Amount) Amount {
	taken := Amount(0)
	for _, a := range h.asks {
		if a.bucket != b {
			continue
		}
		part := min(a.unused, n-taken)
		a.unused -= part
		taken += part
	}
	h.removeUsedAsks()
	return taken
}
