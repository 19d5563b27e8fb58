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
	// sampleInterval is the time between two notes.
	sampleInterval time.Duration
	samples        []revisionSample
	// expired is the newest revision older than the retention.
	expired storage.Revision
}

type revisionSample struct {
	at       time.Duration
	revision storage.Revision
}

// samplesPerRetention is how many notes cover the retention.
const samplesPerRetention = 64

// NewRetentionTracker returns a horizon that knows of no old claim. Claims become old
// once the instance has run for the retention.
func NewRetentionTracker(retention time.Duration) *RetentionTracker {
	return &RetentionTracker{retention: retention, sampleInterval: retention / samplesPerRetention}
}

// Observe takes the revision of the claims table that a read returned at a time.
func (t *RetentionTracker) Observe(now time.Duration, r storage.Revision) {
	n := len(t.samples)
	if n == 0 || now-t.samples[n-1].at >= t.sampleInterval {
		t.samples = append(t.samples, revisionSample{at: now, revision: r})
	}
}

// ExpiredRevision returns the highest revision whose claims are older than the
// retention, 0 if none is known.
func (t *RetentionTracker) ExpiredRevision(now time.Duration) storage.Revision {
	for len(t.samples) > 0 && now-t.samples[0].at >= t.retention {
		t.expired = max(t.expired, t.samples[0].revision)
		t.samples = t.samples[1:]
	}
	return t.expired
}

// Prune returns a transaction that deletes at most limit of the rows last
// changed at or below a revision, or false if there are none. A row that
// changes in between makes the transaction fail as a whole.
func (c *Claimer) Prune(rows []storage.Row, old storage.Revision, limit int) (storage.Txn, bool) {
	txn := storage.Txn{Attempt: c.attemptID()}
	for _, row := range rows {
		if row.Deleted || row.Revision > old || len(txn.Puts) >= limit {
			continue
		}
		txn.Conditions = append(txn.Conditions, storage.Condition{
			Table: storage.Claims, Key: row.Key, Revision: row.Revision,
		})
		txn.Puts = append(txn.Puts, storage.Put{Table: storage.Claims, Key: row.Key, Delete: true})
	}
	return txn, len(txn.Puts) > 0
}
