package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/config"
)

// A burst arrives at one instance, which holds half of the parts. The other
// half comes from the other holder, and not one token more.
func TestBurstOnOneInstance(t *testing.T) {
	b := Bucket{Workspace: "w", Service: "s"}
	l := config.Limit{Rate: 1, Burst: 10}
	x, y := NewHolder("x", 1, DefaultSettings()), NewHolder("y", 1, DefaultSettings())
	x.SetGrants(0, "0", []Grant{{Since: 1, Parts: 30}})
	y.SetGrants(0, "0", []Grant{{Since: 1, Parts: 30}})
	now := 20 * time.Second
	admitted := 0
	for range 20 {
		d := x.Take(now, b, l, Token)
		if !d.Admitted {
			a := x.StartAsk(now, "y", b, l, d.Missing)
			x.HandleTransfer(now, l, y.HandleAsk(now, l, a))
			d = x.Take(now, b, l, Token)
		}
		if d.Admitted {
			admitted++
		}
	}
	must.Eq(t, 10, admitted)
}
