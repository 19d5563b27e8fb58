package fleet

import (
	"maps"
	"slices"
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/relay"
)

const (
	// TickInterval is how often Pulse should be called.
	TickInterval = 200 * time.Millisecond
	// announceEvery is how often an instance says its data centre, for those
	// who missed the first time.
	announceEvery = 2 * time.Second
	// startFor is the time after the start during which it says so with every
	// heartbeat: whoever is about to start as well misses some.
	startFor = 2 * time.Second
	// joinUsually is how many instances that aren't heard are greeted at each
	// pulse, joinAlone how many by one that hears nobody, beside joinRelays
	// that are likely to be relays.
	joinUsually = 1
	joinAlone   = 4
	joinRelays  = 3
	// rosterEach is how many instances fit into one message of a roster.
	rosterEach = 60
	// rosterInterval is the least time between two rosters for one instance that
	// didn't ask for them.
	rosterInterval = HeartbeatInterval
)

// Settings of a Messenger.
type Settings struct {
	Self relay.Member
	// Epoch tells this start of the instance from others.
	Epoch uint32
	// Seeds are instances to join when none is known.
	Seeds []uint32
	// Leaving reports whether callers must not be sent here, Stopping whether this
	// instance will be gone soon.
	Leaving, Stopping func() bool
}

// Messenger is this instance's side of what instances tell each other: it
// knows who lives, gives messages their numbers, and finds out which messages
// are new. It isn't safe for concurrent use.
type Messenger struct {
	Settings
	fleet    *Fleet
	hub      *relay.Hub
	sequence uint32
	// spoke is when this instance last said anything, announced when it last
	// announced itself.
	spoke, announced time.Duration
	// started is the first pulse, once there was one.
	started time.Duration
	pulsed  bool
	// alone is when this instance last heard nobody.
	alone time.Duration
	// turn makes each choice of whom to ask another one.
	turn uint32
	// corrected is when instances that know too little were last told so.
	corrected map[uint32]time.Duration
}

// NewMessenger returns a messenger that knows nobody.
func NewMessenger(s Settings) *Messenger {
	f := New()
	return &Messenger{
		Settings: s, fleet: f, hub: relay.NewHub(s.Self, f.Members),
		spoke: -announceEvery, announced: -announceEvery, alone: -HeartbeatInterval, corrected: make(map[uint32]time.Duration),
	}
}

// Fleet returns the other instances.
func (m *Messenger) Fleet() *Fleet { return m.fleet }

// Hub returns the part that sends on what others say.
func (m *Messenger) Hub() *relay.Hub { return m.hub }

// Rank is the place of this instance among the living ones, 0 the first.
func (m *Messenger) Rank() int { return m.fleet.Rank(m.Self) }

// MarkListed takes in that the store lists an instance, which may not be heard yet.
func (m *Messenger) MarkListed(id uint32, dataCentre string, slow bool, now time.Duration) {
	i := m.fleet.GetOrAdd(id, now)
	i.Listed = true
	if i.DataCentre == "" {
		i.DataCentre, i.SlowLink = dataCentre, slow
	}
	m.hub.MembersChanged()
}

// MarkUnlisted takes in that the store lists an instance no more.
func (m *Messenger) MarkUnlisted(id uint32) {
	if i, ok := m.fleet.all[id]; ok {
		i.Listed = false
	}
}

// Publish tells a message to everybody; an urgent one waits for no round.
func (m *Messenger) Publish(msg evidence.Message, urgent bool, now time.Duration) ([]relay.Datagram, error) {
	m.sequence++
	msg.Sequence = m.sequence
	b, err := m.encode(msg)
	if err != nil {
		return nil, err
	}
	m.spoke = now
	return m.hub.Publish(msg.Sequence, b, urgent, now), nil
}

func (m *Messenger) encode(msg evidence.Message) ([]byte, error) {
	msg.Source, msg.Epoch, msg.Leaving, msg.Stopping = m.Self.ID, m.Epoch, m.Leaving(), m.Stopping()
	return evidence.Encode(msg)
}

// Announce tells everybody what they need to know of this instance.
func (m *Messenger) Announce(urgent bool, now time.Duration) ([]relay.Datagram, error) {
	m.announced = now
	return m.Publish(m.announcement(), urgent, now)
}

func (m *Messenger) announcement() evidence.Message {
	return evidence.Message{DataCentre: m.Self.DataCentre, SlowLink: m.Self.SlowLink}
}

// Tick does what time alone brings: it finds out who has fallen silent, sends
// a heartbeat if nothing else was said, and greets those that aren't heard.
func (m *Messenger) Tick(now time.Duration) (fell []*Instance, out []relay.Datagram, err error) {
	known := len(m.fleet.all)
	fell = m.fleet.ExpireSilent(now)
	if len(fell) > 0 || len(m.fleet.all) != known {
		m.hub.MembersChanged()
	}
	introduce := now-m.announced >= m.announceInterval(now)
	switch {
	case introduce:
		out, err = m.Announce(false, now)
	case now-m.spoke >= HeartbeatInterval-TickInterval/2:
		out, err = m.Publish(evidence.Message{}, false, now)
	}
	if err != nil {
		return fell, out, err
	}
	joins, err := m.join(m.joinTargets(now))
	return fell, append(out, joins...), err
}

// joinTargets are the instances to ask now. One that hears nobody asks
// those first that are relays of its data centre if they live: all that start
// with it do the same, and have each other's addresses from there.
func (m *Messenger) joinTargets(now time.Duration) []uint32 {
	m.turn++
	turn := m.turn ^ relay.Hash(m.Self.ID)
	if !m.fleet.Isolated() {
		return m.fleet.unheard(joinUsually, turn, now)
	}
	m.meetSeeds(now)
	to := m.hub.CandidateRelays(joinRelays)
	for _, id := range m.fleet.unheard(joinAlone, turn, now) {
		if !slices.Contains(to, id) {
			to = append(to, id)
		}
	}
	return to
}

// Join greets others at once, if none is heard. It is for the moment at which
// the store has told who is listed: after a loss of everything callers come
// before the next pulse.
func (m *Messenger) Join(now time.Duration) ([]relay.Datagram, error) {
	if !m.fleet.Isolated() {
		return nil, nil
	}
	return m.join(m.joinTargets(now))
}

// introductions is how often this instance introduces itself.
func (m *Messenger) announceInterval(now time.Duration) time.Duration {
	if !m.pulsed {
		m.started, m.pulsed = now, true
	}
	if now-m.started < startFor {
		return HeartbeatInterval - TickInterval/2
	}
	return announceEvery
}

// meetSeeds makes the seeds known. They are forgotten while they are silent, as
// others that aren't listed.
func (m *Messenger) meetSeeds(now time.Duration) {
	for _, id := range m.Seeds {
		if id != m.Self.ID {
			m.fleet.GetOrAdd(id, now)
		}
	}
	m.hub.MembersChanged()
}

// join asks instances for their rosters.
func (m *Messenger) join(to []uint32) ([]relay.Datagram, error) {
	if len(to) == 0 {
		return nil, nil
	}
	b, err := m.encode(m.announcement())
	if err != nil {
		return nil, err
	}
	return []relay.Datagram{{To: to, Kind: relay.Join, Messages: b}}, nil
}

// roster tells an instance that has just come, or was cut off, who lives.
func (m *Messenger) roster(to uint32, now time.Duration) (out []relay.Datagram, err error) {
	var others []*Instance
	for _, id := range slices.Sorted(maps.Keys(m.fleet.all)) {
		i := m.fleet.all[id]
		// Only those that spoke themselves: what is hearsay here, and there again,
		// would keep a dead instance alive for ever.
		if now-i.spoke <= unheardFor && id != to {
			others = append(others, i)
		}
	}
	alive := residents(others)
	for first := true; first || len(alive) > 0; first = false {
		msg := m.announcement()
		n := min(len(alive), rosterEach)
		msg.Members, alive = alive[:n], alive[n:]
		b, err := m.encode(msg)
		if err != nil {
			return out, err
		}
		out = append(out, relay.Datagram{To: []uint32{to}, Kind: relay.Deliver, Messages: b})
	}
	return out, nil
}

// residents describes instances whose data centre is known.
func residents(instances []*Instance) (list []evidence.Member) {
	for _, i := range instances {
		if i.DataCentre != "" {
			list = append(list, evidence.Member{ID: i.ID, DataCentre: i.DataCentre, SlowLink: i.SlowLink, Leaving: i.Leaving, Stopping: i.Stopping})
		}
	}
	return list
}

// Step does what is due for others, and Due says when that is.
func (m *Messenger) Step(now time.Duration) []relay.Datagram { return m.hub.Step(now) }

// Due is when to call Step.
func (m *Messenger) Due() time.Duration { return m.hub.Due() }

// Sequence is the number of the last message that was told to all.
func (m *Messenger) Sequence() uint32 { return m.sequence }
