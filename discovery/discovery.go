// Package discovery keeps the list of backend servers as the platform's store
// tells it, and says which of them may get new work.
//
// Idea: a server that says it drains, or whose entry is gone, gets nothing
// more from the moment this instance knows. One case is different: entries
// run out while the store itself is away, and come back once the servers reach
// it again. Dropping them at once would leave whole services without servers
// for seconds after each outage, so absence right after an outage counts only
// after a pause (see Grace).
//
// A store that comes back from a copy lists servers as they were some seconds
// before. What is known of a server is kept until the server itself writes again:
// one that drains or has left must not come back by an old entry.
package discovery

import (
	"sort"
	"time"
)

// RemovalGracePeriod is how long after the store's return a missing entry may still come
// back. The platform promises about two seconds.
const RemovalGracePeriod = 2 * time.Second

// OutageThreshold is the silence of the store after which entries may have run out by
// its fault. Servers write every 1.5 s and entries last three writes; a
// shorter silence can't make a living server's entry run out.
const OutageThreshold = 2 * time.Second

// warmUpJitter is how far the ends of one warm-up may lie apart by what two
// writes of an entry say, since each arrives with another delay. A later end
// means that the server has turned cold again.
const warmUpJitter = time.Second

// leftFor is how long a server that has left is remembered, so that an old entry
// doesn't bring it back. Copies of the store are some seconds old.
const leftFor = time.Minute

// Server is one backend server.
type Server struct {
	ID      string
	Service string
	// Address is "ip:port".
	Address    string
	DataCentre string
	// Slots is how many requests it runs at a time, at least 1.
	Slots int
	// Draining servers finish what they have and get nothing new.
	Draining bool
	// WarmUp is how long it stays slow, counted from the entry's arrival.
	WarmUp time.Duration
	// StartTimeMS is when the server started, in Unix milliseconds. A restart under
	// the same id has a later one.
	StartTimeMS int64
	// Seq counts the writes of its entry since its start; 0 if it doesn't say.
	Seq int64
}

// EqualExceptRenewal reports whether two entries tell the same of a server, the time that
// is left to warm up and the count of writes aside.
func (s Server) EqualExceptRenewal(o Server) bool {
	s.WarmUp, o.WarmUp = 0, 0
	s.Seq, o.Seq = 0, 0
	return s == o
}

// counted reports whether an entry tells which of the server's writes it is. The
// count begins anew with each start, so that it says nothing without that.
func (s Server) counted() bool { return s.StartTimeMS > 0 && s.Seq > 0 }

// olderThan reports whether an entry was written before another one of the same
// server.
func (s Server) olderThan(o Server) bool {
	return s.StartTimeMS < o.StartTimeMS || (s.StartTimeMS == o.StartTimeMS && s.counted() && s.Seq < o.Seq)
}

// Change is what became of one server.
type Change struct {
	Server Server
	// Removed: its entry has left the list.
	Removed bool
	// New: it wasn't known before, or has started again.
	New bool
}

// List is the known servers. It isn't safe for concurrent use.
type List struct {
	servers map[string]Server
	// missing holds when a server that the store no longer lists is dropped.
	missing map[string]time.Duration
	// warm holds when each server that reported a warm-up is warm.
	warm map[string]time.Duration
	// left are the servers that have left, as they were last known.
	left map[string]departed
	// ignored are entries of the store that are older than what is known of their
	// servers.
	ignored map[string]Server
}

// departed is a server that has left.
type departed struct {
	Server
	at time.Duration
}

// NewList returns an empty list.
func NewList() *List {
	return &List{
		servers: make(map[string]Server), missing: make(map[string]time.Duration), warm: make(map[string]time.Duration),
		left: make(map[string]departed), ignored: make(map[string]Server),
	}
}

// PutAfterRestore takes in an entry of a store that came back from a copy. A server that
// has left stays out until it writes again: how often it had written isn't known by
// then, because entries that only renew themselves aren't handed on.
func (l *List) PutAfterRestore(s Server, now time.Duration) (Change, bool) {
	left, ok := l.left[s.ID]
	if ok && now-left.at < leftFor && s.StartTimeMS <= left.StartTimeMS && s.counted() {
		l.ignored[s.ID] = s
		return Change{}, false
	}
	return l.Put(s, now)
}

// Put takes in an entry. Time alone shortens a warm-up; an entry that differs
// only by that is no change. An entry that was written before the known one is
// ignored: a late write of a process that is gone must not hide its successor.
func (l *List) Put(s Server, now time.Duration) (Change, bool) {
	old, known := l.servers[s.ID]
	if known && s.olderThan(old) {
		l.ignored[s.ID] = s
		return Change{}, false
	}
	if ignored, ok := l.ignored[s.ID]; ok && !known && !ignored.olderThan(s) {
		return Change{}, false
	}
	delete(l.ignored, s.ID)
	delete(l.missing, s.ID)
	delete(l.left, s.ID)
	colder := l.turnsCold(s, now)
	l.servers[s.ID] = s
	if known && old.EqualExceptRenewal(s) && !colder {
		return Change{}, false
	}
	return Change{Server: s, New: !known || s.StartTimeMS != old.StartTimeMS}, true
}

// turnsCold notes the warm-up that an entry reports, and reports whether it is
// another one than was known.
func (l *List) turnsCold(s Server, now time.Duration) bool {
	if s.WarmUp <= 0 {
		return false
	}
	known, end := l.warm[s.ID], now+s.WarmUp
	l.warm[s.ID] = max(known, end)
	return end > known+warmUpJitter
}

// Remove takes in that the store lists a server no longer. Before keepUntil,
// which is Grace after the store's return, its entry may have run out by the
// store's fault: the server is then kept, and dropped by Expire at that time
// unless it is listed again before.
func (l *List) Remove(id string, now, keepUntil time.Duration) (Change, bool) {
	delete(l.ignored, id)
	s, known := l.servers[id]
	if !known {
		return Change{}, false
	}
	if now < keepUntil {
		l.missing[id] = keepUntil
		return Change{}, false
	}
	delete(l.servers, id)
	delete(l.missing, id)
	delete(l.warm, id)
	l.leave(s, now)
	return Change{Server: s, Removed: true}, true
}

// leave remembers a server that has left, and forgets those of long ago.
func (l *List) leave(s Server, now time.Duration) {
	for id, d := range l.left {
		if now-d.at >= leftFor {
			delete(l.left, id)
		}
	}
	l.left[s.ID] = departed{s, now}
}

// DiffersFromStore reports whether the store and this list differ about a server: it is
// no longer listed there and its return waited for, or listed as it was before.
// The next entry has to be handed on, even if it says what the list has.
func (l *List) DiffersFromStore(id string) bool {
	_, missing := l.missing[id]
	_, ignored := l.ignored[id]
	return missing || ignored
}

// Expire drops the servers whose return was waited for in vain.
func (l *List) Expire(now time.Duration) []Change {
	var changes []Change
	for id, at := range l.missing {
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

// Len is the number of known servers.
func (l *List) Len() int { return len(l.servers) }
