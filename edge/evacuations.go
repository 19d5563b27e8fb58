package edge

import (
	"log/slog"
	"slices"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/platform"
	"foxtailspoke/replica"
)

// evacuationRows returns the rows of the configuration table that evacuate data
// centres. They are few and small enough to be part of every update.
func (e *Edge) evacuationRows() []replica.Row {
	var rows []replica.Row
	for _, r := range e.state.config.Rows() {
		if _, ok := platform.EvacuatedDataCentre(r.Key); ok {
			rows = append(rows, r)
		}
	}
	return rows
}

// applyEvacuationRows applies the evacuations in the local copy of the
// configuration table.
func (e *Edge) applyEvacuationRows(now time.Duration) {
	at, known := e.state.config.Position()
	if known {
		e.setEvacuations(at, evacuatedDataCentres(e.evacuationRows()), now)
	}
}

// applyUpdateEvacuations applies the evacuations of a table update, whether or
// not this instance has the configuration of that version. It returns the rows
// that bring the local copy to the same state.
func (e *Edge) applyUpdateEvacuations(n evidence.TableUpdate, rows []evidence.Row, now time.Duration) []evidence.Row {
	listed := make(map[string]bool, len(rows))
	var dataCentres []string
	for _, r := range rows {
		if dc, ok := platform.EvacuatedDataCentre(r.Key); ok {
			dataCentres = append(dataCentres, dc)
			listed[r.Key] = true
		}
	}
	e.setEvacuations(replica.Position{Era: n.Era, Version: n.Version}, dataCentres, now)
	for _, r := range e.evacuationRows() {
		if !listed[r.Key] {
			rows = append(rows, evidence.Row{Key: r.Key, Deleted: true})
		}
	}
	return rows
}

// setEvacuations replaces the set of evacuated data centres. After a restore of
// the store the earlier ones are kept for a while: the store may have lost
// them.
func (e *Edge) setEvacuations(at replica.Position, dataCentres []string, now time.Duration) {
	s := &e.state
	if now < s.restoredUntil {
		dataCentres = append(dataCentres, s.evacuations.List()...)
	}
	begun, ended := s.evacuations.Replace(at, dataCentres)
	if len(begun) == 0 && len(ended) == 0 {
		return
	}
	s.placer.UpdateEvacuations(begun, ended, now)
	for _, dc := range begun {
		event.EvacuationStarted.Log(e.log, slog.String("evacuated", dc), slog.Uint64("table_version", at.Version))
	}
	for _, dc := range ended {
		event.EvacuationEnded.Log(e.log, slog.String("evacuated", dc), slog.Uint64("table_version", at.Version))
	}
}

func evacuatedDataCentres(rows []replica.Row) []string {
	var dataCentres []string
	for _, r := range rows {
		if dc, ok := platform.EvacuatedDataCentre(r.Key); ok {
			dataCentres = append(dataCentres, dc)
		}
	}
	return dataCentres
}

// updateLimiterInstances passes the instances of the fleet, reachable or not,
// to the limiters of cold and rate-limited servers. It does nothing until the
// list of instances has been read: an instance that has just started would
// otherwise take the shares of all others.
func (e *Edge) updateLimiterInstances() {
	s := &e.state
	if _, known := s.instances.Version(); !known {
		return
	}
	ids := make([]uint32, 0, len(s.messenger.Fleet().All()))
	for id := range s.messenger.Fleet().All() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	if s.holders == nil || !slices.Equal(ids, s.holders) {
		s.holders = ids
		s.limiter.SetInstances(ids)
		s.throttle.SetInstances(ids)
	}
}
