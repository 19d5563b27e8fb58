package balance_test

import (
	"fmt"
	"math/rand/v2"

	"foxtailspoke/balance"
)

// Of three servers one leaves and one has no free slot, so the third is
// picked; a request that has tried it already finds none.
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

	// So that many instances stay within a server's connections, each uses
	// some of the servers only.
	fmt.Println(balance.SubsetSize(2000, 15, 300))
	// Output:
	// free true
	// false
	// 2
}
