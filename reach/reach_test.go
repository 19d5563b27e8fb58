package reach_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/reach"
)

// Guards against taking the stop of one server for a fault of the instance's network.
func TestOneServerThatStoppedIsNoCut(t *testing.T) {
	r := reach.NewTracker()
	for i := range 10 {
		r.RecordFailure("10.0.0.1:80", time.Duration(i)*time.Second)
	}
	must.False(t, r.CutOff())
}

// Guards against missing that this instance alone reaches no server.
func TestFailuresAtSeveralServersInARowAreACut(t *testing.T) {
	r := reach.NewTracker()
	r.RecordFailure("10.0.0.1:80", time.Second)
	r.RecordFailure("10.0.0.2:80", 2*time.Second)
	must.True(t, r.CutOff())
	must.Eq(t, 3*time.Second, r.CutOffFor(5*time.Second))
	r.RecordSuccess("10.0.0.3:80")
	must.False(t, r.CutOff())
	must.Zero(t, r.CutOffFor(6*time.Second))
}

// Guards against adding up failures that lie far apart, with successes in between.
func TestSuccessesBetweenFailuresShowAWorkingPath(t *testing.T) {
	r := reach.NewTracker()
	for i := range 10 {
		r.RecordFailure([]string{"10.0.0.1:80", "10.0.0.2:80"}[i%2], time.Duration(i)*time.Second)
		r.RecordSuccess("10.0.0.3:80")
	}
	must.False(t, r.CutOff())
}
