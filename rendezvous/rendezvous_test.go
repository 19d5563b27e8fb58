package rendezvous_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/rendezvous"
)

// All instances must compute distinct ranks for a key. If two instances both ranked
// first, both would use the same share.
func TestInstancesAgreeOnTheirRanks(t *testing.T) {
	ids := []uint32{11, 12, 13, 14, 15, 16}
	for key := range uint32(50) {
		taken := make(map[int]bool)
		for i, id := range ids {
			r := rendezvous.NewRanker(id)
			r.SetInstances(append(append([]uint32(nil), ids[:i]...), ids[i+1:]...))
			must.False(t, taken[r.Rank(key)])
			taken[r.Rank(key)] = true
			must.Between(t, 0, r.Rank(key), len(ids)-1)
		}
	}
}

func TestRankerIsNotInitializedAtFirst(t *testing.T) {
	r := rendezvous.NewRanker(1)
	must.False(t, r.Initialized())
	r.SetInstances(nil)
	must.True(t, r.Initialized())
	must.Eq(t, 1, r.InstanceCount())
	must.Eq(t, 0, r.Rank(7))
}
