package usage

import (
	"math"
	"time"
)

const (
	// ranks is the number of priorities that are distinguished; less urgent ones share the last.
	ranks = 8
	// demandWindow is the time constant of the demand estimates. The reserve must be in effect
	// within two seconds of a start and follow variations of the load within some 11 s.
	demandWindow = 2 * time.Second
	// mixSamples is the number of requests over which the mix of ranks is averaged if they arrive
	// slowly: an instance receives only a small part of a workspace's requests.
	mixSamples = 32
	// rankMemory is how long a rank counts as used by a workspace after its last request at this
	// instance. An instance may receive a request of a rare rank only every ten seconds or so.
	rankMemory = time.Minute
	// shareSamples is the number of this instance's admissions over which its share of a workspace's
	// requests is averaged.
	shareSamples = 64
	// priorSamples is the weight, in admissions, of the assumption that all instances that receive
	// requests of a workspace receive equally many.
	priorSamples = 4
	// maxInstances bounds the counts of an instance that receives hardly any requests.
	maxInstances = 2000
	// activeWindow is how recently an instance must have admitted requests of a workspace to be
	// counted as one of those that receive them.
	activeWindow = 5 * time.Second
	// countInterval is the minimum time between two counts of the active instances.
	countInterval = 250 * time.Millisecond
)

// decayingCount counts events with weights that decrease exponentially with their age.
type decayingCount struct {
	count float64
	at    time.Duration
}

func (d *decayingCount) add(n float64, now time.Duration) {
	d.count = d.countAt(now) + n
	d.at = max(d.at, now)
}

func (d *decayingCount) countAt(now time.Duration) float64 {
	return d.count * math.Exp(-max(now-d.at, 0).Seconds()/demandWindow.Seconds())
}

// perSecond returns the average rate of the last demandWindow.
func (d *decayingCount) perSecond(now time.Duration) float64 {
	return d.countAt(now) / demandWindow.Seconds()
}

// trafficShare measures which part of a workspace's requests this instance receives. It counts
// admissions while the workspace doesn't exceed its rate; later they depend on the ranks of an
// instance's requests.
type trafficShare struct{ own, fleet float64 }

// add counts admissions of all instances whose reports arrive, own of which are of this one. rateShare extrapolates
// them to instances whose reports don't arrive.
func (t *trafficShare) add(own, all, rateShare float64) {
	if rateShare <= 0 {
		return
	}
	t.own += own
	t.fleet += all / rateShare
	if t.own >= shareSamples || t.fleet >= shareSamples*maxInstances {
		t.own, t.fleet = t.own/2, t.fleet/2
	}
}

// multiple returns how many times as many requests as this instance all that are heard receive.
func (t *trafficShare) multiple(active, rateShare float64) float64 {
	return math.Max((rateShare*t.fleet+priorSamples*active)/(t.own+priorSamples), 1)
}

// demand is what an instance knows of the requests of one workspace by rank.
type demand struct {
	// mix is the share of each rank in the requests that this instance received.
	mix       [ranks]float64
	requests  int
	requestAt time.Duration
	// seenAt is when this instance last received a request of each rank; 0 if it didn't.
	seenAt [ranks]time.Duration
	// refused counts the requests that this instance refused.
	refused decayingCount
	// credit is the number of tokens that each rank may take out of the reserve of more urgent
	// ones, as its guaranteed minimum.
	credit [ranks]float64
	// active is the number of instances that receive requests of the workspace, counted at activeAt.
	active   float64
	activeAt time.Duration
	returns  returnSchedule
}

// newDemand returns an empty demand. offset, from 0 to 1, is where the cycles of the guaranteed
// minimum and of the return times begin; it should differ between instances.
func newDemand(offset float64) *demand {
	d := &demand{}
	for i := range d.credit {
		d.credit[i] = offset
	}
	d.returns.phase = offset
	return d
}

// countRequest adds a request to the mix of ranks.
func (d *demand) countRequest(rank int, now time.Duration) {
	d.requests++
	weight := math.Min((now-d.requestAt).Seconds()/demandWindow.Seconds(), 1.0/mixSamples)
	weight = math.Max(weight, 1/float64(d.requests))
	d.requestAt, d.seenAt[rank] = now, max(now, 1)
	for i := range d.mix {
		d.mix[i] -= weight * d.mix[i]
	}
	d.mix[rank] += weight
}

// ranksInUse returns how many ranks the workspace uses, and how many of them are more urgent than the
// given one.
func (d *demand) ranksInUse(rank int, now time.Duration) (all, before int) {
	for i, at := range d.seenAt {
		if at == 0 || now-at >= rankMemory {
			continue
		}
		all++
		if i < rank {
			before++
		}
	}
	return all, before
}

// fleetDemand is the estimated demand of all instances for one workspace, in requests per second.
type fleetDemand struct {
	// rate is the part of the workspace's rate that the reachable instances may use.
	rate  float64
	total float64
	// before is the demand of more urgent requests, own that of the same rank.
	before, own float64
	// multiple is how many times as many requests as this instance all instances receive.
	multiple float64
}

// countAdmitted counts admissions of all instances, own of which are of this one.
func (c *Counters) countAdmitted(b *Bucket, own, all float64, now time.Duration) {
	b.fleetAdmitted.add(all, now)
	if !b.exceeding {
		b.traffic.add(own, all, c.RateShare)
	}
}

// estimate estimates the demand of all instances. What they admit is known from their reports, what
// they refuse is extrapolated from this instance's refusals.
func (c *Counters) estimate(b *Bucket, rank int, now time.Duration) fleetDemand {
	d := b.demand
	if d.active == 0 || now-d.activeAt >= countInterval {
		d.active, d.activeAt = b.countActive(now), now
	}
	f := fleetDemand{rate: b.limit.Rate * c.RateShare, multiple: b.traffic.multiple(d.active, c.RateShare)}
	f.total = b.fleetAdmitted.perSecond(now) + d.refused.perSecond(now)*f.multiple
	for i := range rank {
		f.before += d.mix[i] * f.total
	}
	f.own = d.mix[rank] * f.total
	return f
}

// countActive returns the number of instances that have admitted requests of the workspace recently,
// this one included.
func (b *Bucket) countActive(now time.Duration) float64 {
	n := 1
	for _, r := range b.reported {
		if now-r.at < activeWindow {
			n++
		}
	}
	return float64(n)
}

// servedShare returns the share of the demand that the rate is enough for.
func (f fleetDemand) servedShare() float64 {
	if f.total <= f.rate {
		return 1
	}
	return f.rate / f.total
}

// remaining returns the rate that more urgent requests leave to a rank, at least its guaranteed
// minimum.
func (f fleetDemand) remaining() float64 {
	guaranteed := 0.0
	if f.total > 0 {
		guaranteed = guaranteedShare * f.rate * f.own / f.total
	}
	return math.Max(f.rate-f.before, guaranteed)
}
