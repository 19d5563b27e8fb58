package placement

import "time"

// outcomes counts how the requests to a service ended in the last moments.
type outcomes struct {
	slots [outcomeSlots]outcomeSlot
}

type outcomeSlot struct {
	number           int64
	served, unserved int
}

const (
	// outcomeSlots of outcomeSlotTime each make up two to two and a half
	// seconds, the span over which idle servers are held against the fleet.
	outcomeSlots    = 5
	outcomeSlotTime = 500 * time.Millisecond
	// outcomesLeast is how many must be unserved before the share counts.
	outcomesLeast = 2
)

func (o *outcomes) count(ok bool, now time.Duration) {
	number := int64(now / outcomeSlotTime)
	s := &o.slots[number%outcomeSlots]
	if s.number != number {
		*s = outcomeSlot{number: number}
	}
	if ok {
		s.served++
	} else {
		s.unserved++
	}
}

// unserved is the share of requests that weren't served.
func (o *outcomes) unserved(now time.Duration) float64 {
	oldest := int64(now/outcomeSlotTime) - outcomeSlots
	served, unserved := 0, 0
	for _, s := range o.slots {
		if s.number > oldest {
			served += s.served
			unserved += s.unserved
		}
	}
	if unserved < outcomesLeast {
		return 0
	}
	return float64(unserved) / float64(served+unserved)
}
