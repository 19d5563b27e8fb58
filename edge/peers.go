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
	"foxtailspoke/fleet"
	"foxtailspoke/health"
	"foxtailspoke/relay"
	"foxtailspoke/usage"
)

// maxReceiveBytes is the size of the receive buffer for datagrams.
const maxReceiveBytes = 4 << 10

// publish sends a message to all instances; an urgent one isn't held back for
// the next round. The lock must be held.
func (e *Edge) publish(m evidence.Message, urgent bool) {
	now := e.now()
	before := e.state.messenger.Hub().Relay()
	e.sendOrLog(e.state.messenger.Publish(m, urgent, now))
	e.logRelayChange(before, now)
	e.runDueRounds(now)
}

// announceReadiness sends this instance's readiness to all instances at once.
func (e *Edge) announceReadiness() {
	now := e.now()
	e.sendOrLog(e.state.messenger.Announce(true, now))
	e.runDueRounds(now)
}

// announceIfChanged joins the fleet if no peer is heard, and announces a change
// of this instance's readiness without waiting for the next heartbeat. If it
// waited after a crash of all instances, callers would be directed to the few
// instances known to be ready and be delayed there.
func (e *Edge) announceIfChanged(now time.Duration) {
	s := &e.state
	e.sendOrLog(s.messenger.Join(now))
	if ready := e.readyLocked(); ready != s.announcedReady {
		s.announcedReady = ready
		e.announceReadiness()
	}
}

// logRelayChange logs a change of the relay that this instance sends to.
func (e *Edge) logRelayChange(before uint32, now time.Duration) {
	if after := e.state.messenger.Hub().Relay(); after != before && e.budget.Allow(now, routineLogShare) {
		event.RelayChanged.Log(e.log, slog.String("before", addrPort(before, 0).Addr().String()),
			slog.String("relay", addrPort(after, 0).Addr().String()))
	}
}

// runDueRounds runs the due rounds of the messenger and sets the timer for the
// next one. The lock must be held.
func (e *Edge) runDueRounds(now time.Duration) {
	s := &e.state
	due := s.messenger.Due()
	for ; due <= now; due = s.messenger.Due() {
		e.send(s.messenger.Step(now))
	}
	if s.roundDue != 0 && s.roundDue <= due {
		return
	}
	s.roundDue = due
	if s.roundTimer == nil {
		s.roundTimer = time.AfterFunc(due-now, e.onRoundTimer)
		return
	}
	s.roundTimer.Reset(due - now)
}

func (e *Edge) onRoundTimer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.roundDue = 0
	e.runDueRounds(e.now())
}

// sendOrLog logs err, if any, and sends the datagrams that could be encoded.
func (e *Edge) sendOrLog(datagrams []relay.Datagram, err error) {
	if err != nil {
		event.PeerMessageFailed.Log(e.log, slog.Any("error", err))
	}
	e.send(datagrams)
}

// send writes datagrams. Write errors are ignored like losses in the network,
// which the protocol tolerates.
func (e *Edge) send(datagrams []relay.Datagram) {
	for i := range datagrams {
		d := &datagrams[i]
		b := d.Encode()
		for _, id := range d.To {
			_, _ = e.socket.WriteToUDPAddrPort(b, addrPort(id, e.peerPort))
			e.metrics.datagrams.Inc()
			e.countBytesSent(purposeMessages, e.peerDataCentreLocked(id), len(b))
		}
	}
}

// sendHeartbeats sends heartbeats and runs the time-driven checks.
func (e *Edge) sendHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(fleet.TickInterval)
	defer ticker.Stop()
	for {
		e.mu.Lock()
		e.tick(e.now())
		e.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Edge) tick(now time.Duration) {
	s := &e.state
	e.observeStall(now)
	e.requestProof(now)
	all := len(s.messenger.Fleet().All())
	silent, datagrams, err := s.messenger.Tick(now)
	e.handlePeersSilent(silent, all, now)
	e.sendOrLog(datagrams, err)
	e.runDueRounds(now)
	e.updateLimiterInstances()
	e.updateLocality(now)
	e.announceIfChanged(now)
	e.expireServers(now)
	s.quarantine.Expire(now)
	e.updateAdmission(now)
	s.serverBytes.Expire(now)
	e.probeWhilePartitioned(now)
	e.logStoreAvailability(now)
	e.logDroppedLines(now)
}

// receiveDatagrams receives datagrams from peers until ctx ends.
func (e *Edge) receiveDatagrams(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	b := make([]byte, maxReceiveBytes)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "receiving datagrams")
		}
		e.metrics.datagramsReceived.Inc()
		e.handleDatagram(from, b[:n])
	}
}

// handleDatagram handles one datagram from a peer and sends what results from
// it.
func (e *Edge) handleDatagram(from netip.AddrPort, b []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	t, err := e.state.messenger.Receive(ipv4Number(from.Addr()), b, now)
	if err != nil && e.budget.Allow(now, routineLogShare) {
		event.PeerMessageFailed.Log(e.log, slog.String("peer", from.String()), slog.Any("error", err))
	}
	e.handlePeersReturned(t.NewlyAlive)
	for i := range t.Messages {
		e.applyMessage(&t.Messages[i], now)
	}
	e.send(t.Outgoing)
	e.runDueRounds(now)
}

// applyMessage applies one message of another instance.
func (e *Edge) applyMessage(m *fleet.ReceivedMessage, now time.Duration) {
	s := &e.state
	if m.Restarted {
		s.placer.RemoveInstance(m.Source)
		s.serverBytes.RemoveInstance(m.Source)
		e.forgetHolder(m.Source)
	}
	for _, u := range m.Usage {
		s.usage.ApplyReport(usage.Report{
			Instance: m.Source, Epoch: m.Epoch, Workspace: u.Workspace, Count: u.Count, ReceivedSinceStart: m.From.AliveSinceStart,
		}, now)
	}
	e.applyServiceAttempts(m, now)
	e.applyDemand(m)
	s.quarantine.Apply(suspectReports(m.SuspectRequests), now)
	for _, a := range m.Attempts {
		e.applyAttempt(m.Source, a, m.Latest, now)
	}
	for _, u := range m.Unserved {
		s.placer.RecordUnserved(u.Service, now)
		e.recordUnserved(u, now)
	}
	for _, n := range m.TableUpdates {
		if n.Table >= evidence.TableCount {
			// A later version of the program may know more tables.
			continue
		}
		if n.StoreClockUS != 0 {
			s.lastReader = m.Source
		}
		e.applyTableUpdate(n, now)
		e.observeHolder(m.Source, n)
	}
}

func (e *Edge) applyAttempt(from uint32, a evidence.Attempt, latest bool, now time.Duration) {
	s := &e.state
	if latest {
		s.placer.SetOutstanding(a.Server, from, int(a.Outstanding), now)
	}
	e.recordForAdmission(a, now)
	e.applyServerBytes(from, a, latest, now)
	if a.Ended || a.Result == health.Late {
		s.placer.RecordResult(a.Server, from, a.Result, milliseconds(a.LatencyMS), milliseconds(a.TypicalLatencyMS), now)
	}
	if a.Ended {
		e.applyPeerLimit(a, now)
	}
	if a.RequestOutcome.Final() {
		s.placer.RecordServerOutcome(a.Server, a.RequestOutcome == evidence.RequestServed, now)
	}
}

func milliseconds(ms uint16) time.Duration { return time.Duration(ms) * time.Millisecond }

func wireMilliseconds(d time.Duration) uint16 {
	return uint16(min(max(d.Milliseconds(), 0), math.MaxUint16))
}
