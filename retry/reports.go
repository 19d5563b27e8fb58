package retry

import (
	"cmp"
	"slices"
	"time"
)

// Totals are the requests and retries that an instance has sent to a service since it
// started, modulo 65536. Totals are reported instead of single attempts, so that the next
// report makes up for a lost one.
type Totals struct{ Requests, Retries uint16 }

// since returns what was sent after an earlier report, and reports false if the totals are
// those of that report or of one before it.
func (t Totals) since(last Totals) (requests, retries int, newer bool) {
	q, r := int16(t.Requests-last.Requests), int16(t.Retries-last.Retries)
	return int(q), int(r), q >= 0 && r >= 0 && (q > 0 || r > 0)
}

// ServiceTotals are the totals of one service, given by the hash of its name.
type ServiceTotals struct {
	Service uint32
	Totals
}

// Run is one run of an instance, from its start to its end.
type Run struct {
	// Instance is the IPv4 address, and Epoch changes with each start.
	Instance, Epoch uint32
	// SinceStart means that the reports of the run have been received since its start.
	SinceStart bool
}

// ReportedRun is what a run has reported so far.
type ReportedRun struct {
	Run
	// Age is the time since its last report.
	Age    time.Duration
	Totals []ServiceTotals
}

// reportedRun is the internal form of ReportedRun.
type reportedRun struct {
	Run
	reportedAt time.Duration
	totals     map[uint32]Totals
}

// ApplyReport counts the attempts of another instance since its last report, as of now. It
// is called for every message of the instance, also without totals.
//
// What a run sent before its first report is counted only if that is its whole life. A
// report that comes more than a window after the last one counts nothing either, as its
// attempts may be older than the window; the coverage was low meanwhile.
func (f *FleetBudgets) ApplyReport(from Run, totals []ServiceTotals, now time.Duration) {
	r, known := f.reported[from.Instance]
	sameRun := known && r.Epoch == from.Epoch
	if !sameRun || now-r.reportedAt > window {
		from.SinceStart = from.SinceStart && !sameRun
		r = &reportedRun{Run: from, totals: make(map[uint32]Totals)}
		f.reported[from.Instance] = r
	}
	r.reportedAt = now
	for _, t := range totals {
		last, reported := r.totals[t.Service]
		if reported || r.SinceStart {
			f.countSince(t, last, now)
		}
		if _, _, newer := t.since(last); newer || !reported {
			r.totals[t.Service] = t.Totals
		}
	}
}

// countSince counts what was sent to a service after an earlier report.
func (f *FleetBudgets) countSince(t ServiceTotals, last Totals, now time.Duration) {
	if requests, retries, newer := t.since(last); newer {
		b := f.Service(t.Service).window.bucketAt(now)
		b.requests += requests
		b.retries += retries
	}
}

// SentTotals returns what this instance has sent to a service.
func (f *FleetBudgets) SentTotals(service uint32) ServiceTotals {
	return ServiceTotals{Service: service, Totals: f.Service(service).sent}
}

// RecentTotals returns what this instance has sent to the services that it used within the
// window, at most limit of them, the most recently used first.
func (f *FleetBudgets) RecentTotals(limit int, now time.Duration) []ServiceTotals {
	var recent []uint32
	for id, b := range f.services {
		if b.sent != (Totals{}) && now-b.sentAt <= window {
			recent = append(recent, id)
		}
	}
	slices.SortFunc(recent, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(f.services[b].sentAt, f.services[a].sentAt), cmp.Compare(a, b))
	})
	var totals []ServiceTotals
	for _, id := range recent[:min(limit, len(recent))] {
		totals = append(totals, f.SentTotals(id))
	}
	return totals
}

// reportedRuns returns what all instances have reported, with this one's own totals.
func (f *FleetBudgets) reportedRuns(now time.Duration) []ReportedRun {
	own := ReportedRun{Run: f.self}
	for id, b := range f.services {
		own.Totals = append(own.Totals, ServiceTotals{Service: id, Totals: b.sent})
	}
	runs := []ReportedRun{own}
	for _, r := range f.reported {
		run := ReportedRun{Run: r.Run, Age: now - r.reportedAt}
		for id, t := range r.totals {
			run.Totals = append(run.Totals, ServiceTotals{Service: id, Totals: t})
		}
		runs = append(runs, run)
	}
	return runs
}

// adoptRuns makes the counts continue from the reports that another instance has counted,
// and counts what this one has sent since.
func (f *FleetBudgets) adoptRuns(runs []ReportedRun, now time.Duration) {
	for _, run := range runs {
		totals := make(map[uint32]Totals)
		for _, t := range run.Totals {
			totals[t.Service] = t.Totals
		}
		switch {
		case run.Instance == f.self.Instance && run.Epoch == f.self.Epoch:
			for id, b := range f.services {
				f.countSince(ServiceTotals{Service: id, Totals: b.sent}, totals[id], now)
			}
		case run.Instance != f.self.Instance:
			f.reported[run.Instance] = &reportedRun{Run: run.Run, reportedAt: now - run.Age, totals: totals}
		}
	}
}
