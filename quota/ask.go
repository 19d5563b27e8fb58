package quota

import (
	"slices"
	"time"

	"foxtailspoke/config"
)

// pendingAsk is an Ask that may still be answered, or whose tokens aren't all
// used yet.
type pendingAsk struct {
	id     uint64
	to     string
	bucket Bucket
	// maxAmount is the largest amount accepted in answer to the ask.
	maxAmount Amount
	// start is the asker's clock when the ask was created.
	start           time.Duration
	answered        bool
	wantsSettlement bool
	unused          Amount
}

// StartAsk creates and registers an ask for the missing amount. The transfer
// time is counted from now.
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

// Rebalance returns an ask for tokens ahead of need if this instance's share
// is low. Call it after Take and HandleAsk. Without it, a holder that gets all
// requests would be empty while the others are full and gain nothing, so the
// workspace would lose part of its rate.
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
	targets := h.AskTargets(now, row, b)
	if len(targets) == 0 {
		return "", Ask{}, false
	}
	own.nextRebalance = now + h.settings.TransferTime
	return targets[0], h.StartAsk(now, targets[0], b, l, 0), true
}

// rebalanceDivisor sets the fraction of the capacity, 1/rebalanceDivisor, that
// may be used before a holder asks for more.
const rebalanceDivisor = 8

// settledUpTo returns the highest ask ID up to which no ask to a holder is
// pending.
func (h *Holder) settledUpTo(to string) uint64 {
	settled := h.lastAskID
	for _, a := range h.asks {
		if a.to == to {
			settled = min(settled, a.id-1)
		}
	}
	return settled
}

// freeCapacity returns how much more the local bucket can store.
func (h *Holder) freeCapacity(now time.Duration, b Bucket, l config.Limit) Amount {
	own, parts := h.bucket(now, b, l)
	if own == nil {
		return 0
	}
	return capacity(l, parts) - own.outstandingAmount(now) - own.level
}

// DrainSettlements returns the settlements to send and clears the list. Call
// it after HandleTransfer and Next. Sending them is optional: otherwise the
// giver waits for the transfer to expire, and tokens to be returned are lost.
func (h *Holder) DrainSettlements() []Settlement {
	due := h.unsentSettlements
	h.unsentSettlements = nil
	return due
}

// HandleTransfer takes in a transfer and returns how much of it can be used.
// What fits into the local capacity is stored there; the rest must be used
// within the transfer time, counted from the start of the ask.
//
// A transfer that is a duplicate, late, or meant for an earlier incarnation of
// this instance is dropped. That is safe, because the giver has already
// subtracted the tokens.
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

// removeUsedAsks removes the asks whose tokens are all used or stored, and
// queues a settlement for each giver that wants one.
func (h *Holder) removeUsedAsks() {
	var unsettled []*pendingAsk
	h.removeAsks(func(a *pendingAsk) bool {
		used := a.answered && a.unused == 0
		if used && a.wantsSettlement {
			unsettled = append(unsettled, a)
		}
		return used
	})
	for _, a := range unsettled {
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

func (h *Holder) removeAsks(done func(*pendingAsk) bool) {
	h.asks = slices.DeleteFunc(h.asks, done)
}

// store adds tokens to the local bucket as far as they fit, and returns how
// much it stored.
func (h *Holder) store(now time.Duration, b Bucket, l config.Limit, amount Amount) Amount {
	fits := min(amount, h.freeCapacity(now, b, l))
	if fits <= 0 {
		return 0
	}
	own, _ := h.bucket(now, b, l)
	own.level += fits
	return fits
}

// AskFailed removes an ask that got no answer. Its holder isn't asked again
// for that bucket for a transfer time.
func (h *Holder) AskFailed(now time.Duration, id uint64) {
	a := h.findAsk(id)
	if a == nil || a.answered {
		return
	}
	h.removeAsks(func(a *pendingAsk) bool { return a.id == id })
	h.recordShortage(now, Transfer{From: a.to, Bucket: a.bucket, RetryAfter: h.settings.TransferTime})
}

// AskTargets returns the holders to ask for a bucket's tokens, in order: those
// of the row that haven't recently reported a shortage. It keeps a workspace
// that exceeds its limit from flooding the holders with asks. Each call starts
// with the next holder, to spread the load evenly.
func (h *Holder) AskTargets(now time.Duration, row config.Shard, b Bucket) []string {
	order := AskOrder(row, h.self)
	if len(order) == 0 {
		return nil
	}
	h.targetRotation++
	start := h.targetRotation % len(order)
	order = slices.Concat(order[start:], order[:start])
	targets := order[:0]
	for _, id := range order {
		if h.shortages[b][id].until <= now {
			targets = append(targets, id)
		}
	}
	return targets
}

// expireAsks removes the asks whose transfer time is over.
func (h *Holder) expireAsks(now time.Duration) {
	h.removeAsks(func(a *pendingAsk) bool { return now-a.start >= h.settings.TransferTime })
}

// receivedAmount returns the unused tokens received from other holders for a
// bucket.
func (h *Holder) receivedAmount(b Bucket) Amount {
	var sum Amount
	for _, a := range h.asks {
		if a.bucket == b {
			sum += a.unused
		}
	}
	return sum
}

// spendReceived takes up to n of the received tokens and returns how much it
// took.
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
