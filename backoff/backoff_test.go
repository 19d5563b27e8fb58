package backoff_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/backoff"
)

var server = backoff.Run{ID: "i-1", StartTimeMS: 1}

func TestPeriodEnds(t *testing.T) {
	b := backoff.NewTracker()
	b.Extend(server, 3*time.Second, time.Second)
	must.Eq(t, 2*time.Second, b.Remaining(server, 2*time.Second))
	must.Eq(t, 1, b.Count(2*time.Second))
	must.Zero(t, b.Remaining(server, 4*time.Second))
	must.Zero(t, b.Count(4*time.Second))
}

// Answers to concurrent requests name different periods. Guards against the shorter one
// ending the longer one.
func TestShorterPeriodDoesNotEndALongerOne(t *testing.T) {
	b := backoff.NewTracker()
	b.Extend(server, 5*time.Second, 0)
	b.Extend(server, time.Second, time.Second)
	b.Extend(server, 0, time.Second)
	must.Eq(t, 4*time.Second, b.Remaining(server, time.Second))
}

func TestRestartEndsThePeriod(t *testing.T) {
	b := backoff.NewTracker()
	b.Extend(server, 5*time.Second, 0)
	must.Zero(t, b.Remaining(backoff.Run{ID: "i-1", StartTimeMS: 2}, time.Second))
	must.Positive(t, b.Remaining(server, time.Second))
}

func TestOtherServersAreNotAffected(t *testing.T) {
	b := backoff.NewTracker()
	b.Extend(server, 5*time.Second, 0)
	must.Zero(t, b.Remaining(backoff.Run{ID: "i-2", StartTimeMS: 1}, 0))
}
