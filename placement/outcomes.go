package placement

import "time"

// outcomes counts the recent outcomes of requests to a service in a sliding window.
type outcomes struct {
	buckets [outcomeBuckets]outcomeBucket
}

type outcomeBucket struct {
	number           int64
	served, unserved int
}

const (
	// outcomeBuckets of outcomeBucketDuration each cover 2 s to 2.5 s, the time after
	// which a healthy server without requests counts as idle.
	outcomeBuckets        = 5
	outcomeBucketDuration = 500 * time.Millisecond
	// minUnserved is the number of unserved requests below which the share is taken
	// as zero.
	minUnserved = 2
)

func (o *outcomes) count(ok bool, now time.Duration) {
	number := int64(now / outcomeBucketDuration)
	b := &o.buckets[number%outcomeBuckets]
	if b.number != number {
		*b = outcomeBucket{number: number}
	}
	if ok {
		b.served++
	} else {
		b.unserved++
	}
}

// unservedShare returns the share of recent requests that weren't served.
func (o *outcomes) unservedShare(now time.Duration) float64 {
	oldest := int64(now/outcomeBucketDuration) - outcomeBuckets
	served, unserved := 0, 0
	for _, b := range o.buckets {
		if b.number > oldest {
			served += b.served
			unserved += b.unserved
		}
	}
	if unserved < minUnserved {
		return 0
	}
	return float64(unserved) / float64(served+unserved)
}
