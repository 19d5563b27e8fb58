package claim

import (
	"time"

	"foxtailspoke/storage"
)

// RetentionTracker tells which claims are older than a retention, without comparing
// clocks: it notes at which time of the own clock the claims table had which
// revision. The retention must be longer than callers repeat a request: once
// its claim is pruned, a key is free again.
type RetentionTracker struct {
	retention time.Duration
	// every is the time between two notes.
	every time.Duration
	notes []note
	// passed is the newest revision older than the retention.
	passed storage.Revision
}

type note struct {
	at       time.Duration
	revision storage.Revision
}

// notesKept is how many notes cover the retention.
const notesKept = 64

// NewRetentionTracker returns a horizon that knows of no old claim. Claims become old
// once the instance has run for the retention.
func NewRetentionTracker(retention time.Duration) *RetentionTracker {
	return &RetentionTracker{retention: retention, every: retention / notesKept}
}

// Observe takes the revision of the claims table that a read returned at a time.
func (h *RetentionTracker) Observe(now time.Duration, r storage.Revision) {
	n := len(h.notes)
	if n == 0 || now-h.notes[n-1].at >= h.every {
		h.notes = append(h.notes, note{at: now, revision: r})
	}
}

// ExpiredRevision returns the highest revision whose claims are older than the
// retention, 0 if none is known.
func (h *RetentionTracker) ExpiredRevision(now time.Duration) storage.Revision {
	for len(h.notes) > 0 && now-h.notes[0].at >= h.retention {
		h.passed = max(h.passed, h.notes[0].revision)
		h.notes = h.notes[1:]
	}
	return h.passed
}

// Prune returns a transaction that deletes at most limit of the rows last
// changed at or below a revision, or false if there are none. A row that
// changes in between makes the transaction fail as a whole.
func (c *Claimer) Prune(rows []storage.Row, old storage.Revision, limit int) (storage.Txn, bool) {
	t := storage.Txn{Attempt: c.attemptID()}
	for _, row := range rows {
		if row.Deleted || row.Revision > old || len(t.Puts) >= limit {
			continue
		}
		t.Conditions = append(t.Conditions, storage.Condition{
			Table: storage.Claims, Key: row.Key, Revision: row.Revision,
		})
		t.Puts = append(t.Puts, storage.Put{Table: storage.Claims, Key: row.Key, Delete: true})
	}
	return t, len(t.Puts) > 0
}
