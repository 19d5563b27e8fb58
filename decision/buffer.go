package decision

import "time"

// BufferSettings bound a Buffer.
type BufferSettings struct {
	// MaxRecords is how many records are kept in memory; 0 means
	// DefaultMaxRecords. A full record takes about one kilobyte.
	MaxRecords int
	// SlowThreshold is the time from which a served request counts as slow and is
	// kept; 0 means DefaultSlow.
	SlowThreshold time.Duration
	// SampleEvery keeps one of this many plain successes; 0 keeps none.
	SampleEvery int
	// MaxSimilar is how many refusals of one workspace, service and rule are
	// kept for a batch before only one in AlikeEvery is; 0 means
	// DefaultMaxAlike.
	MaxSimilar int
}

const (
	// DefaultMaxRecords keeps the buffer near 2 MB at its usual record size.
	DefaultMaxRecords = 4096
	// DefaultSlowThreshold is one second.
	DefaultSlowThreshold = time.Second
	// DefaultMaxSimilar leaves room for 64 floods of one rule at a time.
	DefaultMaxSimilar = 64
	// SimilarSampleEvery thins out what comes beyond MaxAlike: one in so many is
	// kept, and after so many kept ones one in twice as many.
	SimilarSampleEvery = 16
	// maxSampleDoublings bounds the doubling.
	maxSampleDoublings = 20
)

// Buffer keeps one instance's records until they are stored, and after that
// until newer ones need the room. It is not safe for concurrent use.
//
// The object store may be away for hours. Records then fall out oldest first
// and are counted, so the memory stays bounded and the gap is known.
type Buffer struct {
	instance string
	settings BufferSettings
	ring     []Record
	// first and next number the records in the ring: [first, next).
	first, next uint64
	// firstUnbatched is the number of the first record that no batch holds yet.
	firstUnbatched  uint64
	pending *UnencodedBatch
	batchCount uint64
	dropped uint64
	// droppedReported is what the batches so far have reported as dropped.
	droppedReported uint64
	sinceSample         int
	refusals         map[refusalKey]*refusalCounts
}

// refusalKey groups refusals that say the same.
type refusalKey struct {
	workspace, service string
	rule               Rule
}

// refusalCounts counts the refusals of one likeness since the last batch.
type refusalCounts struct{ kept, skipped int }

// NewBuffer returns an empty buffer of an instance.
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

// Add takes a record if somebody may ask about it: every refusal, repeat and
// slow request, and a sample of the others. It tells whether it was kept.
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

// sampledOut tells whether a refusal is left out because there are many alike.
// A workspace that floods is refused several times its rate: all its refusals
// would push the records of every other workspace out of memory, and nobody
// could explain those. What may have run is always kept, because somebody has
// to look into each case.
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

// refusalCountsFor returns the count of a likeness. While nothing can be stored, counts
// pile up; there are never more of them than records, and then all start anew.
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

// resetRefusalCounts starts counting anew after a batch. What was skipped last stays
// counted, and shows in the next record alike.
func (b *Buffer) resetRefusalCounts() {
	for key, counts := range b.refusals {
		counts.kept = 0
		if counts.skipped == 0 {
			delete(b.refusals, key)
		}
	}
}

// Len returns how many records are in memory.
func (b *Buffer) Len() int { return len(b.ring) }

// Unbatched returns how many records no batch holds yet.
func (b *Buffer) Unbatched() int { return int(b.next - b.firstUnbatched) }

// Dropped returns how many records fell out before they were stored.
func (b *Buffer) Dropped() uint64 { return b.dropped }

// NextBatch cuts the next batch off; false if there is nothing to store. It is
// quick; encoding the cut takes milliseconds and can be done outside a lock.
// The same cut is returned until Stored or Discard has been called for it, and
// always encodes to the same bytes: a put whose answer was lost is repeated
// without harm.
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

// NextEncodedBatch takes and encodes the next batch in one step.
func (b *Buffer) NextEncodedBatch() (Batch, bool) {
	cut, ok := b.NextBatch()
	if !ok {
		return Batch{}, false
	}
	batch, err := cut.Encode()
	if err != nil {
		b.Discard(cut.Name)
		return Batch{}, false
	}
	return batch, true
}

// MarkStored tells that the batch of this name is in the object store.
func (b *Buffer) MarkStored(name string) {
	if b.pending != nil && b.pending.Name == name {
		b.pending = nil
	}
}

// Discard gives a batch up and counts its records as dropped.
func (b *Buffer) Discard(name string) {
	if b.pending != nil && b.pending.Name == name {
		b.dropped += uint64(len(b.pending.contents.Records))
		b.pending = nil
	}
}

// oldestHour returns the unstored records of one hour, so that a batch's
// name tells the hour of all its records.
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

// Search returns the records in memory that match, newest first.
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

// Query selects records. Empty fields match everything.
type Query struct {
	Request   string
	Workspace string
	// Since excludes older records.
	Since time.Time
	// Limit bounds the number of records; 0 means no bound.
	Limit int
}

// Matches tells whether the record is selected.
func (q Query) Matches(r Record) bool {
	return (q.Request == "" || q.Request == r.Request) &&
		(q.Workspace == "" || q.Workspace == r.Workspace) &&
		!r.At.Before(q.Since)
}
