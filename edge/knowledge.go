package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/discovery"
	"foxtailspoke/edge/settings"
	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/platform"
	"foxtailspoke/replica"
	"foxtailspoke/routing"
	"foxtailspoke/usage"
)

const (
	// listedEvery is how often whoever asks the store also looks for changes
	// of the list of instances. Instances introduce themselves to each other;
	// the list only finds those that were out of reach then.
	listedEvery = 5 * time.Second
	// maxNoticeRows is the bytes of changed rows that a message may carry; they
	// are packed to about a third. maxNoticeParts is how many messages one
	// answer may take. Above that, some hundred servers changing at once,
	// everybody reads the store.
	maxNoticeRows  = 3000
	maxNoticeParts = 6
	// gapWait is how long an instance that lacks changes waits for the notice
	// that brings them, each of which spans several answers, and gapSpread
	// spreads those that then read the store.
	gapWait   = 550 * time.Millisecond
	gapSpread = 400 * time.Millisecond
	// lostAfter is the age of the newest proof from which the store counts as
	// lost in logs.
	lostAfter = 2 * time.Second
)

// tableNames are the store's names of the tables in notices.
var tableNames = map[evidence.Table]string{
	evidence.Config:    platform.TableConfig,
	evidence.Servers:   platform.TableServers,
	evidence.Instances: platform.TableInstances,
}

func (e *Edge) copyOf(t evidence.Table) *replica.Table {
	switch t {
	case evidence.Config:
		return e.state.config
	case evidence.Servers:
		return e.state.servers
	default:
		return e.state.instances
	}
}

// pollStore asks the store whenever this instance's turn comes.
func (e *Edge) pollStore(ctx context.Context) error {
	for {
		e.mu.Lock()
		wait := e.untilPoll(e.now())
		e.mu.Unlock()
		if wait <= 0 {
			e.pollOnce(ctx)
			continue
		}
		select {
		case <-time.After(wait):
		case <-e.kicked:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Edge) untilPoll(now time.Duration) time.Duration {
	s := &e.state
	due := s.poll.Next(e.rank(), rand.Float64(), now)
	if s.gapEnds > 0 {
		due = min(due, s.gapEnds)
	}
	return due - now
}

// pollOnce asks for the changes of all tables that are due, at the same time.
func (e *Edge) pollOnce(ctx context.Context) {
	e.mu.Lock()
	now := e.now()
	s := &e.state
	missed := s.gapEnds > 0
	s.gapEnds = 0
	s.poll.Attempted(now)
	tables := []evidence.Table{evidence.Config, evidence.Servers}
	if now >= s.nextListed {
		tables = append(tables, evidence.Instances)
	}
	if s.poll.Troubled(now) {
		// Others wait a moment before they ask, instead of all at once.
		e.say(evidence.Message{Notices: []evidence.Notice{{}}}, 1)
	}
	e.mu.Unlock()

	answers := make([]polled, len(tables))
	var wg sync.WaitGroup
	for i, t := range tables {
		wg.Go(func() { answers[i] = e.ask(ctx, t) })
	}
	wg.Wait()

	e.mu.Lock()
	well := e.takePolled(answers)
	e.mu.Unlock()
	if !well && missed {
		// The store turns this instance away; the others have what it lacks.
		e.askPeer(ctx)
	}
	if len(tables) > 2 {
		e.removeGone(ctx)
	}
}

// polled is the store's answer about one table.
type polled struct {
	table  evidence.Table
	since  uint64
	answer replica.Answer
	asked  time.Duration
	err    error
}

// ask reads the changes of a table, or all of it if that isn't possible.
func (e *Edge) ask(ctx context.Context, t evidence.Table) polled {
	e.mu.Lock()
	since, known := e.copyOf(t).Version()
	p := polled{table: t, since: since, asked: e.now()}
	e.mu.Unlock()
	if known {
		p.answer, p.err = e.store.Changes(ctx, tableNames[t], since)
		if !errors.Is(p.err, replica.ErrHistoryGone) {
			return p
		}
	}
	p.answer, p.err = e.store.Read(ctx, tableNames[t])
	return p
}

// takePolled takes in the answers to one poll and tells the others. It reports
// whether all tables were answered.
func (e *Edge) takePolled(answers []polled) (well bool) {
	s := &e.state
	now := e.now()
	var notices []evidence.Notice
	well = true
	for _, p := range answers {
		if p.err != nil {
			well = false
			e.logStoreError(p, now)
			continue
		}
		s.clock.Observe(p.answer.Stamp, now)
		e.noteReturn(p.table, p.answer.Stamp, now)
		changed, _ := e.copyOf(p.table).Apply(p.answer, p.since)
		notices = append(notices, e.notices(p, e.takeRows(p.table, changed, now))...)
		e.prove(p.table, p.answer.Stamp, now)
		if p.table == evidence.Instances {
			s.nextListed = now + listedEvery
		}
	}
	if well {
		s.poll.Succeeded()
	} else {
		s.poll.Failed(now)
		notices = append(notices, evidence.Notice{})
	}
	e.tellNotices(notices)
	return well
}

// tellNotices tells notices with rows in a message each, the others together.
func (e *Edge) tellNotices(notices []evidence.Notice) {
	var together []evidence.Notice
	for _, n := range notices {
		if len(n.Packed) > 0 {
			e.say(evidence.Message{Notices: []evidence.Notice{n}}, 1)
		} else {
			together = append(together, n)
		}
	}
	if len(together) > 0 {
		e.say(evidence.Message{Notices: together}, 1)
	}
}

// notices are what the others are told of an answer: the rows that changed
// anything, not those that only renewed themselves.
func (e *Edge) notices(p polled, changed []replica.Row) []evidence.Notice {
	s := &e.state
	n := evidence.Notice{Table: p.table, Version: p.answer.Version, StampUS: p.answer.Stamp.Microseconds()}
	if p.table == evidence.Config {
		n.Changed = s.configRow
		return []evidence.Notice{n}
	}
	recent := &s.recent[p.table]
	if p.answer.Whole {
		// What was removed before isn't in it.
		recent.Reset()
		n.Since = p.answer.Version
		return []evidence.Notice{n}
	}
	recent.Add(p.since, p.answer.Version, changed)
	parts := recent.Parts(p.answer.Version, maxNoticeRows)
	all, err := packed(n, parts)
	if err != nil || len(parts) > maxNoticeParts {
		// The others notice that they lack something, and read it.
		recent.Reset()
		n.Since = p.answer.Version
		return []evidence.Notice{n}
	}
	return all
}

// packed returns a notice for each part.
func packed(n evidence.Notice, parts []replica.Part) ([]evidence.Notice, error) {
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

// hearNotice takes in what another instance read from the store.
func (e *Edge) hearNotice(n evidence.Notice, now time.Duration) {
	s := &e.state
	if n.StampUS == 0 {
		s.poll.Attempted(now)
		return
	}
	s.clock.Observe(n.Stamp(), now)
	version, known := e.copyOf(n.Table).Version()
	complete := known && version >= n.Since
	if n.Table == evidence.Config {
		complete = known && s.configRow >= n.Changed
		n.Since = version
	}
	if !complete {
		e.missed(n.Table, now)
		return
	}
	rows, err := evidence.Unpack(n.Packed)
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
		e.missed(n.Table, now)
		return
	}
	a := replica.Answer{Version: n.Version, Stamp: n.Stamp()}
	for _, r := range rows {
		a.Rows = append(a.Rows, replica.Row{Key: r.Key, Value: r.Value, Gone: r.Gone, Version: r.Version})
	}
	e.noteReturn(n.Table, n.Stamp(), now)
	changed, _ := e.copyOf(n.Table).Apply(a, n.Since)
	told := e.takeRows(n.Table, changed, now)
	if n.Version > version && n.Table != evidence.Config {
		s.recent[n.Table].Add(version, n.Version, told)
	}
	if n.More {
		return
	}
	e.prove(n.Table, n.Stamp(), now)
	switch n.Table {
	case evidence.Servers:
		s.gapEnds = 0
		s.poll.Yield()
	case evidence.Instances:
		s.nextListed = now + listedEvery
	}
}

// missed has what a notice couldn't bring read from the store.
func (e *Edge) missed(t evidence.Table, now time.Duration) {
	switch t {
	case evidence.Config:
		wake(e.fetches)
	case evidence.Servers:
		if e.state.gapEnds == 0 {
			e.state.gapEnds = now + gapWait + time.Duration(rand.Float64()*float64(gapSpread))
			wake(e.kicked)
		}
	case evidence.Instances:
		e.state.nextListed = 0
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// noteReturn notes that the store is back after an outage. It comes before the
// rows of its first answer: entries that ran out meanwhile are missing there.
func (e *Edge) noteReturn(t evidence.Table, stamp, now time.Duration) {
	s := &e.state
	at := now - s.clock.Age(stamp, now)
	if t == evidence.Servers && s.serversProof > 0 && at-s.serversProof > discovery.Outage {
		s.outageEnd = now
	}
}

// prove notes that the copy of a table was complete at a moment of the
// store's clock.
func (e *Edge) prove(t evidence.Table, stamp, now time.Duration) {
	s := &e.state
	at := now - s.clock.Age(stamp, now)
	switch t {
	case evidence.Config:
		if !s.misread && (stamp > s.configProof || !s.proved) {
			s.configProof = stamp
			s.proved = true
		}
	case evidence.Servers:
		s.serversProof = max(s.serversProof, at)
		s.poll.Proved(now-at, now)
	case evidence.Instances:
	}
}

// keyAge is how old the proof of the configuration in force is.
func (e *Edge) keyAge(now time.Duration) time.Duration {
	if !e.state.proved {
		return 1<<62 - 1
	}
	return e.state.clock.Age(e.state.configProof, now)
}

// takeRows takes in changed rows and returns those that changed anything.
func (e *Edge) takeRows(t evidence.Table, rows []replica.Row, now time.Duration) []replica.Row {
	switch t {
	case evidence.Config:
		for _, r := range rows {
			e.takeConfig(r, now)
		}
		return rows
	case evidence.Servers:
		return e.takeServers(rows, now)
	default:
		for _, r := range rows {
			e.takeInstance(r)
		}
		return rows
	}
}

// takeConfig puts a new configuration in force.
func (e *Edge) takeConfig(r replica.Row, now time.Duration) {
	s := &e.state
	if r.Key != platform.KeyConfig || r.Gone {
		return
	}
	s.configRow = max(s.configRow, r.Version)
	c, err := platform.DecodeConfig(r.Value)
	if err != nil {
		s.misread = true
		event.ConfigRejected.Log(e.log, slog.Any("error", err))
		return
	}
	s.misread = false
	if s.table != nil && c.Version < s.table.Version {
		return
	}
	s.table = routing.NewTable(c)
	for _, w := range s.table.Workspaces() {
		s.usage.SetLimit(workspaceHash(w.Name), e.limitOf(w), now)
	}
	e.conns.setIdle(c.Limits.IdleTimeout)
	event.ConfigInForce.Log(e.log, slog.Uint64("version", uint64(c.Version)),
		slog.Int("routes", len(c.Routes)), slog.Int("workspaces", len(c.Workspaces)))
}

// limitOf is the limit that a workspace is held to.
func (e *Edge) limitOf(w routing.Workspace) usage.Limit {
	b := e.settings.Bounds
	t := usage.Tolerance{Overshoot: b.RateOvershoot, Slack: b.RateSlack, Window: settings.Seconds(b.RateWindowS)}
	return t.Loosen(usage.Limit{Rate: w.Rate, Burst: w.Burst})
}

// takeServers takes in changed entries of backend servers.
func (e *Edge) takeServers(rows []replica.Row, now time.Duration) []replica.Row {
	s := &e.state
	lapsed := s.outageEnd > 0 && now-s.outageEnd < discovery.Grace
	var changed []replica.Row
	for _, r := range rows {
		c, ok := e.serverChange(r, now, lapsed)
		if ok {
			e.applyServer(c, now)
		}
		if ok || r.Gone {
			changed = append(changed, r)
		}
	}
	return changed
}

func (e *Edge) serverChange(r replica.Row, now time.Duration, lapsed bool) (discovery.Change, bool) {
	s := &e.state
	if r.Gone {
		return s.list.Remove(r.Key, now, lapsed)
	}
	entry, err := platform.DecodeServer(r.Key, r.Value)
	if err != nil {
		// An entry that somebody else wrote, or half wrote, names no server.
		if e.budget.Take(now, quietShare) {
			event.EntryIgnored.Log(e.log, slog.String("server", r.Key), slog.Any("error", err))
		}
		return s.list.Remove(r.Key, now, false)
	}
	return s.list.Put(entry)
}

func (e *Edge) applyServer(c discovery.Change, now time.Duration) {
	e.state.placer.Apply(c, now)
	if c.Gone {
		e.pool.Drop(c.Server.Address)
	}
	event.ServerChanged.Log(e.log, slog.String("server", c.Server.ID), slog.String("service", c.Server.Service),
		slog.String("address", c.Server.Address), slog.Bool("draining", c.Server.Draining), slog.Bool("gone", c.Gone))
}

// expireServers drops servers that didn't come back after an outage.
func (e *Edge) expireServers(now time.Duration) {
	for _, c := range e.state.list.Expire(now) {
		e.applyServer(c, now)
	}
}

// instanceDocument is an instance's row in the store.
type instanceDocument struct {
	DataCentre string `json:"dataCentre"`
	SlowLink   bool   `json:"slowLink,omitempty"`
}

func (e *Edge) takeInstance(r replica.Row) {
	id, err := addressNumber(r.Key)
	if id == e.self && r.Gone {
		wake(e.unlisted)
	}
	if err != nil || id == e.self {
		return
	}
	if r.Gone {
		if m, ok := e.state.members[id]; ok {
			m.listed = false
		}
		return
	}
	var d instanceDocument
	if err := json.Unmarshal(r.Value, &d); err != nil {
		event.EntryIgnored.Log(e.log, slog.String("instance", r.Key), slog.Any("error", err))
		return
	}
	e.meet(id)
	m := e.state.members[id]
	m.listed = true
	if m.dataCentre == "" {
		m.dataCentre = d.DataCentre
		m.slow = d.SlowLink
	}
}

// noteStore logs when the store is lost and when it is back.
func (e *Edge) noteStore(now time.Duration) {
	s := &e.state
	age := s.poll.Age(now)
	if lost := age > lostAfter; lost != s.storeLost {
		s.storeLost = lost
		if lost {
			event.PlatformUnavailable.Log(e.log, slog.Duration("age", age))
		} else {
			event.PlatformReturned.Log(e.log, slog.Duration("age", age))
		}
	}
}

func (e *Edge) logStoreError(p polled, now time.Duration) {
	if e.budget.Take(now, quietShare) {
		event.StoreCallFailed.Log(e.log, slog.String("table", tableNames[p.table]),
			slog.Duration("took", now-p.asked), slog.Any("error", p.err))
	}
}
