package relay

import "time"

const (
	// ackInterval is the minimum time between two acknowledgements to a relay.
	ackInterval = 80 * time.Millisecond
	// ackTimeout is the time within which a relay has to send an
	// acknowledgement.
	ackTimeout = 200 * time.Millisecond
	// ackGracePeriod follows ackTimeout. If this process itself was suspended,
	// it reads the acknowledgement from its socket in that time.
	ackGracePeriod = 25 * time.Millisecond
)

// pendingAck holds what was sent to another relay and is not acknowledged yet.
// Without it, all messages from one data centre to another would be lost until
// the silence of a dead relay there is noticed.
type pendingAck struct {
	since         time.Duration
	inGracePeriod bool
	// dataCentre of a remote relay, and the messages to send to another relay
	// there.
	dataCentre string
	messages   [][]byte
	urgent     bool
}

func (u *pendingAck) due() time.Duration {
	if u.inGracePeriod {
		return u.since + ackTimeout + ackGracePeriod
	}
	return u.since + ackTimeout
}

// expectAck records that a relay should acknowledge what it is sent.
func (h *Hub) expectAck(id uint32, now time.Duration) *pendingAck {
	u, ok := h.pendingAcks[id]
	if !ok {
		u = &pendingAck{since: now}
		h.pendingAcks[id] = u
	}
	return u
}

// forwardToRemote sends messages to one relay of each other data centre, and to
// a second one if they are urgent.
func (h *Hub) forwardToRemote(messages [][]byte, urgent bool, now time.Duration) (out []Datagram) {
	if len(messages) == 0 {
		return nil
	}
	for _, c := range h.currentView().remote {
		out = append(out, h.forwardToDataCentre(c, messages, urgent, now)...)
	}
	return out
}

func (h *Hub) forwardToDataCentre(c dataCentre, messages [][]byte, urgent bool, now time.Duration) []Datagram {
	to := h.remoteRelayCandidates(c, now)
	if c.alive {
		u := h.expectAck(to[0], now)
		u.dataCentre = c.name
		u.messages = append(u.messages, messages...)
		u.urgent = u.urgent || urgent
	}
	if !urgent && !h.onProbation(to[0]) {
		to = to[:1]
	}
	return buildDatagrams(RemoteForward, urgent, to[:min(len(to), 2)], messages)
}

// remoteRelayCandidates returns the relays of another data centre, best first,
// in an order that spreads the relays of this data centre over them. Where no
// member is alive, each round starts with another one, because the partition
// may end for any of them.
func (h *Hub) remoteRelayCandidates(c dataCentre, now time.Duration) []uint32 {
	first := uint64(Hash(h.self.ID))
	if !c.alive {
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

// forwardToLocalRelays sends messages to the other relays of the data centre.
func (h *Hub) forwardToLocalRelays(urgent bool, now time.Duration, lists ...[][]byte) []Datagram {
	out := buildDatagrams(LocalForward, urgent, h.localRelays(now), lists...)
	if len(out) > 0 {
		for _, id := range h.localRelays(now) {
			h.expectAck(id, now)
		}
	}
	return out
}

// handleAck records that a relay receives what it is sent.
func (h *Hub) handleAck(from uint32) {
	delete(h.pendingAcks, from)
	delete(h.suspects, from)
}

// ackState tracks the acknowledgements sent to a relay.
type ackState struct {
	lastAck time.Duration
	// pending reports that messages have arrived since lastAck.
	pending bool
}

// sendAck acknowledges the messages of another relay, or defers this if the
// last acknowledgement is less than ackInterval ago.
func (h *Hub) sendAck(to uint32, now time.Duration) []Datagram {
	c, ok := h.ackStates[to]
	if !ok {
		c = &ackState{lastAck: now - ackInterval}
		h.ackStates[to] = c
	}
	if now-c.lastAck < ackInterval {
		c.pending = true
		return nil
	}
	c.lastAck, c.pending = now, false
	return []Datagram{{To: []uint32{to}, Kind: Ack}}
}

// sendPendingAcks sends the deferred acknowledgements that are due.
func (h *Hub) sendPendingAcks(now time.Duration) (out []Datagram) {
	for _, id := range sortedKeys(h.ackStates) {
		c := h.ackStates[id]
		switch {
		case c.pending && now-c.lastAck >= ackInterval:
			out = append(out, h.sendAck(id, now)...)
		case now-c.lastAck > subscriptionTimeout:
			delete(h.ackStates, id)
		}
	}
	return out
}

// cannotDeliver reports whether this instance has neither a subscriber nor an
// unsuspected relay to pass remote messages on to, although its data centre has
// other members: it is cut off from them in at least one direction. Without an
// acknowledgement, the sender switches to another relay.
func (h *Hub) cannotDeliver(now time.Duration) bool {
	removeExpired(h.subscribers, now)
	if len(h.subscribers) > 0 {
		return false
	}
	for _, id := range h.localRelays(now) {
		if !h.suspected(id, now) {
			return false
		}
	}
	return len(h.localRelays(now)) > 0 || h.currentView().localSilent
}

// resendUnacked marks relays that do not acknowledge as suspected. Messages for
// a remote relay are sent to another relay of its data centre.
func (h *Hub) resendUnacked(now time.Duration) (out []Datagram) {
	for _, id := range sortedKeys(h.pendingAcks) {
		u := h.pendingAcks[id]
		switch {
		case now < u.due():
		case !u.inGracePeriod:
			u.inGracePeriod = true
		default:
			delete(h.pendingAcks, id)
			h.suspect(id, now)
			if c, ok := h.currentView().remoteDataCentre(u.dataCentre); ok && c.alive {
				out = append(out, h.forwardToDataCentre(c, u.messages, u.urgent, now)...)
			}
		}
	}
	return out
}
