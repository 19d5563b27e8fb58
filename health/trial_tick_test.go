package health_test

import (
	"slices"
	"strconv"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/health"
)

const (
	tickInterval   = 50 * ms
	reportTime     = 2 * ms
	probeTime      = 25 * ms
	ownReportEvery = 2 * time.Second
)

// tick does what instances do by timer.
func (w *world) tick(now time.Duration) {
	w.at(now+tickInterval, w.tick)
	for _, in := range w.instances {
		if p, ok := in.policy.(*ours); ok {
			w.report(now, in, p)
		}
	}
	w.collect(now)
	w.outcome.look(now, w)
}

func (w *world) report(now time.Duration, in *instance, p *ours) {
	for _, r := range p.observer.DueReports(now) {
		w.outcome.reportBytes += r.Size()
		w.outcome.reports++
		w.at(now+reportTime, func(now time.Duration) {
			advice := w.collector.Accept(now, strconv.Itoa(in.index), r)
			if w.collector.ReporterAtFault(now, strconv.Itoa(in.index), r.Service) {
				w.leave(now, in)
			}
			w.at(now+reportTime, func(now time.Duration) { p.observer.ApplyAdvice(now, r.Service, advice) })
		})
	}
}

func (w *world) collect(now time.Duration) {
	if _, ok := w.instances[0].policy.(*ours); !ok {
		return
	}
	for _, s := range w.services {
		row := w.permits[s.name]
		for _, pr := range w.collector.DueProbes(now, s.name, row) {
			result := w.probe(now, s, pr)
			w.at(now+probeTime, func(now time.Duration) { w.collector.RecordProbe(now, pr, result, probeTime) })
		}
		ids := make([]string, len(s.servers))
		for i, sv := range s.servers {
			ids[i] = sv.id
			if own := w.fault.ownReport; own != nil && w.fault.active(now) && now%ownReportEvery == 0 {
				w.collector.AcceptSelfReport(now, s.name, sv.id, own(sv))
			}
		}
		if p, ok := w.collector.Propose(now, s.name, "0", ids, row, s.floor); ok {
			w.write(now, s, p.Permits)
		}
	}
}

func (w *world) probe(now time.Duration, s *service, pr health.Probe) health.Result {
	i := slices.IndexFunc(s.servers, func(sv *server) bool { return sv.id == pr.Server })
	if w.fault.active(now) && w.fault.sick[i] && !w.fault.probeOK {
		return health.Timeout
	}
	return health.OK
}

// write changes the permits. The instances hear of it within about a second.
func (w *world) write(now time.Duration, s *service, row config.Permits) {
	w.outcome.permitsWritten(now, w, s, w.permits[s.name], row)
	w.permits[s.name] = row
	for _, in := range w.instances {
		delay := 20*ms + time.Duration(w.rng.Int64N(int64(time.Second)))
		w.at(now+delay, func(time.Duration) { in.policy.(*ours).setEjected(s, w.permits[s.name]) })
	}
}
