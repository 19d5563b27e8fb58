package health

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Report is what an instance tells the collector of one service about
// servers that it has reason to doubt. Counts are since the report before.
type Report struct {
	Service string
	// DataCentre of the reporting instance.
	DataCentre string
	// Rate is the instance's requests per second to this service.
	Rate float64
	// LateShare is the share of late answers among the instance's last ones,
	// from servers that it doesn't suspect.
	LateShare float64
	Servers   []ServerCount
	// Elsewhere has the attempts at all servers of the workspaces that
	// Servers names, so that a workspace's bad requests show as such.
	Elsewhere []WorkspaceCount
}

// ServerCount counts attempts at one server.
type ServerCount struct {
	Server     string
	Workspaces []WorkspaceCount
}

// WorkspaceCount counts one workspace's attempts. Failed and Late have their
// own numbers of attempts, because a late attempt is counted before its end.
type WorkspaceCount struct {
	Workspace    string
	Attempts     uint32
	Failed       uint32
	LateAttempts uint32
	Late         uint32
}

const (
	maxReportServers    = 8
	maxReportWorkspaces = 4
	// quietInterval is how often attempts are reported when none was bad.
	quietInterval = time.Second
	// reportJitter is the part of ReportInterval that varies.
	reportJitter = 0.4
	// rateMemory is the time over which an instance averages its rate.
	rateMemory = 10 * time.Second
	// otherWorkspaces takes the workspaces beyond maxReportWorkspaces.
	otherWorkspaces = ""
)

// pending is what has been observed since the last report on a service.
type pending struct {
	servers map[string]map[string]*WorkspaceCount
	totals  map[string]*WorkspaceCount
	bad     bool
	sentAt  time.Duration
	// wait is the time to the next report; it differs a little every time, so
	// that instances that meet a failure together don't report together.
	wait time.Duration
	// rate is a fading count of attempts.
	rate   float64
	rateAt time.Duration
}

// record adds an observation if its server is in doubt or its workspace named.
func (p *pending) record(now time.Duration, v *serviceEvidence, ob Observation, failed, late bool, c countedOutcomes) {
	if ob.Result != Late {
		p.rate = p.rate*rateFade(now-p.rateAt) + 1
		p.rateAt = now
	}
	if !c.failed && !c.late {
		return
	}
	bad := failed || late
	if p.servers == nil {
		p.servers = map[string]map[string]*WorkspaceCount{}
		p.totals = map[string]*WorkspaceCount{}
	}
	if t := p.totals[ob.Workspace]; t != nil || bad || v.follows(ob.Workspace) {
		p.totals[ob.Workspace] = t.plus(ob.Workspace, failed, late, c)
	}
	server, doubted := p.servers[ob.Server]
	if !doubted && !bad && !v.doubts(now, ob.Server) {
		return
	}
	if !doubted {
		server = map[string]*WorkspaceCount{}
		p.servers[ob.Server] = server
	}
	name := ob.Workspace
	if server[name] == nil && (!bad && !v.pairs(ob.Server, name) || len(server) >= maxReportWorkspaces) {
		name = otherWorkspaces
	}
	server[name] = server[name].plus(name, failed, late, c)
	p.bad = p.bad || bad
}

func (w *WorkspaceCount) plus(name string, failed, late bool, c countedOutcomes) *WorkspaceCount {
	if w == nil {
		w = &WorkspaceCount{Workspace: name}
	}
	w.Attempts += uint32(indicator(c.failed))
	w.Failed += uint32(indicator(failed))
	w.LateAttempts += uint32(indicator(c.late))
	w.Late += uint32(indicator(late))
	return w
}

// pairs reports whether the workspace had a bad answer at the server lately.
func (v *serviceEvidence) pairs(server, workspace string) bool {
	r := v.failed.byServer[server]
	return r != nil && r.pairs[workspace] != nil
}

// follows reports whether a workspace had a bad answer lately. All its
// attempts are counted then, so that its share of bad ones can be told.
func (v *serviceEvidence) follows(workspace string) bool {
	return v.failed.tallies[workspace] != nil || v.late.tallies[workspace] != nil
}

// doubts reports whether evidence on the server is being collected. While the
// collector has doubts, good answers matter to it as much as bad ones.
func (v *serviceEvidence) doubts(now time.Duration, server string) bool {
	_, advised := v.advice[server]
	if advised && now-v.advisedAt < adviceMemory {
		return true
	}
	return v.failed.byServer[server] != nil || v.late.byServer[server] != nil
}

// rateFade is what is left of a count of attempts after d.
func rateFade(d time.Duration) float64 {
	return math.Exp(-d.Seconds() / rateMemory.Seconds())
}

// DueReports returns the reports that are due, one for each service at most.
// They go to the services' collectors; a report that gets lost is not sent
// again. Together they stay within ReportBytes a second.
func (o *Observer) DueReports(now time.Duration) []Report {
	o.refill(now)
	var reports []Report
	for _, name := range slices.Sorted(maps.Keys(o.pending)) {
		v := o.services[name]
		if !v.pending.due(now) {
			continue
		}
		r := v.pending.take(now, name, o.settings.DataCentre)
		r.LateShare = v.lateShare
		v.pending.wait = time.Duration(float64(o.settings.ReportInterval) * (1 + reportJitter*(o.rng.Float64()-0.5)))
		delete(o.pending, name)
		size := float64(r.Size())
		if size > o.reportBytes {
			continue
		}
		o.reportBytes -= size
		reports = append(reports, r)
	}
	return reports
}

func (o *Observer) refill(now time.Duration) {
	if now > o.refilledAt {
		o.reportBytes += o.settings.ReportBytes * (now - o.refilledAt).Seconds()
		o.reportBytes = min(o.reportBytes, o.settings.ReportBytes)
		o.refilledAt = now
	}
}

func (p *pending) due(now time.Duration) bool {
	if len(p.servers) == 0 || now-p.sentAt < p.wait {
		return false
	}
	return p.bad || now-p.sentAt >= quietInterval
}

// take empties the pending counts into a report.
func (p *pending) take(now time.Duration, service, dataCentre string) Report {
	r := Report{Service: service, DataCentre: dataCentre, Rate: p.rate / rateMemory.Seconds()}
	named := map[string]bool{}
	for _, id := range p.worst() {
		sc := ServerCount{Server: id}
		for _, w := range slices.Sorted(maps.Keys(p.servers[id])) {
			sc.Workspaces = append(sc.Workspaces, *p.servers[id][w])
			named[w] = true
		}
		r.Servers = append(r.Servers, sc)
	}
	for _, w := range slices.Sorted(maps.Keys(p.totals)) {
		if named[w] {
			r.Elsewhere = append(r.Elsewhere, *p.totals[w])
			delete(p.totals, w)
		}
	}
	if len(p.totals) > maxSources {
		clear(p.totals)
	}
	clear(p.servers)
	p.bad = false
	p.sentAt = now
	return r
}

// worst lists the servers to report, the worst first.
func (p *pending) worst() []string {
	bad := func(id string) uint32 {
		sum := uint32(0)
		for _, w := range p.servers[id] {
			sum += w.Failed + w.Late
		}
		return sum
	}
	ids := slices.Sorted(maps.Keys(p.servers))
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(bad(b), bad(a)) })
	return ids[:min(len(ids), maxReportServers)]
}

const (
	// reportBase and countBytes bound the encoded size of a report's parts
	// beside its names.
	reportBase = 28
	countBytes = 10
)

// Size bounds the report's size in a compact encoding, in bytes.
func (r Report) Size() int {
	n := reportBase + len(r.Service) + len(r.DataCentre)
	for _, s := range r.Servers {
		n += len(s.Server) + 2
		for _, w := range s.Workspaces {
			n += len(w.Workspace) + countBytes
		}
	}
	for _, w := range r.Elsewhere {
		n += len(w.Workspace) + countBytes
	}
	return n
}
