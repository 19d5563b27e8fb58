package fleet

import (
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/relay"
)

// ReceivedMessage is a message that was not received before.
type ReceivedMessage struct {
	evidence.Message
	// From is the instance that sent the message.
	From *Instance
	// Restarted reports that the message is the first since a start of the
	// instance.
	Restarted bool
	// Latest reports that no newer message of the instance has been received.
	Latest bool
}

// ReceiveResult is the result of processing a datagram.
type ReceiveResult struct {
	Messages []ReceivedMessage
	// NewlyAlive holds instances that were not alive before.
	NewlyAlive []*Instance
	// Outgoing holds the datagrams to send at once.
	Outgoing []relay.Datagram
}

// Receive processes one datagram. A datagram with any malformed part is dropped
// as a whole.
func (m *Messenger) Receive(sender uint32, b []byte, now time.Duration) (ReceiveResult, error) {
	d, err := relay.Decode(b)
	if err != nil {
		return ReceiveResult{}, err
	}
	if d.Kind == relay.Ack {
		m.hub.Receive(relay.Received{From: sender, Kind: d.Kind}, now)
		return ReceiveResult{}, nil
	}
	messages, parts, err := evidence.Decode(d.Messages)
	if err != nil {
		return ReceiveResult{}, err
	}
	wasIsolated := m.fleet.Isolated()
	if wasIsolated {
		m.lastIsolated = now
	}
	var t ReceiveResult
	r := relay.Received{From: sender, Kind: d.Kind, Urgent: d.Urgent}
	for i := range messages {
		switch m.receiveMessage(&t, sender, &messages[i], now) {
		case classNew:
			r.New = append(r.New, parts[i])
		case classDuplicate:
			r.Duplicates = append(r.Duplicates, parts[i])
		case classDirect:
		}
	}
	var unexpected bool
	t.Outgoing, unexpected = m.hub.Receive(r, now)
	return t, m.respond(&t, sender, d.Kind, unexpected, wasIsolated, now)
}

// messageClass determines whether and how a message is forwarded.
type messageClass int

const (
	// classDirect marks messages to this instance alone, and own messages that
	// came back.
	classDirect messageClass = iota
	classNew
	classDuplicate
)

func (m *Messenger) receiveMessage(t *ReceiveResult, sender uint32, msg *evidence.Message, now time.Duration) messageClass {
	if msg.Source == m.Self.ID {
		if msg.Epoch == m.Epoch {
			m.hub.MessageReturned(sender, msg.Sequence)
		}
		return classDirect
	}
	i := m.markAlive(t, msg.Source, now)
	if a := msg.Announcement; a != nil {
		m.updateMember(i, a.DataCentre, a.SlowLink, i.Stopping)
	}
	if msg.Sequence == evidence.Unsequenced {
		i.Leaving, i.Partitioned = msg.Leaving, msg.Partitioned
		m.updateMember(i, i.DataCentre, i.SlowLink, msg.Stopping)
		m.applyMembers(t, msg.Members, now)
		return classDirect
	}
	receipt := i.MarkSeen(msg.Epoch, msg.Sequence, now)
	if !receipt.New {
		return classDuplicate
	}
	if receipt.Former {
		return classNew
	}
	latest := i.IsLatest(msg.Sequence)
	if latest {
		i.lastMessage = now
		i.Leaving, i.Partitioned = msg.Leaving, msg.Partitioned
		m.updateMember(i, i.DataCentre, i.SlowLink, msg.Stopping)
	}
	m.applyMembers(t, msg.Members, now)
	t.Messages = append(t.Messages, ReceivedMessage{Message: *msg, From: i, Restarted: receipt.Restarted, Latest: latest})
	return classNew
}

// applyMembers applies the member list of another instance. Members that this
// instance has never heard are considered alive until they time out, because
// they were heard a moment ago and will send a heartbeat soon. One that has
// fallen silent has to be heard directly, unless this instance was isolated
// until now: an instance that only others hear is of no use here as a relay.
// What an instance reports of itself takes precedence over reports of others.
func (m *Messenger) applyMembers(t *ReceiveResult, members []evidence.Member, now time.Duration) {
	for _, r := range members {
		if r.ID == m.Self.ID {
			continue
		}
		i := m.fleet.GetOrAdd(r.ID, now)
		if !i.Alive && (len(i.runs) == 0 || now-m.lastIsolated < HeartbeatInterval) {
			m.markAlive(t, r.ID, now)
		}
		if now-i.lastMessage > directSilenceTimeout {
			i.Leaving = r.Leaving
			m.updateMember(i, r.DataCentre, r.SlowLink, r.Stopping)
		}
	}
}

// markAlive records a sign of life of an instance.
func (m *Messenger) markAlive(t *ReceiveResult, id uint32, now time.Duration) *Instance {
	i, newlyAlive := m.fleet.MarkAlive(id, now)
	if newlyAlive {
		m.hub.MembersChanged()
		t.NewlyAlive = append(t.NewlyAlive, i)
	}
	return i
}

func (m *Messenger) updateMember(i *Instance, dataCentre string, slowLink, stopping bool) {
	if i.DataCentre != dataCentre || i.SlowLink != slowLink || i.Stopping != stopping {
		i.DataCentre, i.SlowLink, i.Stopping = dataCentre, slowLink, stopping
		m.hub.MembersChanged()
	}
}

// respond adds the responses to a datagram. A join is answered with the member
// list, and a new instance is made known to the others. An unexpected datagram
// is answered with the member list and a join, because sender and receiver know
// different members. An instance that was isolated announces itself.
func (m *Messenger) respond(t *ReceiveResult, sender uint32, kind relay.Kind, unexpected, wasIsolated bool, now time.Duration) error {
	correct := unexpected && m.allowCorrection(sender, now)
	if kind == relay.Join || correct {
		if err := t.add(m.memberListDatagrams(sender, now)); err != nil {
			return err
		}
	}
	if correct {
		if err := t.add(m.joinDatagrams([]uint32{sender})); err != nil {
			return err
		}
	}
	if kind == relay.Join && len(t.NewlyAlive) > 0 {
		if err := t.add(m.Publish(evidence.Message{Members: describeMembers(t.NewlyAlive)}, true, now)); err != nil {
			return err
		}
	}
	switch {
	case wasIsolated && !m.fleet.Isolated():
		return t.add(m.Announce(true, now))
	case m.hub.RelayChanged(now):
		return t.add(m.Publish(evidence.Message{}, false, now))
	}
	return nil
}

// allowCorrection reports whether an instance may be sent an unsolicited member
// list now, and records that it was.
func (m *Messenger) allowCorrection(id uint32, now time.Duration) bool {
	if at, ok := m.lastCorrection[id]; ok && now-at <= correctionInterval {
		return false
	}
	m.lastCorrection[id] = now
	return true
}

func (t *ReceiveResult) add(out []relay.Datagram, err error) error {
	t.Outgoing = append(t.Outgoing, out...)
	return err
}
