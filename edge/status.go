package edge

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/health"
	"foxtailspoke/placement"
)

// PathStatus is where an instance's Status is asked for, at its metrics address.
const PathStatus = "/status"

const (
	// suspectRisk is the risk from which a server is shown as a suspect: more
	// likely to fail than not.
	suspectRisk = 0.5
	// nearRate is the part of its burst below which a workspace is shown as
	// near its rate.
	nearRate = 0.25
)

// Status is what one instance knows of the fleet, for operators. All times are
// in milliseconds; -1 for what isn't known.
type Status struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"dataCentre"`
	// Ready instances are named to callers.
	Ready bool `json:"ready"`
	// Version of the configuration in force, and the age of the proof that it
	// is the newest.
	Version     uint32 `json:"version"`
	ConfigAgeMS int64  `json:"configAgeMS"`
	// ServersAgeMS is the age of the list of backend servers.
	ServersAgeMS int64 `json:"serversAgeMS"`
	// Reader is the instance that read the store last.
	Reader string `json:"reader"`
	// Relay is the instance that this one tells what others must hear; itself
	// if it is one. Listeners is how many it sends rounds to.
	Relay     string `json:"relay"`
	Listeners int    `json:"listeners"`
	// RateShare is the part of each workspace's rate that this instance may
	// count on.
	RateShare float64 `json:"rateShare"`
	// Evacuated data centres' backend servers get nothing.
	Evacuated  []string          `json:"evacuated"`
	Instances  []InstanceStatus  `json:"instances"`
	Services   []ServiceStatus   `json:"services"`
	Suspects   []SuspectStatus   `json:"suspects"`
	Workspaces []WorkspaceStatus `json:"workspacesNearRate"`
}

// InstanceStatus is another instance.
type InstanceStatus struct {
	IP         string `json:"ip"`
	DataCentre string `json:"dataCentre"`
	Alive      bool   `json:"alive"`
	// Leaving instances aren't ready, or are stopping.
	Leaving  bool  `json:"leaving"`
	HeardMS  int64 `json:"heardMS"`
	SlowLink bool  `json:"slowLink"`
}

// ServiceStatus sums up the backend servers of a service.
type ServiceStatus struct {
	Service  string `json:"service"`
	Servers  int    `json:"servers"`
	Draining int    `json:"draining"`
	// Cold servers get no more than they bear, Limited ones no more than they name
	// in their answers, and Evacuated ones nothing.
	Cold      int `json:"cold"`
	Limited   int `json:"limited"`
	Evacuated int `json:"evacuated"`
	// Outstanding requests of all instances.
	Outstanding int `json:"outstanding"`
	Suspects    int `json:"suspects"`
}

// SuspectStatus is a backend server that more likely fails than not.
type SuspectStatus struct {
	Server  string  `json:"server"`
	Service string  `json:"service"`
	Risk    float64 `json:"risk"`
	// LastFailure is how the last failed attempt went, LastFailureMS ago.
	LastFailure   string `json:"lastFailure"`
	LastFailureMS int64  `json:"lastFailureMS"`
}

// WorkspaceStatus is a workspace that has used up most of its burst.
type WorkspaceStatus struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	Tokens    float64 `json:"tokens"`
}

// Status returns what this instance knows now.
func (e *Edge) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, now := &e.state, e.now()
	st := Status{
		Instance: e.settings.Name, DataCentre: e.settings.DataCentre, Ready: e.readyLocked(),
		ConfigAgeMS: milli(e.configAge(now)), ServersAgeMS: -1, RateShare: round(s.usage.RateShare),
		Evacuated: s.evacuations.List(),
	}
	if s.table != nil {
		st.Version = s.table.Version
	}
	if s.serversProof > 0 {
		st.ServersAgeMS = milli(now - s.serversProof)
	}
	if s.lastReader != 0 {
		st.Reader = addrPort(s.lastReader, 0).Addr().String()
	}
	st.Relay = addrPort(s.messenger.Hub().Relay(), 0).Addr().String()
	st.Listeners = s.messenger.Hub().Subscribers()
	for id, m := range s.messenger.Fleet().All() {
		st.Instances = append(st.Instances, InstanceStatus{
			IP: addrPort(id, 0).Addr().String(), DataCentre: m.DataCentre, Alive: m.Alive, Leaving: m.Leaving,
			HeardMS: milli(now - m.LastHeard), SlowLink: m.SlowLink,
		})
	}
	slices.SortFunc(st.Instances, func(a, b InstanceStatus) int { return strings.Compare(a.IP, b.IP) })
	st.Services, st.Suspects = servers(s.placer.ServerStatuses(now))
	st.Workspaces = e.nearRate(now)
	return st
}

// servers sums up the servers of each service and names the suspects.
func servers(views []placement.ServerStatus) (services []ServiceStatus, suspects []SuspectStatus) {
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
		if v.Risk > suspectRisk {
			sum.Suspects++
			suspects = append(suspects, suspect(v))
		}
	}
	for _, sum := range sums {
		services = append(services, *sum)
	}
	slices.SortFunc(services, func(a, b ServiceStatus) int { return strings.Compare(a.Service, b.Service) })
	slices.SortFunc(suspects, func(a, b SuspectStatus) int { return strings.Compare(a.Service+a.Server, b.Service+b.Server) })
	return services, suspects
}

func suspect(v placement.ServerStatus) SuspectStatus {
	s := SuspectStatus{Server: v.Server.ID, Service: v.Server.Service, Risk: round(v.Risk), LastFailureMS: -1}
	if v.LastFailure != health.OK {
		s.LastFailure, s.LastFailureMS = v.LastFailure.String(), milli(v.SinceFailure)
	}
	return s
}

func (e *Edge) nearRate(now time.Duration) (near []WorkspaceStatus) {
	if e.state.table == nil {
		return nil
	}
	for _, w := range e.state.table.Workspaces() {
		if w.Rate <= 0 {
			continue
		}
		if tokens := e.state.usage.Tokens(workspaceHash(w.Name), now); tokens < nearRate*w.Burst {
			near = append(near, WorkspaceStatus{Workspace: w.Name, Rate: w.Rate, Burst: w.Burst, Tokens: round(tokens)})
		}
	}
	slices.SortFunc(near, func(a, b WorkspaceStatus) int { return strings.Compare(a.Workspace, b.Workspace) })
	return near
}

// answerStatus answers operators.
func (e *Edge) answerStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.Status()); err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
	}
}
