// Package quarantine withholds requests under which backend servers end.
//
// Load pattern: the process of each server that works on a certain request ends. Its caller
// repeats the request at once, at any instance, and each time another server ends. At other
// times servers end for reasons of their own, with several requests at work on each, and
// their callers repeat these in the same way.
//
// Approach: requests are distinguished by a fingerprint of what the server sees. An end is
// recorded for each request that was at work on a server when its process is known to end;
// a connection that breaks off doesn't suffice, as servers reset connections and live on.
// Instances report the ends to each other. After maxEnds of them without a response in
// between, the request is withheld for some time, which doubles with each further end. An
// instance that may lack ends that others have recorded, as it has just started or is partitioned,
// withholds requests after one. Ends of servers that held many bytes in several requests aren't
// recorded: package memory decides on these.
//
// Trade-off: a request that meets maxEnds servers which end for other reasons is withheld,
// too. A response to any request of the fingerprint acquits it, so that requests which many
// callers send are withheld for moments only; requests that end only some servers and that
// others serve are therefore withheld late.
//
// The package does no I/O and reads no clock: time is passed in.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxEnds is the number of servers that may end under a request before it is withheld.
	// The platform tolerates three: one is left for an instance that hasn't received the reports.
	maxEnds = 2
	// maxEndsUninformed is that number while an instance may lack ends that others have recorded.
	maxEndsUninformed = 1
	// baseHold is the time for which a request is withheld after its last end, maxHold the
	// longest.
	baseHold = time.Minute
	maxHold  = 16 * time.Minute
	// informedAfter is the time after its start at which an instance that could adopt nothing
	// counts as informed: callers have given up their retries by then.
	informedAfter = 10 * time.Second
	// interruptionRetention is the time within which a server whose connection broke off
	// proves to have ended: its entry disappears after three missing heartbeats.
	interruptionRetention = 6 * time.Second
	// maxRecords and maxInterruptions bound the memory, also under a flood of different
	// requests; maxEndsKept bounds the ends of a record.
	maxRecords       = 1024
	maxInterruptions = 256
	maxEndsKept      = 8
)

// ServerRun is the hash of a backend server's id and start time.
type ServerRun uint32

// Tracker holds the requests under which servers ended, as known to one instance. It isn't
// safe for concurrent use.
type Tracker struct {
	records map[Fingerprint]*record
	// interruptions has the attempts without a response whose server isn't known to have
	// ended, the oldest first.
	interruptions []interruption
	// knownSince is the time since which the reports of other instances were received.
	knownSince time.Duration
}

// record is what is known of a request.
type record struct {
	// ends has the time of each end by server run, since the request was last served.
	ends map[ServerRun]time.Duration
	// servedAt is when it was last served, never if it wasn't.
	servedAt time.Duration
	lastEnd  time.Duration
	// changedAt is when this instance last changed the record by its own observation.
	changedAt time.Duration
}

const never = -time.Hour

// interruption is an attempt without a response.
type interruption struct {
	request Fingerprint
	run     ServerRun
	// broken means that the connection broke off, otherwise the attempt timed out.
	broken bool
	at     time.Duration
}

// NewTracker returns a tracker of an instance that starts now. If it is the first start of the
// whole fleet, there is nothing to adopt.
func NewTracker(firstStart bool, now time.Duration) *Tracker {
	t := &Tracker{records: make(map[Fingerprint]*record), knownSince: now}
	if firstStart {
		t.knownSince = never
	}
	return t
}

// Empty reports whether no request is recorded, so that all may be sent.
func (t *Tracker) Empty() bool { return len(t.records) == 0 }

// Expire drops the records that no longer matter.
func (t *Tracker) Expire(now time.Duration) {
	for f, r := range t.records {
		if now-max(r.lastEnd, r.servedAt) > 2*r.hold() {
			delete(t.records, f)
		}
	}
}

// Informed reports whether this instance knows the ends that others have observed. The
// parameter connected reports that heartbeats of the other instances arrive in time.
func (t *Tracker) Informed(connected bool, now time.Duration) bool {
	return connected && now-t.knownSince >= informedAfter
}

// Withheld reports whether a request must not be sent, and for how long.
func (t *Tracker) Withheld(f Fingerprint, informed bool, now time.Duration) (time.Duration, bool) {
	r, known := t.records[f]
	if !known {
		return 0, false
	}
	limit := maxEnds
	if !informed {
		limit = maxEndsUninformed
	}
	if len(r.ends) < limit {
		return 0, false
	}
	left := r.lastEnd + r.hold() - now
	if len(r.ends) < maxEnds {
		left = min(left, r.lastEnd+informedAfter-now)
	}
	return left, left > 0
}

// WithheldCount returns the number of requests that are withheld.
func (t *Tracker) WithheldCount(informed bool, now time.Duration) (n int) {
	for f := range t.records {
		if _, withheld := t.Withheld(f, informed, now); withheld {
			n++
		}
	}
	return n
}

// hold returns the time for which the request is withheld after its last end.
func (r *record) hold() time.Duration {
	hold := baseHold
	for range len(r.ends) - maxEnds {
		hold = min(2*hold, maxHold)
	}
	return hold
}

// RecordEnd records that a server ended while it worked on a request. It returns the number
// of servers that ended under the request, and reports whether this end is new.
func (t *Tracker) RecordEnd(f Fingerprint, run ServerRun, now time.Duration) (ends int, isNew bool) {
	r := t.record(f)
	isNew = r.add(run, now)
	r.changedAt = now
	return len(r.ends), isNew
}

// add adds an end and reports whether it is new. Of too many ends the oldest is dropped.
func (r *record) add(run ServerRun, at time.Duration) bool {
	if _, known := r.ends[run]; known || at <= r.servedAt {
		return false
	}
	if len(r.ends) >= maxEndsKept {
		oldest := r.oldestEnd()
		if at <= r.ends[oldest] {
			return false
		}
		delete(r.ends, oldest)
	}
	r.ends[run] = at
	r.lastEnd = max(r.lastEnd, at)
	return true
}

func (r *record) oldestEnd() (oldest ServerRun) {
	for run, at := range r.ends {
		o, found := r.ends[oldest]
		if !found || cmp.Or(cmp.Compare(at, o), cmp.Compare(run, oldest)) < 0 {
			oldest = run
		}
	}
	return oldest
}

// RecordServed acquits a request: a server has responded to it. It reports whether that
// changes what is known.
func (t *Tracker) RecordServed(f Fingerprint, now time.Duration) bool {
	r, known := t.records[f]
	if !known || len(r.ends) == 0 {
		return false
	}
	r.acquit(now)
	r.changedAt = now
	return true
}

// acquit drops the ends until the time at which the request was served.
func (r *record) acquit(servedAt time.Duration) {
	r.servedAt = max(r.servedAt, servedAt)
	for run, at := range r.ends {
		if at <= r.servedAt {
			delete(r.ends, run)
		}
	}
}

// RecordInterruption records that an attempt got no response: its connection broke off, or
// it timed out.
func (t *Tracker) RecordInterruption(f Fingerprint, run ServerRun, broken bool, now time.Duration) {
	t.dropOldInterruptions(now)
	if len(t.interruptions) >= maxInterruptions {
		t.interruptions = t.interruptions[1:]
	}
	t.interruptions = append(t.interruptions, interruption{f, run, broken, now})
}

// TakeInterrupted returns the requests that got no response of a server shortly before it
// proved to have ended. With brokenOnly, timed-out attempts don't count.
func (t *Tracker) TakeInterrupted(run ServerRun, brokenOnly bool, now time.Duration) (requests []Fingerprint) {
	t.dropOldInterruptions(now)
	t.interruptions = slices.DeleteFunc(t.interruptions, func(i interruption) bool {
		if i.run == run && (i.broken || !brokenOnly) {
			requests = append(requests, i.request)
		}
		return i.run == run
	})
	return requests
}

func (t *Tracker) dropOldInterruptions(now time.Duration) {
	recent := slices.IndexFunc(t.interruptions, func(i interruption) bool { return now-i.at < interruptionRetention })
	if recent < 0 {
		recent = len(t.interruptions)
	}
	t.interruptions = t.interruptions[recent:]
}

// record returns the record of a request, and adds it if there is none.
func (t *Tracker) record(f Fingerprint) *record {
	r, known := t.records[f]
	if known {
		return r
	}
	t.makeRoom()
	r = &record{ends: make(map[ServerRun]time.Duration), servedAt: never, lastEnd: never, changedAt: never}
	t.records[f] = r
	return r
}

// makeRoom drops the record with the fewest and oldest ends if there are too many.
func (t *Tracker) makeRoom() {
	if len(t.records) < maxRecords {
		return
	}
	var least Fingerprint
	for f, r := range t.records {
		l := t.records[least]
		if l == nil || cmp.Or(cmp.Compare(len(r.ends), len(l.ends)), cmp.Compare(r.lastEnd, l.lastEnd), cmp.Compare(f, least)) < 0 {
			least = f
		}
	}
	delete(t.records, least)
}
