package relay

import (
	"slices"
	"time"
)

const (
	// ackWait is how long an own message may take to come back: two rounds of
	// the largest data centre, and the pauses of small machines.
	ackWait = 150 * time.Millisecond
	// secondLook follows when it hasn't come back. If this process itself stood
	// still, it finds the answer in its socket meanwhile, instead of suspecting
	// a relay that is well.
	secondLook = 25 * time.Millisecond
	// mostTells bounds how often a message is told. Messages carry totals, so
	// that a later one makes good what is lost then.
	mostTells = 3
	// suspectFor is how long a relay that didn't send a message back isn't told
	// anything, doubled up to mostSuspect while that goes on.
	suspectFor  = 2 * time.Second
	mostSuspect = 16 * time.Second
)

// word is an own message that hasn't come back yet.
type word struct {
	sequence uint32
	message  []byte
	urgent   bool
	to       uint32
	at       time.Duration
	tells    int
	// looked says that the first wait is over.
	looked bool
}

// due is when to look whether the message has come back.
func (w *word) due() time.Duration {
	if w.looked {
		return w.at + ackWait + secondLook
	}
	return w.at + ackWait
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

// Returned takes in that the own message with this number came back from a
// relay.
func (h *Hub) Returned(from, sequence uint32) {
	for i, w := range h.words {
		if w.sequence != sequence {
			continue
		}
		if from == w.to {
			delete(h.suspects, w.to)
		}
		h.words = slices.Delete(h.words, i, i+1)
		return
	}
}

// retell tells again what should have come back by now.
func (h *Hub) retell(now time.Duration) []Datagram {
	late := make(map[uint32]bool)
	for _, w := range h.words {
		switch {
		case now < w.due():
		case !w.looked:
			w.looked = true
		default:
			late[w.to] = true
		}
	}
	if len(late) == 0 {
		return nil
	}
	for id := range late {
		h.suspect(id, now)
	}
	var out []Datagram
	words := h.words
	h.words = nil
	for _, w := range words {
		switch {
		case !late[w.to]:
			h.words = append(h.words, w)
		case w.tells < mostTells:
			out = append(out, h.tell(w, now)...)
		}
	}
	return out
}
