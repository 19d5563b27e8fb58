package edge

import (
	"context"
	"log/slog"
	"math"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/event"
	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/usage"
)

const (
	// handOnAfter is how long a delegate gathers messages before it hands
	// them on in one datagram.
	handOnAfter = 8 * time.Millisecond
	// tick is how often the heart looks at members, servers and age.
	tick = 200 * time.Millisecond
	// surely sends a message to two delegates of each data centre.
	surely = 2
	// knownEach is how many other instances an introduction names. They are
	// picked at random, so that a few introductions name all of a data centre.
	knownEach = 12
	// maxDatagramIn is the largest datagram taken in.
	maxDatagramIn = 4 << 10
)

// say sends a message to everybody. The lock must be held.
func (e *Edge) say(m evidence.Message, delegates int) {
	e.state.sequence++
	m.Source, m.Epoch, m.Sequence = e.self, e.epoch, e.state.sequence
	m.Leaving = !e.readyLocked()
	b, err := evidence.Encode(m)
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
		return
	}
	e.state.spoke = e.now()
	e.send(evidence.Datagram(false, b), e.neighbours())
	e.send(evidence.Datagram(true, b), e.delegates(delegates))
}

// send writes a datagram to some instances. One that can't be written is as
// good as lost on the way, which every message allows for.
func (e *Edge) send(d []byte, to []uint32) {
	for _, id := range to {
		_, _ = e.socket.WriteToUDPAddrPort(d, address(id, e.peerPort))
		e.metrics.datagrams.Inc()
	}
}

// introduce is a beat that tells the data centre.
func (e *Edge) introduce() evidence.Message {
	m := evidence.Message{DataCentre: e.settings.DataCentre, SlowLink: e.slowLink()}
	for id, other := range e.state.members {
		if other.alive && len(m.Known) < knownEach {
			m.Known = append(m.Known, id)
		}
	}
	return m
}

// heart sends beats, and looks at what time alone changes.
func (e *Edge) heart(ctx context.Context) error {
	e.mu.Lock()
	e.hello()
	e.mu.Unlock()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		e.mu.Lock()
		e.pulse(e.now())
		e.mu.Unlock()
	}
}

func (e *Edge) pulse(now time.Duration) {
	s := &e.state
	e.checkMembers(now)
	e.expireServers(now)
	e.noteStore(now)
	e.noteLeftOut(now)
	switch {
	case now-s.beat >= introduceEvery:
		s.beat = now
		e.say(e.introduce(), 1)
	case now-s.spoke >= beatEvery-tick/2:
		e.say(evidence.Message{}, 1)
	}
}

// hello introduces this instance to those it knows of and to the seeds.
func (e *Edge) hello() {
	for _, seed := range e.settings.Seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue
		}
		if id, err := addressNumber(a.Addr().String()); err == nil && id != e.self {
			e.meet(id)
		}
	}
	e.state.beat = e.now()
	e.say(e.introduce(), 1)
}

// meet makes an instance known of which only the address is known.
func (e *Edge) meet(id uint32) {
	if _, ok := e.state.members[id]; !ok {
		e.state.members[id] = &member{id: id, heard: e.now()}
	}
}

// receive takes in datagrams.
func (e *Edge) receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	b := make([]byte, maxDatagramIn)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "datagrams")
		}
		e.take(b[:n])
	}
}

// take takes in one datagram and, as a delegate, keeps it for handing on.
func (e *Edge) take(d []byte) {
	messages, handOn, err := evidence.Decode(d)
	if err != nil {
		if e.budget.Take(e.now(), quietShare) {
			event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
		}
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if handOn {
		e.handOn(append([]byte(nil), d[1:]...))
	}
	now := e.now()
	for i := range messages {
		if messages[i].Source != e.self {
			e.hear(&messages[i], now)
		}
	}
}

// handOn keeps messages for the neighbours until more have come, or a moment
// has passed.
func (e *Edge) handOn(messages []byte) {
	s := &e.state
	if len(s.relay) == 0 {
		time.AfterFunc(handOnAfter, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.flushRelay()
		})
	}
	s.relay = append(s.relay, messages)
}

func (e *Edge) flushRelay() {
	s := &e.state
	waiting := s.relay
	s.relay = nil
	to := e.neighbours()
	for len(waiting) > 0 {
		size, n := 1, 0
		for n < len(waiting) && (n == 0 || size+len(waiting[n]) <= evidence.MaxDatagram) {
			size += len(waiting[n])
			n++
		}
		e.send(evidence.Datagram(false, waiting[:n]...), to)
		waiting = waiting[n:]
	}
}

// hear takes in one message.
func (e *Edge) hear(m *evidence.Message, now time.Duration) {
	s := &e.state
	p := e.touch(m.Source, now)
	restarted := p.epoch != m.Epoch
	if !p.fresh(m.Epoch, m.Sequence) {
		return
	}
	if m.DataCentre != "" {
		p.dataCentre = m.DataCentre
		p.slow = m.SlowLink
	}
	for _, id := range m.Known {
		if id != e.self {
			e.meet(id)
		}
	}
	if restarted {
		// It knows nothing of this instance yet; a beat makes it known there
		// at once instead of within a beat's time.
		e.answerHello(m.Source)
		s.placer.Forget(m.Source)
	}
	if p.latest(m.Sequence) {
		p.leaving = m.Leaving
	}
	for _, u := range m.Usage {
		s.usage.Heard(usage.Word{
			Instance: m.Source, Epoch: m.Epoch, Workspace: u.Workspace, Count: u.Count, FromStart: p.fromStart,
		}, now)
	}
	for _, a := range m.Attempts {
		e.hearAttempt(m.Source, a, p.latest(m.Sequence), now)
	}
	for _, service := range m.Refused {
		s.placer.RefusedAt(service, now)
	}
	for _, n := range m.Notices {
		if n.StampUS != 0 {
			s.reader = m.Source
		}
		e.hearNotice(n, now)
	}
}

func (e *Edge) answerHello(to uint32) {
	e.state.sequence++
	m := e.introduce()
	m.Source, m.Epoch, m.Sequence = e.self, e.epoch, e.state.sequence
	m.Leaving = !e.readyLocked()
	b, err := evidence.Encode(m)
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
		return
	}
	e.send(evidence.Datagram(false, b), []uint32{to})
}

func (e *Edge) hearAttempt(from uint32, a evidence.Attempt, latest bool, now time.Duration) {
	s := &e.state
	if latest {
		s.placer.Outstanding(a.Server, from, int(a.Outstanding), now)
	}
	if a.Number > 0 {
		s.repeatsAt(a.Server, a.Number, now)
	}
	if a.Ended || a.Result == health.Late {
		s.placer.Learn(a.Server, a.Result, false, milliseconds(a.TookMS), milliseconds(a.WorkMS), now)
	}
	if a.Final != evidence.NotFinal {
		s.placer.ServedAt(a.Server, a.Final == evidence.Served, now)
	}
}

func milliseconds(ms uint16) time.Duration { return time.Duration(ms) * time.Millisecond }

func wireMilliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}
