// Package usage keeps workspaces within their rate and burst over all
// instances together, without a call to the store.
//
// Idea: each instance counts what it admitted for a workspace since it
// started, and tells the total with every message to the others. Each replica
// of the bucket takes off what all of them admitted. Because totals are told,
// not increments, a lost message is made good by the next one. The bucket may
// go below zero: what two instances admit at the same moment, before they hear
// of each other, is paid back by both before anything more is admitted, so the
// long run keeps to the rate exactly.
//
// Trade-off: an instance that doesn't hear some of the others can't know what
// they admit. It then uses only the part of the rate that belongs to those it
// hears, itself included (Share). Two groups that are cut from each other add
// up to the whole rate at most. What belongs to dead instances lies idle until
// they are taken off the list of instances.
package usage

import (
	"math"
	"time"
)

// startBurst is the share of the burst that a bucket holds at first where the
// limit may not be exceeded. A fleet whose processes were all killed has
// forgotten what it admitted; with a full burst at each start a workspace would
// get it twice within one window.
const startBurst = 0.25

// maxDebt is how far below zero a bucket may go, in time at its rate. Messages
// between instances arrive within some tens of milliseconds, so an honest debt
// is a few requests.
const maxDebt = time.Second

// Limit of one workspace over all instances.
type Limit struct {
	// Rate in requests per second.
	Rate float64
	// Burst in requests.
	Burst float64
	// InitialTokens is what a bucket holds at first, in requests.
	InitialTokens float64
}

// StrictLimit returns the limit of a workspace where nothing may exceed it.
func StrictLimit(rate, burst float64) Limit {
	return Limit{Rate: rate, Burst: burst, InitialTokens: startBurst * burst}
}

// Tolerance is by how much the platform lets the sum over all instances exceed
// a limit in any window.
type Tolerance struct {
	// Overshoot is a share of the rate and the burst.
	Overshoot float64
	// Slack is a number of requests in each Window.
	Slack  float64
	Window time.Duration
}

// toleranceUse is the part of the tolerance that workspaces get. Counting over
// many instances errs to both sides, and the platform holds a refusal below
// the tolerated sum against the fleet just as an admission above it. The rest
// covers what instances admit before they hear of each other: at 15 ms
// and a workspace at eight times its usual 15 requests a second, two requests.
const toleranceUse = 0.4

// startUse is the part of the tolerance that covers what a fleet forgets when
// all of its processes are killed, which may happen some times within a window.
// Callers have waited by then and come all together; with empty buckets many
// within their rate would be refused.
const startUse = 0.15

// startFor is the time within which instances that start together have heard
// each other.
const startFor = 2 * time.Second

// Loosen returns the limit with the part of the tolerance that workspaces get.
func (t Tolerance) Loosen(l Limit) Limit {
	if l.Rate <= 0 {
		return l
	}
	forgotten := t.Overshoot*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
	l.InitialTokens = math.Max(l.InitialTokens, math.Min(l.Burst, startUse*forgotten))
	l.Rate *= 1 + toleranceUse*t.Overshoot
	if t.Window > 0 {
		l.Rate += toleranceUse * t.Slack / t.Window.Seconds()
	}
	return l
}

// Bucket is this instance's replica of one workspace's bucket.
type Bucket struct {
	limit  Limit
	tokens float64
	at     time.Duration
	// granted is the part of limit.Start that the bucket has got since it was
	// first limited.
	granted float64
	first   time.Duration
	// own is the total admitted here since the start.
	own uint64
	// seen holds the last total heard of each other instance.
	seen map[uint32]total
}

type total struct {
	epoch uint32
	count uint64
}

// Counters holds the buckets of all workspaces. It isn't safe for concurrent
// use.
type Counters struct {
	buckets map[uint32]*Bucket
	// RateShare is the part of each rate that this instance may count on, from 0
	// to 1: the instances heard, itself included, among all that are listed.
	RateShare float64
	// StartupShare is the same for those that have started together with this one. The
	// others know what was admitted before.
	StartupShare float64
}

// NewCounters returns counters without workspaces.
func NewCounters() *Counters {
	return &Counters{buckets: make(map[uint32]*Bucket), RateShare: 1, StartupShare: 1}
}

// SetLimit sets the limit of a workspace. A lower limit holds at once; a
// raised burst isn't filled up by the change itself.
func (c *Counters) SetLimit(workspace uint32, l Limit, now time.Duration) {
	b := c.bucket(workspace)
	if b.limit == l {
		return
	}
	if b.limit == (Limit{}) {
		b.first = now
	}
	c.refill(b, now)
	b.limit = l
	b.at = now
	c.grant(b, now)
	b.tokens = math.Min(b.tokens, l.Burst)
}

// grant gives a new bucket what it holds at first, as others are heard that have
// started as well. An instance hears few at its start: if it took all for itself,
// so would every other one; if it got only a part then, it would keep that for
// good.
func (c *Counters) grant(b *Bucket, now time.Duration) {
	if b.limit != (Limit{}) && c.StartupShare > b.granted && now-b.first < startFor {
		b.tokens += (c.StartupShare - b.granted) * b.limit.InitialTokens
		b.granted = c.StartupShare
	}
}

func (c *Counters) bucket(workspace uint32) *Bucket {
	b, ok := c.buckets[workspace]
	if !ok {
		b = &Bucket{seen: make(map[uint32]total)}
		c.buckets[workspace] = b
	}
	return b
}

// Take admits one request if a token is there. Otherwise it returns how long
// the bucket takes to hold one.
func (c *Counters) Take(workspace uint32, now time.Duration) (bool, time.Duration) {
	b := c.bucket(workspace)
	if b.limit.Rate <= 0 {
		b.own++
		return true, 0
	}
	c.refill(b, now)
	if b.tokens < 1 {
		return false, b.wait(c.RateShare)
	}
	b.tokens--
	b.own++
	return true, 0
}

// Refund gives a token back for a request that was admitted and never sent.
func (c *Counters) Refund(workspace uint32) {
	if b := c.bucket(workspace); b.own > 0 {
		b.tokens++
		b.own--
	}
}

// AdmittedTotal is the total admitted here since the start.
func (c *Counters) AdmittedTotal(workspace uint32) uint64 { return c.bucket(workspace).own }

// ApplyReport takes in the total that another instance has admitted in its epoch,
// which is new with each start. The first word of an instance on a workspace
// is charged whole if all of its words since its start could be heard: earlier
// ones were lost then. Otherwise it is charged as one request, the one it
// speaks of; what it admitted before this instance listened lies in the past.
func (c *Counters) ApplyReport(w Report, now time.Duration) {
	b := c.bucket(w.Workspace)
	last, known := b.seen[w.Instance]
	charge := uint64(1)
	switch {
	case known && last.epoch == w.Epoch && w.Count <= last.count:
		return
	case known && last.epoch == w.Epoch:
		charge = w.Count - last.count
	case known || w.ReceivedSinceStart:
		charge = w.Count
	}
	c.refill(b, now)
	b.charge(charge)
	b.seen[w.Instance] = total{epoch: w.Epoch, count: w.Count}
}

// Report is what an instance says of a workspace.
type Report struct {
	Instance  uint32
	Epoch     uint32
	Workspace uint32
	Count     uint64
	// ReceivedSinceStart: the instance has been listened to since its start.
	ReceivedSinceStart bool
}

// ForgetInstance drops what was heard of an instance that has fallen silent. Share no
// longer counts its part, so that what it admits meanwhile must not be charged
// a second time once it is heard again.
func (c *Counters) ForgetInstance(instance uint32) {
	for _, b := range c.buckets {
		delete(b.seen, instance)
	}
}

// refill adds what the time since the last look is worth.
func (c *Counters) refill(b *Bucket, now time.Duration) {
	passed := (now - b.at).Seconds()
	b.at = now
	if passed <= 0 {
		return
	}
	c.grant(b, now)
	most := math.Max(b.limit.Burst*c.RateShare, 1)
	b.tokens = math.Min(b.tokens+passed*b.limit.Rate*c.RateShare, most)
}

// charge takes off what others admitted. The debt is bounded: after a burst
// of late messages a workspace would otherwise be refused for longer than any
// window in which its rate is counted.
func (b *Bucket) charge(count uint64) {
	b.tokens = math.Max(b.tokens-float64(count), -maxDebt.Seconds()*b.limit.Rate-1)
}

// wait is the time until a token is there.
func (b *Bucket) wait(share float64) time.Duration {
	rate := b.limit.Rate * share
	if rate <= 0 {
		return time.Second
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// Tokens returns what a workspace's bucket holds now.
func (c *Counters) Tokens(workspace uint32, now time.Duration) float64 {
	b := c.bucket(workspace)
	c.refill(b, now)
	return b.tokens
}
