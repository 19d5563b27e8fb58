package relay

import (
	"slices"
	"time"
)

const (
	// resendAfter is the time after which an own message that has not returned
	// is sent to the same relay again: two rounds of the largest data centre.
	// The message may have been lost, or the relay or this process was
	// suspended briefly.
	resendAfter = 90 * time.Millisecond
	// suspectAfter is the time from the resend until the relay is suspected.
	suspectAfter = 85 * time.Millisecond
	// maxSends bounds the transmissions of a message, not counting the resend
	// to the same relay. Messages carry totals, so that a later one makes up
	// for a lost one.
	maxSends = 3
	// minSuspicion is the time for which a relay that did not return a message
	// is not used. It doubles with each further failure, up to maxSuspicion.
	minSuspicion = 2 * time.Second
	maxSuspicion = 16 * time.Second
)

// unackedMessage is an own message that has not returned from the relay yet.
type unackedMessage struct {
	sequence uint32
	message  []byte
	urgent   bool
	to       uint32
	sentAt   time.Duration
	sends    int
	// resentAt is when the message was sent to the same relay again; 0 if it
	// was not.
	resentAt time.Duration
}

// due returns when the message has to be resent or its relay suspected.
func (w *unackedMessage) due() time.Duration {
	if w.resentAt > 0 {
		return w.resentAt + suspectAfter
	}
	return w.sentAt + resendAfter
}

// suspicion is held against a relay that did not return or acknowledge
// messages.
type suspicion struct {
	until    time.Duration
	duration time.Duration
}

func (h *Hub) suspect(id uint32, now time.Duration) {
	s, ok := h.suspects[id]
	if !ok {
		s = &suspicion{duration: minSuspicion}
		h.suspects[id] = s
	} else {
		s.duration = min(2*s.duration, maxSuspicion)
	}
	s.until = now + s.duration
}

func (h *Hub) suspected(id uint32, now time.Duration) bool {
	s, ok := h.suspects[id]
	return ok && now < s.until
}

// onProbation reports whether a relay was suspected and has not proved since
// that it works. Messages sent to it also go to a second relay.
func (h *Hub) onProbation(id uint32) bool { return h.suspects[id] != nil }

// MessageReturned records that the own message with this sequence number was
// received back from a relay.
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

// retransmit sends overdue messages again: to the same relay first, then to
// another one.
func (h *Hub) retransmit(now time.Duration) (out []Datagram) {
	late := make(map[uint32]bool)
	for _, w := range h.unacked {
		switch {
		case now < w.due():
		case w.resentAt == 0:
			w.resentAt = now
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
