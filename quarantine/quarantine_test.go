package quarantine_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/quarantine"
)

const (
	request = quarantine.Fingerprint(7)
	sound   = quarantine.Fingerprint(8)
)

// informed returns a tracker of an instance that knows what the others know.
func informed() *quarantine.Tracker { return quarantine.NewTracker(true, 0) }

func withheld(q *quarantine.Tracker, f quarantine.Fingerprint, now time.Duration) bool {
	_, w := q.Withheld(f, q.Informed(true, now), now)
	return w
}

func TestRequestIsWithheldAfterTwoServersEnded(t *testing.T) {
	q := informed()
	must.True(t, q.Empty())
	q.RecordEnd(request, 1, time.Second)
	must.False(t, withheld(q, request, time.Second))
	ends, isNew := q.RecordEnd(request, 1, 2*time.Second)
	must.True(t, ends == 1 && !isNew, must.Sprint("one end that is noticed twice"))
	must.False(t, withheld(q, request, 2*time.Second))
	q.RecordEnd(request, 2, 3*time.Second)
	left, w := q.Withheld(request, true, 4*time.Second)
	must.True(t, w)
	must.Eq(t, 59*time.Second, left)
	must.False(t, withheld(q, sound, 4*time.Second))
	must.Eq(t, 1, q.WithheldCount(true, 4*time.Second))
}

// Guards against a request that ends as many servers again each time that it is no longer
// withheld.
func TestHoldDoublesWithEachFurtherEnd(t *testing.T) {
	q, now := informed(), time.Duration(0)
	q.RecordEnd(request, 1, now)
	q.RecordEnd(request, 2, now)
	for run, minutes := range []time.Duration{1, 2, 4, 8, 16, 16, 16, 16, 16, 16} {
		left, w := q.Withheld(request, true, now)
		must.True(t, w)
		must.Eq(t, minutes*time.Minute, left)
		now += left
		q.Expire(now)
		must.False(t, withheld(q, request, now))
		q.RecordEnd(request, quarantine.ServerRun(run+3), now)
	}
	now += time.Hour
	q.Expire(now)
	must.True(t, q.Empty())
}

// Guards against withholding a request that many callers send and servers serve, since two
// servers that ended had it at work.
func TestServedRequestIsAcquitted(t *testing.T) {
	q, other := informed(), informed()
	for run := range quarantine.ServerRun(2) {
		q.RecordEnd(request, run, time.Second)
	}
	other.Apply(q.RecentReports(time.Second), time.Second)
	must.True(t, withheld(other, request, time.Second))
	must.True(t, q.RecordServed(request, 2*time.Second))
	must.False(t, withheld(q, request, 2*time.Second))
	must.False(t, q.RecordServed(request, 2*time.Second), must.Sprint("nothing new to report"))
	other.Apply(q.RecentReports(2*time.Second), 2*time.Second)
	must.False(t, withheld(other, request, 2*time.Second))

	third := informed()
	third.RecordEnd(request, 0, time.Second)
	third.RecordEnd(request, 1, time.Second)
	q.Apply(third.RecentReports(3*time.Second), 3*time.Second)
	must.False(t, withheld(q, request, 3*time.Second), must.Sprint("ends before the response"))
}

// Guards against an instance that starts, or whose peers are overdue, and allows a request as
// many ends as the others did.
func TestUninformedInstanceWithholdsAfterOneEnd(t *testing.T) {
	q := quarantine.NewTracker(false, 0)
	q.RecordEnd(request, 1, time.Second)
	left, w := q.Withheld(request, q.Informed(true, time.Second), time.Second)
	must.True(t, w)
	must.Eq(t, 10*time.Second, left)
	must.False(t, withheld(q, request, 11*time.Second))

	silent := informed()
	silent.RecordEnd(request, 1, time.Second)
	_, w = silent.Withheld(request, silent.Informed(false, time.Second), time.Second)
	must.True(t, w, must.Sprint("peers are overdue"))
}

// Guards against an instance that starts without what the others know.
func TestStartedInstanceAdoptsWhatOthersKnow(t *testing.T) {
	old, q := informed(), quarantine.NewTracker(false, 20*time.Second)
	old.RecordEnd(request, 1, time.Second)
	old.RecordEnd(request, 2, time.Second)
	old.RecordEnd(sound, 2, time.Second)
	q.Adopt(old.Knowledge(20*time.Second), 20*time.Second)
	must.True(t, q.Informed(true, 20*time.Second))
	must.True(t, withheld(q, request, 20*time.Second))
	must.False(t, withheld(q, sound, 20*time.Second))
}

// Guards against counting connections that break off, and against missing servers that are
// known to have ended only later.
func TestInterruptedRequestCountsOnceItsServerProvesToHaveEnded(t *testing.T) {
	q := informed()
	q.RecordInterruption(request, 1, true, 0)
	q.RecordInterruption(sound, 1, false, time.Second)
	q.RecordInterruption(sound, 2, true, time.Second)
	must.True(t, q.Empty())
	must.SliceEmpty(t, q.TakeInterrupted(3, true, time.Second))
	must.Eq(t, []quarantine.Fingerprint{request}, q.TakeInterrupted(1, true, 5*time.Second), must.Sprint("a timeout alone"))
	must.SliceEmpty(t, q.TakeInterrupted(1, true, 5*time.Second))
	must.SliceEmpty(t, q.TakeInterrupted(2, true, 8*time.Second), must.Sprint("too long ago"))
	q.RecordInterruption(sound, 1, false, 9*time.Second)
	must.Eq(t, []quarantine.Fingerprint{sound}, q.TakeInterrupted(1, false, 10*time.Second))
}

// Guards against a flood of different broken requests that uses up the memory, or displaces
// the one that ends servers.
func TestFloodOfSuspectsIsBounded(t *testing.T) {
	q := informed()
	q.RecordEnd(request, 1, 0)
	q.RecordEnd(request, 2, 0)
	for f := range quarantine.Fingerprint(20000) {
		q.RecordEnd(f+100, 3, time.Second)
		q.RecordInterruption(f+100, 4, true, time.Second)
	}
	must.True(t, withheld(q, request, 2*time.Second))
	must.LessEq(t, 1024, len(q.Knowledge(2*time.Second).Reports))
	must.LessEq(t, 256, len(q.TakeInterrupted(4, true, 2*time.Second)))
	must.LessEq(t, 8, len(q.RecentReports(2*time.Second)))
}
