package edge

import (
	"encoding/json"
	"log/slog"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/edge/settings"
	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/mechanism"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
	"foxtailspoke/replica"
	"foxtailspoke/routing"
	"foxtailspoke/usage"
)

// takeRows takes in changed rows and returns those that changed anything. Restored
// says that they are those of a store that just came back from a copy.
func (e *Edge) takeRows(t evidence.Table, rows []replica.Row, restored bool, now time.Duration) []replica.Row {
	switch t {
	case evidence.Config:
		for _, r := range rows {
			e.takeConfig(r, now)
		}
		e.takeEvacuations(now)
		return rows
	case evidence.Servers:
		return e.takeServers(rows, restored, now)
	default:
		for _, r := range rows {
			if restored && r.Gone {
				// It may have been written after the copy. Readers write it again.
				continue
			}
			e.takeInstance(r, now)
		}
		return rows
	}
}

// takeConfig puts a new configuration in force.
func (e *Edge) takeConfig(r replica.Row, now time.Duration) {
	s := &e.state
	if r.Key != platform.KeyConfig {
		return
	}
	if r.Gone {
		e.keepConfig(0)
		return
	}
	c, err := platform.DecodeConfig(r.Value)
	if err != nil {
		s.configUnreadable = true
		event.ConfigRejected.Log(e.log, slog.Any("error", err))
		return
	}
	s.configUnreadable = false
	if s.table != nil && c.Version < s.table.Version {
		e.keepConfig(r.Version)
		return
	}
	s.table, s.configInForce = routing.NewTable(c), r.Value
	for _, w := range s.table.Workspaces() {
		s.usage.SetLimit(workspaceHash(w.Name), e.limitOf(w), now)
	}
	for _, service := range c.Services {
		s.placer.SetWarmUp(service.Name, placement.WarmUp{Duration: service.WarmUp, Rate: service.WarmUpRate})
	}
	if c.Limits.IdleTimeout > 0 {
		e.callerServer.SetIdleTimeout(c.Limits.IdleTimeout)
	}
	event.ConfigInForce.Log(e.log, slog.Uint64("version", uint64(c.Version)),
		slog.Int("routes", len(c.Routes)), slog.Int("workspaces", len(c.Workspaces)))
}

// keepConfig puts the configuration in force into the copy of the table, in place of
// a row of that version that is older: instances that start learn it from there.
func (e *Edge) keepConfig(version uint64) {
	if e.state.configInForce != nil {
		e.state.config.ApplyOwnWrite(replica.Row{Key: platform.KeyConfig, Value: e.state.configInForce, Version: version})
	}
}

// limitOf is the limit that a workspace is held to.
func (e *Edge) limitOf(w routing.Workspace) usage.Limit {
	if !e.mechanisms.On(mechanism.Tolerance) {
		return usage.StrictLimit(w.Rate, w.Burst)
	}
	b := e.settings.Bounds
	t := usage.Tolerance{Overshoot: b.RateOvershoot, Slack: b.RateSlack, Window: settings.Seconds(b.RateWindowS)}
	return t.Loosen(usage.StrictLimit(w.Rate, w.Burst))
}

// takeServers takes in changed entries of backend servers, and returns those
// that others must hear of: all but entries that only renewed themselves. An
// entry that came back unchanged after it had run out with the store is news
// to them. If it weren't told, their copies would lack it from then on: they
// would drop a living server, and whoever of them read later that it leaves
// would have nothing to remove and nothing to tell.
func (e *Edge) takeServers(rows []replica.Row, restored bool, now time.Duration) []replica.Row {
	s := &e.state
	var keepUntil time.Duration
	if s.outageEnd > 0 {
		keepUntil = s.outageEnd + discovery.RemovalGracePeriod
	}
	var changed []replica.Row
	for _, r := range rows {
		unsettled := s.serverList.DiffersFromStore(r.Key)
		c, ok := e.serverChange(r, restored, now, keepUntil)
		if ok {
			e.applyServer(c, now)
		}
		if ok || r.Gone || unsettled {
			changed = append(changed, r)
		}
	}
	return changed
}

func (e *Edge) serverChange(r replica.Row, restored bool, now, keepUntil time.Duration) (discovery.Change, bool) {
	s := &e.state
	if r.Gone {
		return s.serverList.Remove(r.Key, now, keepUntil)
	}
	entry, err := platform.DecodeServer(r.Key, r.Value)
	if err != nil {
		// An entry that somebody else wrote, or half wrote, names no server.
		if e.budget.Take(now, routineLogShare) {
			event.EntryIgnored.Log(e.log, slog.String("server", r.Key), slog.Any("error", err))
		}
		return s.serverList.Remove(r.Key, now, now)
	}
	if restored {
		return s.serverList.PutAfterRestore(entry, now)
	}
	return s.serverList.Put(entry, now)
}

func (e *Edge) applyServer(c discovery.Change, now time.Duration) {
	e.state.placer.Apply(c, now)
	if c.Removed {
		e.pool.CloseIdle(c.Server.Address)
	}
	event.ServerChanged.Log(e.log, slog.String("server", c.Server.ID), slog.String("service", c.Server.Service),
		slog.String("address", c.Server.Address), slog.Bool("draining", c.Server.Draining), slog.Bool("gone", c.Removed),
		slog.Int64("warm_up_ms", c.Server.WarmUp.Milliseconds()))
}

// expireServers drops servers that didn't come back after an outage.
func (e *Edge) expireServers(now time.Duration) {
	for _, c := range e.state.serverList.Expire(now) {
		e.applyServer(c, now)
	}
}

// instanceDocument is an instance's row in the store.
type instanceDocument struct {
	DataCentre string `json:"dataCentre"`
	SlowLink   bool   `json:"slowLink,omitempty"`
}

func (e *Edge) takeInstance(r replica.Row, now time.Duration) {
	id, err := parseIPv4(r.Key)
	if err != nil || id == e.self {
		return
	}
	if r.Gone {
		e.state.messenger.MarkUnlisted(id)
		return
	}
	var d instanceDocument
	if err := json.Unmarshal(r.Value, &d); err != nil {
		event.EntryIgnored.Log(e.log, slog.String("instance", r.Key), slog.Any("error", err))
		return
	}
	e.state.messenger.MarkListed(id, d.DataCentre, d.SlowLink, now)
}
