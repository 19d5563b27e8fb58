package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

var (
	testBucket = Bucket{Workspace: "w", Service: "sheets"}
	// fastLimit gains a token every nanosecond, so that a nanosecond too early
	// shows as a token too many.
	fastLimit     = config.Limit{Rate: 1e9, Burst: 100}
	driftSettings = Settings{TransferTime: time.Second, Drift: 0.25, IdleTime: time.Second}
)

// newHolderWithParts returns a holder of parts that began to count at time 0.
func newHolderWithParts(id string, s Settings, parts int) *Holder {
	h := NewHolder(id, 1, s)
	h.SetGrants(-s.settleTime(), "0", []Grant{{Since: 1, Parts: parts}})
	return h
}

// takeAll returns how many whole tokens a holder would admit at a time, and
// takes them.
func takeAll(h *Holder, now time.Duration, l config.Limit) int {
	n := 0
	for h.Take(now, testBucket, l, Token).Admitted {
		n++
	}
	return n
}

// A holder gives 40 tokens of a burst of 100. The asker's clock is as slow,
// the giver's as fast as clocks may be. The asker spends the 40 in its last
// nanosecond; were the giver full again a nanosecond before, callers would
// get more than 100 at once.
func TestTransferredTokensOccupyGiverCapacityUntilExpiry(t *testing.T) {
	sharp := config.Limit{Rate: 1e11, Burst: 100}
	giveAndLook := func(at time.Duration) int {
		g, r := newHolderWithParts("g", driftSettings, 60), NewHolder("r", 1, driftSettings)
		start := time.Minute
		tr := g.HandleAsk(start, sharp, r.StartAsk(0, "g", testBucket, sharp, 40*Token))
		must.Eq(t, 40*Token, tr.Amount)
		return takeAll(g, start+at, sharp)
	}
	useAt := func(at time.Duration) int {
		g, r := newHolderWithParts("g", driftSettings, 60), NewHolder("r", 1, driftSettings)
		r.HandleTransfer(1, sharp, g.HandleAsk(time.Minute, sharp, r.StartAsk(0, "g", testBucket, sharp, 40*Token)))
		return takeAll(r, at, sharp)
	}
	last := driftSettings.TransferTime - 1
	must.Eq(t, 40, useAt(last))
	must.Eq(t, 0, useAt(last+1))
	restored := driftSettings.settleTime()
	must.Eq(t, 60, giveAndLook(restored-1))
	must.Eq(t, 100, giveAndLook(restored+1))

	// In truth: the end of the asker's time, and the giver's full burst.
	end := float64(driftSettings.TransferTime) * (1 + driftSettings.Drift)
	must.GreaterEq(t, end, float64(restored)/(1+driftSettings.Drift))
	must.Less(t, end, float64(restored-1)/(1+driftSettings.Drift))
}

// A cut-off holder gives its whole burst away in the last nanosecond in which
// it is fresh, on a clock as slow as may be; the asker, as slow, spends it in
// its last nanosecond. The new holder's clock is fast. Had it acted on the row
// a nanosecond before that was in force, both would have the burst at once.
func TestNewHolderStartsAfterLastUseByFormerHolder(t *testing.T) {
	const fresh = time.Second
	slow := 1 + driftSettings.Drift
	sharp := config.Limit{Rate: 1e11, Burst: 100}
	// All true times are counted from when a majority knows the row.
	inForce := float64(fresh) * slow
	lastUse := inForce + float64(driftSettings.TransferTime)*slow

	r := NewHolder("r", 1, driftSettings)
	old := newHolderWithParts("old", driftSettings, 60)
	r.HandleTransfer(1, sharp, old.HandleAsk(time.Minute, sharp, r.StartAsk(0, "old", testBucket, sharp, 100*Token)))
	must.Eq(t, 100, takeAll(r, driftSettings.TransferTime-1, sharp))

	firstUse := func(learnt time.Duration) float64 {
		n := NewHolder("n", 1, driftSettings)
		n.SetGrants(learnt, "0", []Grant{{Since: 7, Parts: 60}})
		at := learnt
		for step := time.Second; step > 0; {
			if n.Take(at+step, testBucket, sharp, Token).Admitted {
				n = NewHolder("n", 1, driftSettings)
				n.SetGrants(learnt, "0", []Grant{{Since: 7, Parts: 60}})
				step /= 2
				continue
			}
			at += step
		}
		return float64(at) / slow
	}
	learnt := time.Duration(inForce * slow)
	must.GreaterEq(t, lastUse, firstUse(learnt))
	must.Less(t, lastUse, firstUse(learnt-1))
}

// The same new holder has nothing stored when it starts.
func TestNewHolderStartsEmpty(t *testing.T) {
	h := NewHolder("n", 1, driftSettings)
	h.SetGrants(time.Minute, "0", []Grant{{Since: 7, Parts: 60}})
	start := time.Minute + driftSettings.settleTime()
	must.Eq(t, 0, takeAll(h, start, fastLimit))
	must.Eq(t, 4, takeAll(h, start+5, fastLimit)) // five nanoseconds on a fast clock
}

// Half of a holder's parts move while it is frozen. When it wakes, the other
// instance has refilled that half for all the time; it must not do so, too.
func TestFrozenHolderLosesTheShareOfLostParts(t *testing.T) {
	slow := config.Limit{Rate: 10, Burst: 600}
	h := newHolderWithParts("h", Settings{TransferTime: time.Second}, 60)
	must.Eq(t, 600, takeAll(h, time.Minute, slow))
	wake := time.Minute + 10*time.Second
	h.SetGrants(wake, "0", []Grant{{Since: 1, Parts: 30}})
	must.Eq(t, 50, takeAll(h, wake, slow))
}

// A holder learns that half of its parts move. It goes on with them for as
// long as it was fresh by the row before, and not a nanosecond more; the
// parts that it keeps gain as before.
func TestLostPartsMayBeUsedWhileTheOldRowIsFresh(t *testing.T) {
	l := config.Limit{Rate: 60, Burst: 600}
	s := Settings{TransferTime: time.Second}
	learnt, until := time.Minute, time.Minute+time.Second
	for _, c := range []struct {
		at   time.Duration
		want int
	}{
		{learnt, 600},
		{until - 1, 600},
		{until, 300},
		{until + time.Minute, 300},
	} {
		h := newHolderWithParts("h", s, 60)
		must.True(t, h.Take(time.Second, testBucket, l, 0).Admitted)
		h.SetGrantsWithGrace(learnt, "0", []Grant{{Since: 1, Parts: 30}}, until)
		h.SetGrants(learnt+1, "0", []Grant{{Since: 1, Parts: 30}})
		must.Eq(t, c.want, takeAll(h, c.at, l), must.Sprint(c.at))
	}
	h := newHolderWithParts("h", s, 60)
	must.Eq(t, 600, takeAll(h, learnt, l))
	h.SetGrantsWithGrace(learnt, "0", []Grant{{Since: 1, Parts: 30}}, until)
	must.Eq(t, 60, takeAll(h, until+time.Second, l)) // 30 kept of 60, and 30 more
	h.SetGrantsWithGrace(until+time.Second, "0", nil, until)
	h.EvictIdle(until + time.Second)
	must.MapEmpty(t, h.shards)

	// An entry that comes back, which it shouldn't, counts as a new one.
	h = newHolderWithParts("h", s, 60)
	must.Eq(t, 600, takeAll(h, learnt, l))
	h.SetGrantsWithGrace(learnt, "0", nil, until)
	h.SetGrants(learnt, "0", []Grant{{Since: 1, Parts: 60}})
	must.Eq(t, 30, takeAll(h, learnt+500*time.Millisecond, l))
	must.Eq(t, 0, takeAll(h, until, l))
}

// A holder's parts move away and back while it is frozen. Another instance
// spent them meanwhile. The entry has another Since, so it starts empty.
func TestRegainedPartsStartEmpty(t *testing.T) {
	h := newHolderWithParts("h", driftSettings, 60)
	wake := time.Minute
	h.SetGrants(wake, "0", []Grant{{Since: 9, Parts: 60}})
	must.Eq(t, 0, takeAll(h, wake, fastLimit))
	must.Eq(t, 0, takeAll(h, wake+driftSettings.settleTime(), fastLimit))
	must.Eq(t, 100, takeAll(h, wake+driftSettings.settleTime()+time.Second, fastLimit))
}

// A full holder gets more parts. It must not have gained on them before they
// counted, although nobody looked in between.
func TestAddedPartsCountFromTheirStart(t *testing.T) {
	l := config.Limit{Rate: 60, Burst: 60}
	h := newHolderWithParts("h", Settings{TransferTime: time.Second}, 30)
	must.True(t, h.Take(time.Minute, testBucket, l, Token).Admitted)
	h.SetGrants(time.Minute, "0", []Grant{{Since: 1, Parts: 60}}) // no entry grows
	must.Eq(t, 29, takeAll(h, time.Minute, l))
	must.False(t, h.Take(time.Minute+time.Second, testBucket, l, 31*Token).Admitted)
	h.SetGrants(time.Minute, "0", []Grant{{Since: 1, Parts: 30}, {Since: 5, Parts: 30}})
	must.False(t, h.Take(time.Minute+time.Second, testBucket, l, 31*Token).Admitted)
	start := time.Minute + time.Second + 1
	must.Eq(t, 30, takeAll(h, start, l))
	must.Eq(t, 30, takeAll(h, start+500*time.Millisecond, l))
}

// A plan is lowered to a burst of 1 and raised again, while the bucket was
// full at 1 and forgotten. The burst spent before must not be there again.
func TestEvictedBucketIsNotFullUnderHigherLimit(t *testing.T) {
	high, low := config.Limit{Rate: 1, Burst: 100}, config.Limit{Rate: 1, Burst: 1}
	h := newHolderWithParts("h", Settings{TransferTime: time.Second, IdleTime: time.Second}, 60)
	now := 200 * time.Second
	must.Eq(t, 100, takeAll(h, now, high))
	must.False(t, h.Take(now, testBucket, low, Token).Admitted)
	h.EvictIdle(now + 500*time.Millisecond)
	must.Eq(t, 1, h.BucketCount())
	h.EvictIdle(now + 2*time.Second)
	must.Eq(t, 0, h.BucketCount())
	must.Eq(t, 3, takeAll(h, now+3*time.Second, high))
}

// A holder gave its burst away and forgets an idle bucket. What it gave may
// still be used.
func TestBucketWithOutstandingTransferIsNotEvicted(t *testing.T) {
	s := Settings{TransferTime: 3 * time.Second, IdleTime: time.Second}
	h := newHolderWithParts("h", s, 60)
	h.HandleAsk(time.Minute, fastLimit, Ask{ID: 1, From: "x", Bucket: testBucket, Want: 100 * Token})
	h.EvictIdle(time.Minute + 2*time.Second)
	must.Eq(t, 0, takeAll(h, time.Minute+2*time.Second, fastLimit))
}
