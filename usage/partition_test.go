package usage_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foxtailspoke/usage"
)

// Instances are partitioned again and again, for less than the time after which they notice
// it. Guards against a rate of which each instance then uses the whole.
func TestShortPartitionsStayWithinTolerance(t *testing.T) {
	for _, rate := range []float64{8, 20, 90, 187} {
		for _, length := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond} {
			strict := usage.StrictLimit(rate, rate)
			l := usage.Tolerance{Overshoot: overshoot, Slack: slack, Window: window}.Loosen(strict)
			for seed := range uint64(3) {
				f := newFleet(36, l, seed)
				f.observeContact()
				f.run(0, 5*time.Second, 10*rate)
				for at := 5 * time.Second; at < 15*time.Second; at += 2 * length {
					f.partitioned = func(int, int, time.Duration) bool { return true }
					f.run(at, at+length, 10*rate)
					f.partitioned = func(int, int, time.Duration) bool { return false }
					f.run(at+length, at+2*length, 10*rate)
				}
				must.LessEq(t, tolerated(strict), float64(f.maxAdmitted(window)), must.Sprint("rate ", rate, ", partitions of ", length))
			}
		}
	}
}

const (
	heartbeatInterval = 400 * time.Millisecond
	silenceTimeout    = 1300 * time.Millisecond
)

// contact is when each instance last received a report of each other one.
type contact struct {
	received    [][]time.Duration
	heartbeatAt time.Duration
}

// observeContact makes the instances notice whose reports arrive.
func (f *fleet) observeContact() {
	f.contact = &contact{}
	for range f.counters {
		f.contact.received = append(f.contact.received, make([]time.Duration, len(f.counters)))
	}
}

// update sends the heartbeats that are due and sets the share and silence of an instance.
func (c *contact) update(f *fleet, i int, now time.Duration) {
	if now-c.heartbeatAt >= heartbeatInterval {
		c.heartbeatAt = now
		for from := range f.counters {
			f.sendReports(from, now)
		}
	}
	alive, silence := 1, time.Duration(0)
	for j, at := range c.received[i] {
		if j != i && now-at <= silenceTimeout {
			alive++
			silence += now - at
		}
	}
	f.counters[i].RateShare = float64(alive) / float64(len(f.counters))
	f.counters[i].Silence = silence / time.Duration(alive)
}
