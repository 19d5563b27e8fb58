package freshness_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/freshness"
)

const ms = time.Millisecond

// A process stalls for eight seconds with an unread response in its buffer. If
// its age counted from the time of reading, a key withdrawn meanwhile would
// still be accepted.
func TestAgeIncludesTimeInBuffer(t *testing.T) {
	var c freshness.StoreClock
	c.Observe(100*time.Second, 10*time.Second)
	c.Observe(101*time.Second, 11*time.Second)
	c.Observe(102*time.Second, 20*time.Second)
	must.Between(t, 7900*ms, c.Age(102*time.Second, 20*time.Second), 8100*ms)
}

func TestAgeIncludesTransitTime(t *testing.T) {
	var c freshness.StoreClock
	c.Observe(100*time.Second, 10*time.Second+2*ms)
	c.Observe(101*time.Second, 11*time.Second+30*ms)
	must.Between(t, 20*ms, c.Age(101*time.Second, 11*time.Second+30*ms), 30*ms)
}

func TestAgeIsUnknownWithoutEstimate(t *testing.T) {
	var c freshness.StoreClock
	must.Greater(t, time.Hour, c.Age(time.Second, time.Second))
	c.Observe(time.Second, time.Second)
	c.Reset()
	must.Greater(t, time.Hour, c.Age(time.Second, time.Second))
}

func TestMaxKeyAgeLeavesMargin(t *testing.T) {
	b := freshness.NewBounds(5*time.Second, 2*time.Second, time.Second)
	must.Between(t, 4*time.Second, b.MaxKeyAge, 4500*ms)
	must.Between(t, 1500*ms, b.MaxConfigAge, 1800*ms)
	must.Eq(t, 2*b.MaxServersAge, b.MaxConfigAge)
}

func TestNoBoundOnChangesMeansNoMaximumAge(t *testing.T) {
	b := freshness.NewBounds(5*time.Second, 0, 0)
	must.Less(t, 1, b.Expiry(time.Hour, time.Hour))
}

func TestExpiryIsThatOfTheOlderTable(t *testing.T) {
	b := freshness.NewBounds(5*time.Second, 5*time.Second, 10*time.Second)
	must.Eq(t, 0.5, b.Expiry(2*time.Second, 2*time.Second))
	must.Eq(t, 0.75, b.Expiry(time.Second, 6*time.Second))
	must.Greater(t, 1, b.Expiry(time.Second, freshness.UnknownAge))
}

// The instance first in rank asks for all; no other reaches its threshold as
// long as the first forwards the responses.
func TestFirstInRankPollsForAll(t *testing.T) {
	var first, third freshness.PollSchedule
	calls := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		if first.Next(0, 0.5, now) <= now {
			calls++
			first.ObserveResponse(5*ms, now)
			third.ObserveResponse(7*ms, now)
		}
		must.Greater(t, now, third.Next(2, 0, now))
	}
	must.Between(t, 18, calls, 24)
}

// The instance first in rank is killed. The next must ask well within the two
// seconds in which a change has to be in force.
func TestNextInRankTakesOver(t *testing.T) {
	var second, last freshness.PollSchedule
	second.ObserveResponse(0, 0)
	last.ObserveResponse(0, 0)
	must.LessEq(t, 700*ms, second.Next(1, 1, 0))
	must.LessEq(t, 1200*ms, last.Next(30, 1, 0))
	must.Greater(t, second.Next(1, 1, 0), last.Next(30, 0, 0))
}

// While the store is unavailable, instances must neither ask all at once nor in
// quick succession: refused calls cost as much as others.
func TestAttemptsAreSpacedDuringStoreOutage(t *testing.T) {
	var p freshness.PollSchedule
	p.ObserveResponse(0, 0)
	now := 10 * time.Second
	must.LessEq(t, now, p.Next(3, 0, now))
	p.ObserveAttempt(now)
	must.GreaterEq(t, now+120*ms, p.Next(3, 0, now))
	p.OwnCallFailed(now)
	must.GreaterEq(t, now+250*ms, p.Next(3, 0, now))
	for range 10 {
		p.OwnCallFailed(now)
	}
	must.Between(t, now+900*ms, p.Next(3, 0, now), now+1100*ms)
	must.True(t, p.Overdue(now))
}

// The store refuses half of the instances, and those that asked it for all have
// just been killed. The refused ones retry in turn. The others must not wait
// for a gap between those attempts: a server left meanwhile and still got
// requests 2.2 s later.
func TestRefusedInstancesDoNotBlockOthers(t *testing.T) {
	var p freshness.PollSchedule
	p.ObserveResponse(0, 0)
	for now := time.Duration(0); now < 1300*ms; now += 10 * ms {
		if now >= time.Second && now%(60*ms) == 40*ms {
			p.ObserveAttempt(now)
		}
		if p.Next(20, 0.5, now) <= now {
			return
		}
	}
	t.Fatal("instance did not ask the store within 1.3 s")
}

// All instances failed in an outage that has ended, and the next one begins. Guards against reads of
// all of them at the same moment.
func TestAttemptsAreSpacedInTheNextOutage(t *testing.T) {
	var p freshness.PollSchedule
	p.OwnCallFailed(10 * time.Second)
	p.OwnCallSucceeded()
	p.Yield()
	p.ObserveResponse(0, 12*time.Second)
	p.ObserveAttempt(12500 * ms)
	now := 13 * time.Second
	p.ObserveAttempt(now)
	must.GreaterEq(t, now+120*ms, p.Next(3, 0, now))
	must.LessEq(t, 13500*ms, p.Next(3, 0.9, now))
}

// If the store refuses only the instance first in rank, that instance must leave
// the asking to others for a while instead of failing first each time.
func TestRefusedInstanceGetsLowestRank(t *testing.T) {
	var p freshness.PollSchedule
	p.ObserveResponse(0, 10*time.Second)
	p.OwnCallFailed(10 * time.Second)
	p.OwnCallSucceeded()
	p.Yield()
	now := 11 * time.Second
	p.ObserveResponse(0, now)
	must.GreaterEq(t, now+900*ms, p.Next(0, 0, now))
	now = 20 * time.Second
	p.ObserveResponse(0, now)
	must.LessEq(t, now+500*ms, p.Next(0, 0, now))
}

// All instances first in rank are refused, and one of low rank got a response.
// It must keep asking without waiting for its own long threshold, until another
// brings a newer response.
func TestInstanceKeepsPollingAfterSuccess(t *testing.T) {
	var p freshness.PollSchedule
	now := 10 * time.Second
	p.ObserveResponse(0, now)
	must.GreaterEq(t, now+900*ms, p.Next(40, 0, now))
	p.OwnCallSucceeded()
	must.Eq(t, now+450*ms, p.Next(40, 0, now))
	p.Yield()
	must.GreaterEq(t, now+900*ms, p.Next(40, 0, now))
	p.OwnCallSucceeded()
	p.OwnCallFailed(now)
	must.GreaterEq(t, now+900*ms, p.Next(40, 0, now))
}

func TestInstanceWithoutResponseAsksAtOnce(t *testing.T) {
	var p freshness.PollSchedule
	must.Eq(t, time.Second, p.Next(30, 0.9, time.Second))
}
