package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

var (
	sheets = Bucket{Workspace: "w", Service: "sheets"}
	// sharp gains a token every nanosecond, so that a nanosecond too early
	// shows as a token too many.
	sharp    = config.Limit{Rate: 1e9, Burst: 100}
	drifting = Settings{TransferTime: time.Second, Drift: 0.25, IdleTime: time.Second}
)

// holding returns a holder of parts that began to count at time 0.
func holding(id string, s Settings, parts int) *Holder {
	h := NewHolder(id, 1, s)
	h.SetGrants(-s.settleTime(), "0", []Grant{{Since: 1, Parts: parts}})
	return h
}

// has returns how many whole tokens a holder would admit at a time, and
// takes them.
func has(h *Holder, now time.Duration, l config.Limit) int {
	n := 0
	for h.Take(now, sheets, l, Token).Admitted {
		n++
	}
	return n
}

// A holder gives 40 tokens of a burst of 100. The asker's clock is as slow,
// the giver's as fast as clocks may be. The asker spends the 40 in its last
// nanosecond; were the giver full again a nanosecond before, callers would
// get more than 100 at once.
func TestGivenTokensKeepTheirPlaceUntilTheAskerCannotUseThem(t *testing.T) {
	sharp := config.Limit{Rate: 1e11, Burst: 100}
	giveAndLook := func(at time.Duration) int {
		g, r := holding("g", drifting, 60), NewHolder("r", 1, drifting)
		start := time.Minute
		tr := g.HandleAsk(start, sharp, r.StartAsk(0, "g", sheets, sharp, 40*Token))
		must.Eq(t, 40*Token, tr.Amount)
		return has(g, start+at, sharp)
	}
	useAt := func(at time.Duration) int {
		g, r := holding("g", drifting, 60), NewHolder("r", 1, drifting)
		r.HandleTransfer(1, sharp, g.HandleAsk(time.Minute, sharp, r.StartAsk(0, "g", sheets, sharp, 40*Token)))
		return has(r, at, sharp)
	}
	last := drifting.TransferTime - 1
	must.Eq(t, 40, useAt(last))
	must.Eq(t, 0, useAt(last+1))
	restored := drifting.settleTime()
	must.Eq(t, 60, giveAndLook(restored-1))
	must.Eq(t, 100, giveAndLook(restored+1))

	// In truth: the end of the asker's time, and the giver's full burst.
	end := float64(drifting.TransferTime) * (1 + drifting.Drift)
	must.GreaterEq(t, end, float64(restored)/(1+drifting.Drift))
	must.Less(t, end, float64(restored-1)/(1+drifting.Drift))
}

// A cut-off holder gives its whole burst away in the last nanosecond in which
// it is fresh, on a clock as slow as may be; the asker, as slow, spends it in
// its last nanosecond. The new holder's clock is fast. Had it acted on the row
// a nanosecond before that was in force, both would have the burst at once.
func TestNewHolderStartsAfterTheLastUseOfTheOldOnes(t *testing.T) {
	const fresh = time.Second
	slow := 1 + drifting.Drift
	sharp := config.Limit{Rate: 1e11, Burst: 100}
	// All true times are counted from when a majority knows the row.
	inForce := float64(fresh) * slow
	lastUse := inForce + float64(drifting.TransferTime)*slow

	r := NewHolder("r", 1, drifting)
	old := holding("old", drifting, 60)
	r.HandleTransfer(1, sharp, old.HandleAsk(time.Minute, sharp, r.StartAsk(0, "old", sheets, sharp, 100*Token)))
	must.Eq(t, 100, has(r, drifting.TransferTime-1, sharp))

	firstUse := func(learnt time.Duration) float64 {
		n := NewHolder("n", 1, drifting)
		n.SetGrants(learnt, "0", []Grant{{Since: 7, Parts: 60}})
		at := learnt
		for step := time.Second; step > 0; {
			if n.Take(at+step, sheets, sharp, Token).Admitted {
				n = NewHolder("n", 1, drifting)
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
	h := NewHolder("n", 1, drifting)
	h.SetGrants(time.Minute, "0", []Grant{{Since: 7, Parts: 60}})
	start := time.Minute + drifting.settleTime()
	must.Eq(t, 0, has(h, start, sharp))
	must.Eq(t, 4, has(h, start+5, sharp)) // five nanoseconds on a fast clock
}

// Half of a holder's parts move while it is frozen. When it wakes, the other
// instance has refilled that half for all the time; it must not do so, too.
func TestFrozenHolderLosesTheShareOfLostParts(t *testing.T) {
	slow := config.Limit{Rate: 10, Burst: 600}
	h := holding("h", Settings{TransferTime: time.Second}, 60)
	must.Eq(t, 600, has(h, time.Minute, slow))
	wake := time.Minute + 10*time.Second
	h.SetGrants(wake, "0", []Grant{{Since: 1, Parts: 30}})
	must.Eq(t, 50, has(h, wake, slow))
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
		h := holding("h", s, 60)
		must.True(t, h.Take(time.Second, sheets, l, 0).Admitted)
		h.SetGrantsWithGrace(learnt, "0", []Grant{{Since: 1, Parts: 30}}, until)
		h.SetGrants(learnt+1, "0", []Grant{{Since: 1, Parts: 30}})
		must.Eq(t, c.want, has(h, c.at, l), must.Sprint(c.at))
	}
	h := holding("h", s, 60)
	must.Eq(t, 600, has(h, learnt, l))
	h.SetGrantsWithGrace(learnt, "0", []Grant{{Since: 1, Parts: 30}}, until)
	must.Eq(t, 60, has(h, until+time.Second, l)) // 30 kept of 60, and 30 more
	h.SetGrantsWithGrace(until+time.Second, "0", nil, until)
	h.EvictIdle(until + time.Second)
	must.MapEmpty(t, h.shards)

	// An entry that comes back, which it shouldn't, counts as a new one.
	h = holding("h", s, 60)
	must.Eq(t, 600, has(h, learnt, l))
	h.SetGrantsWithGrace(learnt, "0", nil, until)
	h.SetGrants(learnt, "0", []Grant{{Since: 1, Parts: 60}})
	must.Eq(t, 30, has(h, learnt+500*time.Millisecond, l))
	must.Eq(t, 0, has(h, until, l))
}

// A holder's parts move away and back while it is frozen. Another instance
// spent them meanwhile. The entry has another Since, so it starts empty.
func TestPartsThatCameBackStartEmpty(t *testing.T) {
	h := holding("h", drifting, 60)
	wake := time.Minute
	h.SetGrants(wake, "0", []Grant{{Since: 9, Parts: 60}})
	must.Eq(t, 0, has(h, wake, sharp))
	must.Eq(t, 0, has(h, wake+drifting.settleTime(), sharp))
	must.Eq(t, 100, has(h, wake+drifting.settleTime()+time.Second, sharp))
}

// A full holder gets more parts. It must not have gained on them before they
// counted, although nobody looked in between.
func TestAddedPartsCountFromTheirStart(t *testing.T) {
	l := config.Limit{Rate: 60, Burst: 60}
	h := holding("h", Settings{TransferTime: time.Second}, 30)
	must.True(t, h.Take(time.Minute, sheets, l, Token).Admitted)
	h.SetGrants(time.Minute, "0", []Grant{{Since: 1, Parts: 60}}) // no entry grows
	must.Eq(t, 29, has(h, time.Minute, l))
	must.False(t, h.Take(time.Minute+time.Second, sheets, l, 31*Token).Admitted)
	h.SetGrants(time.Minute, "0", []Grant{{Since: 1, Parts: 30}, {Since: 5, Parts: 30}})
	must.False(t, h.Take(time.Minute+time.Second, sheets, l, 31*Token).Admitted)
	start := time.Minute + time.Second + 1
	must.Eq(t, 30, has(h, start, l))
	must.Eq(t, 30, has(h, start+500*time.Millisecond, l))
}

// A plan is lowered to a burst of 1 and raised again, while the bucket was
// full at 1 and forgotten. The burst spent before must not be there again.
func TestForgottenBucketIsNotFullUnderAHigherLimit(t *testing.T) {
	high, low := config.Limit{Rate: 1, Burst: 100}, config.Limit{Rate: 1, Burst: 1}
	h := holding("h", Settings{TransferTime: time.Second, IdleTime: time.Second}, 60)
	now := 200 * time.Second
	must.Eq(t, 100, has(h, now, high))
	must.False(t, h.Take(now, sheets, low, Token).Admitted)
	h.EvictIdle(now + 500*time.Millisecond)
	must.Eq(t, 1, h.BucketCount())
	h.EvictIdle(now + 2*time.Second)
	must.Eq(t, 0, h.BucketCount())
	must.Eq(t, 3, has(h, now+3*time.Second, high))
}

// A holder gave its burst away and forgets an idle bucket. What it gave may
// still be used.
func TestBucketWithGivenTokensIsNotForgotten(t *testing.T) {
	s := Settings{TransferTime: 3 * time.Second, IdleTime: time.Second}
	h := holding("h", s, 60)
	h.HandleAsk(time.Minute, sharp, Ask{ID: 1, From: "x", Bucket: sheets, Want: 100 * Token})
	h.EvictIdle(time.Minute + 2*time.Second)
	must.Eq(t, 0, has(h, time.Minute+2*time.Second, sharp))
}
