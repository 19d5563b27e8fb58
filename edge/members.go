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

// manySilent is the share of instances whose silence at one moment means that
// callers' requests go unserved unheard. One instance that is stopped or killed
// is less at any size.
const manySilent = 0.05

// slowBelow is the bandwidth in Mbit/s below which an instance leaves to others
// what goes out once for each of many: rounds, and what the store said.
const slowBelow = 80

func (e *Edge) hasSlowLink() bool {
	return e.settings.LinkMbps > 0 && e.settings.LinkMbps < slowBelow
}

// selfMember is this instance as others see it.
func (e *Edge) selfMember() relay.Member {
	return relay.Member{ID: e.self, DataCentre: e.settings.DataCentre, Alive: true, SlowLink: e.hasSlowLink()}
}

// newUsageCounters returns counters that admit nothing until countShare: as long as it
// knows no other instance, each one of a fleet that starts would count on the
// whole of every rate.
func newUsageCounters() *usage.Counters {
	c := usage.NewCounters()
	c.RateShare, c.StartupShare = 0, 0
	return c
}

// countShare takes in which instances are known and heard by now. It waits for
// the configuration, which is read together with the list of instances.
func (e *Edge) countShare() {
	if e.state.table != nil {
		fleet := e.state.messenger.Fleet()
		e.state.usage.RateShare, e.state.usage.StartupShare = fleet.AliveShare(), fleet.AliveSinceStartShare()
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
		ids = append(ids, ipv4Number(a.Addr()))
	}
	return ids
}

// found takes in that instances are heard.
func (e *Edge) found(returned []*fleet.Instance) {
	for _, m := range returned {
		event.PeerHeard.Log(e.log, slog.String("peer", addrPort(m.ID, 0).Addr().String()))
	}
	if len(returned) > 0 {
		e.countShare()
	}
}

// lost takes in that instances have fallen silent, of so many.
func (e *Edge) lost(fell []*fleet.Instance, all int, now time.Duration) {
	s := &e.state
	for _, m := range fell {
		s.usage.ForgetInstance(m.ID)
		s.placer.RemoveInstance(m.ID)
		event.PeerSilent.Log(e.log, slog.String("peer", addrPort(m.ID, 0).Addr().String()),
			slog.Duration("silence", now-m.LastHeard))
	}
	if float64(len(fell)) > manySilent*float64(all) {
		s.placer.RecordInstanceLoss(now)
	}
	e.countShare()
}
