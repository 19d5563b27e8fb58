package health

import (
	"math"
	"time"
)

const (
	latencyBuckets = 64
	// latencyUnit is the upper bound of the first bucket.
	latencyUnit = 100 * time.Microsecond
	// bucketsPerDoubling gives a resolution of 19 %.
	bucketsPerDoubling = 4
	// latencyWindow is the number of samples after which all counts are
	// halved.
	latencyWindow = 512
	// minLatencySamples is the number of samples that a quantile needs.
	minLatencySamples = 20
)

// latencyHistogram is a histogram of the latencies of one service, in
// logarithmic buckets. Halving the counts gives older samples less weight.
type latencyHistogram struct {
	count   int
	buckets [latencyBuckets]uint16
}

func (l *latencyHistogram) add(d time.Duration) {
	l.buckets[latencyBucket(d)]++
	l.count++
	if l.count < latencyWindow {
		return
	}
	l.count = 0
	for i := range l.buckets {
		l.buckets[i] /= 2
		l.count += int(l.buckets[i])
	}
}

func latencyBucket(d time.Duration) int {
	if d <= latencyUnit {
		return 0
	}
	i := int(math.Ceil(bucketsPerDoubling * math.Log2(float64(d)/float64(latencyUnit))))
	return min(i, latencyBuckets-1)
}

// quantile returns the upper bound of the bucket that contains the
// q-quantile.
func (l *latencyHistogram) quantile(q float64) time.Duration {
	rank := int(math.Ceil(q * float64(l.count)))
	for i, n := range l.buckets {
		rank -= int(n)
		if rank <= 0 {
			return time.Duration(float64(latencyUnit) * math.Exp2(float64(i)/bucketsPerDoubling))
		}
	}
	return latencyUnit
}
