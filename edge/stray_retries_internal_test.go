package edge

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/discovery"
	"foxtailspoke/health"
	"foxtailspoke/placement"
	"foxtailspoke/routing"
)

// A retry meant for service s reaches a server of service t, before or after this instance
// learns that server's entry. Guards against a budget of t that lacks it.
func TestStrayRetryCountsAtTheServiceThatGotIt(t *testing.T) {
	for _, entryFirst := range []bool{true, false} {
		e := newIdleInstance(t)
		old := discovery.Server{ID: "old", Service: "s", Address: "10.0.0.2:80", DataCentre: "dc", Slots: 2, StartTimeMS: 1}
		young := discovery.Server{ID: "young", Service: "t", Address: "10.0.0.2:80", DataCentre: "dc", Slots: 2, StartTimeMS: 2}
		e.applyServerChange(discovery.Change{Server: old, New: true}, e.now())
		if entryFirst {
			e.applyServerChange(discovery.Change{Server: young, New: true}, e.now())
		}
		c := &call{service: "s", route: &routing.Route{MaxAttempts: 3, Kind: routing.Idempotent}, deadline: e.now() + time.Second}
		for number := range 2 {
			e.publishAttemptEnd(c, &attempt{number: number + 1, result: health.Misdirected, choice: placement.Choice{Server: old}}, 0)
		}
		e.applyServerChange(discovery.Change{Server: young, New: true}, e.now())
		must.Eq(t, 1, e.retryAllowance("t").Retries, must.Sprint("the first attempt is no retry"))
	}
}
