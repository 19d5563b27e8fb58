package edge

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/replica"
)

const (
	// maxNoticeRowBytes is the bytes of changed rows that a message may carry; they
	// are packed to about a third. maxNoticeParts is how many messages one
	// answer may take. Above that, some hundred servers changing at once, the
	// readers of each data centre read the store and the others ask them.
	maxNoticeRowBytes  = 3000
	maxNoticeParts = 6
	// gapNoticeWait is how long an instance that lacks changes waits for the notice
	// that brings them, each of which spans several answers, and gapSpread
	// spreads those that then read the store.
	gapNoticeWait   = 550 * time.Millisecond
	gapJitter = 400 * time.Millisecond
)

// publishNotices tells notices with rows in a message each, the others together.
func (e *Edge) publishNotices(notices []evidence.Notice) {
	var together []evidence.Notice
	for _, n := range notices {
		if len(n.Packed) > 0 {
			e.publish(evidence.Message{Notices: []evidence.Notice{n}}, false)
		} else {
			together = append(together, n)
		}
	}
	if len(together) > 0 {
		e.publish(evidence.Message{Notices: together}, false)
	}
}

// noticesFor are what the others are told of an answer: the rows that changed
// anything, not those that only renewed themselves.
func (e *Edge) noticesFor(p readResult, changed []replica.Row) []evidence.Notice {
	s := &e.state
	n := evidence.Notice{
		Table: p.table, Era: p.answer.Era, Version: p.answer.Version, StampUS: p.answer.Stamp.Microseconds(),
	}
	if p.table == evidence.Config {
		n.Changed = e.configRowPoint().Version
		return e.noticesWithEvacuations(n)
	}
	recent := &s.recent[p.table]
	if p.answer.Whole {
		// What was removed before isn't in it.
		recent.Reset()
		n.Since = p.answer.Version
		return []evidence.Notice{n}
	}
	recent.Add(p.since, p.answer.Version, changed)
	parts := recent.Parts(p.answer.Version, maxNoticeRowBytes)
	all, err := packNotices(n, parts)
	if err != nil || len(parts) > maxNoticeParts {
		// The others notice that they lack something, and read it.
		recent.Reset()
		n.Since = p.answer.Version
		return []evidence.Notice{n}
	}
	return all
}

// noticesWithEvacuations adds the rows that evacuate data centres to a notice of the
// configuration's table.
func (e *Edge) noticesWithEvacuations(n evidence.Notice) []evidence.Notice {
	parts := []replica.Part{{Since: n.Since, Version: n.Version, Rows: e.evacuationRows()}}
	all, err := packNotices(n, parts)
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
		return nil
	}
	return all
}

// packNotices returns a notice for each part.
func packNotices(n evidence.Notice, parts []replica.Part) ([]evidence.Notice, error) {
	var all []evidence.Notice
	for i, part := range parts {
		n.Since, n.Version, n.More = part.Since, part.Version, i < len(parts)-1
		rows := make([]evidence.Row, 0, len(part.Rows))
		for _, r := range part.Rows {
			rows = append(rows, evidence.Row{Key: r.Key, Value: r.Value, Gone: r.Gone, Version: r.Version})
		}
		var err error
		if n.Packed, err = evidence.Pack(rows); err != nil {
			return nil, err
		}
		all = append(all, n)
	}
	return all, nil
}

// applyNotice takes in what another instance read from the store.
func (e *Edge) applyNotice(n evidence.Notice, now time.Duration) {
	s := &e.state
	if n.StampUS == 0 {
		s.poll.Attempted(now)
		return
	}
	if !e.observeStore(n.Era, n.Stamp(), now) {
		return
	}
	version, _ := e.replicaOf(n.Table).Version()
	complete := e.isCurrentEra(e.replicaOf(n.Table)) && version >= n.Since
	rows, err := evidence.Unpack(n.Packed)
	if n.Table == evidence.Config {
		changed := replica.Point{Era: n.Era, Version: n.Changed}
		s.configTold = laterPoint(s.configTold, changed)
		complete = e.isCurrentEra(s.config) && !e.configRowPoint().Before(changed)
		n.Since = version
		if err == nil {
			rows = e.applyNoticeEvacuations(n, rows, now)
		}
	}
	if n.Table == evidence.Servers {
		s.serversTold = laterPoint(s.serversTold, replica.Point{Era: n.Era, Version: n.Version})
	}
	if !complete {
		e.scheduleCatchUp(n.Table, now)
		return
	}
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
		e.scheduleCatchUp(n.Table, now)
		return
	}
	a := replica.Answer{Era: n.Era, Version: n.Version, Stamp: n.Stamp()}
	for _, r := range rows {
		a.Rows = append(a.Rows, replica.Row{Key: r.Key, Value: r.Value, Gone: r.Gone, Version: r.Version})
	}
	e.recordOutageEnd(n.Table, n.Stamp(), now)
	told, _ := e.applyAnswer(n.Table, a, n.Since, now)
	if n.Version > version && n.Table != evidence.Config {
		s.recent[n.Table].Add(version, n.Version, told)
	}
	if n.More {
		return
	}
	e.recordProof(n.Table, n.Stamp(), now)
	switch n.Table {
	case evidence.Servers:
		s.gapEnds = 0
		s.poll.Yield()
	case evidence.Instances:
		s.nextListed = now + instancesReadInterval
	}
}

// scheduleCatchUp has what a notice couldn't bring fetched from a reader or the store.
func (e *Edge) scheduleCatchUp(t evidence.Table, now time.Duration) {
	switch t {
	case evidence.Config:
		wake(e.fetches)
	case evidence.Servers:
		if e.state.gapEnds > 0 {
			return
		}
		e.state.gapEnds = now + e.gapDelay()
		wake(e.kicked)
	case evidence.Instances:
		e.state.nextListed = 0
	}
}

// gapDelay is how long to wait before changes that were missed are fetched. Notices to
// come may bring them, but not to an instance that knows no server of this era. Its
// readers go first there, so that the others find what they lack.
func (e *Edge) gapDelay() time.Duration {
	spread := time.Duration(rand.Float64() * float64(gapJitter))
	switch {
	case e.isCurrentEra(e.state.servers):
		return spread + gapNoticeWait
	case slices.Contains(e.readers(), e.self):
		return 0
	default:
		return spread
	}
}

func laterPoint(a, b replica.Point) replica.Point {
	if a.Before(b) {
		return b
	}
	return a
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
