package admission

import "time"

const (
	// windowLength is the time over which attempts are counted. The brief overload of a
	// second must be able to activate admission, and a service with 20 requests per second
	// needs about 40 of them for a share without much noise.
	windowLength   = windowBuckets * bucketDuration
	windowBuckets  = 20
	bucketDuration = 100 * time.Millisecond
	// shortBuckets is the number of buckets from which shares are computed if enoughPassed
	// attempts passed the servers in them: the share has a standard error of 10 % then.
	shortBuckets = 10
	enoughPassed = 100
	// maxRanks is the number of priorities that are distinguished; lower ones count as the last.
	maxRanks = 8
)

func clampRank(rank int) int { return min(max(rank, 0), maxRanks-1) }

// counts are the events of some time.
type counts struct {
	// demand is the number of requests of each priority, and notAdmitted those of them that
	// instances rejected.
	demand      [maxRanks]int
	notAdmitted int
	// passed attempts weren't rejected by full servers, rejected ones were, and the
	// connection of broken ones broke at a full server. repeated ones failed otherwise.
	passed, rejected, broken, repeated int
	// utilization is the sum of the samples of outstanding requests for each slot.
	utilization float64
	samples     int
}

// window holds the counts of the last windowLength.
type window struct {
	buckets [windowBuckets]bucket
}

type bucket struct {
	// number is the number of the bucket since time 0, plus 1: 0 is an empty bucket.
	number int64
	counts
}

func (w *window) bucket(now time.Duration) *counts {
	number := int64(now/bucketDuration) + 1
	b := &w.buckets[number%windowBuckets]
	if b.number != number {
		*b = bucket{number: number}
	}
	return &b.counts
}

// sums are the counts of the window.
type sums struct{ counts }

func (w *window) sums(now time.Duration) (t sums) { return w.sumsOf(now, windowBuckets) }

// shortSums returns the counts of the last second, or of the whole window if these are too
// few. Over the whole one, the shares would follow a load that varies by half in ten seconds
// too late.
func (w *window) shortSums(now time.Duration) sums {
	if t := w.sumsOf(now, shortBuckets); t.passed >= enoughPassed {
		return t
	}
	return w.sums(now)
}

func (w *window) sumsOf(now time.Duration, buckets int64) (t sums) {
	oldest := int64(now/bucketDuration) + 1 - buckets
	for i := range w.buckets {
		b := &w.buckets[i]
		if b.number <= oldest {
			continue
		}
		for rank, n := range b.demand {
			t.demand[rank] += n
		}
		t.notAdmitted += b.notAdmitted
		t.passed += b.passed
		t.rejected += b.rejected
		t.broken += b.broken
		t.repeated += b.repeated
		t.utilization += b.utilization
		t.samples += b.samples
	}
	return t
}

func (t sums) totalDemand() int {
	n := 0
	for _, d := range t.demand {
		n += d
	}
	return n
}

func (t sums) attempts() int { return t.passed + t.rejected + t.broken + t.repeated }

// needsAdmission reports whether enough attempts were rejected by full servers, or enough
// requests by instances that know of that.
func (t sums) needsAdmission() bool {
	lacking := t.rejected + t.notAdmitted
	all := t.attempts() + t.notAdmitted
	return lacking >= minRejections && float64(lacking) >= activationShare*float64(all)
}

// rejectedShare returns the share of the attempts that full servers rejected. Broken
// connections count if servers are proved to be full.
func (t sums) rejectedShare(full bool) float64 {
	rejected := t.rejected
	if full {
		rejected += t.broken
	}
	return float64(rejected) / float64(max(t.attempts(), 1))
}

// meanUtilization returns the mean number of outstanding requests for each slot, 0 if unknown.
func (t sums) meanUtilization() float64 {
	if t.samples == 0 {
		return 0
	}
	return t.utilization / float64(t.samples)
}
