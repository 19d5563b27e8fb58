package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/decision"
	"foxtailspoke/membership"
	"foxtailspoke/quota"
	"foxtailspoke/storage"
)

// Status is the state of an instance as shown to operators.
type Status struct {
	Instance     storage.Instance
	Confirmation membership.Confirmation
	// ConfigAgeLimit is the configuration age beyond which the instance refuses
	// requests.
	ConfigAgeLimit time.Duration
	Lists          config.ListsVersion
	Services       []ServiceStatus
	// RateRefusals is sorted by count, highest first.
	RateRefusals []RateRefusals
	Entries      []storage.Instance
	Leaving      bool
	Counters     membership.Counters
	Buckets      int
	Requests     int
}

// WorstWorkspace returns the workspace with the worst service on this instance,
// or false if none has had enough requests to tell.
func (n *Node) WorstWorkspace(now time.Duration) (WorkspaceFailures, bool) {
	n.now = max(n.now, now)
	return n.workspaceFailures.worst(n.now)
}

// ServiceStatus is the state of a service as seen by this instance.
type ServiceStatus struct {
	Service config.Service
	Servers int
	Usable  int
	Ejected []config.Ejection
	// Lowered lists the backend servers that get fewer requests from this instance.
	Lowered []LoweredServer
}

// LoweredServer is a backend server with a weight below 1.
type LoweredServer struct {
	Server string
	Weight float64
}

// RateRefusals counts the requests of a workspace that were refused because its
// rate was exceeded.
type RateRefusals struct {
	Workspace, Service string
	Limit              config.Limit
	Parts              int
	// Tokens is the number of tokens currently available on this instance.
	Tokens float64
	Count  uint64
}

// maxRefusalCounts is the maximum number of buckets whose refusals are counted.
const maxRefusalCounts = 1000

type rateRefusalCounts map[quota.Bucket]uint64

func (r rateRefusalCounts) count(record decision.Record) {
	if record.Rule != decision.RuleRateExceeded {
		return
	}
	b := quota.Bucket{Workspace: record.Workspace, Service: record.Service}
	if _, known := r[b]; known || len(r) < maxRefusalCounts {
		r[b]++
	}
}

// Status returns the node's state at the given time.
func (n *Node) Status(now time.Duration) Status {
	n.now = max(n.now, now)
	s := Status{
		Instance:       n.settings.Self,
		Confirmation:   n.member.Confirmation(n.now),
		ConfigAgeLimit: n.member.Settings().Fresh,
		Lists:          n.replica.ListsVersion(),
		Entries:        slices.Clone(n.member.Directory().Entries()),
		Leaving:        n.leaving,
		Counters:       n.member.Counters(),
		Buckets:        n.holder.BucketCount(),
		Requests:       len(n.requests),
	}
	for _, name := range n.replica.Services() {
		s.Services = append(s.Services, n.serviceStatus(name))
	}
	s.RateRefusals = n.refusalStatus()
	return s
}

func (n *Node) serviceStatus(name string) ServiceStatus {
	definition, _ := n.replica.Service(name)
	view := n.serverView(&request{service: definition})
	s := ServiceStatus{
		Service: definition,
		Servers: len(n.member.Directory().Servers(name)),
		Ejected: n.replica.Permits(name).Ejected,
	}
	for _, server := range view {
		if server.Leaving || server.Ejected {
			continue
		}
		s.Usable++
		if server.Weight < 1 {
			s.Lowered = append(s.Lowered, LoweredServer{Server: server.ID, Weight: server.Weight})
		}
	}
	return s
}

func (n *Node) refusalStatus() []RateRefusals {
	list := make([]RateRefusals, 0, len(n.rateRefusals))
	for b, count := range n.rateRefusals {
		limit, _ := n.replica.Limit(b.Workspace, b.Service)
		shard := n.replica.Shard(quota.ShardOf(b.Workspace, n.settings.Shards))
		list = append(list, RateRefusals{
			Workspace: b.Workspace,
			Service:   b.Service,
			Limit:     limit,
			Parts:     quota.PartsByInstance(shard)[n.settings.Self.ID],
			Tokens:    n.holder.Available(n.now, b, limit).Float(),
			Count:     count,
		})
	}
	slices.SortFunc(list, func(a, b RateRefusals) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service))
	})
	return list
}

// Require starts to determine when a revision is in force on all instances.
func (n *Node) Require(now time.Duration, revision storage.Revision) []Effect {
	n.now = max(n.now, now)
	n.effects = n.effects[:0]
	n.emitMemberEffects(n.member.Require(n.now, revision))
	return n.effects
}

// InForce reports whether a revision is in force on all instances, and which
// witnesses have acknowledged it and which have not.
func (n *Node) InForce(now time.Duration, revision storage.Revision) (inForce bool, known, missing []string) {
	n.now = max(n.now, now)
	missing = n.member.PendingWitnesses(revision)
	for _, id := range n.replica.Witnesses().Members {
		if !slices.Contains(missing, id) {
			known = append(known, id)
		}
	}
	return n.member.InForce(n.now, revision), known, missing
}

// PeerAddress returns the address where an instance accepts calls from other
// instances, or "" if the address is unknown or the instance has ended.
func (n *Node) PeerAddress(id string) string {
	if address, ok := membership.SeedAddress(id); ok {
		return address
	}
	i, ok := n.member.Directory().Instance(id)
	if !ok || i.State == storage.Ended {
		return ""
	}
	return i.PeerAddress
}

// Idle reports whether no requests or attempts are in progress.
func (n *Node) Idle() bool { return len(n.requests) == 0 && len(n.attempts) == 0 }

// HoldsParts reports whether a shard's row still names this instance.
func (n *Node) HoldsParts() bool { return len(n.shards.held) > 0 }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// IsWitness reports whether this instance is a witness as far as it knows.
func (n *Node) IsWitness() bool { return n.member.IsWitness() }
