package operators

import (
	"time"

	"foxtailspoke/api/operator/oas"
	"foxtailspoke/decision"
	"foxtailspoke/membership"
	"foxtailspoke/node"
)

func statusToAPI(s node.Status) *oas.Status {
	out := &oas.Status{
		Instance:   s.Instance.ID,
		DataCentre: s.Instance.DataCentre,
		Region:     optString(s.Instance.Region),
		Serving:    serving(s),
		Confirmation: oas.Confirmation{
			Source:       source(s.Confirmation.State),
			AgeSeconds:   s.Confirmation.Age.Seconds(),
			LimitSeconds: s.Fresh.Seconds(),
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
	for _, r := range s.Refusals {
		out.WorkspacesNearLimit = append(out.WorkspacesNearLimit, oas.WorkspaceUse{
			Workspace: r.Workspace,
			Service:   r.Service,
			Rate:      r.Limit.Rate,
			Burst:     r.Limit.Burst,
			Parts:     r.Parts,
			Refused:   r.Count,
		})
	}
	return out
}

func serving(s node.Status) oas.StatusServing {
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

func decisionToAPI(r decision.Record) oas.Decision {
	out := oas.Decision{
		Request:     r.Request,
		At:          r.At,
		Instance:    r.Instance,
		Workspace:   optString(r.Workspace),
		Service:     optString(r.Service),
		Method:      optString(r.Method),
		Outcome:     oas.DecisionOutcome(r.Outcome),
		Rule:        string(r.Rule),
		Sentence:    r.Sentence(),
		Server:      optString(r.Server),
		Attempts:    r.Attempts,
		TookSeconds: r.Took.Seconds(),
	}
	if r.RetryAfter > 0 {
		out.RetryAfterSeconds = oas.NewOptFloat64(r.RetryAfter.Seconds())
	}
	if f := r.Figures; f != (decision.Figures{}) {
		out.Figures = oas.NewOptFigures(figuresToAPI(f))
	}
	return out
}

func figuresToAPI(f decision.Figures) oas.Figures {
	return oas.Figures{
		Plan:            optString(f.Plan),
		Rate:            optFloat(f.Rate),
		Burst:           optFloat(f.Burst),
		Tokens:          optFloat(f.Tokens),
		Parts:           optInt(f.Parts),
		AgeSeconds:      optSeconds(f.Age),
		AgeLimitSeconds: optSeconds(f.AgeLimit),
		Revision:        oas.OptUint64{Value: f.Revision, Set: f.Revision > 0},
		TimeoutSeconds:  optSeconds(f.Timeout),
		WaitedSeconds:   optSeconds(f.Waited),
		Servers:         optInt(f.Servers),
		Usable:          optInt(f.Usable),
		Size:            oas.OptInt64{Value: f.Size, Set: f.Size > 0},
		MaxSize:         oas.OptInt64{Value: f.MaxSize, Set: f.MaxSize > 0},
		Detail:          optString(f.Detail),
	}
}

func optString(s string) oas.OptString { return oas.OptString{Value: s, Set: s != ""} }

func optFloat(v float64) oas.OptFloat64 { return oas.OptFloat64{Value: v, Set: v != 0} }

func optInt(v int) oas.OptInt { return oas.OptInt{Value: v, Set: v != 0} }

func optSeconds(d time.Duration) oas.OptFloat64 { return optFloat(d.Seconds()) }
