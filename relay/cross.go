package relay

import "time"

const (
	// confirmEvery is the least time between two confirmations to a relay.
	confirmEvery = 80 * time.Millisecond
	// confirmWait is how long a relay may leave everything unconfirmed.
	confirmWait = 200 * time.Millisecond
	// secondLook follows when it has. If this process itself stood still, it
	// finds the confirmation in its socket meanwhile.
	secondLook = 25 * time.Millisecond
)

// unconfirmed is what was sent to another relay and isn't confirmed yet. Without
// it, all that one data centre says would be lost to another one until the
// silence of a dead relay there is noticed.
type unconfirmed struct {
	since  time.Duration
	looked bool
	// dataCentre of a relay elsewhere, and the messages to send to another one
	// there.
	dataCentre string
	held       [][]byte
	urgent     bool
}

func (u *unconfirmed) due() time.Duration {
	if u.looked {
		return u.since + confirmWait + secondLook
	}
	return u.since + confirmWait
}

// expect notes that a relay should confirm something.
func (h *Hub) expect(id uint32, now time.Duration) *unconfirmed {
	u, ok := h.unconfirmed[id]
	if !ok {
		u = &unconfirmed{since: now}
		h.unconfirmed[id] = u
	}
	return u
}

// cross sends messages to one relay of every other data centre, and to a second
// one if they are urgent.
func (h *Hub) cross(messages [][]byte, urgent bool, now time.Duration) (out []Datagram) {
	if len(messages) == 0 {
		return nil
	}
	for _, c := range h.seen().there {
		out = append(out, h.crossTo(c, messages, urgent, now)...)
	}
	return out
}

func (h *Hub) crossTo(c centre, messages [][]byte, urgent bool, now time.Duration) []Datagram {
	to := h.crossChoices(c, now)
	if c.heard {
		u := h.expect(to[0], now)
		u.dataCentre = c.name
		u.held = append(u.held, messages...)
		u.urgent = u.urgent || urgent
	}
	if !urgent && !h.onProbation(to[0]) {
		to = to[:1]
	}
	return pack(RemoteForward, urgent, to[:min(len(to), 2)], messages)
}

// crossChoices orders the relays of another data centre for this one, so that
// its relays spread over them. Where nobody is heard, all are tried in turn: a
// cut may end for any of them.
func (h *Hub) crossChoices(c centre, now time.Duration) []uint32 {
	first := uint64(Hash(h.self.ID))
	if !c.heard {
		first += h.rounds
	}
	var good, suspected []uint32
	for i := range c.relays {
		id := c.relays[(first+uint64(i))%uint64(len(c.relays))]
		if h.suspected(id, now) {
			suspected = append(suspected, id)
		} else {
			good = append(good, id)
		}
	}
	return append(good, suspected...)
}

// beside sends messages to the other relays of the data centre.
func (h *Hub) beside(urgent bool, now time.Duration, lists ...[][]byte) []Datagram {
	out := pack(LocalForward, urgent, h.siblings(now), lists...)
	if len(out) > 0 {
		for _, id := range h.siblings(now) {
			h.expect(id, now)
		}
	}
	return out
}

// confirmed takes in that a relay gets what it is sent.
func (h *Hub) acked(from uint32) {
	delete(h.unconfirmed, from)
	delete(h.suspects, from)
}

// confirmation is what a relay was confirmed last.
type confirmation struct {
	at time.Duration
	// owed says that something has come since.
	owed bool
}

// confirm tells another relay that its messages arrive, at once or, if that was
// said a moment ago, a little later.
func (h *Hub) ack(to uint32, now time.Duration) []Datagram {
	c, ok := h.confirmations[to]
	if !ok {
		c = &confirmation{at: now - confirmEvery}
		h.confirmations[to] = c
	}
	if now-c.at < confirmEvery {
		c.owed = true
		return nil
	}
	c.at, c.owed = now, false
	return []Datagram{{To: []uint32{to}, Kind: Ack}}
}

// confirmOwed confirms what was put off.
func (h *Hub) confirmOwed(now time.Duration) (out []Datagram) {
	for _, id := range keys(h.confirmations) {
		c := h.confirmations[id]
		switch {
		case c.owed && now-c.at >= confirmEvery:
			out = append(out, h.ack(id, now)...)
		case now-c.at > listensFor:
			delete(h.confirmations, id)
		}
	}
	return out
}

// deadEnd reports that this instance has nobody to give to what crosses to it,
// though there should be somebody: it is cut off from its data centre in one
// direction at least. Whoever sends here must find another relay.
func (h *Hub) deadEnd(now time.Duration) bool {
	forget(h.subscribers, now)
	if len(h.subscribers) > 0 {
		return false
	}
	for _, id := range h.siblings(now) {
		if !h.suspected(id, now) {
			return false
		}
	}
	return len(h.siblings(now)) > 0 || h.seen().silent
}

// resend suspects relays that confirm nothing, and sends to others what they
// held.
func (h *Hub) resend(now time.Duration) (out []Datagram) {
	for _, id := range keys(h.unconfirmed) {
		u := h.unconfirmed[id]
		switch {
		case now < u.due():
		case !u.looked:
			u.looked = true
		default:
			delete(h.unconfirmed, id)
			h.suspect(id, now)
			if c, ok := h.seen().centre(u.dataCentre); ok && c.heard {
				out = append(out, h.crossTo(c, u.held, u.urgent, now)...)
			}
		}
	}
	return out
}
