package node

import (
	"encoding/json"
	"slices"
	"time"

	"foxtailspoke/balance"
	"foxtailspoke/config"
	"foxtailspoke/effect"
	"foxtailspoke/membership"
	"foxtailspoke/storage"
)

// serverView returns the subset of a service's backend servers that this
// instance uses, with their weights for the given request.
func (n *Node) serverView(r *request) []balance.Server {
	service := r.service
	listed := n.member.Directory().Servers(service.Name)
	ids := make([]string, len(listed))
	for i, s := range listed {
		ids[i] = s.ID
	}
	entries := len(n.member.Directory().Entries())
	subset := balance.Subset(n.settings.Self.ID, entries, ids, n.settings.MaxConnections)
	permits := n.replica.Permits(service.Name)
	view := make([]balance.Server, 0, len(subset))
	var usable []string
	for _, id := range subset {
		s, _ := n.member.Directory().Instance(id)
		b := balance.Server{
			ID:         id,
			DataCentre: s.DataCentre,
			Slots:      s.Slots,
			Leaving:    s.State != storage.Live || n.now < n.leavingServers[id],
			Ejected:    isEjected(permits, id),
		}
		view = append(view, b)
		if !b.Leaving && !b.Ejected {
			usable = append(usable, id)
		}
	}
	floor := balance.SubsetFloor(service.Floor, len(listed), len(subset))
	n.assignWeights(r, view, usable, floor)
	return view
}

// leavingTTL is how long a server's own statement that it is leaving counts. By
// then the platform's list shows it as well, or the server has stayed.
const leavingTTL = time.Minute

// markLeaving stops new requests to a server that reported that it is leaving.
// The platform's list may lag by minutes, and each request sent in between
// would cost a refused attempt.
func (n *Node) markLeaving(server string) {
	n.leavingServers[server] = n.now + leavingTTL
}

func (n *Node) expireLeaving() {
	for server, until := range n.leavingServers {
		if n.now >= until {
			delete(n.leavingServers, server)
		}
	}
}

func (n *Node) assignWeights(r *request, view []balance.Server, usable []string, floor int) {
	weights := n.observer.Weights(n.now, r.service.Name, r.workspace.Name, usable, floor)
	next := 0
	for i := range view {
		if !view[i].Leaving && !view[i].Ejected {
			view[i].Weight = weights[next]
			next++
		}
	}
}

// untriedServers counts the servers that the request may still be sent to, and
// reports whether one of them has a free slot according to this instance's own
// in-flight counts.
func (n *Node) untriedServers(r *request) (count int, hasFreeSlot bool) {
	for _, s := range n.serverView(r) {
		if s.Leaving || s.Ejected || slices.Contains(r.tried, s.ID) {
			continue
		}
		count++
		hasFreeSlot = hasFreeSlot || n.picker.InFlight(r.service.Name, s.ID) < max(s.Slots, 1)
	}
	return count, hasFreeSlot
}

func isEjected(p config.Permits, server string) bool {
	return slices.ContainsFunc(p.Ejected, func(e config.Ejection) bool { return e.Server == server })
}

// updateServers passes the current servers to the health observer and the
// picker, for the services that this instance has received requests for.
func (n *Node) updateServers() {
	for _, service := range sortedKeys(n.budgets) {
		permits := n.replica.Permits(service)
		var all, inUse []string
		for _, s := range n.member.Directory().Servers(service) {
			all = append(all, s.ID)
			if s.State == storage.Live && !isEjected(permits, s.ID) {
				inUse = append(inUse, s.ID)
			}
		}
		n.observer.SetServers(service, inUse)
		n.picker.SetServers(service, all)
	}
}

// sendHealthReports sends the due health reports to the services' collectors.
func (n *Node) sendHealthReports() {
	for _, report := range n.observer.DueReports(n.now) {
		collector := n.member.Directory().Collector(report.Service)
		switch collector {
		case "":
		case n.settings.Self.ID:
			suspects := n.collector.Accept(n.now, collector, report)
			n.unadvertiseFaultyReporter(collector, report.Service)
			n.recordFailures(report)
			n.observer.ApplyAdvice(n.now, report.Service, suspects)
		default:
			p := pendingEffect{owner: ownerReport, subject: report.Service}
			n.emit(n.trackEffect(p, effect.Call{To: collector, Request: PeerRequest{Report: &report}}))
		}
	}
}

// runCollector proposes ejections for the services that this instance collects
// reports for, and probes their ejected backend servers. While the platform is
// unavailable the permits stay unchanged.
func (n *Node) runCollector() {
	for _, service := range n.replica.Services() {
		if n.member.Directory().Collector(service) != n.settings.Self.ID || n.leaving {
			continue
		}
		if n.member.Confirmation(n.now).State == membership.ConfirmedByTable {
			n.proposeEjections(service)
		}
		n.startProbes(service)
	}
}

func (n *Node) proposeEjections(service string) {
	if _, writing := n.permitWrites[service]; writing {
		return
	}
	var live []string
	for _, s := range n.member.Directory().Servers(service) {
		if s.State == storage.Live {
			live = append(live, s.ID)
		}
	}
	definition, _ := n.replica.Service(service)
	proposal, ok := n.collector.Propose(n.now, service, n.settings.Self.ID, live, n.replica.Permits(service), definition.Floor)
	if !ok {
		return
	}
	value, err := json.Marshal(proposal.Permits)
	if err != nil {
		panic(err)
	}
	n.permitWrites[service] = newlyEjected(n.replica.Permits(service), proposal.Permits)
	p := pendingEffect{owner: ownerPermits, subject: service}
	n.emit(n.trackEffect(p, effect.WriteTable{Txn: n.txn(config.PermitPrefix+service, value)}))
}

func (n *Node) startProbes(service string) {
	definition, _ := n.replica.Service(service)
	for _, probe := range n.collector.DueProbes(n.now, service, n.replica.Permits(service)) {
		server, ok := n.member.Directory().Instance(probe.Server)
		if !ok {
			continue
		}
		n.emit(StartProbe{Probe: probe, Server: server, Path: definition.ProbePath(), Timeout: n.settings.Health.SlowProbe})
	}
}

// reportEjectionChanges notifies operators of backend servers that were ejected
// or returned to service.
func (n *Node) reportEjectionChanges() {
	for _, service := range n.replica.Services() {
		now := map[string]bool{}
		for _, e := range n.replica.Permits(service).Ejected {
			now[e.Server] = true
			if !n.ejected[service][e.Server] {
				n.emit(Noted{Note: NoteEjected, Subject: e.Server, Detail: e.Reason})
			}
		}
		for _, server := range sortedKeys(n.ejected[service]) {
			if !now[server] {
				n.emit(Noted{Note: NoteReturned, Subject: server})
			}
		}
		n.ejected[service] = now
	}
}
