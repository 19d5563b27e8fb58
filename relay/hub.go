package relay

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// perDatagram is the time that each datagram of a round puts off the next
	// one. It bounds what a relay sends to some 1,700 datagrams a second.
	perDatagram = 600 * time.Microsecond
	// mostRound bounds the time between two rounds.
	mostRound = 45 * time.Millisecond
	// burst is the unused time that may be caught up with. Where messages are
	// few, none of them waits.
	burst = 40 * time.Millisecond
	// urgentPart is the part of a round after which urgent messages don't wait
	// any longer.
	urgentPart = 3
	// listensFor is the time after its last message for which an instance is a
	// subscriber: three heartbeats, so that two lost ones don't end it.
	listensFor = 1300 * time.Millisecond
	// never is when to look if there is nothing to look for.
	never = time.Duration(math.MaxInt64)
)

// source says where waiting messages came from, and thereby who gets them.
type source int

const (
	// told by subscribers, or own messages.
	published source = iota
	// crossed from another data centre.
	crossed
	// aside came from another relay of the data centre, which gives it to the
	// others itself.
	aside

	sources = iota
)

// Hub is one instance's part in telling. It isn't safe for concurrent use.
type Hub struct {
	self    Member
	members func() []Member
	view    view
	// stale says that members have changed since the view was made, renewed that
	// it was made since Moved last looked.
	stale, renewed bool

	subscribers map[uint32]time.Duration
	// unexpected are instances that take themselves for relays and aren't expected
	// to be. They get what subscribers get.
	unexpected map[uint32]time.Duration
	// unconfirmed is what other relays haven't confirmed, and confirmations
	// what they were confirmed.
	unconfirmed   map[uint32]*unconfirmed
	confirmations map[uint32]*confirmation
	waiting       [sources][][]byte
	// urgent says that something waiting is urgent. It is kept by source: if
	// urgent messages from another data centre made those urgent that go there,
	// the two would hurry each other for ever.
	urgent [sources]bool
	// next is when the next round may be sent, round the time from the last one
	// to it, and rounds counts them.
	next   time.Duration
	round  time.Duration
	rounds uint64

	unacked  []*unackedMessage
	suspects map[uint32]*suspicion
	// relay is who was told last.
	relay uint32
}

// NewHub returns the part of an instance. Members returns all others that it
// knows; it is called again after Changed.
func NewHub(self Member, members func() []Member) *Hub {
	self.Alive = true
	return &Hub{
		self: self, members: members, stale: true, relay: self.ID,
		subscribers:   make(map[uint32]time.Duration),
		unexpected:    make(map[uint32]time.Duration),
		unconfirmed:   make(map[uint32]*unconfirmed),
		confirmations: make(map[uint32]*confirmation),
		suspects:      make(map[uint32]*suspicion),
	}
}

// MembersChanged takes in that members have come, gone, or changed.
func (h *Hub) MembersChanged() { h.stale = true }

func (h *Hub) seen() *view {
	if h.stale {
		h.view = newView(h.self, h.members())
		h.stale = false
		h.renewed = true
	}
	return &h.view
}

// Relay is the instance that was told last; it may be this one.
func (h *Hub) Relay() uint32 { return h.relay }

// Subscribers is how many instances this one sends rounds to.
func (h *Hub) Subscribers() int { return len(h.subscribers) }

// Rounds is how many rounds this instance has sent.
func (h *Hub) Rounds() uint64 { return h.rounds }

// Publish sends an own message, encoded, with its number.
func (h *Hub) Publish(sequence uint32, message []byte, urgent bool, now time.Duration) []Datagram {
	return h.transmit(&unackedMessage{sequence: sequence, message: message, urgent: urgent}, now)
}

// transmit sends a message to the relay.
func (h *Hub) transmit(w *unackedMessage, now time.Duration) []Datagram {
	choices := h.choose(now)
	h.relay = choices[0]
	if h.relay == h.self.ID {
		h.wait(published, w.urgent, w.message)
		return nil
	}
	w.to, w.at, w.again = h.relay, now, 0
	w.sends++
	h.unacked = append(h.unacked, w)
	to := choices[:1]
	if h.onProbation(h.relay) && len(choices) > 1 && choices[1] != h.self.ID {
		to = choices[:2]
	}
	return []Datagram{w.datagram(to)}
}

// RelayChanged reports that another relay is the best since this instance last said
// something. It is a subscriber there only once it says something again.
func (h *Hub) RelayChanged(now time.Duration) bool {
	if !h.stale && !h.renewed {
		return false
	}
	best := h.choose(now)[0]
	h.renewed = false
	return best != h.relay
}

// choose returns whom to tell, the best first: this instance itself if nobody
// else is left.
func (h *Hub) choose(now time.Duration) []uint32 {
	good := slices.DeleteFunc(h.seen().choices(), func(id uint32) bool { return h.suspected(id, now) })
	if len(good) == 0 {
		return []uint32{h.self.ID}
	}
	return good
}

// CandidateRelays returns the first members of the data centre in the order of relays,
// whether or not they are heard.
func (h *Hub) CandidateRelays(most int) []uint32 {
	here := slices.DeleteFunc(h.members(), func(m Member) bool { return m.DataCentre != h.self.DataCentre })
	order(here)
	return ids(here[:min(most, len(here))])
}

// Received is what a datagram brought.
type Received struct {
	From   uint32
	Kind   Kind
	Urgent bool
	// New holds the messages that weren't taken in before, Duplicates the others.
	New, Duplicates [][]byte
}

// Receive keeps new messages for the next round, if they are to be sent on. It
// returns what to send at once, and whether the datagram was unexpected: one of
// sender and receiver takes the other, or itself, for a relay, and the other
// doesn't. One of them then knows too few members.
func (h *Hub) Receive(r Received, now time.Duration) (out []Datagram, unexpected bool) {
	switch r.Kind {
	case Publish:
		h.subscribers[r.From] = now
		h.wait(published, r.Urgent, r.New...)
		// What came by another relay won't be in a round any more. The sender
		// waits for it all the same.
		return pack(Deliver, false, []uint32{r.From}, r.Duplicates), false
	case RemoteForward:
		h.wait(crossed, r.Urgent, r.New...)
		if h.deadEnd(now) {
			return nil, false
		}
		return h.ack(r.From, now), false
	case Ack:
		h.acked(r.From)
	case LocalForward:
		return h.ack(r.From, now), h.takeBeside(r, now)
	case Deliver:
		// While relays change, one may get from another what its own subscribers
		// get from nobody.
		if len(h.subscribers) > 0 {
			h.wait(aside, r.Urgent, r.New...)
		}
	case Join:
	}
	return nil, false
}

// takeBeside takes in what another relay of the data centre sends. One that
// isn't expected may know only this instance, and gets and gives everything as a
// subscriber does.
func (h *Hub) takeBeside(r Received, now time.Duration) (unexpected bool) {
	switch {
	case !h.isRelay(r.From):
		h.unexpected[r.From] = now
		h.wait(crossed, r.Urgent, r.New...)
		return true
	case !h.isRelay(h.self.ID) && len(h.subscribers) == 0:
		h.wait(crossed, r.Urgent, r.New...)
		return true
	default:
		h.wait(aside, r.Urgent, r.New...)
		return false
	}
}

// isRelay reports whether an instance is expected to be a relay here.
func (h *Hub) isRelay(id uint32) bool {
	return slices.ContainsFunc(h.seen().relays(), func(m Member) bool { return m.ID == id })
}

func (h *Hub) wait(s source, urgent bool, messages ...[]byte) {
	h.waiting[s] = append(h.waiting[s], messages...)
	h.urgent[s] = h.urgent[s] || (urgent && len(messages) > 0)
}

// Due is when to call Step.
func (h *Hub) Due() time.Duration {
	due := never
	for _, w := range h.unacked {
		due = min(due, w.due())
	}
	for _, u := range h.unconfirmed {
		due = min(due, u.due())
	}
	for _, c := range h.confirmations {
		if c.owed {
			due = min(due, c.at+confirmEvery)
		}
	}
	for _, messages := range h.waiting {
		if len(messages) > 0 {
			due = min(due, h.roundDue())
		}
	}
	return due
}

// roundDue is when what waits may be sent.
func (h *Hub) roundDue() time.Duration {
	if h.urgent != [sources]bool{} {
		return h.next - h.round + h.round/urgentPart
	}
	return h.next
}

// Step does what has become due.
func (h *Hub) Step(now time.Duration) []Datagram {
	out := append(h.retell(now), h.resend(now)...)
	out = append(out, h.confirmOwed(now)...)
	for _, messages := range h.waiting {
		if len(messages) > 0 && now >= h.roundDue() {
			return append(out, h.send(now)...)
		}
	}
	return out
}

// send sends a round.
func (h *Hub) send(now time.Duration) []Datagram {
	own, far, near := h.waiting[published], h.waiting[crossed], h.waiting[aside]
	ownUrgent, farUrgent := h.urgent[published], h.urgent[crossed]
	h.waiting, h.urgent = [sources][][]byte{}, [sources]bool{}
	h.rounds++
	forget(h.subscribers, now)
	forget(h.unexpected, now)
	out := h.cross(own, ownUrgent, now)
	out = append(out, h.beside(ownUrgent || farUrgent, now, own, far)...)
	out = append(out, pack(Deliver, false, append(keys(h.subscribers), keys(h.unexpected)...), own, far, near)...)
	h.putOff(out, now)
	return out
}

// putOff sets when the next round may be sent after this one.
func (h *Hub) putOff(round []Datagram, now time.Duration) {
	datagrams := 0
	for i := range round {
		datagrams += len(round[i].To)
	}
	h.round = min(time.Duration(datagrams)*perDatagram, mostRound)
	h.next = max(h.next, now-burst) + h.round
}

// siblings are the other relays of the data centre, and the one that this
// instance tells: while relays change, it may be a relay for others already and
// know only dead ones.
func (h *Hub) siblings(now time.Duration) []uint32 {
	list := h.choose(now)[:1]
	for _, m := range h.seen().relays() {
		if !slices.Contains(list, m.ID) {
			list = append(list, m.ID)
		}
	}
	return slices.DeleteFunc(list, func(id uint32) bool { return id == h.self.ID })
}

// forget drops those that haven't spoken for long.
func forget(m map[uint32]time.Duration, now time.Duration) {
	for id, at := range m {
		if now-at > listensFor {
			delete(m, id)
		}
	}
}

// keys returns the keys in order, so that the same messages at the same times
// give the same datagrams.
func keys[V any](m map[uint32]V) []uint32 { return slices.Sorted(maps.Keys(m)) }
