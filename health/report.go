package health

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Report is what an instance sends to a service's collector about suspect
// servers. Its counts cover the time since the instance's previous report.
type Report struct {
	Service string
	// DataCentre is that of the reporting instance.
	DataCentre string
	// Rate is the instance's requests per second to this service.
	Rate float64
	// LateShare is the share of late answers among the instance's recent
	// ones from servers that it doesn't suspect.
	LateShare float64
	Servers   []ServerCount
	// Elsewhere counts the attempts of the workspaces named in Servers at
	// all servers. It shows whether a workspace's requests fail everywhere.
	Elsewhere []WorkspaceCount
}

// ServerCount counts attempts at one server.
type ServerCount struct {
	Server     string
	Workspaces []WorkspaceCount
}

// WorkspaceCount counts one workspace's attempts. Failed and Late refer to
// separate numbers of attempts, because a late attempt is counted before it
// ends.
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
	// allGoodInterval is the least time between reports that contain no bad
	// attempt.
	allGoodInterval = time.Second
	// reportJitter is the fraction of ReportInterval that is randomised.
	reportJitter = 0.4
	// rateWindow is the time constant of the request rate average.
	rateWindow = 10 * time.Second
	// otherWorkspaces is the name that aggregates the workspaces beyond
	// maxReportWorkspaces.
	otherWorkspaces = ""
)

// pending holds the counts since the last report on a service.
type pending struct {
	servers map[string]map[string]*WorkspaceCount
	totals  map[string]*WorkspaceCount
	bad     bool
	sentAt  time.Duration
	// wait is the time to the next report. It has jitter, so that instances
	// that see the same failure don't all report at once.
	wait time.Duration
	// rate is a count of attempts with exponential decay.
	rate   float64
	rateAt time.Duration
}

// record counts an observation if it is bad, or if its server or workspace
// already has evidence.
func (p *pending) record(now time.Duration, v *serviceEvidence, ob Observation, failed, late bool, c countedOutcomes) {
	if ob.Result != Late {
		p.rate = p.rate*rateDecay(now-p.rateAt) + 1
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
	if t := p.totals[ob.Workspace]; t != nil || bad || v.tracksWorkspace(ob.Workspace) {
		p.totals[ob.Workspace] = t.plusAttempt(ob.Workspace, failed, late, c)
	}
	server, tracked := p.servers[ob.Server]
	if !tracked && !bad && !v.tracksServer(now, ob.Server) {
		return
	}
	if !tracked {
		server = map[string]*WorkspaceCount{}
		p.servers[ob.Server] = server
	}
	name := ob.Workspace
	if server[name] == nil && (!bad && !v.hasWorkspaceEvidence(ob.Server, name) || len(server) >= maxReportWorkspaces) {
		name = otherWorkspaces
	}
	server[name] = server[name].plusAttempt(name, failed, late, c)
	p.bad = p.bad || bad
}

func (w *WorkspaceCount) plusAttempt(name string, failed, late bool, c countedOutcomes) *WorkspaceCount {
	if w == nil {
		w = &WorkspaceCount{Workspace: name}
	}
	w.Attempts += uint32(indicator(c.failed))
	w.Failed += uint32(indicator(failed))
	w.LateAttempts += uint32(indicator(c.late))
	w.Late += uint32(indicator(late))
	return w
}

// hasWorkspaceEvidence reports whether the workspace recently had a failed
// attempt at the server.
func (v *serviceEvidence) hasWorkspaceEvidence(server, workspace string) bool {
	r := v.failed.byServer[server]
	return r != nil && r.workspaces[workspace] != nil
}

// tracksWorkspace reports whether the workspace recently had a bad attempt.
// All its attempts are counted from then on, to compute its share of bad
// ones.
func (v *serviceEvidence) tracksWorkspace(workspace string) bool {
	return v.failed.workspaceTotals[workspace] != nil || v.late.workspaceTotals[workspace] != nil
}

// tracksServer reports whether evidence on the server is being collected.
// While the collector suspects the server, it needs the good answers as much
// as the bad ones.
func (v *serviceEvidence) tracksServer(now time.Duration, server string) bool {
	_, advised := v.advice[server]
	if advised && now-v.advisedAt < adviceTTL {
		return true
	}
	return v.failed.byServer[server] != nil || v.late.byServer[server] != nil
}

// rateDecay returns the decay factor of the attempt count over d.
func rateDecay(d time.Duration) float64 {
	return math.Exp(-d.Seconds() / rateWindow.Seconds())
}

// DueReports returns the reports that are due, at most one for each service,
// for the services' collectors. A lost report is not sent again. All reports
// together stay within ReportBytes per second.
func (o *Observer) DueReports(now time.Duration) []Report {
	o.refillBytes(now)
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

func (o *Observer) refillBytes(now time.Duration) {
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
	return p.bad || now-p.sentAt >= allGoodInterval
}

// take moves the pending counts into a report.
func (p *pending) take(now time.Duration, service, dataCentre string) Report {
	r := Report{Service: service, DataCentre: dataCentre, Rate: p.rate / rateWindow.Seconds()}
	named := map[string]bool{}
	for _, id := range p.worstServers() {
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

// worstServers returns the servers to report, those with the most bad
// attempts first.
func (p *pending) worstServers() []string {
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
	// reportBaseBytes and workspaceCountBytes bound the encoded size of a
	// report and of one workspace's counts, without names.
	reportBaseBytes     = 28
	workspaceCountBytes = 10
)

// Size returns an upper bound of the report's size in a compact encoding, in
// bytes.
func (r Report) Size() int {
	n := reportBaseBytes + len(r.Service) + len(r.DataCentre)
	for _, s := range r.Servers {
		n += len(s.Server) + 2
		for _, w := range s.Workspaces {
			n += len(w.Workspace) + workspaceCountBytes
		}
	}
	for _, w := range r.Elsewhere {
		n += len(w.Workspace) + workspaceCountBytes
	}
	return n
}
