package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func newObserver() *Observer {
	return NewObserver(DefaultSettings(), rand.New(rand.NewPCG(1, 3)))
}

func ids(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("s%02d", i)
	}
	return list
}

func TestTwoFailuresLowerTheWeight(t *testing.T) {
	o := newObserver()
	list := ids(10)
	for i := range 40 {
		o.Observe(0, Observation{Service: "a", Server: list[i%10], Workspace: "w", Latency: 20 * time.Millisecond})
	}
	for range 2 {
		o.Observe(time.Second, Observation{Service: "a", Server: "s03", Workspace: "w", Result: Incomplete})
	}
	w := o.Weights(time.Second, "a", "w", list, 7)
	must.Less(t, LowWeight, w[3])
	must.Eq(t, 1, w[4])
}
