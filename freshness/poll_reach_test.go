package freshness_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/freshness"
)

// reachSimulation is a fleet that has lost the store, and of which some instances reach it again.
// Their first read in reach is what matters; the others' reads go on failing after failAfter.
type reachSimulation struct {
	polls, inReach int
	rng            *rand.Rand
}

const (
	// failAfter is the time until a call of a silent store fails.
	failAfter = 900 * ms
	// lostFor is the time for which all instances have been without the store.
	lostFor = 6 * time.Second
	// contactPeriod is the time in reach of the store after which changes must be in force,
	// readTime what the first read and its application may take of it.
	contactPeriod = 3 * time.Second
	readTime      = 400 * ms
)

// waits returns how long each instance in reach takes from the end of its partition to the
// begin of its next read.
func (s reachSimulation) waits() []time.Duration {
	const step = 10 * ms
	type instance struct {
		poll    freshness.PollSchedule
		failsAt time.Duration
		readAt  time.Duration
	}
	all := make([]instance, s.polls)
	for i := range all {
		all[i].poll.ObserveResponse(0, 0)
	}
	for now := time.Duration(0); now < lostFor+time.Minute; now += step {
		left := 0
		for i := range all {
			n := &all[i]
			if n.failsAt > 0 && now >= n.failsAt {
				n.failsAt = 0
				n.poll.OwnCallFailed(now)
			}
			if i < s.inReach && n.readAt == 0 {
				left++
			}
			if n.failsAt > 0 || n.readAt > 0 || n.poll.Next(i+1, s.rng.Float64(), now) > now {
				continue
			}
			for j := range all {
				all[j].poll.ObserveAttempt(now)
			}
			if i < s.inReach && now >= lostFor {
				n.readAt = now
				continue
			}
			n.failsAt = now + failAfter
		}
		if left == 0 {
			break
		}
	}
	var waits []time.Duration
	for _, n := range all[:s.inReach] {
		if n.readAt == 0 {
			n.readAt = lostFor + time.Minute
		}
		waits = append(waits, n.readAt-lostFor)
	}
	return waits
}

// A few instances reach the store again while all others still fail. Guards against holding them
// back for attempts that can't succeed: they would still handle requests by a replaced
// configuration when changes must be in force again.
func TestInstanceInReachReadsSoonInAnyFleet(t *testing.T) {
	for _, size := range []int{40, 99, 293} {
		for _, inReach := range []int{1, 3, 10} {
			var waits []time.Duration
			for seed := range uint64(8) {
				s := reachSimulation{size, inReach, rand.New(rand.NewPCG(seed, 0))}
				waits = append(waits, s.waits()...)
			}
			slices.Sort(waits)
			worst := waits[len(waits)-1]
			t.Logf("%d of %d instances in reach: median %v, worst %v", inReach, size, waits[len(waits)/2], worst)
			must.LessEq(t, contactPeriod-readTime, worst, must.Sprintf("%d of %d instances in reach", inReach, size))
		}
	}
}
