package balance_test

import (
	"fmt"
	"math/rand/v2"

	"foxtailspoke/balance"
)

// One of three servers is leaving and one has no free slot, so the third is
// picked. A request that has already tried both remaining servers gets none.
func Example() {
	p := balance.NewPicker(balance.DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	servers := []balance.Server{
		{ID: "leaving", Slots: 2, Weight: 1, Leaving: true},
		{ID: "busy", Slots: 2, Weight: 1},
		{ID: "free", Slots: 2, Weight: 1},
	}
	p.Started("catalogue", "busy")
	p.Started("catalogue", "busy")
	fmt.Println(p.Pick(0, "catalogue", servers, balance.Options{}))
	_, ok := p.Pick(0, "catalogue", servers, balance.Options{Exclude: []string{"free", "busy"}})
	fmt.Println(ok)

	// Each of 2,000 instances connects to 2 of 15 servers, so that no server has
	// more than 300 connections.
	fmt.Println(balance.SubsetSize(2000, 15, 300))
	// Output:
	// free true
	// false
	// 2
}
