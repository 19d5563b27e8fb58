package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/membership"
	"foxtailspoke/storage"
)

// A Member reports whether its configuration is confirmed as current. It reads
// the table when it starts. Without a further proof it is cut off Fresh after
// the start of that read.
func Example() {
	m := membership.New(membership.Settings{Self: "a", DataCentre: "luzon-1", Fresh: 2 * time.Second},
		config.NewReplica(), rand.New(rand.NewPCG(1, 2)))
	start := time.Second
	fmt.Println(m.Confirmation(start).State == membership.CutOff)
	for _, e := range m.Tick(start) {
		if read, ok := e.(effect.ReadTable); ok {
			// The driver reads the table; its answer takes 300 ms.
			m.ReadDone(start+300*time.Millisecond, read.ID, storage.Changes{Revision: 7}, true)
		}
	}
	c := m.Confirmation(start + 300*time.Millisecond)
	fmt.Println(c.State == membership.ConfirmedByTable, c.Revision, c.Age)
	fmt.Println(m.Confirmation(start+2100*time.Millisecond).State == membership.CutOff)
	// Output:
	// true
	// true 7 300ms
	// true
}
