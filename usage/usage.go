// Package usage enforces the rate and burst of workspaces across all instances
// without calls to the store.
//
// Each instance counts the requests that it admitted for a workspace since its
// start and sends this total with every message to the others. Each instance's
// copy of the token bucket is charged with what all of them admitted. Because
// totals are sent, not increments, the next message makes up for a lost one.
// The bucket may go below zero: what two instances admit at the same time,
// before they hear of each other, is paid back by both before anything more is
// admitted, so that the long-term rate is exact.
//
// An instance that does not hear some of the others cannot know what they
// admit. It then uses only the part of the rate that belongs to the instances
// it hears, itself included (RateShare). Two partitioned groups together use at
// most the whole rate. The share of dead instances is unused until they are
// removed from the list of instances.
//
// A partition is noticed only after some time. The tokens of the time since the
// last messages of the others are therefore held back until their next ones.
//
// A workspace that exceeds its rate gets tokens in the order of priority: while its bucket is nearly
// empty, requests leave the tokens that more urgent ones of the workspace will need shortly. The rate
// is used in full all the same, as the bucket refills up to what is reserved; only this amount is
// withheld once, when the workspace begins to exceed its rate. The demand of the fleet is an
// estimate, because instances report only what they admit; an error shifts tokens between
// priorities, but never changes how many are admitted in all.
package usage

import (
	"math"
	"time"
)

// initialBurstShare is the share of the burst that a bucket holds initially
// under a strict limit. A fleet whose processes were all killed has forgotten
// what it admitted; with a full burst at each start a workspace would get it
// twice within one window.
const initialBurstShare = 0.25

// maxDebt is how far below zero a bucket may go, as time at its rate. Messages
// between instances arrive within some tens of milliseconds, so a legitimate
// debt is a few requests.
const maxDebt = time.Second

// Limit is the limit of a workspace over all instances.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
	// InitialTokens is what a new bucket holds, in requests.
	InitialTokens float64
}

// StrictLimit returns a limit that must never be exceeded.
func StrictLimit(rate, burst float64) Limit {
	return Limit{Rate: rate, Burst: burst, InitialTokens: initialBurstShare * burst}
}

// Tolerance is by how much the platform lets the sum over all instances exceed
// a limit in any window.
type Tolerance struct {
	// Overshoot is relative to the rate and the burst.
	Overshoot float64
	// Slack is a number of requests in each Window.
	Slack  float64
	Window time.Duration
}

// toleranceShare is the part of the tolerance that workspaces get. Counting
// over many instances errs in both directions, and the platform counts a
// refusal below the tolerated sum as a fault just as an admission above it. The
// rest covers what instances admit before they hear of each other: two requests
// at a delay of 15 ms and a workspace at eight times its usual 15 requests per
// second.
const toleranceShare = 0.4

// initialToleranceShare is the part of the tolerance that covers what a fleet
// forgets when all of its processes are killed, which may happen several times
// within a window. Callers have waited by then and arrive all at once; with
// empty buckets many within their rate would be refused.
const initialToleranceShare = 0.15

// startupWindow is the time within which instances that start together have
// heard each other.
const startupWindow = 2 * time.Second

// Loosen returns the limit extended by the part of the tolerance that
// workspaces get.
func (t Tolerance) Loosen(l Limit) Limit {
	if l.Rate <= 0 {
		return l
	}
	excess := t.Overshoot*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
	l.InitialTokens = math.Max(l.InitialTokens, math.Min(l.Burst, initialToleranceShare*excess))
	l.Rate *= 1 + toleranceShare*t.Overshoot
	if t.Window > 0 {
		l.Rate += toleranceShare * t.Slack / t.Window.Seconds()
	}
	return l
}

// Bucket is this instance's copy of the token bucket of a workspace.
type Bucket struct {
	limit      Limit
	tokens     float64
	refilledAt time.Duration
	// heldBack is the part of tokens that others may have used, and rateShare the share as of
	// refilledAt.
	heldBack, rateShare float64
	// granted is the fraction of limit.InitialTokens that the bucket has
	// received since limitedAt.
	granted   float64
	limitedAt time.Duration
	// adopted is set once the content was replaced by that of another instance's copy.
	adopted bool
	// admitted is the total admitted by this instance since its start, charged that of the
	// others which was charged.
	admitted, charged uint64
	// reported holds the last total reported by each other instance.
	reported map[uint32]reportedTotal
	// fleetAdmitted counts the recent admissions of all instances.
	fleetAdmitted decayingCount
	traffic       trafficShare
	// exceeding is set from when the bucket was empty until it holds recoveredShare again.
	exceeding bool
	// demand is nil until this instance gets a request of the workspace.
	demand *demand
}

type reportedTotal struct {
	epoch uint32
	count uint64
	// at is when the total last rose.
	at time.Duration
}

// Counters holds the buckets of all workspaces. It is not safe for concurrent
// use.
type Counters struct {
	buckets map[uint32]*Bucket
	// RateShare is the part of each rate that this instance may use, from 0 to
	// 1: the instances heard, itself included, divided by all listed.
	RateShare float64
	// StartupShare is the same ratio over the instances that started together
	// with this one. The others know what was admitted before.
	StartupShare float64
	// Silence is the mean time since the last message of each other instance that RateShare
	// includes. The tokens of that time are held back, as others may have used them.
	Silence time.Duration
	// DisableReserve admits requests in the order of arrival, whatever their rank.
	DisableReserve bool
	// Offset is a number from 0 to 1, random for each instance. With equal ones, all instances would
	// grant the guaranteed minimum of a rank, and tell refused callers to return, at the same time.
	Offset float64
}

// NewCounters returns counters without workspaces.
func NewCounters() *Counters {
	return &Counters{buckets: make(map[uint32]*Bucket), RateShare: 1, StartupShare: 1}
}

// SetLimit sets the limit of a workspace. A lower limit applies at once; a
// raised burst does not fill the bucket.
func (c *Counters) SetLimit(workspace uint32, l Limit, now time.Duration) {
	b := c.bucket(workspace)
	if b.limit == l {
		return
	}
	if b.limit == (Limit{}) {
		b.limitedAt = now
	}
	c.refill(b, now)
	b.limit = l
	b.refilledAt = now
	c.grantInitialTokens(b, now)
	b.tokens = math.Min(b.tokens, l.Burst)
}

// grantInitialTokens adds a new bucket's initial tokens in step with
// StartupShare. An instance hears few others at its start: if each took all
// initial tokens for itself, the fleet would grant them many times over; if each
// got only its share at that moment, it would never get more.
func (c *Counters) grantInitialTokens(b *Bucket, now time.Duration) {
	if b.limit != (Limit{}) && c.StartupShare > b.granted && now-b.limitedAt < startupWindow {
		b.tokens += (c.StartupShare - b.granted) * b.limit.InitialTokens
		b.granted = c.StartupShare
	}
}

func (c *Counters) bucket(workspace uint32) *Bucket {
	b, ok := c.buckets[workspace]
	if !ok {
		b = &Bucket{reported: make(map[uint32]reportedTotal)}
		c.buckets[workspace] = b
	}
	return b
}

// Take admits a request if a token is available to its rank, 0 being the most urgent. Otherwise it
// returns after what time the caller should return.
func (c *Counters) Take(workspace uint32, rank int, now time.Duration) (bool, time.Duration) {
	b := c.bucket(workspace)
	if b.limit.Rate <= 0 {
		b.admitted++
		return true, 0
	}
	c.refill(b, now)
	if b.demand == nil {
		b.demand = newDemand(c.Offset)
	}
	rank = clampRank(rank)
	b.demand.countRequest(rank, now)
	if ok, wait := c.admit(b, rank, now); !ok {
		return false, wait
	}
	b.tokens--
	b.admitted++
	c.countAdmitted(b, 1, 1, now)
	return true, 0
}

// Refund returns the token of a request that was admitted but never sent.
func (c *Counters) Refund(workspace uint32) {
	if b := c.bucket(workspace); b.admitted > 0 {
		b.tokens++
		b.admitted--
	}
}

// AdmittedTotal returns the total admitted by this instance since its start.
func (c *Counters) AdmittedTotal(workspace uint32) uint64 { return c.bucket(workspace).admitted }

// ApplyReport charges the total that another instance has admitted in its
// epoch, which changes with each start. The first report of an instance on a
// workspace is charged in full if all of its reports since its start could have
// been received: earlier ones were lost then. Otherwise it is charged as one
// request, the one it reports; what the instance admitted before this one
// listened is no longer relevant.
func (c *Counters) ApplyReport(r Report, now time.Duration) {
	b := c.bucket(r.Workspace)
	last, known := b.reported[r.Instance]
	charge := uint64(1)
	switch {
	case known && last.epoch == r.Epoch && r.Count <= last.count:
		return
	case known && last.epoch == r.Epoch:
		charge = r.Count - last.count
	case known || r.ReceivedSinceStart:
		charge = r.Count
	}
	c.refill(b, now)
	b.charge(charge)
	c.updateExceeding(b)
	c.countAdmitted(b, 0, float64(charge), now)
	b.reported[r.Instance] = reportedTotal{epoch: r.Epoch, count: r.Count, at: now}
}

// Report is the total that an instance has admitted for a workspace.
type Report struct {
	Instance  uint32
	Epoch     uint32
	Workspace uint32
	Count     uint64
	// ReceivedSinceStart means that reports of the instance have been received
	// since its start.
	ReceivedSinceStart bool
}

// ForgetInstance drops the totals of an instance that is no longer heard.
// RateShare no longer counts its part, so what it admits meanwhile must not be
// charged again once it is heard again.
func (c *Counters) ForgetInstance(instance uint32) {
	for _, b := range c.buckets {
		delete(b.reported, instance)
	}
}

// refill adds the tokens for the time since the last refill.
func (c *Counters) refill(b *Bucket, now time.Duration) {
	elapsed := (now - b.refilledAt).Seconds()
	b.refilledAt = now
	if elapsed <= 0 {
		return
	}
	c.grantInitialTokens(b, now)
	heldBack := b.limit.Rate * c.RateShare * c.Silence.Seconds()
	if c.RateShare < b.rateShare {
		// What was held back for instances that no longer count doesn't become available.
		b.tokens -= math.Max(b.heldBack-heldBack, 0)
	}
	b.rateShare, b.heldBack = c.RateShare, heldBack
	capacity := math.Max(b.limit.Burst*c.RateShare, 1) + b.heldBack
	b.tokens = math.Min(b.tokens+elapsed*b.limit.Rate*c.RateShare, capacity)
}

// charge takes off what others admitted. The debt is bounded: after a burst of
// late messages a workspace would otherwise be refused for longer than any
// window in which its rate is counted.
func (b *Bucket) charge(count uint64) {
	b.tokens = math.Max(b.tokens-float64(count), -maxDebt.Seconds()*b.limit.Rate-1)
	b.charged += count
}

// timeToTokens returns the time until a number of tokens is available.
func (b *Bucket) timeToTokens(n, share float64) time.Duration {
	rate := b.limit.Rate * share
	if rate <= 0 {
		return time.Second
	}
	return time.Duration((n + b.heldBack - b.tokens) / rate * float64(time.Second))
}

// Tokens returns the current content of a workspace's bucket.
func (c *Counters) Tokens(workspace uint32, now time.Duration) float64 {
	b := c.bucket(workspace)
	c.refill(b, now)
	return b.tokens - b.heldBack
}
