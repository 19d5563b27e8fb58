package edge

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"time"

	"foxtailspoke/discovery"
	"foxtailspoke/edge/settings"
	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/freshness"
	"foxtailspoke/mechanism"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
	"foxtailspoke/replica"
	"foxtailspoke/routing"
	"foxtailspoke/usage"
)

// applyRows applies the changed rows of a read and returns those that must be
// forwarded to other instances. restored reports that it is the first read after
// the store was restored from a backup.
func (e *Edge) applyRows(t evidence.Table, a replica.ReadResult, rows []replica.Row, restored bool, now time.Duration) []replica.Row {
	switch t {
	case evidence.Config:
		for _, r := range rows {
			if newest, ok := e.state.config.Row(r.Key); !ok || newest.Version <= r.Version {
				e.applyConfig(r, a, now)
			}
		}
		e.applyEvacuationRows(now)
		return rows
	case evidence.Servers:
		return e.applyServerRows(rows, restored, now)
	default:
		for _, r := range rows {
			if restored && r.Gone {
				// The row may have been written after the backup was taken. The
				// readers write it again.
				continue
			}
			e.applyInstanceRow(r, now)
		}
		return rows
	}
}

// applyConfig decodes the configuration row of a read and activates it, unless
// it is older than the active one.
func (e *Edge) applyConfig(r replica.Row, a replica.ReadResult, now time.Duration) {
	s := &e.state
	if r.Key != platform.KeyConfig {
		return
	}
	if r.Gone {
		e.retainConfigRow(0)
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
		e.retainConfigRow(r.Version)
		return
	}
	s.table, s.configInForce = routing.NewTable(c), r.Value
	for _, w := range s.table.Workspaces() {
		s.usage.SetLimit(workspaceHash(w.Name), e.workspaceLimit(w), now)
	}
	for _, service := range c.Services {
		s.placer.SetWarmUp(service.Name, placement.WarmUp{Duration: service.WarmUp, Rate: service.WarmUpRate})
	}
	if c.Limits.IdleTimeout > 0 {
		e.callerServer.SetIdleTimeout(c.Limits.IdleTimeout)
	}
	e.applyHeaderLimits(c.Limits)
	event.ConfigInForce.Log(e.log, slog.Uint64("version", uint64(c.Version)),
		slog.Int("routes", len(c.Routes)), slog.Int("workspaces", len(c.Workspaces)),
		slog.String("source", cmp.Or(a.Source, "store")), ageAttr(e.readAge(a, now)), e.announcedAttr(r.Version, now))
}

// readAge returns how long ago the store made the response that a result came
// from.
func (e *Edge) readAge(a replica.ReadResult, now time.Duration) time.Duration {
	if a.StoreTime == 0 {
		return freshness.UnknownAge
	}
	return e.state.clock.Age(a.StoreTime, now)
}

// announcedAttr returns the log attribute of the time since another instance
// announced a version of the configuration row, or an empty one if none did.
func (e *Edge) announcedAttr(version uint64, now time.Duration) slog.Attr {
	a := &e.state.announced[evidence.Config]
	if a.At == 0 || a.Version != version {
		return slog.Attr{}
	}
	return slog.Int64("announced_ms", (now - a.At).Milliseconds())
}

// retainConfigRow stores the active configuration in the local copy of the
// table, in place of an older row with the given version, so that instances
// that start later receive the active one.
func (e *Edge) retainConfigRow(version uint64) {
	if e.state.configInForce != nil {
		e.state.config.ApplyOwnWrite(replica.Row{Key: platform.KeyConfig, Value: e.state.configInForce, Version: version})
	}
}

// workspaceLimit returns the rate limit that is enforced for a workspace.
func (e *Edge) workspaceLimit(w routing.Workspace) usage.Limit {
	if !e.mechanisms.Enabled(mechanism.RateTolerance) {
		return usage.StrictLimit(w.Rate, w.Burst)
	}
	b := e.settings.Bounds
	t := usage.Tolerance{Overshoot: b.RateOvershoot, Slack: b.RateSlack, Window: settings.Seconds(b.RateWindowS)}
	return t.Loosen(usage.StrictLimit(w.Rate, w.Burst))
}

// applyServerRows applies changed entries of backend servers and returns those
// that must be forwarded to other instances: all except mere renewals. An entry
// that expired during a store outage and reappeared unchanged is forwarded too.
// Otherwise the other instances would drop a live server, and one of them that
// later read its removal would have no entry to remove and would not forward
// it.
func (e *Edge) applyServerRows(rows []replica.Row, restored bool, now time.Duration) []replica.Row {
	s := &e.state
	var keepUntil time.Duration
	if s.outageEnd > 0 {
		keepUntil = s.outageEnd + discovery.RemovalGracePeriod
	}
	var changed []replica.Row
	for _, r := range rows {
		differed := s.serverList.DiffersFromStore(r.Key)
		c, ok := e.updateServerList(r, restored, now, keepUntil)
		if ok {
			e.applyServerChange(c, now)
		}
		if ok || r.Gone || differed {
			changed = append(changed, r)
		}
	}
	return changed
}

// updateServerList applies one row of the server table to the list of servers.
// It reports false if the list didn't change. Servers that disappeared during
// an outage are kept until keepUntil.
func (e *Edge) updateServerList(r replica.Row, restored bool, now, keepUntil time.Duration) (discovery.Change, bool) {
	s := &e.state
	if r.Gone {
		return s.serverList.Remove(r.Key, now, keepUntil)
	}
	entry, err := platform.DecodeServer(r.Key, r.Value)
	if err != nil {
		// An entry that can't be decoded names no server.
		if e.budget.Allow(now, routineLogShare) {
			event.EntryIgnored.Log(e.log, slog.String("server", r.Key), slog.Any("error", err))
		}
		return s.serverList.Remove(r.Key, now, now)
	}
	if restored {
		return s.serverList.PutAfterRestore(entry, now)
	}
	return s.serverList.Put(entry, now)
}

// applyServerChange passes a change of the server list to the placer and the
// connection pool.
func (e *Edge) applyServerChange(c discovery.Change, now time.Duration) {
	if c.Removed || c.New {
		e.recordFormerRunEnd(c, now)
	}
	e.state.placer.Apply(c, now)
	if c.Removed {
		e.pool.CloseIdle(c.Server.Address)
	} else {
		e.countStrayRetriesOf(c.Server, now)
	}
	event.ServerChanged.Log(e.log, slog.String("server", c.Server.ID), slog.String("service", c.Server.Service),
		slog.String("address", c.Server.Address), slog.Bool("draining", c.Server.Draining), slog.Bool("gone", c.Removed),
		slog.Int64("warm_up_ms", c.Server.WarmUp.Milliseconds()))
}

// expireServers removes servers whose entries did not reappear after a store
// outage.
func (e *Edge) expireServers(now time.Duration) {
	for _, c := range e.state.serverList.Expire(now) {
		e.applyServerChange(c, now)
	}
}

// instanceDocument is the value of an instance's row in the store.
type instanceDocument struct {
	DataCentre string `json:"dataCentre"`
	SlowLink   bool   `json:"slowLink,omitempty"`
}

// applyInstanceRow applies one row of the instance table; this instance's own
// row is ignored.
func (e *Edge) applyInstanceRow(r replica.Row, now time.Duration) {
	if e.applySuspectRow(r, now) {
		return
	}
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
