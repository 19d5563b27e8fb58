package relay

import (
	"slices"
	"time"
)

const (
	// resendAfter is when an own message that hasn't come back is told to the same
	// relay once more: two rounds of the largest data centre. It was lost on its
	// way, or the relay or this process itself stood still for a moment.
	resendAfter = 90 * time.Millisecond
	// giveUpAfter is how much later the relay is suspected.
	giveUpAfter = 85 * time.Millisecond
	// maxSends bounds how often a message is told. Messages carry totals, so
	// that a later one makes good what is lost then.
	maxSends = 3
	// suspectFor is how long a relay that didn't send a message back isn't told
	// anything, doubled up to mostSuspect while that goes on.
	suspectFor  = 2 * time.Second
	mostSuspect = 16 * time.Second
)

// unackedMessage is an own message that hasn't come back yet.
type unackedMessage struct {
	sequence uint32
	message  []byte
	urgent   bool
	to       uint32
	at       time.Duration
	sends    int
	// again is when it was told to the same relay once more; 0 if it wasn't.
	again time.Duration
}

// due is when to do something about the message.
func (w *unackedMessage) due() time.Duration {
	if w.again > 0 {
		return w.again + giveUpAfter
	}
	return w.at + resendAfter
}

// suspicion is held against a relay that didn't send a message back.
type suspicion struct {
	until time.Duration
	wait  time.Duration
}

func (h *Hub) suspect(id uint32, now time.Duration) {
	s, ok := h.suspects[id]
	if !ok {
		s = &suspicion{wait: suspectFor}
		h.suspects[id] = s
	} else {
		s.wait = min(2*s.wait, mostSuspect)
	}
	s.until = now + s.wait
}

func (h *Hub) suspected(id uint32, now time.Duration) bool {
	s, ok := h.suspects[id]
	return ok && now < s.until
}

// onProbation reports that a relay was suspected and hasn't shown yet that it is
// well again. What it is sent goes to another one as well.
func (h *Hub) onProbation(id uint32) bool { return h.suspects[id] != nil }

// MessageReturned takes in that the own message with this number came back from a
// relay.
func (h *Hub) MessageReturned(from, sequence uint32) {
	for i, w := range h.unacked {
		if w.sequence != sequence {
			continue
		}
		if from == w.to {
			delete(h.suspects, w.to)
		}
		h.unacked = slices.Delete(h.unacked, i, i+1)
		return
	}
}

// retell tells again what should have come back by now: to the same relay first,
// then to another one.
func (h *Hub) retell(now time.Duration) (out []Datagram) {
	late := make(map[uint32]bool)
	for _, w := range h.unacked {
		switch {
		case now < w.due():
		case w.again == 0:
			w.again = now
			out = append(out, w.datagram([]uint32{w.to}))
		default:
			late[w.to] = true
		}
	}
	for id := range late {
		h.suspect(id, now)
	}
	unacked := h.unacked
	h.unacked = nil
	for _, w := range unacked {
		switch {
		case !late[w.to]:
			h.unacked = append(h.unacked, w)
		case w.sends < maxSends:
			out = append(out, h.transmit(w, now)...)
		}
	}
	return out
}

func (w *unackedMessage) datagram(to []uint32) Datagram {
	return Datagram{To: to, Kind: Publish, Urgent: w.urgent, Messages: w.message}
}
