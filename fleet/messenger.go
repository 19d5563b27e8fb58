package fleet

import (
	"maps"
	"slices"
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/relay"
)

const (
	// TickInterval is how often Tick should be called.
	TickInterval = 200 * time.Millisecond
	// announceInterval is how often an instance announces its data centre, for
	// instances that missed earlier announcements.
	announceInterval = 2 * time.Second
	// startupPeriod is the time after the start in which each heartbeat is an
	// announcement: other instances that are starting as well miss some of
	// them.
	startupPeriod = 2 * time.Second
	// joinTargetsConnected is the number of silent instances that are sent a
	// join at each tick, joinTargetsIsolated that number for an instance that
	// hears no other, in addition to joinTargetsRelays probable relays.
	joinTargetsConnected = 1
	joinTargetsIsolated  = 4
	joinTargetsRelays    = 3
	// membersPerMessage is the number of members that fit into one message.
	membersPerMessage = 60
	// correctionInterval is the minimum time between two unsolicited member
	// lists for the same instance.
	correctionInterval = HeartbeatInterval
)

// Settings of a Messenger.
type Settings struct {
	Self relay.Member
	// Epoch identifies this run of the instance.
	Epoch uint32
	// Seeds are instances to join when no other is alive.
	Seeds []uint32
	// Leaving reports whether this instance must not receive callers, Stopping
	// whether it is about to stop.
	Leaving, Stopping func() bool
	// Partitioned reports whether this instance fails to connect to any backend server.
	Partitioned func() bool
	// ServiceAttempts returns the totals of the services that this instance used recently,
	// for announcements and heartbeats.
	ServiceAttempts func() []evidence.ServiceAttempts
	// SuspectRequests returns the requests under which servers ended recently as this instance saw,
	// for announcements and heartbeats.
	SuspectRequests func() []evidence.SuspectRequest
}

// Messenger is the messaging endpoint of one instance: it tracks which
// instances are alive, assigns sequence numbers, and detects duplicate
// messages. It is not safe for concurrent use.
type Messenger struct {
	Settings
	fleet    *Fleet
	hub      *relay.Hub
	sequence uint32
	// lastPublish is when this instance last published a message, lastAnnounce
	// when it last announced itself.
	lastPublish, lastAnnounce time.Duration
	// firstTick is the time of the first call of Tick; valid if ticked is set.
	firstTick time.Duration
	ticked    bool
	// lastIsolated is when this instance last heard no other.
	lastIsolated time.Duration
	// joinRound varies the choice of join targets.
	joinRound uint32
	// lastCorrection is when instances that know too few members were last sent
	// a member list.
	lastCorrection map[uint32]time.Duration
}

// NewMessenger returns a messenger that knows no other instance.
func NewMessenger(s Settings) *Messenger {
	f := New()
	return &Messenger{
		Settings: s, fleet: f, hub: relay.NewHub(s.Self, f.Members),
		lastPublish: -announceInterval, lastAnnounce: -announceInterval, lastIsolated: -HeartbeatInterval, lastCorrection: make(map[uint32]time.Duration),
	}
}

// Fleet returns the other instances.
func (m *Messenger) Fleet() *Fleet { return m.fleet }

// Hub returns the relay hub of this instance.
func (m *Messenger) Hub() *relay.Hub { return m.hub }

// Rank returns the position of this instance among the live ones, starting at
// 0.
func (m *Messenger) Rank() int { return m.fleet.Rank(m.Self) }

// MarkListed records that the store lists an instance, which may not have been
// heard yet.
func (m *Messenger) MarkListed(id uint32, dataCentre string, slowLink bool, now time.Duration) {
	i := m.fleet.GetOrAdd(id, now)
	i.Listed = true
	if i.DataCentre == "" {
		i.DataCentre, i.SlowLink = dataCentre, slowLink
	}
	m.hub.MembersChanged()
}

// MarkUnlisted records that the store no longer lists an instance.
func (m *Messenger) MarkUnlisted(id uint32) {
	if i, ok := m.fleet.instances[id]; ok {
		i.Listed = false
	}
}

// Publish broadcasts a message; an urgent one is forwarded with less delay.
func (m *Messenger) Publish(msg evidence.Message, urgent bool, now time.Duration) ([]relay.Datagram, error) {
	m.sequence++
	msg.Sequence = m.sequence
	b, err := m.encode(msg)
	if err != nil {
		return nil, err
	}
	m.lastPublish = now
	return m.hub.Publish(msg.Sequence, b, urgent, now), nil
}

func (m *Messenger) encode(msg evidence.Message) ([]byte, error) {
	msg.Source, msg.Epoch, msg.Leaving, msg.Stopping, msg.Partitioned = m.Self.ID, m.Epoch, m.Leaving(), m.Stopping(), m.Partitioned()
	return evidence.Encode(msg)
}

// Announce broadcasts the description of this instance.
func (m *Messenger) Announce(urgent bool, now time.Duration) ([]relay.Datagram, error) {
	m.lastAnnounce = now
	msg := m.announcement()
	msg.ServiceAttempts, msg.SuspectRequests = m.ServiceAttempts(), m.SuspectRequests()
	return m.Publish(msg, urgent, now)
}

func (m *Messenger) announcement() evidence.Message {
	return evidence.Message{Announcement: &evidence.Announcement{DataCentre: m.Self.DataCentre, SlowLink: m.Self.SlowLink}}
}

// Tick does the periodic work: it marks silent instances as dead, sends a
// heartbeat if nothing else was published, and sends joins to instances that
// are not heard.
func (m *Messenger) Tick(now time.Duration) (silenced []*Instance, out []relay.Datagram, err error) {
	known := len(m.fleet.instances)
	silenced = m.fleet.ExpireSilent(now)
	if len(silenced) > 0 || len(m.fleet.instances) != known {
		m.hub.MembersChanged()
	}
	announce := now-m.lastAnnounce >= m.currentAnnounceInterval(now)
	switch {
	case announce:
		out, err = m.Announce(false, now)
	case now-m.lastPublish >= HeartbeatInterval-TickInterval/2:
		out, err = m.Publish(evidence.Message{ServiceAttempts: m.ServiceAttempts(), SuspectRequests: m.SuspectRequests()}, false, now)
	}
	if err != nil {
		return silenced, out, err
	}
	joins, err := m.joinDatagrams(m.joinTargets(now))
	return silenced, append(out, joins...), err
}

// joinTargets returns the instances to send a join to. An isolated instance
// starts with those that would be relays of its data centre if they are alive:
// all instances that start with it do the same, and receive each other's
// addresses from there.
func (m *Messenger) joinTargets(now time.Duration) []uint32 {
	m.joinRound++
	turn := m.joinRound ^ relay.Hash(m.Self.ID)
	if !m.fleet.Isolated() {
		return m.fleet.joinCandidates(joinTargetsConnected, turn, now)
	}
	m.addSeeds(now)
	to := m.hub.CandidateRelays(joinTargetsRelays)
	for _, id := range m.fleet.joinCandidates(joinTargetsIsolated, turn, now) {
		if !slices.Contains(to, id) {
			to = append(to, id)
		}
	}
	return to
}

// Join sends joins at once if no other instance is alive. It is called when the
// list of instances has been read from the store: after a restart of the whole
// fleet, callers arrive before the next tick.
func (m *Messenger) Join(now time.Duration) ([]relay.Datagram, error) {
	if !m.fleet.Isolated() {
		return nil, nil
	}
	return m.joinDatagrams(m.joinTargets(now))
}

// currentAnnounceInterval returns the time between announcements, which is
// shorter during startupPeriod.
func (m *Messenger) currentAnnounceInterval(now time.Duration) time.Duration {
	if !m.ticked {
		m.firstTick, m.ticked = now, true
	}
	if now-m.firstTick < startupPeriod {
		return HeartbeatInterval - TickInterval/2
	}
	return announceInterval
}

// addSeeds adds the seeds to the known instances. Like other unlisted
// instances, silent seeds are removed again.
func (m *Messenger) addSeeds(now time.Duration) {
	for _, id := range m.Seeds {
		if id != m.Self.ID {
			m.fleet.GetOrAdd(id, now)
		}
	}
	m.hub.MembersChanged()
}

// joinDatagrams asks instances for their member lists.
func (m *Messenger) joinDatagrams(to []uint32) ([]relay.Datagram, error) {
	if len(to) == 0 {
		return nil, nil
	}
	b, err := m.encode(m.announcement())
	if err != nil {
		return nil, err
	}
	return []relay.Datagram{{To: to, Kind: relay.Join, Messages: b}}, nil
}

// memberListDatagrams tells an instance that is new or was cut off which
// instances are alive.
func (m *Messenger) memberListDatagrams(to uint32, now time.Duration) (out []relay.Datagram, err error) {
	var others []*Instance
	for _, id := range slices.Sorted(maps.Keys(m.fleet.instances)) {
		i := m.fleet.instances[id]
		// Only instances that were heard directly: if two instances passed on
		// each other's reports, a dead instance would stay alive for ever.
		if now-i.lastMessage <= directSilenceTimeout && id != to {
			others = append(others, i)
		}
	}
	alive := describeMembers(others)
	for first := true; first || len(alive) > 0; first = false {
		msg := m.announcement()
		n := min(len(alive), membersPerMessage)
		msg.Members, alive = alive[:n], alive[n:]
		b, err := m.encode(msg)
		if err != nil {
			return out, err
		}
		out = append(out, relay.Datagram{To: []uint32{to}, Kind: relay.Deliver, Messages: b})
	}
	return out, nil
}

// describeMembers describes the instances whose data centre is known.
func describeMembers(instances []*Instance) (list []evidence.Member) {
	for _, i := range instances {
		if i.DataCentre != "" {
			list = append(list, evidence.Member{ID: i.ID, DataCentre: i.DataCentre, SlowLink: i.SlowLink, Leaving: i.Leaving, Stopping: i.Stopping})
		}
	}
	return list
}

// Step returns the datagrams of the relay hub that are due.
func (m *Messenger) Step(now time.Duration) []relay.Datagram { return m.hub.Step(now) }

// Due returns when to call Step.
func (m *Messenger) Due() time.Duration { return m.hub.Due() }

// Sequence returns the sequence number of the last broadcast message.
func (m *Messenger) Sequence() uint32 { return m.sequence }
