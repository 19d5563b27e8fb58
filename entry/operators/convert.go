package operators

import (
	"foxtailspoke/api/operator/oas"
	"foxtailspoke/membership"
	"foxtailspoke/node"
)

func statusToAPI(s node.Status) *oas.Status {
	out := &oas.Status{
		Instance:   s.Instance.ID,
		DataCentre: s.Instance.DataCentre,
		Region:     optString(s.Instance.Region),
		Serving:    servingToAPI(s),
		Confirmation: oas.Confirmation{
			Source:       sourceToAPI(s.Confirmation.State),
			AgeSeconds:   s.Confirmation.Age.Seconds(),
			LimitSeconds: s.ConfigAgeLimit.Seconds(),
		},
		Revision:            uint64(s.Confirmation.Revision),
		ListsVersion:        s.Lists.Version,
		Services:            []oas.ServiceStatus{},
		WorkspacesNearLimit: []oas.WorkspaceUse{},
		Entries:             oas.EntryCounts{Live: len(s.Entries)},
	}
	for _, service := range s.Services {
		out.Services = append(out.Services, serviceToAPI(service))
	}
	for _, r := range s.RateRefusals {
		out.WorkspacesNearLimit = append(out.WorkspacesNearLimit, oas.WorkspaceUse{
			Workspace: r.Workspace,
			Service:   r.Service,
			Rate:      r.Limit.Rate,
			Burst:     r.Limit.Burst,
			Tokens:    r.Tokens,
			Parts:     r.Parts,
			Refused:   r.Count,
		})
	}
	return out
}

func servingToAPI(s node.Status) oas.StatusServing {
	switch {
	case s.Leaving:
		return oas.StatusServingLeaving
	case s.Confirmation.Revision == 0:
		return oas.StatusServingStarting
	case s.Confirmation.State == membership.CutOff:
		return oas.StatusServingCutOff
	default:
		return oas.StatusServingServing
	}
}

func serviceToAPI(s node.ServiceStatus) oas.ServiceStatus {
	out := oas.ServiceStatus{
		Name:    s.Service.Name,
		Floor:   s.Service.Floor,
		Servers: s.Servers,
		Usable:  s.Usable,
		Ejected: []oas.EjectedServer{},
		Lowered: []oas.LoweredServer{},
	}
	for _, e := range s.Ejected {
		out.Ejected = append(out.Ejected, oas.EjectedServer{Server: e.Server, By: e.By, Reason: e.Reason})
	}
	for _, l := range s.Lowered {
		out.Lowered = append(out.Lowered, oas.LoweredServer{
			Server: l.Server,
			Weight: l.Weight,
			Reason: "requests to it failed or were late",
		})
	}
	return out
}

func optString(s string) oas.OptString { return oas.OptString{Value: s, Set: s != ""} }
