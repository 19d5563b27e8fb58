package claim

import (
	"time"

	"foxtailspoke/storage"
)

// RetentionTracker determines which claims are older than a retention period
// without comparing the clocks of instances: it samples the revision of the claims
// table against the local clock. The retention period must exceed the time for
// which callers repeat a request, because the key of a pruned claim can be claimed
// again.
type RetentionTracker struct {
	retention time.Duration
	// sampleInterval is the minimum time between two samples.
	sampleInterval time.Duration
	samples        []revisionSample
	// expired is the highest sampled revision older than the retention period.
	expired storage.Revision
}

type revisionSample struct {
	at       time.Duration
	revision storage.Revision
}

// samplesPerRetention is the number of samples that cover the retention period.
const samplesPerRetention = 64

// NewRetentionTracker returns a tracker without samples. No claim counts as
// expired before the instance has run for the retention period.
func NewRetentionTracker(retention time.Duration) *RetentionTracker {
	return &RetentionTracker{retention: retention, sampleInterval: retention / samplesPerRetention}
}

// Observe records the revision of the claims table that a read returned.
func (t *RetentionTracker) Observe(now time.Duration, r storage.Revision) {
	n := len(t.samples)
	if n == 0 || now-t.samples[n-1].at >= t.sampleInterval {
		t.samples = append(t.samples, revisionSample{at: now, revision: r})
	}
}

// ExpiredRevision returns the highest revision known to be older than the
// retention period, or 0 if there is none.
func (t *RetentionTracker) ExpiredRevision(now time.Duration) storage.Revision {
	for len(t.samples) > 0 && now-t.samples[0].at >= t.retention {
		t.expired = max(t.expired, t.samples[0].revision)
		t.samples = t.samples[1:]
	}
	return t.expired
}

// Prune returns a transaction that deletes at most limit of the rows last changed
// at or below the expired revision, or false if there are none. The whole
// transaction fails if one of these rows changes before it is applied.
func (c *Claimer) Prune(rows []storage.Row, expired storage.Revision, limit int) (storage.Txn, bool) {
	txn := storage.Txn{Attempt: c.attemptID()}
	for _, row := range rows {
		if row.Deleted || row.Revision > expired || len(txn.Puts) >= limit {
			continue
		}
		txn.Conditions = append(txn.Conditions, storage.Condition{
			Table: storage.Claims, Key: row.Key, Revision: row.Revision,
		})
		txn.Puts = append(txn.Puts, storage.Put{Table: storage.Claims, Key: row.Key, Delete: true})
	}
	return txn, len(txn.Puts) > 0
}
