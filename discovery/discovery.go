// Package discovery keeps the list of backend servers as the platform's store
// tells it, and says which of them may get new work.
//
// Idea: a server that says it drains, or whose entry is gone, gets nothing
// more from the moment this instance knows. One case is different: entries
// run out while the store itself is away, and come back once the servers reach
// it again. Dropping them at once would leave whole services without servers
// for seconds after each outage, so absence right after an outage counts only
// after a pause (see Grace).
package discovery

import (
	"sort"
	"time"
)

// Grace is how long after the store's return a missing entry may still come
// back. The platform promises about two seconds.
const Grace = 2 * time.Second

// Outage is the silence of the store after which entries may have run out by
// its fault. Servers write every 1.5 s and entries last three writes; a
// shorter silence can't make a living server's entry run out.
const Outage = 2 * time.Second

// warmUpJitter is how far the ends of one warm-up may lie apart by what two
// writes of an entry say, since each arrives with another delay. A later end
// means that the server has turned cold again.
const warmUpJitter = time.Second

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
	// Born is when the server started, in Unix milliseconds. A restart under
	// the same id has a later one.
	Born int64
}

// Same reports whether two entries tell the same of a server, the time that
// is left to warm up aside.
func (s Server) Same(o Server) bool {
	s.WarmUp, o.WarmUp = 0, 0
	return s == o
}

// Change is what became of one server.
type Change struct {
	Server Server
	// Gone: its entry has left the list.
	Gone bool
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
}

// NewList returns an empty list.
func NewList() *List {
	return &List{servers: make(map[string]Server), missing: make(map[string]time.Duration), warm: make(map[string]time.Duration)}
}

// Put takes in an entry. Time alone shortens a warm-up; an entry that differs
// only by that is no change. An entry of an earlier start is ignored: a late write
// of a process that is gone must not hide its successor.
func (l *List) Put(s Server, now time.Duration) (Change, bool) {
	old, known := l.servers[s.ID]
	if known && s.Born < old.Born {
		return Change{}, false
	}
	delete(l.missing, s.ID)
	colder := l.turnsCold(s, now)
	if known && old.Same(s) && !colder {
		return Change{}, false
	}
	l.servers[s.ID] = s
	return Change{Server: s, New: !known || s.Born != old.Born}, true
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
	return Change{Server: s, Gone: true}, true
}

// Missing reports whether the store no longer lists a server whose return is
// still waited for.
func (l *List) Missing(id string) bool {
	_, missing := l.missing[id]
	return missing
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
