package edge

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/placement"
)

// PathStatus is the path of an instance's Status on its metrics address.
const PathStatus = "/status"

const (
	// suspectRisk is the failure risk above which a server is listed as a suspect:
	// it is more likely to fail than not.
	suspectRisk = 0.5
	// nearRateShare is the part of its burst below which the remaining tokens of a
	// workspace make it count as near its rate.
	nearRateShare = 0.25
)

// Status describes an instance's view of the fleet, for operators. Times are in
// milliseconds; -1 means unknown.
type Status struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	// Ready reports whether callers are given the address of this instance.
	Ready bool `json:"ready"`
	// Partitioned reports that this instance fails to connect to any backend server.
	Partitioned bool `json:"partitioned"`
	// Version is the version of the configuration in force. ConfigAgeMS is the age
	// of the proof that it is the newest.
	Version     uint32 `json:"version"`
	ConfigAgeMS int64  `json:"configAgeMS"`
	// ReplacedMS is the time since another instance announced a newer configuration than
	// the one in force; 0 if none did.
	ReplacedMS int64 `json:"replacedMS"`
	// OwnReadMS is the time since this instance's last complete read of the store.
	OwnReadMS int64 `json:"ownReadMS"`
	// ServersAgeMS is the age of the list of backend servers.
	ServersAgeMS int64 `json:"serversAgeMS"`
	// Reader is the instance that read the store most recently.
	Reader string `json:"reader"`
	// Relay is the instance through which this one sends to the others; it is this
	// instance itself if it is a relay. Listeners is the number of instances to
	// which this one sends rounds.
	Relay     string `json:"relay"`
	Listeners int    `json:"listeners"`
	// RateShare is the part of each workspace's rate that this instance may use.
	RateShare float64 `json:"rateShare"`
	// Evacuated lists the data centres whose backend servers get no requests.
	Evacuated  []string          `json:"evacuated"`
	Memory     MemoryStatus      `json:"memory"`
	Instances  []InstanceStatus  `json:"instances"`
	Services   []ServiceStatus   `json:"services"`
	Suspects   []SuspectStatus   `json:"suspects"`
	Workspaces []WorkspaceStatus `json:"workspacesNearRate"`
}

// InstanceStatus describes another instance.
type InstanceStatus struct {
	IP         string `json:"ip"`
	DataCentre string `json:"dataCentre"`
	Alive      bool   `json:"alive"`
	// Leaving is set if the instance is not ready or is stopping.
	Leaving bool `json:"leaving"`
	// Partitioned reports that the instance fails to connect to any backend server.
	Partitioned bool  `json:"partitioned"`
	HeardMS     int64 `json:"heardMS"`
	SlowLink    bool  `json:"slowLink"`
}

// ServiceStatus summarizes the backend servers of a service.
type ServiceStatus struct {
	Service  string `json:"service"`
	Servers  int    `json:"servers"`
	Draining int    `json:"draining"`
	// Cold, Limited, Evacuated and BackingOff count servers with restrictions: cold
	// servers get requests at their warm-up rate, limited ones at most the rate that
	// their responses set, evacuated ones none, and those backing off none from this
	// instance.
	Cold       int `json:"cold"`
	Limited    int `json:"limited"`
	Evacuated  int `json:"evacuated"`
	BackingOff int `json:"backingOff"`
	// AddressReused counts servers that get no requests, as another server has their
	// address.
	AddressReused int `json:"addressReused"`
	// Outstanding is the number of requests in progress from all instances.
	Outstanding int `json:"outstanding"`
	Suspects    int `json:"suspects"`
	// UnservedShare is the share of the requests of all instances in the last two
	// seconds that weren't served.
	UnservedShare float64 `json:"unservedShare"`
	// Retries of RetriesAllowed, for Requests, are those of the fleet in the window of
	// the platform's limit, as this instance counts them.
	Requests       int     `json:"requests"`
	Retries        int     `json:"retries"`
	RetriesAllowed float64 `json:"retriesAllowed"`
	// HealthyInUse is the expected share of the healthy servers that received a
	// request in the last two seconds.
	HealthyInUse float64 `json:"healthyInUse"`
	// AdmissionActive means that requests are rejected at once as servers are full.
	// AdmittedShare of them are admitted, AdmittedByPriority by priority.
	// RejectedByFull is the share of the fleet's attempts in the last two seconds that full
	// servers rejected.
	AdmissionActive    bool            `json:"admissionActive"`
	AdmittedShare      float64         `json:"admittedShare"`
	AdmittedByPriority map[int]float64 `json:"admittedByPriority,omitempty"`
	RejectedByFull     float64         `json:"rejectedByFull"`
	// LeavingShare is the share of this data centre's requests that leaves it by plan, and
	// LeavingReason why: "no capacity", "few servers" or "none".
	LeavingShare  float64 `json:"leavingShare"`
	LeavingReason string  `json:"leavingReason"`
	// ByteLimit bounds the bytes of requests that each server gets; 0 if they aren't bounded.
	ByteLimit int64 `json:"byteLimit"`
}

// SuspectStatus describes a backend server that is more likely to fail than not.
type SuspectStatus struct {
	Server  string  `json:"server"`
	Service string  `json:"service"`
	Risk    float64 `json:"risk"`
	// LastFailure is the result of the last failed attempt, which ended
	// LastFailureMS ago.
	LastFailure   string `json:"lastFailure"`
	LastFailureMS int64  `json:"lastFailureMS"`
}

// WorkspaceStatus describes a workspace that has used up most of its burst, or exceeds its rate.
type WorkspaceStatus struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	Tokens    float64 `json:"tokens"`
	// Reserved is the number of tokens that the least urgent requests leave to more urgent ones.
	Reserved float64 `json:"reserved"`
}

// Status returns this instance's current view of the fleet.
func (e *Edge) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, now := &e.state, e.now()
	st := Status{
		Instance: e.settings.Name, DataCentre: e.settings.DataCentre, Ready: e.readyLocked(), Partitioned: s.reach.Partitioned(),
		ConfigAgeMS: millisOrUnknown(e.configAge(now)), ReplacedMS: e.replacedFor(evidence.Config, now).Milliseconds(), OwnReadMS: millisOrUnknown(e.ownReadAge(now)),
		ServersAgeMS: -1, RateShare: round3(s.usage.RateShare),
		Evacuated: s.evacuations.List(), Memory: e.memoryStatus(),
	}
	if s.table != nil {
		st.Version = s.table.Version
	}
	if s.serversProof > 0 {
		st.ServersAgeMS = millisOrUnknown(now - s.serversProof)
	}
	if s.lastReader != 0 {
		st.Reader = addrPort(s.lastReader, 0).Addr().String()
	}
	st.Relay = addrPort(s.messenger.Hub().Relay(), 0).Addr().String()
	st.Listeners = s.messenger.Hub().Subscribers()
	for id, m := range s.messenger.Fleet().All() {
		st.Instances = append(st.Instances, InstanceStatus{
			IP: addrPort(id, 0).Addr().String(), DataCentre: m.DataCentre, Alive: m.Alive, Leaving: m.Leaving, Partitioned: m.Partitioned,
			HeardMS: millisOrUnknown(now - m.LastHeard), SlowLink: m.SlowLink,
		})
	}
	slices.SortFunc(st.Instances, func(a, b InstanceStatus) int { return strings.Compare(a.IP, b.IP) })
	st.Services, st.Suspects = summarizeServers(s.placer.ServerStatuses(now))
	for i := range st.Services {
		e.addServiceFigures(&st.Services[i], now)
	}
	st.Workspaces = e.workspacesNearRate(now)
	return st
}

// addServiceFigures adds the figures of a service that aren't sums over its servers.
func (e *Edge) addServiceFigures(st *ServiceStatus, now time.Duration) {
	allowance := e.retryAllowance(st.Service)
	st.Requests, st.Retries, st.RetriesAllowed = allowance.Requests, allowance.Retries, round3(allowance.Allowed)
	st.UnservedShare = round3(e.state.placer.UnservedShare(st.Service, now))
	st.ByteLimit, _ = e.state.serverBytes.Limit(st.Service, now)
	st.HealthyInUse = round3(e.state.placer.HealthyInUse(st.Service, now))
	e.addAdmission(st, now)
	st.LeavingShare, st.LeavingReason = e.leavingShare(st.Service)
	st.LeavingShare = round3(st.LeavingShare)
}

// summarizeServers summarizes the servers of each service and lists the suspects.
func summarizeServers(views []placement.ServerStatus) (services []ServiceStatus, suspects []SuspectStatus) {
	sums := make(map[string]*ServiceStatus)
	for _, v := range views {
		sum, ok := sums[v.Server.Service]
		if !ok {
			sum = &ServiceStatus{Service: v.Server.Service}
			sums[v.Server.Service] = sum
		}
		sum.Servers++
		sum.Outstanding += v.Outstanding
		if v.Server.Draining {
			sum.Draining++
		}
		if v.Cold {
			sum.Cold++
		}
		if v.RateLimited {
			sum.Limited++
		}
		if v.Evacuated {
			sum.Evacuated++
		}
		if v.BackingOff {
			sum.BackingOff++
		}
		if v.AddressReused {
			sum.AddressReused++
		}
		if v.Risk > suspectRisk {
			sum.Suspects++
			suspects = append(suspects, suspectStatus(v))
		}
	}
	for _, sum := range sums {
		services = append(services, *sum)
	}
	slices.SortFunc(services, func(a, b ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	slices.SortFunc(suspects, func(a, b SuspectStatus) int { return strings.Compare(a.Service+a.Server, b.Service+b.Server) })
	return services, suspects
}

func suspectStatus(v placement.ServerStatus) SuspectStatus {
	s := SuspectStatus{Server: v.Server.ID, Service: v.Server.Service, Risk: round3(v.Risk), LastFailureMS: -1}
	if v.LastFailure != health.OK {
		s.LastFailure, s.LastFailureMS = v.LastFailure.String(), millisOrUnknown(v.SinceFailure)
	}
	return s
}

func (e *Edge) workspacesNearRate(now time.Duration) (near []WorkspaceStatus) {
	if e.state.table == nil {
		return nil
	}
	for _, w := range e.state.table.Workspaces() {
		if w.Rate <= 0 {
			continue
		}
		h := workspaceHash(w.Name)
		tokens, reserved := e.state.usage.Tokens(h, now), e.state.usage.MaxReserved(h, now)
		if tokens < nearRateShare*w.Burst || reserved > 0 {
			near = append(near, WorkspaceStatus{
				Workspace: w.Name, Rate: w.Rate, Burst: w.Burst, Tokens: round3(tokens), Reserved: round3(reserved),
			})
		}
	}
	slices.SortFunc(near, func(a, b WorkspaceStatus) int { return strings.Compare(a.Workspace, b.Workspace) })
	return near
}

// handleStatus serves the status as JSON.
func (e *Edge) handleStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.Status()); err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
	}
}
