package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

// A transfer counts once. Ten tokens arrive for one request, and nine are
// left. The same message is duplicated, arrives late, or reaches the next
// incarnation of the asker.
func TestTransferCountsOnce(t *testing.T) {
	g, r := newHolderWithParts("g", driftSettings, 60), NewHolder("r", 1, driftSettings)
	tr := g.HandleAsk(time.Minute, fastLimit, r.StartAsk(0, "g", testBucket, fastLimit, 10*Token))
	must.Eq(t, 10*Token, r.HandleTransfer(0, fastLimit, tr))
	must.True(t, r.Take(0, testBucket, fastLimit, Token).Admitted)
	must.Eq(t, 0, r.HandleTransfer(1, fastLimit, tr))
	must.Eq(t, 9, takeAll(r, driftSettings.TransferTime-1, fastLimit))

	twice := Ask{ID: 99, From: "x", Bucket: testBucket, Want: 30 * Token}
	must.Eq(t, g.HandleAsk(time.Minute, fastLimit, twice), g.HandleAsk(time.Minute, fastLimit, twice))
	must.Eq(t, 60, takeAll(g, time.Minute, fastLimit))

	g = newHolderWithParts("g", driftSettings, 60)
	more := g.HandleAsk(time.Minute, fastLimit, r.StartAsk(0, "g", testBucket, fastLimit, Token))
	more.Amount = 50 * Token
	must.Eq(t, Token, r.HandleTransfer(0, fastLimit, more))
	must.True(t, r.Take(0, testBucket, fastLimit, Token).Admitted)

	late := g.HandleAsk(time.Minute, fastLimit, r.StartAsk(0, "g", testBucket, fastLimit, 10*Token))
	must.Eq(t, 0, r.HandleTransfer(driftSettings.TransferTime, fastLimit, late))
	must.Eq(t, 0, NewHolder("r2", 1, driftSettings).HandleTransfer(0, fastLimit, late))

	other := NewHolder("r", 1, driftSettings)
	kept := g.HandleAsk(time.Minute, fastLimit, other.StartAsk(0, "g", testBucket, fastLimit, 10*Token))
	must.Eq(t, 10*Token, other.HandleTransfer(driftSettings.TransferTime-1, fastLimit, kept))
	must.Eq(t, 0, takeAll(other, driftSettings.TransferTime, fastLimit))
}

// An asker has room for 30 of 40 tokens. The rest isn't stored: otherwise it
// would exceed the asker's capacity once the giver is full again.
func TestAskerStoresOnlyWhatFits(t *testing.T) {
	l := config.Limit{Rate: 1e-9, Burst: 60}
	fast := config.Limit{Rate: 1e9, Burst: 60}
	g, r := newHolderWithParts("g", driftSettings, 40), newHolderWithParts("r", driftSettings, 20)
	must.Eq(t, 20, takeAll(r, time.Minute, fast))
	must.Eq(t, 40*Token, g.HandleAsk(time.Minute, fast, Ask{ID: 9, From: "x", Bucket: testBucket, Want: 40 * Token}).Amount)
	g = newHolderWithParts("g", driftSettings, 40)
	tr := g.HandleAsk(time.Minute, fast, r.StartAsk(time.Minute, "g", testBucket, l, 40*Token))
	must.Eq(t, 40*Token, r.HandleTransfer(time.Minute, l, tr))
	must.Eq(t, 20, takeAll(r, time.Minute+driftSettings.TransferTime, l))
}

// An asker has tokens left from a first ask and asks again. The giver may
// release the capacity only once they are spent.
func TestUnsettledTokensOccupyGiverCapacity(t *testing.T) {
	g, r := newHolderWithParts("g", driftSettings, 60), NewHolder("r", 1, driftSettings)
	now := time.Minute
	ask := func(n Amount) {
		r.HandleTransfer(0, fastLimit, g.HandleAsk(now, fastLimit, r.StartAsk(0, "g", testBucket, fastLimit, n*Token)))
	}
	ask(40)
	must.True(t, r.Take(0, testBucket, fastLimit, Token).Admitted)
	now++
	ask(10)
	now += 1000
	must.Eq(t, 50, takeAll(g, now, fastLimit))
	must.Eq(t, 49, takeAll(r, 0, fastLimit))
	now += 1000
	ask(1)
	now += 1000
	must.Eq(t, 99, takeAll(g, now, fastLimit))
}

// The burst is one token, split over three shares. Two instances collect it at
// the same time; crossing asks must not leave both with fractions.
func TestBurstOfOneTokenIsCombinedFromShares(t *testing.T) {
	l := config.Limit{Rate: 0.1, Burst: 1}
	s := DefaultSettings()
	hs := []*Holder{newHolderWithParts("a", s, 20), newHolderWithParts("b", s, 20), newHolderWithParts("c", s, 20)}
	now := time.Minute
	asks := []Ask{}
	for _, asker := range []int{0, 1} {
		missing := hs[asker].Take(now, testBucket, l, Token).Missing
		for peer, id := range []string{"a", "b", "c"} {
			if peer != asker {
				asks = append(asks, hs[asker].StartAsk(now, id, testBucket, l, missing))
			}
		}
	}
	to := []int{1, 2, 0, 2}
	for i, a := range asks {
		hs[i/2].HandleTransfer(now, l, hs[to[i]].HandleAsk(now, l, a))
	}
	must.True(t, hs[0].Take(now, testBucket, l, Token).Admitted)
	must.False(t, hs[1].Take(now, testBucket, l, Token).Admitted)
}

// A refused request returns the tokens it collected. If the message is
// duplicated or arrives after the transfer has ended, the tokens are restored
// at most once, and the asker can't use them any more.
func TestUnusedTokensAreReturnedOnce(t *testing.T) {
	noRefill := config.Limit{Rate: 1e-9, Burst: 100}
	for _, c := range []struct {
		name  string
		after time.Duration
		want  int
	}{
		{"at once", 1, 100},
		{"after the transfer has ended", driftSettings.settleTime(), 90},
	} {
		g, r := newHolderWithParts("g", driftSettings, 60), NewHolder("r", 1, driftSettings)
		must.True(t, g.Take(time.Minute, testBucket, fastLimit, 0).Admitted)
		tr := g.HandleAsk(time.Minute, noRefill, r.StartAsk(0, "g", testBucket, noRefill, 10*Token))
		must.Eq(t, 10*Token, r.HandleTransfer(1, noRefill, tr))
		r.returnUnused(testBucket)
		due := r.DrainSettlements()
		must.Len(t, 1, due)
		must.Eq(t, 0, takeAll(r, 2, noRefill))
		g.HandleSettlement(time.Minute+c.after, noRefill, due[0])
		g.HandleSettlement(time.Minute+c.after, noRefill, due[0])
		must.Eq(t, c.want, takeAll(g, time.Minute+c.after, noRefill), must.Sprint(c.name))
	}
}
