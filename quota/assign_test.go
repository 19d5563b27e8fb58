package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

func candidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{ID: instanceID(i), DataCentre: fmt.Sprint(i % 3)}
	}
	return list
}

// Only the parts of an instance that leaves are reassigned, and a row that
// needs no change stays the same.
func TestAssignMovesOnlyPartsOfGoneHolders(t *testing.T) {
	list := candidates(9)
	row, changed := Assign("7", config.Shard{}, list, 3, 5)
	must.True(t, changed)
	must.Len(t, 3, row.Holders)
	centres := map[string]bool{}
	for _, e := range row.Holders {
		must.Eq(t, config.Holder{Instance: e.Instance, Parts: 20, Since: 5}, e)
		for _, c := range list {
			if c.ID == e.Instance {
				centres[c.DataCentre] = true
			}
		}
	}
	must.MapLen(t, 3, centres)
	_, changed = Assign("7", row, list, 3, 6)
	must.False(t, changed)

	gone := row.Holders[0].Instance
	for i := range list {
		if list[i].ID == gone {
			list[i].State = Leaving
		}
	}
	next, changed := Assign("7", row, list, 3, 9)
	must.True(t, changed)
	must.Eq(t, row.Holders[1:], next.Holders[:2])
	must.Eq(t, uint64(9), next.Holders[2].Since)
	must.Eq(t, 20, next.Holders[2].Parts)

	for i := range list {
		list[i].State = Ended
	}
	same, changed := Assign("7", row, list, 3, 10)
	must.False(t, changed)
	must.Eq(t, row, same)
}

// With random instance states, the parts always add up, and an existing entry
// never gains parts: additional parts come as a new entry.
func TestAssignKeepsInvariants(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 4))
		list := candidates(1 + rng.IntN(12))
		row := config.Shard{}
		for since := range uint64(12) {
			for i := range list {
				list[i].State = CandidateState(rng.IntN(5) * rng.IntN(2) % 4)
			}
			next, changed := Assign("7", row, list, 1+rng.IntN(8), since)
			if changed {
				checkRow(t, row, next, since)
				row = next
			}
		}
	}
}

func checkRow(t *testing.T, row, next config.Shard, since uint64) {
	t.Helper()
	before := map[config.Holder]int{}
	for _, e := range row.Holders {
		before[config.Holder{Instance: e.Instance, Since: e.Since}] = e.Parts
	}
	sum := 0
	for _, e := range next.Holders {
		sum += e.Parts
		old, known := before[config.Holder{Instance: e.Instance, Since: e.Since}]
		must.True(t, known || e.Since == since, must.Sprintf("%v after %v", next, row))
		must.False(t, known && e.Parts > old, must.Sprintf("%v after %v", next, row))
	}
	must.Eq(t, config.PartsPerShard, sum)
	must.True(t, validRow(next))
}

// A row whose parts add up to more than the total, or that has negative parts,
// grants nothing.
func TestGrantsRejectInvalidRow(t *testing.T) {
	row := config.Shard{Holders: []config.Holder{
		{Instance: "a", Parts: 20, Since: 1},
		{Instance: "b", Parts: 20, Since: 1},
		{Instance: "a", Parts: 20, Since: 4},
	}}
	until := func(limit uint64) func(uint64) bool {
		return func(since uint64) bool { return since <= limit }
	}
	must.Eq(t, []Grant{{Since: 1, Parts: 20}}, Grants(row, "a", until(3)))
	must.Eq(t, []Grant{{Since: 1, Parts: 20}, {Since: 4, Parts: 20}}, Grants(row, "a", until(4)))
	must.Eq(t, []uint64{1, 4}, EntryRevisions(row, "a"))
	must.SliceEmpty(t, Grants(row, "c", until(9)))
	must.Eq(t, []string{"a", "b"}, AskOrder(row, "c"))
	must.Eq(t, []string{"b"}, AskOrder(row, "a"))
	row.Holders[1].Parts = 21
	must.SliceEmpty(t, Grants(row, "a", until(9)))
	row.Holders[1].Parts = -1
	must.SliceEmpty(t, Grants(row, "a", until(9)))
}

func TestHolderCount(t *testing.T) {
	for _, c := range []struct {
		limits []config.Limit
		want   int
	}{
		{nil, 1},
		{[]config.Limit{{Rate: 1, Burst: 1}}, 1},
		{[]config.Limit{{Rate: 1, Burst: 5}}, 2},
		{[]config.Limit{{Rate: 50, Burst: 100}}, 3},
		{[]config.Limit{{Rate: 450, Burst: 1000}}, 7},
		{[]config.Limit{{Rate: 1e6, Burst: 1e6}}, 8},
		{[]config.Limit{{Rate: 1, Burst: 1}, {Rate: 50, Burst: 100}, {Rate: 50, Burst: 100}}, 3},
	} {
		must.Eq(t, c.want, HolderCount(c.limits, 8), must.Sprint(c.limits))
	}
}

// Guards against unbounded memory and wrongly empty buckets: 55,000 workspaces
// send one request each and then none. The holder evicts their buckets, and a
// workspace that returns finds a full bucket.
func TestIdleBucketsAreEvicted(t *testing.T) {
	l := config.Limit{Rate: 5, Burst: 10}
	h := newHolderWithParts("h", DefaultSettings(), 60)
	now := DefaultSettings().IdleTime
	for i := range 55_000 {
		b := Bucket{Workspace: instanceID(i), Service: "s"}
		must.True(t, h.Take(now, b, l, 10*Token).Admitted)
	}
	must.Eq(t, 55_000, h.BucketCount())
	h.EvictIdle(now + DefaultSettings().IdleTime - 1)
	must.Eq(t, 55_000, h.BucketCount())
	now += DefaultSettings().IdleTime
	h.EvictIdle(now)
	must.Zero(t, h.BucketCount())
	must.True(t, h.Take(now, Bucket{Workspace: "i7", Service: "s"}, l, 10*Token).Admitted)
}
