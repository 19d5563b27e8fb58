package fleet

import (
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/relay"
)

// ReceivedMessage is a message that is new.
type ReceivedMessage struct {
	evidence.Message
	// From is the instance that says it.
	From *Instance
	// Restarted says that it is the first since a start of the instance.
	Restarted bool
	// Latest says that no newer message of the instance was heard.
	Latest bool
}

// ReceiveResult is what a datagram brought.
type ReceiveResult struct {
	Messages []ReceivedMessage
	// NewlyAlive are instances that weren't heard before.
	NewlyAlive []*Instance
	// Outgoing is what to answer or send on at once.
	Outgoing []relay.Datagram
}

// Receive takes in one datagram. One that is damaged anywhere is dropped whole.
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
	alone := m.fleet.Isolated()
	if alone {
		m.alone = now
	}
	var t ReceiveResult
	r := relay.Received{From: sender, Kind: d.Kind, Urgent: d.Urgent}
	for i := range messages {
		switch m.receiveMessage(&t, sender, &messages[i], now) {
		case fresh:
			r.New = append(r.New, parts[i])
		case known:
			r.Duplicates = append(r.Duplicates, parts[i])
		case notForAll:
		}
	}
	var astray bool
	t.Outgoing, astray = m.hub.Receive(r, now)
	return t, m.answer(&t, sender, d.Kind, astray, alone, now)
}

// news says what a message is to this instance.
type news int

const (
	// notForAll are messages to this instance alone, and its own.
	notForAll news = iota
	fresh
	known
)

func (m *Messenger) receiveMessage(t *ReceiveResult, sender uint32, msg *evidence.Message, now time.Duration) news {
	if msg.Source == m.Self.ID {
		if msg.Epoch == m.Epoch {
			m.hub.MessageReturned(sender, msg.Sequence)
		}
		return notForAll
	}
	i := m.touch(t, msg.Source, now)
	if msg.DataCentre != "" {
		m.describe(i, msg.DataCentre, msg.SlowLink, i.Stopping)
	}
	if msg.Sequence == evidence.Unsequenced {
		i.Leaving = msg.Leaving
		m.describe(i, i.DataCentre, i.SlowLink, msg.Stopping)
		m.applyRoster(t, msg.Members, now)
		return notForAll
	}
	isFresh, restarted := i.MarkSeen(msg.Epoch, msg.Sequence)
	if !isFresh {
		return known
	}
	latest := i.IsLatest(msg.Sequence)
	if latest {
		i.spoke = now
		i.Leaving = msg.Leaving
		m.describe(i, i.DataCentre, i.SlowLink, msg.Stopping)
	}
	m.applyRoster(t, msg.Members, now)
	t.Messages = append(t.Messages, ReceivedMessage{Message: *msg, From: i, Restarted: restarted, Latest: latest})
	return fresh
}

// applyRoster takes in whom another instance hears. Those that never spoke here
// count as heard for once: they were a moment ago, and will be again within a
// heartbeat. One that fell silent must speak itself, unless this instance heard
// nobody until now: if only others hear it, it is no use here as a relay. What an
// instance says of itself goes before what others say of it.
func (m *Messenger) applyRoster(t *ReceiveResult, roster []evidence.Member, now time.Duration) {
	for _, r := range roster {
		if r.ID == m.Self.ID {
			continue
		}
		i := m.fleet.GetOrAdd(r.ID, now)
		if !i.Alive && (i.epoch == 0 || now-m.alone < HeartbeatInterval) {
			m.touch(t, r.ID, now)
		}
		if now-i.spoke > unheardFor {
			i.Leaving = r.Leaving
			m.describe(i, r.DataCentre, r.SlowLink, r.Stopping)
		}
	}
}

// touch takes in a sign of life.
func (m *Messenger) touch(t *ReceiveResult, id uint32, now time.Duration) *Instance {
	i, returned := m.fleet.MarkAlive(id, now)
	if returned {
		m.hub.MembersChanged()
		t.NewlyAlive = append(t.NewlyAlive, i)
	}
	return i
}

func (m *Messenger) describe(i *Instance, dataCentre string, slow, stopping bool) {
	if i.DataCentre != dataCentre || i.SlowLink != slow || i.Stopping != stopping {
		i.DataCentre, i.SlowLink, i.Stopping = dataCentre, slow, stopping
		m.hub.MembersChanged()
	}
}

// answer answers a datagram: a greeting by the roster, and by telling the others
// of a newcomer; one that went astray by the roster and a greeting, because
// sender and receiver know different members. An instance that was alone
// introduces itself.
func (m *Messenger) answer(t *ReceiveResult, sender uint32, kind relay.Kind, astray, alone bool, now time.Duration) error {
	correct := astray && m.mayCorrect(sender, now)
	if kind == relay.Join || correct {
		if err := t.add(m.roster(sender, now)); err != nil {
			return err
		}
	}
	if correct {
		if err := t.add(m.join([]uint32{sender})); err != nil {
			return err
		}
	}
	if kind == relay.Join && len(t.NewlyAlive) > 0 {
		if err := t.add(m.Publish(evidence.Message{Members: residents(t.NewlyAlive)}, true, now)); err != nil {
			return err
		}
	}
	switch {
	case alone && !m.fleet.Isolated():
		return t.add(m.Announce(true, now))
	case m.hub.RelayChanged(now):
		return t.add(m.Publish(evidence.Message{}, false, now))
	}
	return nil
}

// mayCorrect reports whether an instance may be told once more that it knows too
// little, and marks that it was.
func (m *Messenger) mayCorrect(id uint32, now time.Duration) bool {
	if at, ok := m.corrected[id]; ok && now-at <= rosterInterval {
		return false
	}
	m.corrected[id] = now
	return true
}

func (t *ReceiveResult) add(out []relay.Datagram, err error) error {
	t.Outgoing = append(t.Outgoing, out...)
	return err
}
