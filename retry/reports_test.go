package retry_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/retry"
)

var peerRun = retry.Run{Instance: 2, Epoch: 7, SinceStart: true}

func newBudgets(instance uint32) *retry.FleetBudgets {
	return retry.NewFleetBudgets(retry.Run{Instance: instance, Epoch: 1}, time.Second, nil)
}

func totals(requests, retries uint16) []retry.ServiceTotals {
	return []retry.ServiceTotals{{Service: service, Totals: retry.Totals{Requests: requests, Retries: retries}}}
}

func requireCounts(t *testing.T, f *retry.FleetBudgets, requests, retries int, now time.Duration) {
	t.Helper()
	a := f.Service(service).Allowance(retry.Limit{Coverage: retry.FullCoverage()}, now)
	must.Eq(t, requests, a.Requests)
	must.Eq(t, retries, a.Retries)
}

// Guards against attempts that are never counted because a report was lost, and against
// those that count twice because a report came late or again.
func TestNextReportMakesUpForALostOne(t *testing.T) {
	f := newBudgets(1)
	f.ApplyReport(peerRun, totals(3, 1), time.Second)
	requireCounts(t, f, 3, 1, time.Second)
	f.ApplyReport(peerRun, totals(10, 5), 2*time.Second)
	requireCounts(t, f, 10, 5, 2*time.Second)
	for range 2 {
		f.ApplyReport(peerRun, totals(8, 4), 2*time.Second)
		f.ApplyReport(peerRun, totals(10, 5), 2*time.Second)
	}
	requireCounts(t, f, 10, 5, 2*time.Second)
	f.ApplyReport(peerRun, totals(11, 5), 3*time.Second)
	requireCounts(t, f, 11, 5, 3*time.Second)
}

// Guards against counts that stop where the reported totals wrap around.
func TestTotalsWrapAround(t *testing.T) {
	f := newBudgets(1)
	from := peerRun
	from.SinceStart = false
	f.ApplyReport(from, totals(65530, 65535), time.Second)
	f.ApplyReport(from, totals(4, 2), 2*time.Second)
	requireCounts(t, f, 10, 3, 2*time.Second)
}

// Guards against totals of a former run, or of a time before this instance listened, that
// count as recent attempts.
func TestOnlyRecentAttemptsOfOthersCount(t *testing.T) {
	f := newBudgets(1)
	from := peerRun
	from.SinceStart = false
	f.ApplyReport(from, totals(5000, 900), time.Second)
	requireCounts(t, f, 0, 0, time.Second)
	f.ApplyReport(from, totals(5002, 901), 2*time.Second)
	requireCounts(t, f, 2, 1, 2*time.Second)
	restarted := retry.Run{Instance: from.Instance, Epoch: 8, SinceStart: true}
	f.ApplyReport(restarted, totals(4, 2), 3*time.Second)
	requireCounts(t, f, 6, 3, 3*time.Second)
	// Silent for longer than the window.
	f.ApplyReport(restarted, totals(1000, 500), 20*time.Second)
	requireCounts(t, f, 0, 0, 20*time.Second)
	f.ApplyReport(restarted, totals(1001, 500), 21*time.Second)
	requireCounts(t, f, 1, 0, 21*time.Second)
}

// Guards against attempts that are ignored because the service was idle for longer than the
// window, while the instance sent other messages.
func TestAttemptsAfterAnIdleTimeCount(t *testing.T) {
	f := newBudgets(1)
	f.ApplyReport(peerRun, totals(10, 5), time.Second)
	for now := 2 * time.Second; now < 30*time.Second; now += time.Second {
		f.ApplyReport(peerRun, nil, now)
	}
	f.ApplyReport(peerRun, totals(12, 6), 30*time.Second)
	requireCounts(t, f, 2, 1, 30*time.Second)
}

// Guards against attempts that count twice, or not at all, after the counts of another
// instance were adopted.
func TestAdoptedCountsContinueWithTheNextReport(t *testing.T) {
	older, younger := newBudgets(3), newBudgets(1)
	older.AssumeNoneBefore(0)
	older.ApplyReport(peerRun, totals(10, 5), time.Second)
	older.Service(service).Count(true, time.Second)
	younger.SetCoverage(1, time.Second)
	younger.Service(service).Count(false, time.Second)
	older.ApplyReport(retry.Run{Instance: 1, Epoch: 1, SinceStart: true}, totals(1, 0), time.Second)
	younger.Service(service).Count(true, time.Second)
	must.True(t, younger.Adopt(older.History(2*time.Second), 2*time.Second))
	requireCounts(t, younger, 11, 7, 2*time.Second)
	peer := peerRun
	peer.SinceStart = false
	younger.ApplyReport(peer, totals(12, 6), 2*time.Second)
	younger.ApplyReport(retry.Run{Instance: 3, Epoch: 1}, totals(0, 2), 2*time.Second)
	requireCounts(t, younger, 13, 9, 2*time.Second)
}
