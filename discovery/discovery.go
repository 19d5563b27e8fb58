// Package discovery keeps the list of backend servers read from the platform's
// store and tells which of them may get new requests.
//
// A server that is draining or whose entry was removed gets no new requests as
// soon as this instance learns of it. The exception is a store outage: entries
// expire while the store is unavailable and come back once the servers reach it
// again. Removing those servers at once would leave whole services without
// servers for seconds after each outage, so a missing entry right after an
// outage counts only after RemovalGracePeriod.
//
// A store restored from a backup lists servers as they were some seconds
// before. The known state of a server is kept until the server itself writes
// again: a server that is draining or has left must not come back through an
// old entry.
//
// A server that announces in a response that it is about to stop is draining for the
// rest of its run, whatever its entry: some servers never write that they drain, and
// during a store outage no entry arrives.
package discovery

import (
	"sort"
	"time"
)

// RemovalGracePeriod is how long after the store's return a missing entry may
// still reappear. The platform promises about two seconds.
const RemovalGracePeriod = 2 * time.Second

// OutageThreshold is the time without a response of the store after which
// entries may have expired because of the outage. Servers write every 1.5 s and
// entries last for three writes, so a shorter outage cannot make the entry of a
// running server expire.
const OutageThreshold = 2 * time.Second

// warmUpJitter is how far the ends of one warm-up computed from two writes of
// an entry may differ, since each write arrives with a different delay. A later
// end means that the server has become cold again.
const warmUpJitter = time.Second

// departedRetention is how long a removed server is remembered, so that an old
// entry does not bring it back. Backups of the store are some seconds old.
const departedRetention = time.Minute

// leavingRetention is how long the announcement of a server that it is about to stop
// is kept after its entry was removed.
const leavingRetention = 10 * time.Minute

// Server is a backend server.
type Server struct {
	ID      string
	Service string
	// Address is "ip:port".
	Address    string
	DataCentre string
	// Slots is the number of requests it runs concurrently, at least 1.
	Slots int
	// Draining servers finish their requests and get no new ones.
	Draining bool
	// WarmUp is the remaining warm-up time when the entry arrived.
	WarmUp time.Duration
	// StartTimeMS is when the server started, in Unix milliseconds. A restart
	// under the same id has a later one.
	StartTimeMS int64
	// Seq counts the writes of its entry since its start; 0 if not reported.
	Seq int64
}

// EqualExceptRenewal reports whether two entries describe the same state of a
// server, ignoring the remaining warm-up time and the write count.
func (s Server) EqualExceptRenewal(o Server) bool {
	s.WarmUp, o.WarmUp = 0, 0
	s.Seq, o.Seq = 0, 0
	return s == o
}

// hasWriteCount reports whether an entry tells which write of the server it is.
// The count restarts with the server, so it is meaningful only with a start
// time.
func (s Server) hasWriteCount() bool { return s.StartTimeMS > 0 && s.Seq > 0 }

// olderThan reports whether an entry was written before another one of the same
// server.
func (s Server) olderThan(o Server) bool {
	return s.StartTimeMS < o.StartTimeMS || (s.StartTimeMS == o.StartTimeMS && s.hasWriteCount() && s.Seq < o.Seq)
}

// Change is a change to one server.
type Change struct {
	Server Server
	// Removed means that its entry was removed from the list.
	Removed bool
	// New means that the server was not known before or has restarted.
	New bool
}

// List is the list of known servers. It is not safe for concurrent use.
type List struct {
	// servers has the entries as written.
	servers map[string]Server
	// removalDue holds when a server that the store no longer lists is removed.
	removalDue map[string]time.Duration
	// warmUpEnd holds when the warm-up of each server that reported one ends.
	warmUpEnd map[string]time.Duration
	// departed holds removed servers with their last known state.
	departed map[string]departedServer
	// staleEntries holds entries of the store that are older than the known
	// state of their servers.
	staleEntries map[string]Server
	// leaving holds the servers that announced in a response that they are about to
	// stop.
	leaving map[string]leavingRun
}

// departedServer is a removed server with the time of its removal.
type departedServer struct {
	Server
	at time.Duration
}

// leavingRun is the run of a server that announced at the given time that it is about
// to stop.
type leavingRun struct {
	startTimeMS int64
	at          time.Duration
}

func NewList() *List {
	return &List{
		servers: make(map[string]Server), removalDue: make(map[string]time.Duration), warmUpEnd: make(map[string]time.Duration),
		departed: make(map[string]departedServer), staleEntries: make(map[string]Server),
		leaving: make(map[string]leavingRun),
	}
}

// PutAfterRestore applies an entry of a store that was restored from a backup.
// A removed server stays out until it writes again: the last known write count
// is not exact, because entries that are only renewed are not forwarded to
// other instances.
func (l *List) PutAfterRestore(s Server, now time.Duration) (Change, bool) {
	last, ok := l.departed[s.ID]
	if ok && now-last.at < departedRetention && s.StartTimeMS <= last.StartTimeMS && s.hasWriteCount() {
		l.staleEntries[s.ID] = s
		return Change{}, false
	}
	return l.Put(s, now)
}

// Put applies an entry and reports whether it is a change. A warm-up that is
// shorter only because time has passed is none. An entry that was written
// before the known one is ignored: a late write of a former process must not
// overwrite the state of its successor.
func (l *List) Put(s Server, now time.Duration) (Change, bool) {
	old, known := l.servers[s.ID]
	if known && s.olderThan(old) {
		l.staleEntries[s.ID] = s
		return Change{}, false
	}
	if stale, ok := l.staleEntries[s.ID]; ok && !known && !stale.olderThan(s) {
		return Change{}, false
	}
	delete(l.staleEntries, s.ID)
	delete(l.removalDue, s.ID)
	delete(l.departed, s.ID)
	newWarmUp := l.recordWarmUp(s, now)
	l.servers[s.ID] = s
	if known && old.EqualExceptRenewal(s) && !newWarmUp {
		return Change{}, false
	}
	return Change{Server: l.withLeaving(s), New: !known || s.StartTimeMS != old.StartTimeMS}, true
}

// MarkLeaving applies that a server announced in a response that it is about to stop.
// It reports whether that is a change of its state.
func (l *List) MarkLeaving(id string, startTimeMS int64, now time.Duration) (Change, bool) {
	l.forgetLeft(now)
	s, known := l.servers[id]
	before := l.withLeaving(s)
	l.leaving[id] = leavingRun{max(startTimeMS, l.leaving[id].startTimeMS), now}
	after := l.withLeaving(s)
	return Change{Server: after}, known && after != before
}

// withLeaving returns a server's entry, draining if the server announced in a response
// of this run that it is about to stop.
//
// The list itself keeps entries as the store has them. The change of an entry to
// draining would otherwise go unnoticed, and not be forwarded to other instances.
func (l *List) withLeaving(s Server) Server {
	run, ok := l.leaving[s.ID]
	s.Draining = s.Draining || ok && s.StartTimeMS <= run.startTimeMS
	return s
}

// forgetLeft drops the announcements of servers that are no longer listed.
func (l *List) forgetLeft(now time.Duration) {
	for id, run := range l.leaving {
		if _, listed := l.servers[id]; !listed && now-run.at >= leavingRetention {
			delete(l.leaving, id)
		}
	}
}

// recordWarmUp stores the end of the warm-up that an entry reports, and reports
// whether it is a new warm-up.
func (l *List) recordWarmUp(s Server, now time.Duration) bool {
	if s.WarmUp <= 0 {
		return false
	}
	known, end := l.warmUpEnd[s.ID], now+s.WarmUp
	l.warmUpEnd[s.ID] = max(known, end)
	return end > known+warmUpJitter
}

// Remove applies that the store no longer lists a server. Until keepUntil,
// which is RemovalGracePeriod after the store's return, its entry may have
// expired because of the outage: the server is kept, and Expire removes it at
// that time unless it is listed again before.
func (l *List) Remove(id string, now, keepUntil time.Duration) (Change, bool) {
	delete(l.staleEntries, id)
	s, known := l.servers[id]
	if !known {
		return Change{}, false
	}
	if now < keepUntil {
		l.removalDue[id] = keepUntil
		return Change{}, false
	}
	delete(l.servers, id)
	delete(l.removalDue, id)
	delete(l.warmUpEnd, id)
	l.recordDeparture(s, now)
	return Change{Server: s, Removed: true}, true
}

// recordDeparture remembers a removed server and forgets those past
// departedRetention.
func (l *List) recordDeparture(s Server, now time.Duration) {
	for id, d := range l.departed {
		if now-d.at >= departedRetention {
			delete(l.departed, id)
		}
	}
	l.departed[s.ID] = departedServer{s, now}
}

// DiffersFromStore reports whether the store and this list differ about a
// server: it is missing in the store and kept for now, or the store lists an
// older state. The next entry must then be forwarded even if it matches the
// list.
func (l *List) DiffersFromStore(id string) bool {
	_, missing := l.removalDue[id]
	_, stale := l.staleEntries[id]
	return missing || stale
}

// Expire removes the servers whose entries did not reappear in time.
func (l *List) Expire(now time.Duration) []Change {
	var changes []Change
	for id, at := range l.removalDue {
		if now < at {
			continue
		}
		if c, ok := l.Remove(id, now, now); ok {
			changes = append(changes, c)
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Server.ID < changes[j].Server.ID })
	return changes
}

// IDs returns the ids of all known servers.
func (l *List) IDs() []string {
	ids := make([]string, 0, len(l.servers))
	for id := range l.servers {
		ids = append(ids, id)
	}
	return ids
}

// Get returns a server by its id.
func (l *List) Get(id string) (Server, bool) {
	s, ok := l.servers[id]
	return s, ok
}

// Len returns the number of known servers.
func (l *List) Len() int { return len(l.servers) }
