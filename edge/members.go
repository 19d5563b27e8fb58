package edge

import (
	"log/slog"
	"net/netip"
	"time"

	"foxtailspoke/event"
	"foxtailspoke/fleet"
	"foxtailspoke/relay"
	"foxtailspoke/usage"
)

// massSilenceShare is the share of instances whose silence at one moment means that
// callers' requests go unserved unheard. One instance that is stopped or killed
// is less at any size.
const massSilenceShare = 0.05

// slowLinkMbps is the bandwidth in Mbit/s below which an instance leaves to others
// what goes out once for each of many: rounds, and what the store said.
const slowLinkMbps = 80

func (e *Edge) hasSlowLink() bool {
	return e.settings.LinkMbps > 0 && e.settings.LinkMbps < slowLinkMbps
}

// selfMember is this instance as others see it.
func (e *Edge) selfMember() relay.Member {
	return relay.Member{ID: e.self, DataCentre: e.settings.DataCentre, Alive: true, Slow: e.hasSlowLink()}
}

// newUsageCounters returns counters that admit nothing until countShare: as long as it
// knows no other instance, each one of a fleet that starts would count on the
// whole of every rate.
func newUsageCounters() *usage.Counters {
	c := usage.NewCounters()
	c.Share, c.Fresh = 0, 0
	return c
}

// updateRateShare takes in which instances are known and heard by now. It waits for
// the configuration, which is read together with the list of instances.
func (e *Edge) updateRateShare() {
	if e.state.table != nil {
		fleet := e.state.messenger.Fleet()
		e.state.usage.Share, e.state.usage.Fresh = fleet.Heard(), fleet.Fresh()
	}
}

// seedIDs are the instances that the settings name.
func (e *Edge) seedIDs() []uint32 {
	var ids []uint32
	for _, seed := range e.settings.Seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil || !a.Addr().Is4() {
			event.EntryIgnored.Log(e.log, slog.String("seed", seed))
			continue
		}
		ids = append(ids, number(a.Addr()))
	}
	return ids
}

// handlePeersReturned takes in that instances are heard.
func (e *Edge) handlePeersReturned(returned []*fleet.Instance) {
	for _, m := range returned {
		event.PeerHeard.Log(e.log, slog.String("peer", address(m.ID, 0).Addr().String()))
	}
	if len(returned) > 0 {
		e.updateRateShare()
	}
}

// handlePeersSilent takes in that instances have fallen silent, of so many.
func (e *Edge) handlePeersSilent(fell []*fleet.Instance, all int, now time.Duration) {
	s := &e.state
	for _, m := range fell {
		s.usage.Forget(m.ID)
		s.placer.Forget(m.ID)
		event.PeerSilent.Log(e.log, slog.String("peer", address(m.ID, 0).Addr().String()),
			slog.Duration("silence", now-m.Heard))
	}
	if float64(len(fell)) > massSilenceShare*float64(all) {
		s.placer.Disturbed(now)
	}
	e.updateRateShare()
}
