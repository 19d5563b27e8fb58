package relay

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// datagramInterval is the time by which each datagram of a round delays the
	// next round. It limits a relay to some 1,700 datagrams per second.
	datagramInterval = 600 * time.Microsecond
	// maxRoundInterval bounds the time between two rounds.
	maxRoundInterval = 45 * time.Millisecond
	// maxCatchUp is the unused sending time that may be made up for. With few
	// messages, none of them waits.
	maxCatchUp = 40 * time.Millisecond
	// urgentDivisor is the divisor of the round interval that gives the time
	// for which urgent messages wait.
	urgentDivisor = 3
	// subscriptionTimeout is the time after its last message for which an
	// instance remains a subscriber: three heartbeats, so that two lost ones do
	// not end the subscription.
	subscriptionTimeout = 1300 * time.Millisecond
	// never is the result of Due when nothing is pending.
	never = time.Duration(math.MaxInt64)
)

// source is the origin of queued messages, which determines their receivers.
type source int

const (
	// fromSubscriber marks messages of subscribers and own messages.
	fromSubscriber source = iota
	// fromRemote marks messages from another data centre.
	fromRemote
	// fromLocalRelay marks messages from another relay of the data centre,
	// which sends them to the other relays itself.
	fromLocalRelay

	sourceCount = iota
)

// Hub publishes the messages of one instance and forwards those of others if
// the instance acts as a relay. It is not safe for concurrent use.
type Hub struct {
	self    Member
	members func() []Member
	view    view
	// viewStale reports that members have changed since the view was built,
	// viewRenewed that it was built since the last call of RelayChanged.
	viewStale, viewRenewed bool

	subscribers map[uint32]time.Duration
	// unexpected holds instances that act as relays but are not relays in the
	// view of this one. They receive what subscribers receive.
	unexpected map[uint32]time.Duration
	// pendingAcks holds what other relays have not acknowledged, ackStates the
	// acknowledgements sent to them.
	pendingAcks map[uint32]*pendingAck
	ackStates   map[uint32]*ackState
	queued      [sourceCount][][]byte
	// urgent reports, by source, that urgent messages are queued. If urgent
	// messages from another data centre made those going there urgent, the two
	// data centres would keep speeding each other up.
	urgent [sourceCount]bool
	// nextRound is the earliest time of the next round, roundInterval the time
	// from the last round to it, and rounds the number of rounds.
	nextRound     time.Duration
	roundInterval time.Duration
	rounds        uint64

	unacked  []*unackedMessage
	suspects map[uint32]*suspicion
	// currentRelay is the relay that was published to last.
	currentRelay uint32
}

// NewHub returns the hub of an instance. Members returns all other known
// instances; it is called again after MembersChanged.
func NewHub(self Member, members func() []Member) *Hub {
	self.Alive = true
	return &Hub{
		self: self, members: members, viewStale: true, currentRelay: self.ID,
		subscribers: make(map[uint32]time.Duration),
		unexpected:  make(map[uint32]time.Duration),
		pendingAcks: make(map[uint32]*pendingAck),
		ackStates:   make(map[uint32]*ackState),
		suspects:    make(map[uint32]*suspicion),
	}
}

// MembersChanged records that members were added, removed or changed.
func (h *Hub) MembersChanged() { h.viewStale = true }

func (h *Hub) currentView() *view {
	if h.viewStale {
		h.view = newView(h.self, h.members())
		h.viewStale = false
		h.viewRenewed = true
	}
	return &h.view
}

// Relay returns the instance that was published to last, which may be this one.
func (h *Hub) Relay() uint32 { return h.currentRelay }

// Subscribers returns the number of instances that this one sends rounds to.
func (h *Hub) Subscribers() int { return len(h.subscribers) }

// Rounds returns the number of rounds that this instance has sent.
func (h *Hub) Rounds() uint64 { return h.rounds }

// Publish broadcasts an encoded message of this instance.
func (h *Hub) Publish(sequence uint32, message []byte, urgent bool, now time.Duration) []Datagram {
	return h.transmit(&unackedMessage{sequence: sequence, message: message, urgent: urgent}, now)
}

// transmit sends a message to the relay, or queues it if this instance is the
// relay.
func (h *Hub) transmit(w *unackedMessage, now time.Duration) []Datagram {
	choices := h.relayCandidates(now)
	h.currentRelay = choices[0]
	if h.currentRelay == h.self.ID {
		h.enqueue(fromSubscriber, w.urgent, w.message)
		return nil
	}
	w.to, w.sentAt, w.resentAt = h.currentRelay, now, 0
	w.sends++
	h.unacked = append(h.unacked, w)
	to := choices[:1]
	if h.onProbation(h.currentRelay) && len(choices) > 1 && choices[1] != h.self.ID {
		to = choices[:2]
	}
	return []Datagram{w.datagram(to)}
}

// RelayChanged reports whether the best relay differs from the one that this
// instance last published to. The instance becomes a subscriber of the new
// relay with its next message.
func (h *Hub) RelayChanged(now time.Duration) bool {
	if !h.viewStale && !h.viewRenewed {
		return false
	}
	best := h.relayCandidates(now)[0]
	h.viewRenewed = false
	return best != h.currentRelay
}

// relayCandidates returns the instances to publish to, best first, without the
// suspected ones. If none is left, it returns this instance.
func (h *Hub) relayCandidates(now time.Duration) []uint32 {
	good := slices.DeleteFunc(h.currentView().candidates(), func(id uint32) bool { return h.suspected(id, now) })
	if len(good) == 0 {
		return []uint32{h.self.ID}
	}
	return good
}

// CandidateRelays returns the first members of the own data centre in relay
// order, whether or not they are alive.
func (h *Hub) CandidateRelays(limit int) []uint32 {
	local := slices.DeleteFunc(h.members(), func(m Member) bool { return m.DataCentre != h.self.DataCentre })
	sortMembers(local)
	return memberIDs(local[:min(limit, len(local))])
}

// Received is the content of a received datagram.
type Received struct {
	From   uint32
	Kind   Kind
	Urgent bool
	// New holds the messages that were not received before, Duplicates the
	// others.
	New, Duplicates [][]byte
}

// Receive queues new messages for the next round if they are to be forwarded.
// It returns the datagrams to send at once, and whether the datagram was
// unexpected: the sender takes the receiver or itself for a relay and the
// receiver does not agree. One of the two then knows too few members.
func (h *Hub) Receive(r Received, now time.Duration) (out []Datagram, unexpected bool) {
	switch r.Kind {
	case Publish:
		h.subscribers[r.From] = now
		h.enqueue(fromSubscriber, r.Urgent, r.New...)
		// Messages that arrived through another relay will not be part of a
		// later round, but the sender still waits for them.
		return buildDatagrams(Deliver, false, []uint32{r.From}, r.Duplicates), false
	case RemoteForward:
		h.enqueue(fromRemote, r.Urgent, r.New...)
		if h.cannotDeliver(now) {
			return nil, false
		}
		return h.sendAck(r.From, now), false
	case Ack:
		h.handleAck(r.From)
	case LocalForward:
		return h.sendAck(r.From, now), h.receiveLocalForward(r, now)
	case Deliver:
		// While relays change, a relay may receive from another one messages
		// that its own subscribers receive from no one else.
		if len(h.subscribers) > 0 {
			h.enqueue(fromLocalRelay, r.Urgent, r.New...)
		}
	case Join:
	}
	return nil, false
}

// receiveLocalForward handles messages from another relay of the data centre. A
// sender that is not expected to be a relay may know only this instance, so it
// is treated like a subscriber.
func (h *Hub) receiveLocalForward(r Received, now time.Duration) (unexpected bool) {
	switch {
	case !h.isRelay(r.From):
		h.unexpected[r.From] = now
		h.enqueue(fromRemote, r.Urgent, r.New...)
		return true
	case !h.isRelay(h.self.ID) && len(h.subscribers) == 0:
		h.enqueue(fromRemote, r.Urgent, r.New...)
		return true
	default:
		h.enqueue(fromLocalRelay, r.Urgent, r.New...)
		return false
	}
}

// isRelay reports whether an instance is a relay of this data centre in the
// current view.
func (h *Hub) isRelay(id uint32) bool {
	return slices.ContainsFunc(h.currentView().relays(), func(m Member) bool { return m.ID == id })
}

func (h *Hub) enqueue(s source, urgent bool, messages ...[]byte) {
	h.queued[s] = append(h.queued[s], messages...)
	h.urgent[s] = h.urgent[s] || (urgent && len(messages) > 0)
}

// Due returns when to call Step.
func (h *Hub) Due() time.Duration {
	due := never
	for _, w := range h.unacked {
		due = min(due, w.due())
	}
	for _, u := range h.pendingAcks {
		due = min(due, u.due())
	}
	for _, c := range h.ackStates {
		if c.pending {
			due = min(due, c.lastAck+ackInterval)
		}
	}
	for _, messages := range h.queued {
		if len(messages) > 0 {
			due = min(due, h.roundDue())
		}
	}
	return due
}

// roundDue returns when the queued messages may be sent.
func (h *Hub) roundDue() time.Duration {
	if h.urgent != [sourceCount]bool{} {
		return h.nextRound - h.roundInterval + h.roundInterval/urgentDivisor
	}
	return h.nextRound
}

// Step returns the datagrams that are due: resent messages, acknowledgements
// and a round.
func (h *Hub) Step(now time.Duration) []Datagram {
	out := append(h.retransmit(now), h.resendUnacked(now)...)
	out = append(out, h.sendPendingAcks(now)...)
	for _, messages := range h.queued {
		if len(messages) > 0 && now >= h.roundDue() {
			return append(out, h.sendRound(now)...)
		}
	}
	return out
}

// sendRound forwards the queued messages.
func (h *Hub) sendRound(now time.Duration) []Datagram {
	own, remote, local := h.queued[fromSubscriber], h.queued[fromRemote], h.queued[fromLocalRelay]
	ownUrgent, remoteUrgent := h.urgent[fromSubscriber], h.urgent[fromRemote]
	h.queued, h.urgent = [sourceCount][][]byte{}, [sourceCount]bool{}
	h.rounds++
	removeExpired(h.subscribers, now)
	removeExpired(h.unexpected, now)
	out := h.forwardToRemote(own, ownUrgent, now)
	out = append(out, h.forwardToLocalRelays(ownUrgent || remoteUrgent, now, own, remote)...)
	out = append(out, buildDatagrams(Deliver, false, append(sortedKeys(h.subscribers), sortedKeys(h.unexpected)...), own, remote, local)...)
	h.scheduleNextRound(out, now)
	return out
}

// scheduleNextRound delays the next round according to the number of datagrams
// in this one.
func (h *Hub) scheduleNextRound(round []Datagram, now time.Duration) {
	datagrams := 0
	for i := range round {
		datagrams += len(round[i].To)
	}
	h.roundInterval = min(time.Duration(datagrams)*datagramInterval, maxRoundInterval)
	h.nextRound = max(h.nextRound, now-maxCatchUp) + h.roundInterval
}

// localRelays returns the other relays of the data centre, and the relay that
// this instance publishes to: while relays change, this instance may already
// act as a relay and know only dead ones.
func (h *Hub) localRelays(now time.Duration) []uint32 {
	list := h.relayCandidates(now)[:1]
	for _, m := range h.currentView().relays() {
		if !slices.Contains(list, m.ID) {
			list = append(list, m.ID)
		}
	}
	return slices.DeleteFunc(list, func(id uint32) bool { return id == h.self.ID })
}

// removeExpired deletes the instances whose last message is older than
// subscriptionTimeout.
func removeExpired(m map[uint32]time.Duration, now time.Duration) {
	for id, at := range m {
		if now-at > subscriptionTimeout {
			delete(m, id)
		}
	}
}

// sortedKeys returns the keys in ascending order, so that the same messages at
// the same times result in the same datagrams.
func sortedKeys[V any](m map[uint32]V) []uint32 { return slices.Sorted(maps.Keys(m)) }
