package health_test

import (
	"slices"
	"strconv"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/health"
)

const (
	tickInterval      = 50 * ms
	reportDelay       = 2 * ms
	probeLatency      = 25 * ms
	ownReportInterval = 2 * time.Second
)

// tick runs the periodic work of all instances.
func (w *simulation) tick(now time.Duration) {
	w.schedule(now+tickInterval, w.tick)
	for _, in := range w.instances {
		if p, ok := in.policy.(*healthPolicy); ok {
			w.sendReports(now, in, p)
		}
	}
	w.collect(now)
	w.outcome.recordAvoided(now, w)
}

func (w *simulation) sendReports(now time.Duration, in *instance, p *healthPolicy) {
	for _, r := range p.observer.DueReports(now) {
		w.outcome.reportBytes += r.Size()
		w.outcome.reports++
		w.schedule(now+reportDelay, func(now time.Duration) {
			advice := w.collector.Accept(now, strconv.Itoa(in.index), r)
			if w.collector.ReporterAtFault(now, strconv.Itoa(in.index), r.Service) {
				w.withdraw(now, in)
			}
			w.schedule(now+reportDelay, func(now time.Duration) { p.observer.ApplyAdvice(now, r.Service, advice) })
		})
	}
}

func (w *simulation) collect(now time.Duration) {
	if _, ok := w.instances[0].policy.(*healthPolicy); !ok {
		return
	}
	for _, s := range w.services {
		row := w.permits[s.name]
		for _, pr := range w.collector.DueProbes(now, s.name, row) {
			result := w.probe(now, s, pr)
			w.schedule(now+probeLatency, func(now time.Duration) { w.collector.RecordProbe(now, pr, result, probeLatency) })
		}
		ids := make([]string, len(s.servers))
		for i, sv := range s.servers {
			ids[i] = sv.id
			if own := w.fault.ownReport; own != nil && w.fault.active(now) && now%ownReportInterval == 0 {
				w.collector.AcceptSelfReport(now, s.name, sv.id, own(sv))
			}
		}
		if p, ok := w.collector.Propose(now, s.name, "0", ids, row, s.floor); ok {
			w.writePermits(now, s, p.Permits)
		}
	}
}

func (w *simulation) probe(now time.Duration, s *service, pr health.Probe) health.Result {
	i := slices.IndexFunc(s.servers, func(sv *server) bool { return sv.id == pr.Server })
	if w.fault.active(now) && w.fault.sick[i] && !w.fault.probesSucceed {
		return health.Timeout
	}
	return health.OK
}

// writePermits changes the permits. The instances apply the change after 20 ms to
// about 1 s.
func (w *simulation) writePermits(now time.Duration, s *service, row config.Permits) {
	w.outcome.recordPermits(now, w, s, w.permits[s.name], row)
	w.permits[s.name] = row
	for _, in := range w.instances {
		delay := 20*ms + time.Duration(w.rng.Int64N(int64(time.Second)))
		w.schedule(now+delay, func(time.Duration) { in.policy.(*healthPolicy).setEjected(s, w.permits[s.name]) })
	}
}
