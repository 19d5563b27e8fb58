package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportPeriod is the time for which an instance repeats what it observed, so that
	// instances receive it that missed the first report or were partitioned.
	reportPeriod = 12 * time.Second
	// maxReports is the number of requests in one message.
	maxReports = 8
	// firstRepeat is the time after which a new report is repeated, repeatCount the number
	// of times; the time doubles with each.
	firstRepeat = 20 * time.Millisecond
	repeatCount = 6
)

// RepeatDelays returns the times after which a new report is repeated, besides the heartbeats:
// an instance that misses it may send the request to another server.
func RepeatDelays() []time.Duration {
	delays := make([]time.Duration, repeatCount)
	for i := range delays {
		delays[i] = firstRepeat << i
	}
	return delays
}

// Report is what an instance knows of a request. It holds all of it, so that the next report
// makes up for a lost one.
type Report struct {
	Request Fingerprint
	// Served reports that a server has responded to it, ServedAge ago.
	Served    bool
	ServedAge time.Duration
	// Ends has the servers that have ended since.
	Ends []End
}

// End is the end of a server during a request.
type End struct {
	Run ServerRun
	Age time.Duration
}

// Report returns what is known of a request.
func (t *Tracker) Report(f Fingerprint, now time.Duration) Report {
	report := Report{Request: f}
	r, known := t.records[f]
	if !known {
		return report
	}
	if r.servedAt != never {
		report.Served, report.ServedAge = true, now-r.servedAt
	}
	for run, at := range r.ends {
		report.Ends = append(report.Ends, End{run, now - at})
	}
	slices.SortFunc(report.Ends, func(a, b End) int { return cmp.Compare(a.Run, b.Run) })
	return report
}

// RecentReports returns what this instance has observed itself and still repeats, the latest
// first.
func (t *Tracker) RecentReports(now time.Duration) (reports []Report) {
	var recent []Fingerprint
	for f, r := range t.records {
		if now-r.changedAt < reportPeriod {
			recent = append(recent, f)
		}
	}
	slices.SortFunc(recent, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(t.records[b].changedAt, t.records[a].changedAt), cmp.Compare(a, b))
	})
	for _, f := range recent[:min(maxReports, len(recent))] {
		reports = append(reports, t.Report(f, now))
	}
	return reports
}

// Apply adds what another instance reports.
func (t *Tracker) Apply(reports []Report, now time.Duration) {
	for _, report := range reports {
		r := t.record(report.Request)
		if report.Served {
			r.acquit(now - report.ServedAge)
		}
		for _, end := range report.Ends {
			r.add(end.Run, now-end.Age)
		}
	}
}

// Knowledge is all that an instance knows, for one that has just started.
type Knowledge struct {
	Reports []Report
	// KnownFor is the time for which the instance has known what others observe.
	KnownFor time.Duration
}

// Knowledge returns all that is known.
func (t *Tracker) Knowledge(now time.Duration) Knowledge {
	k := Knowledge{KnownFor: now - t.knownSince}
	for f := range t.records {
		k.Reports = append(k.Reports, t.Report(f, now))
	}
	slices.SortFunc(k.Reports, func(a, b Report) int { return cmp.Compare(a.Request, b.Request) })
	return k
}

// Adopt adds what another instance knows.
func (t *Tracker) Adopt(k Knowledge, now time.Duration) {
	t.Apply(k.Reports, now)
	t.knownSince = min(t.knownSince, now-k.KnownFor)
}
