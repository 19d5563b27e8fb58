package quota

import (
	"slices"
	"time"

	"foxtailspoke/config"
)

// fault affects instances i and j for a time.
type fault func(f *fleet, i, j int, length time.Duration)

// scheduledFault is the second step of a fault, run at a later time.
type scheduledFault struct {
	at time.Duration
	do func()
}

// profile selects the kinds of faults in one history and their frequency. It
// has few kinds at a time, so that the fleet recovers its full limit between
// faults: a violation shows only at the full limit, which a fleet under all
// kinds at once doesn't reach.
type profile struct {
	faults []fault
	gap    time.Duration
	quiet  time.Duration
	flood  time.Duration
	// drain is the mean time between drains of all instances.
	drain time.Duration
}

func freeze(f *fleet, i, _ int, d time.Duration) { f.nodes[i].frozen = f.now + d }

func cutLink(f *fleet, i, j int, d time.Duration) { f.cutLinks[[2]int{i, j}] = f.now + d }

func replace(f *fleet, i, _ int, _ time.Duration) { f.nodes[i] = f.start() }

func evictIdle(f *fleet, i, _ int, _ time.Duration) { f.nodes[i].holder.EvictIdle(f.clock(f.nodes[i])) }

func newLimit(f *fleet, _, _ int, _ time.Duration) { f.changeLimit() }

func resize(f *fleet, _, _ int, _ time.Duration) { f.assign(1 + f.rng.IntN(4)) }

// reassignWhileCutOff reassigns an instance's parts while it is cut off from
// the table but still serving, so that it spends them for as long as it is
// allowed to.
func reassignWhileCutOff(f *fleet, i, _ int, d time.Duration) {
	f.nodes[i].tableCut = f.now + d
	f.assign(3, i)
}

// movePartsAndBack moves all or half of an instance's parts to another
// instance and back while the first is frozen.
func movePartsAndBack(f *fleet, i, j int, d time.Duration) {
	f.nodes[i].frozen = f.now + 3*freshTime + d
	f.moveParts(i, j, 1+f.rng.IntN(2))
	back := f.now + 2*freshTime
	f.scheduled = append(f.scheduled, scheduledFault{at: back, do: func() { f.moveParts(j, i, 1) }})
}

// moveParts writes a row that moves 1/divisor of one holder's parts to
// another.
func (f *fleet) moveParts(from, to, divisor int) {
	r := f.newest()
	r.shard.Holders = slices.Clone(r.shard.Holders)
	gained := 0
	for k := range r.shard.Holders {
		h := &r.shard.Holders[k]
		if h.Instance == f.nodes[from].id {
			moved := h.Parts - h.Parts/divisor*(divisor-1)
			h.Parts -= moved
			gained += moved
		}
	}
	r.shard.Holders = slices.DeleteFunc(r.shard.Holders, func(h config.Holder) bool { return h.Parts == 0 })
	if gained == 0 || from == to {
		return
	}
	since := uint64(len(f.rows) - 1)
	r.shard.Holders = append(r.shard.Holders, config.Holder{Instance: f.nodes[to].id, Parts: gained, Since: since})
	f.write(r)
}

func (f *fleet) randomProfile() profile {
	all := []fault{freeze, cutLink, replace, evictIdle, newLimit, resize, reassignWhileCutOff, movePartsAndBack, reassignWhileCutOff, movePartsAndBack}
	f.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	f.tokensPerRequest = []int{1, 1, 2, 8}[f.rng.IntN(4)]
	p := profile{
		faults: all[:1+f.rng.IntN(2)],
		gap:    f.between(500*time.Millisecond, 6*time.Second),
		quiet:  f.between(time.Second, 10*time.Second),
		flood:  f.between(100*time.Millisecond, 3*time.Second),
		drain:  f.between(50*time.Millisecond, 4*time.Second),
	}
	if f.rng.IntN(3) == 0 {
		p.quiet = f.between(20*time.Millisecond, 400*time.Millisecond)
		p.flood = f.between(20*time.Millisecond, 400*time.Millisecond)
	}
	return p
}

func (f *fleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.Int64N(int64(most-least)))
}

// meanStep is the mean time between two steps of a history.
const meanStep = 4 * time.Millisecond

// drain takes all tokens of all instances at once. It detects an excess token
// at any instance.
func (f *fleet) drain() {
	for _, n := range f.nodes {
		if f.now < n.frozen {
			continue
		}
		now := f.applyGrants(n)
		limit := f.rows[n.revision].limit
		for now < n.fresh && n.holder.Take(now, f.bucket, limit, Token/8).Admitted {
			f.admitted = append(f.admitted, admission{at: f.now, tokens: 0.125})
		}
	}
}

// run simulates one history: idle phases in which buckets fill, floods in
// which they are emptied, and faults at any time.
func (f *fleet) run(d time.Duration, p profile) {
	flood, phaseEnd, target := false, time.Duration(0), 0
	for f.now < d {
		f.now += f.between(0, 8*time.Millisecond)
		if f.now >= phaseEnd {
			flood = !flood
			phaseEnd = f.now + f.between(0, 2*p.quiet)
			if flood {
				phaseEnd = f.now + f.between(0, 2*p.flood)
			}
			target = f.rng.IntN(2 * len(f.nodes)) // in half of the cases all instances
		}
		f.refreshSome()
		f.fault(p)
		f.deliver()
		if f.rng.Int64N(int64(p.drain/meanStep)) == 0 {
			f.drain()
		}
		for i := range f.nodes {
			if flood && f.rng.IntN(2) == 0 && (target == i || target >= len(f.nodes)) {
				f.request(i)
			}
		}
	}
}

func (f *fleet) refreshSome() {
	for _, n := range f.nodes {
		if f.rng.IntN(20) == 0 {
			f.refresh(n, f.between(0, 20*time.Millisecond))
		}
	}
}

// fault injects a fault at random with the profile's mean time between faults,
// in most cases at an instance that holds parts.
func (f *fleet) fault(p profile) {
	if len(f.scheduled) > 0 && f.scheduled[0].at <= f.now {
		f.scheduled[0].do()
		f.scheduled = f.scheduled[1:]
	}
	if f.rng.Int64N(int64(p.gap/meanStep)) != 0 {
		return
	}
	i, j := f.rng.IntN(len(f.nodes)), f.rng.IntN(len(f.nodes))
	holders := f.newest().shard.Holders
	if k := f.index(holders[f.rng.IntN(len(holders))].Instance); k >= 0 && f.rng.IntN(4) > 0 {
		i = k
	}
	p.faults[f.rng.IntN(len(p.faults))](f, i, j, f.between(0, 3*freshTime))
}

func (f *fleet) changeLimit() {
	r := f.newest()
	factor := []float64{0.5, 1, 2}[f.rng.IntN(3)]
	first := f.rows[0].limit
	r.limit = config.Limit{Rate: first.Rate * factor, Burst: first.Burst * factor}
	f.write(r)
}
