package decision

import "time"

// BufferSettings configures the capacity and sampling of a Buffer.
type BufferSettings struct {
	// MaxRecords is how many records are kept in memory; 0 means
	// DefaultMaxRecords. A full record takes about one kilobyte.
	MaxRecords int
	// SlowThreshold is the latency from which a served request counts as
	// slow and is kept; 0 means DefaultSlowThreshold.
	SlowThreshold time.Duration
	// SampleEvery keeps one in this many requests that were served fast at
	// the first attempt; 0 keeps none.
	SampleEvery int
	// MaxSimilar is how many refusals of one workspace, service and rule are
	// kept per batch before they are sampled, at first one in
	// SimilarSampleEvery; 0 means DefaultMaxSimilar.
	MaxSimilar int
}

const (
	// DefaultMaxRecords keeps the buffer near 2 MB at the usual record size.
	DefaultMaxRecords    = 4096
	DefaultSlowThreshold = time.Second
	// DefaultMaxSimilar lets DefaultMaxRecords hold the unsampled refusals
	// of 64 floods, each of one workspace, service and rule.
	DefaultMaxSimilar = 64
	// SimilarSampleEvery is the initial sampling of similar refusals beyond
	// MaxSimilar: one in this many is kept. The interval doubles each time
	// this many have been kept.
	SimilarSampleEvery = 16
	// maxSampleDoublings bounds how often the sampling interval doubles.
	maxSampleDoublings = 20
)

// Buffer holds the decision records of one instance in a ring until they are
// stored, and after that until newer records overwrite them. It is not safe for
// concurrent use.
//
// The object store may be unavailable for hours. The oldest records are then
// dropped and counted, so that memory stays bounded and the gap is reported.
type Buffer struct {
	instance string
	settings BufferSettings
	ring     []Record
	// The ring holds the records numbered [first, next).
	first, next uint64
	// firstUnbatched is the number of the first record that is in no batch.
	firstUnbatched uint64
	pending        *UnencodedBatch
	batchCount     uint64
	dropped        uint64
	// droppedReported is the part of dropped that batches have reported.
	droppedReported uint64
	// sinceSample counts the sampled successes since the last kept one.
	sinceSample int
	refusals    map[refusalKey]*refusalCounts
}

// refusalKey identifies a group of similar refusals.
type refusalKey struct {
	workspace, service string
	rule               Rule
}

// refusalCounts counts the similar refusals kept since the last batch, and
// those skipped since the last kept one.
type refusalCounts struct{ kept, skipped int }

// NewBuffer returns an empty buffer for the records of an instance.
func NewBuffer(instance string, s BufferSettings) *Buffer {
	if s.MaxRecords <= 0 {
		s.MaxRecords = DefaultMaxRecords
	}
	if s.SlowThreshold <= 0 {
		s.SlowThreshold = DefaultSlowThreshold
	}
	if s.MaxSimilar <= 0 {
		s.MaxSimilar = DefaultMaxSimilar
	}
	return &Buffer{instance: instance, settings: s, refusals: map[refusalKey]*refusalCounts{}}
}

// Add adds a record of a request that was refused, repeated or slow, and a
// sample of the others. Large numbers of similar refusals are sampled. It
// reports whether the record was kept.
func (b *Buffer) Add(r Record) bool {
	r = r.truncated()
	if !b.selects(r) || b.sampledOut(&r) {
		return false
	}
	if r.Instance == "" {
		r.Instance = b.instance
	}
	if len(b.ring) < b.settings.MaxRecords {
		b.ring = append(b.ring, r)
		b.next++
		return true
	}
	if b.first >= b.firstUnbatched {
		b.dropped++
		b.firstUnbatched = b.first + 1
	}
	b.ring[b.next%uint64(len(b.ring))] = r
	b.first++
	b.next++
	return true
}

// selects reports whether a record is kept, before the sampling of similar
// refusals.
func (b *Buffer) selects(r Record) bool {
	plain := r.Rule == RuleServed && r.Outcome == Served && r.Attempts <= 1 && r.Took < b.settings.SlowThreshold
	if !plain {
		return true
	}
	if b.settings.SampleEvery <= 0 {
		return false
	}
	b.sinceSample++
	if b.sinceSample < b.settings.SampleEvery {
		return false
	}
	b.sinceSample = 0
	return true
}

// sampledOut reports whether a refusal is skipped because many similar ones
// were kept. A workspace can be refused at several times its rate limit; the
// records of all its refusals would push those of every other workspace out of
// memory. Requests that may have run are always kept, because each of them
// must be investigated.
func (b *Buffer) sampledOut(r *Record) bool {
	if r.Outcome != NotRun {
		return false
	}
	key := refusalKey{workspace: r.Workspace, service: r.Service, rule: r.Rule}
	counts := b.refusalCountsFor(key)
	if excess := counts.kept - b.settings.MaxSimilar; excess >= 0 {
		sampleEvery := SimilarSampleEvery << min(excess/SimilarSampleEvery, maxSampleDoublings)
		if counts.skipped < sampleEvery-1 {
			counts.skipped++
			return true
		}
	}
	r.SimilarSkipped, counts.skipped = counts.skipped, 0
	counts.kept++
	return false
}

// refusalCountsFor returns the counts of a group of refusals. While no batch can
// be stored, groups accumulate; when there are as many as MaxRecords, all counts
// are reset to bound memory.
func (b *Buffer) refusalCountsFor(key refusalKey) *refusalCounts {
	counts := b.refusals[key]
	if counts != nil {
		return counts
	}
	if len(b.refusals) >= b.settings.MaxRecords {
		clear(b.refusals)
	}
	counts = &refusalCounts{}
	b.refusals[key] = counts
	return counts
}

// resetRefusalCounts resets the kept counts after a batch. The skipped counts
// remain, for the next record of the group to report.
func (b *Buffer) resetRefusalCounts() {
	for key, counts := range b.refusals {
		counts.kept = 0
		if counts.skipped == 0 {
			delete(b.refusals, key)
		}
	}
}

// Len returns the number of records in memory.
func (b *Buffer) Len() int { return len(b.ring) }

// Unbatched returns the number of records that are in no batch yet.
func (b *Buffer) Unbatched() int { return int(b.next - b.firstUnbatched) }

// Dropped returns the number of records that were dropped before they were
// stored.
func (b *Buffer) Dropped() uint64 { return b.dropped }

// NextBatch returns the next batch to store, or false if there is none. It is
// fast; encoding takes milliseconds and can be done without holding a lock. The
// same batch is returned until MarkStored or Discard has been called for it, and
// always encodes to the same bytes, so that repeating a put whose response was
// lost is safe.
func (b *Buffer) NextBatch() (UnencodedBatch, bool) {
	if b.pending != nil {
		return *b.pending, true
	}
	records := b.oldestHour()
	if len(records) == 0 {
		return UnencodedBatch{}, false
	}
	b.batchCount++
	b.pending = &UnencodedBatch{
		Name: batchName(b.instance, b.batchCount, records[0].At),
		contents: BatchContents{
			Format: batchFormat, Instance: b.instance, Dropped: b.dropped - b.droppedReported, Records: records,
		},
	}
	b.firstUnbatched += uint64(len(records))
	b.droppedReported = b.dropped
	b.resetRefusalCounts()
	return *b.pending, true
}

// NextEncodedBatch returns the next batch encoded. A batch that can't be encoded
// is discarded.
func (b *Buffer) NextEncodedBatch() (Batch, bool) {
	unencoded, ok := b.NextBatch()
	if !ok {
		return Batch{}, false
	}
	batch, err := unencoded.Encode()
	if err != nil {
		b.Discard(unencoded.Name)
		return Batch{}, false
	}
	return batch, true
}

// MarkStored records that the batch with this name is in the object store.
func (b *Buffer) MarkStored(name string) {
	if b.pending != nil && b.pending.Name == name {
		b.pending = nil
	}
}

// Discard abandons a batch and counts its records as dropped.
func (b *Buffer) Discard(name string) {
	if b.pending != nil && b.pending.Name == name {
		b.dropped += uint64(len(b.pending.contents.Records))
		b.pending = nil
	}
}

// oldestHour returns the oldest unbatched records up to the first that is of
// another hour, because the name of a batch holds the hour of all its records.
func (b *Buffer) oldestHour() []Record {
	records := make([]Record, 0, min(b.Unbatched(), MaxBatchRecords))
	for n := b.firstUnbatched; n < b.next && len(records) < MaxBatchRecords; n++ {
		r := b.record(n)
		if len(records) > 0 && hourOf(r.At) != hourOf(records[0].At) {
			break
		}
		records = append(records, r)
	}
	return records
}

func (b *Buffer) record(n uint64) Record { return b.ring[n%uint64(len(b.ring))] }

// Search returns the matching records in memory, newest first.
func (b *Buffer) Search(q Query) []Record {
	var found []Record
	for n := b.next; n > b.first; n-- {
		if r := b.record(n - 1); q.Matches(r) {
			found = append(found, r)
			if q.Limit > 0 && len(found) == q.Limit {
				break
			}
		}
	}
	return found
}

// Query selects records. Empty fields match all records.
type Query struct {
	Request   string
	Workspace string
	// Since excludes older records.
	Since time.Time
	// Limit is the maximum number of records; 0 means no limit.
	Limit int
}

// Matches reports whether the query selects the record.
func (q Query) Matches(r Record) bool {
	return (q.Request == "" || q.Request == r.Request) &&
		(q.Workspace == "" || q.Workspace == r.Workspace) &&
		!r.At.Before(q.Since)
}
