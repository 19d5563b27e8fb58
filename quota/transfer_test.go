package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

// Ten tokens arrive for one request; nine are left. The same message comes
// again, comes late, or reaches the next incarnation of the asker.
func TestTransferCountsOnce(t *testing.T) {
	g, r := holding("g", drifting, 60), NewHolder("r", 1, drifting)
	tr := g.HandleAsk(time.Minute, sharp, r.StartAsk(0, "g", sheets, sharp, 10*Token))
	must.Eq(t, 10*Token, r.HandleTransfer(0, sharp, tr))
	must.True(t, r.Take(0, sheets, sharp, Token).Admitted)
	must.Eq(t, 0, r.HandleTransfer(1, sharp, tr))
	must.Eq(t, 9, has(r, drifting.TransferTime-1, sharp))

	twice := Ask{ID: 99, From: "x", Bucket: sheets, Want: 30 * Token}
	must.Eq(t, g.HandleAsk(time.Minute, sharp, twice), g.HandleAsk(time.Minute, sharp, twice))
	must.Eq(t, 60, has(g, time.Minute, sharp))

	g = holding("g", drifting, 60)
	more := g.HandleAsk(time.Minute, sharp, r.StartAsk(0, "g", sheets, sharp, Token))
	more.Amount = 50 * Token
	must.Eq(t, Token, r.HandleTransfer(0, sharp, more))
	must.True(t, r.Take(0, sheets, sharp, Token).Admitted)

	late := g.HandleAsk(time.Minute, sharp, r.StartAsk(0, "g", sheets, sharp, 10*Token))
	must.Eq(t, 0, r.HandleTransfer(drifting.TransferTime, sharp, late))
	must.Eq(t, 0, NewHolder("r2", 1, drifting).HandleTransfer(0, sharp, late))

	other := NewHolder("r", 1, drifting)
	kept := g.HandleAsk(time.Minute, sharp, other.StartAsk(0, "g", sheets, sharp, 10*Token))
	must.Eq(t, 10*Token, other.HandleTransfer(drifting.TransferTime-1, sharp, kept))
	must.Eq(t, 0, has(other, drifting.TransferTime, sharp))
}

// An asker has room for 30 of 40 tokens. The rest isn't stored: it would be
// there on top of its capacity when the giver is full again.
func TestAskerStoresOnlyWhatFits(t *testing.T) {
	l := config.Limit{Rate: 1e-9, Burst: 60}
	fast := config.Limit{Rate: 1e9, Burst: 60}
	g, r := holding("g", drifting, 40), holding("r", drifting, 20)
	must.Eq(t, 20, has(r, time.Minute, fast))
	must.Eq(t, 40*Token, g.HandleAsk(time.Minute, fast, Ask{ID: 9, From: "x", Bucket: sheets, Want: 40 * Token}).Amount)
	g = holding("g", drifting, 40)
	tr := g.HandleAsk(time.Minute, fast, r.StartAsk(time.Minute, "g", sheets, l, 40*Token))
	must.Eq(t, 40*Token, r.HandleTransfer(time.Minute, l, tr))
	must.Eq(t, 20, has(r, time.Minute+drifting.TransferTime, l))
}

// An asker has tokens left from a first ask and asks again. Only once they
// are spent may the giver forget them.
func TestGiverKeepsPlaceOfTokensThatAreNotSettled(t *testing.T) {
	g, r := holding("g", drifting, 60), NewHolder("r", 1, drifting)
	now := time.Minute
	ask := func(n Amount) {
		r.HandleTransfer(0, sharp, g.HandleAsk(now, sharp, r.StartAsk(0, "g", sheets, sharp, n*Token)))
	}
	ask(40)
	must.True(t, r.Take(0, sheets, sharp, Token).Admitted)
	now++
	ask(10)
	now += 1000
	must.Eq(t, 50, has(g, now, sharp))
	must.Eq(t, 49, has(r, 0, sharp))
	now += 1000
	ask(1)
	now += 1000
	must.Eq(t, 99, has(g, now, sharp))
}

// The burst is one token in three shares. Two instances put it together at
// the same time, and crossed asks must not leave both with pieces.
func TestTinyBurstIsPutTogether(t *testing.T) {
	l := config.Limit{Rate: 0.1, Burst: 1}
	s := DefaultSettings()
	hs := []*Holder{holding("a", s, 20), holding("b", s, 20), holding("c", s, 20)}
	now := time.Minute
	gather := []Ask{}
	for _, asker := range []int{0, 1} {
		missing := hs[asker].Take(now, sheets, l, Token).Missing
		for peer, id := range []string{"a", "b", "c"} {
			if peer != asker {
				gather = append(gather, hs[asker].StartAsk(now, id, sheets, l, missing))
			}
		}
	}
	to := []int{1, 2, 0, 2}
	for i, a := range gather {
		hs[i/2].HandleTransfer(now, l, hs[to[i]].HandleAsk(now, l, a))
	}
	must.True(t, hs[0].Take(now, sheets, l, Token).Admitted)
	must.False(t, hs[1].Take(now, sheets, l, Token).Admitted)
}

// A refused request gives back what it had put together. The message comes
// twice, or after the giver has ended the gift; the tokens come back once at
// most, and the asker can't use them any more.
func TestTokensComeBackOnce(t *testing.T) {
	still := config.Limit{Rate: 1e-9, Burst: 100}
	for _, c := range []struct {
		name  string
		after time.Duration
		want  int
	}{
		{"at once", 1, 100},
		{"after the gift has ended", drifting.settleTime(), 90},
	} {
		g, r := holding("g", drifting, 60), NewHolder("r", 1, drifting)
		must.True(t, g.Take(time.Minute, sheets, sharp, 0).Admitted)
		tr := g.HandleAsk(time.Minute, still, r.StartAsk(0, "g", sheets, still, 10*Token))
		must.Eq(t, 10*Token, r.HandleTransfer(1, still, tr))
		r.returnUnused(sheets)
		due := r.DrainSettlements()
		must.Len(t, 1, due)
		must.Eq(t, 0, has(r, 2, still))
		g.HandleSettlement(time.Minute+c.after, still, due[0])
		g.HandleSettlement(time.Minute+c.after, still, due[0])
		must.Eq(t, c.want, has(g, time.Minute+c.after, still), must.Sprint(c.name))
	}
}
