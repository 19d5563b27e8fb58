package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

var (
	testBucket = Bucket{Workspace: "w", Service: "sheets"}
	// fastLimit gains a token every nanosecond, so that an error of one
	// nanosecond shows as an excess token.
	fastLimit     = config.Limit{Rate: 1e9, Burst: 100}
	driftSettings = Settings{TransferTime: time.Second, Drift: 0.25, IdleTime: time.Second}
)

// newHolderWithParts returns a holder of parts that are active from time 0.
func newHolderWithParts(id string, s Settings, parts int) *Holder {
	h := NewHolder(id, 1, s)
	h.SetGrants(-s.settleTime(), "0", []Grant{{Since: 1, Parts: parts}})
	return h
}

// takeAll takes all whole tokens that a holder admits at a time, and returns
// how many.
func takeAll(h *Holder, now time.Duration, l config.Limit) int {
	n := 0
	for h.Take(now, testBucket, l, Token).Admitted {
		n++
	}
	return n
}

// Guards against a giver that refills before the tokens it gave expire. It
// gives 40 tokens of a burst of 100. The asker's clock is as slow, and the
// giver's as fast, as the drift allows. The asker spends the 40 in the last
// nanosecond possible; if the giver were full one nanosecond early, callers
// would get more than 100 at once.
func TestTransferredTokensOccupyGiverCapacityUntilExpiry(t *testing.T) {
	veryFastLimit := config.Limit{Rate: 1e11, Burst: 100}
	giverTokensAt := func(at time.Duration) int {
		g, r := newHolderWithParts("g", driftSettings, 60), NewHolder("r", 1, driftSettings)
		start := time.Minute
		tr := g.HandleAsk(start, veryFastLimit, r.StartAsk(0, "g", testBucket, veryFastLimit, 40*Token))
		must.Eq(t, 40*Token, tr.Amount)
		return takeAll(g, start+at, veryFastLimit)
	}
	askerTokensAt := func(at time.Duration) int {
		g, r := newHolderWithParts("g", driftSettings, 60), NewHolder("r", 1, driftSettings)
		r.HandleTransfer(1, veryFastLimit, g.HandleAsk(time.Minute, veryFastLimit, r.StartAsk(0, "g", testBucket, veryFastLimit, 40*Token)))
		return takeAll(r, at, veryFastLimit)
	}
	last := driftSettings.TransferTime - 1
	must.Eq(t, 40, askerTokensAt(last))
	must.Eq(t, 0, askerTokensAt(last+1))
	restored := driftSettings.settleTime()
	must.Eq(t, 60, giverTokensAt(restored-1))
	must.Eq(t, 100, giverTokensAt(restored+1))

	// Real time at which the asker's period ends, and at which the giver is
	// full again.
	end := float64(driftSettings.TransferTime) * (1 + driftSettings.Drift)
	must.GreaterEq(t, end, float64(restored)/(1+driftSettings.Drift))
	must.Less(t, end, float64(restored-1)/(1+driftSettings.Drift))
}

// Guards against a new holder that starts too early. A partitioned holder
// gives its whole burst away in the last nanosecond in which it is fresh, and
// the asker spends it in its last nanosecond; both clocks are as slow as the
// drift allows. The new holder's clock is fast. If it learned of the row one
// nanosecond before it is in force, both could use the burst at once.
func TestNewHolderStartsAfterLastUseByFormerHolder(t *testing.T) {
	const fresh = time.Second
	slow := 1 + driftSettings.Drift
	veryFastLimit := config.Limit{Rate: 1e11, Burst: 100}
	// Real times are counted from when a majority knows the row.
	inForce := float64(fresh) * slow
	lastUse := inForce + float64(driftSettings.TransferTime)*slow

	r := NewHolder("r", 1, driftSettings)
	old := newHolderWithParts("old", driftSettings, 60)
	r.HandleTransfer(1, veryFastLimit, old.HandleAsk(time.Minute, veryFastLimit, r.StartAsk(0, "old", testBucket, veryFastLimit, 100*Token)))
	must.Eq(t, 100, takeAll(r, driftSettings.TransferTime-1, veryFastLimit))

	firstUse := func(learnt time.Duration) float64 {
		n := NewHolder("n", 1, driftSettings)
		n.SetGrants(learnt, "0", []Grant{{Since: 7, Parts: 60}})
		at := learnt
		for step := time.Second; step > 0; {
			if n.Take(at+step, testBucket, veryFastLimit, Token).Admitted {
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

// A new holder has no stored tokens when it starts.
func TestNewHolderStartsEmpty(t *testing.T) {
	h := NewHolder("n", 1, driftSettings)
	h.SetGrants(time.Minute, "0", []Grant{{Since: 7, Parts: 60}})
	start := time.Minute + driftSettings.settleTime()
	must.Eq(t, 0, takeAll(h, start, fastLimit))
	must.Eq(t, 4, takeAll(h, start+5, fastLimit)) // 5 ns on a fast clock count as 4 ns
}

// Half of a holder's parts move while it is frozen. When it resumes, the other
// instance has refilled that half for the whole period, so this one must not
// do so as well.
func TestFrozenHolderLosesTheShareOfLostParts(t *testing.T) {
	slow := config.Limit{Rate: 10, Burst: 600}
	h := newHolderWithParts("h", Settings{TransferTime: time.Second}, 60)
	must.Eq(t, 600, takeAll(h, time.Minute, slow))
	wake := time.Minute + 10*time.Second
	h.SetGrants(wake, "0", []Grant{{Since: 1, Parts: 30}})
	must.Eq(t, 50, takeAll(h, wake, slow))
}

// A holder learns that half of its parts move. It keeps using them until it
// stops being fresh by the previous row, and not a nanosecond longer. The
// parts that it keeps refill as before.
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
	must.Eq(t, 60, takeAll(h, until+time.Second, l)) // 30 of 60 kept, and 30 refilled
	h.SetGrantsWithGrace(until+time.Second, "0", nil, until)
	h.EvictIdle(until + time.Second)
	must.MapEmpty(t, h.shards)

	// An entry that reappears, which shouldn't happen, counts as a new one.
	h = newHolderWithParts("h", s, 60)
	must.Eq(t, 600, takeAll(h, learnt, l))
	h.SetGrantsWithGrace(learnt, "0", nil, until)
	h.SetGrants(learnt, "0", []Grant{{Since: 1, Parts: 60}})
	must.Eq(t, 30, takeAll(h, learnt+500*time.Millisecond, l))
	must.Eq(t, 0, takeAll(h, until, l))
}

// A holder's parts move away and back while it is frozen, and another instance
// spends them meanwhile. The entry has another Since, so it starts empty.
func TestRegainedPartsStartEmpty(t *testing.T) {
	h := newHolderWithParts("h", driftSettings, 60)
	wake := time.Minute
	h.SetGrants(wake, "0", []Grant{{Since: 9, Parts: 60}})
	must.Eq(t, 0, takeAll(h, wake, fastLimit))
	must.Eq(t, 0, takeAll(h, wake+driftSettings.settleTime(), fastLimit))
	must.Eq(t, 100, takeAll(h, wake+driftSettings.settleTime()+time.Second, fastLimit))
}

// A full holder gets more parts. They must not refill for the time before they
// became active, even if the bucket wasn't updated in between.
func TestAddedPartsCountFromTheirStart(t *testing.T) {
	l := config.Limit{Rate: 60, Burst: 60}
	h := newHolderWithParts("h", Settings{TransferTime: time.Second}, 30)
	must.True(t, h.Take(time.Minute, testBucket, l, Token).Admitted)
	h.SetGrants(time.Minute, "0", []Grant{{Since: 1, Parts: 60}}) // an entry can't gain parts
	must.Eq(t, 29, takeAll(h, time.Minute, l))
	must.False(t, h.Take(time.Minute+time.Second, testBucket, l, 31*Token).Admitted)
	h.SetGrants(time.Minute, "0", []Grant{{Since: 1, Parts: 30}, {Since: 5, Parts: 30}})
	must.False(t, h.Take(time.Minute+time.Second, testBucket, l, 31*Token).Admitted)
	start := time.Minute + time.Second + 1
	must.Eq(t, 30, takeAll(h, start, l))
	must.Eq(t, 30, takeAll(h, start+500*time.Millisecond, l))
}

// A plan is lowered to a burst of 1 and raised again, and meanwhile the bucket
// is full at 1 and evicted. The burst spent earlier must not be available
// again.
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

// A bucket whose burst was given away isn't evicted while idle, because the
// given tokens may still be used.
func TestBucketWithOutstandingTransferIsNotEvicted(t *testing.T) {
	s := Settings{TransferTime: 3 * time.Second, IdleTime: time.Second}
	h := newHolderWithParts("h", s, 60)
	h.HandleAsk(time.Minute, fastLimit, Ask{ID: 1, From: "x", Bucket: testBucket, Want: 100 * Token})
	h.EvictIdle(time.Minute + 2*time.Second)
	must.Eq(t, 0, takeAll(h, time.Minute+2*time.Second, fastLimit))
}
