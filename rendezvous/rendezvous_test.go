package rendezvous_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"foxtailspoke/rendezvous"
)

// Two instances that both take themselves for the first use a share twice.
func TestInstancesAgreeOnTheirRanks(t *testing.T) {
	ids := []uint32{11, 12, 13, 14, 15, 16}
	for key := range uint32(50) {
		taken := make(map[int]bool)
		for i, id := range ids {
			r := rendezvous.NewRanks(id)
			r.SetInstances(append(append([]uint32(nil), ids[:i]...), ids[i+1:]...))
			must.False(t, taken[r.Of(key)])
			taken[r.Of(key)] = true
			must.Between(t, 0, r.Of(key), len(ids)-1)
		}
	}
}

func TestRanksAreUnknownAtFirst(t *testing.T) {
	r := rendezvous.NewRanks(1)
	must.False(t, r.Known())
	r.SetInstances(nil)
	must.True(t, r.Known())
	must.Eq(t, 1, r.Instances())
	must.Eq(t, 0, r.Of(7))
}
