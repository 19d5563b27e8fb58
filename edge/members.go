package edge

import (
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/fleet"
	"foxtailspoke/mechanism"
	"foxtailspoke/relay"
	"foxtailspoke/usage"
)

// massSilenceShare is the share of the other instances that must become silent
// at once for requests to be assumed lost without a record of them. With 20 or
// more other instances, a single one that stops or crashes doesn't reach it.
const massSilenceShare = 0.05

// slowLinkMbps is the bandwidth below which an instance leaves fan-out traffic,
// such as rounds and the contents of the store, to others.
const slowLinkMbps = 80

func (e *Edge) hasSlowLink() bool {
	return e.settings.LinkMbps > 0 && e.settings.LinkMbps < slowLinkMbps
}

// selfMember describes this instance to the others.
func (e *Edge) selfMember() relay.Member {
	return relay.Member{ID: e.self, DataCentre: e.settings.DataCentre, Alive: true, SlowLink: e.hasSlowLink()}
}

// newUsageCounters returns counters that admit nothing until updateRateShare is
// called: while a fleet starts, an instance that doesn't know the others yet
// would claim the whole of every rate.
func newUsageCounters(disabled mechanism.Disabled) *usage.Counters {
	c := usage.NewCounters()
	c.RateShare, c.StartupShare = 0, 0
	c.DisableReserve, c.Offset = !disabled.Enabled(mechanism.Reserve), rand.Float64()
	return c
}

// updateRateShare sets this instance's share of the rates, and the coverage of its
// retry counts, from the known and reachable instances. It waits for the configuration, which is read together
// with the list of instances.
func (e *Edge) updateRateShare() {
	if e.state.table != nil {
		fleet := e.state.messenger.Fleet()
		e.state.usage.RateShare, e.state.usage.StartupShare = fleet.AliveShare(), fleet.AliveSinceStartShare()
		e.state.budgets.SetCoverage(fleet.AliveShare(), e.now())
	}
}

// contactInterval is the time for which a computed contact is reused.
const contactInterval = 10 * time.Millisecond

// contactCache holds a contact with the time at which it was computed; 0 if it wasn't.
type contactCache struct {
	fleet.Contact
	at time.Duration
}

// contact returns how recently messages of the other instances were received. The lock must
// be held.
func (e *Edge) contact(now time.Duration) fleet.Contact {
	c := &e.state.contact
	if c.at == 0 || now-c.at >= contactInterval {
		*c = contactCache{e.state.messenger.Fleet().Contact(now), now}
	}
	return c.Contact
}

// seedIDs returns the instances named in the settings as seeds.
func (e *Edge) seedIDs() []uint32 {
	var ids []uint32
	for _, seed := range e.settings.Seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil || !a.Addr().Is4() {
			event.EntryIgnored.Log(e.log, slog.String("seed", seed))
			continue
		}
		ids = append(ids, ipv4Number(a.Addr()))
	}
	return ids
}

// handlePeersReturned handles instances that are heard again.
func (e *Edge) handlePeersReturned(returned []*fleet.Instance) {
	for _, m := range returned {
		event.PeerReachable.Log(e.log, slog.String("peer", addrPort(m.ID, 0).Addr().String()))
	}
	if len(returned) > 0 {
		e.updateRateShare()
	}
}

// handlePeersSilent handles instances that have become silent, out of the given
// number of other instances.
func (e *Edge) handlePeersSilent(silent []*fleet.Instance, all int, now time.Duration) {
	s := &e.state
	for _, m := range silent {
		s.usage.ForgetInstance(m.ID)
		s.placer.RemoveInstance(m.ID)
		s.serverBytes.RemoveInstance(m.ID)
		e.forgetDemand(m.ID)
		event.PeerUnreachable.Log(e.log, slog.String("peer", addrPort(m.ID, 0).Addr().String()),
			slog.Duration("silence", now-m.LastHeard))
	}
	if float64(len(silent)) > massSilenceShare*float64(all) {
		s.placer.RecordInstanceLoss(now)
	}
	e.updateRateShare()
}
