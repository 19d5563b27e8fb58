package lab

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/placement"
	"foxtailspoke/retry"
)

// maxAttempts is how many servers a request may be sent to.
const maxAttempts = 3

// mostReturns is how often a caller that was refused comes back.
const mostReturns = 3

// caller is a caller's request, from its first try to its end.
type caller struct {
	world     *world
	service   int
	kind      RequestKind
	workspace int
	// work and honest are drawn beforehand, the same for every policy.
	work   time.Duration
	honest bool
	rng    *rand.Rand

	// first is when it was asked for first, sent when this try was sent.
	first, sent time.Duration
	deadline    time.Duration
	returns     int

	instance   *instance
	tried      []string
	running    []*attempt
	mayHaveRun bool
	ownError   bool
	over       bool
}

// attempt is one try at one server.
type attempt struct {
	choice placement.Choice
	server *server
	start  time.Duration
	job    *job
}

func newCaller(w *world, service int, k RequestKind, rng *rand.Rand, number uint64) *caller {
	c := &caller{world: w, service: service, kind: k, rng: rand.New(rand.NewPCG(w.seed, 1_000_000+number)), first: -1}
	c.work = logNormal(rng, k.ServiceTime, k.Spread)
	c.honest = rng.Float64() < w.deployment.RetryAfterCompliance
	x := rng.Float64()
	for i, ws := range w.deployment.Workspaces {
		c.workspace = i
		if x -= ws.Share; x < 0 {
			break
		}
	}
	return c
}

// ask sends the request to an instance, for the first time or again.
func (c *caller) ask() {
	w := c.world
	if c.first < 0 {
		c.first = w.now
		c.deadline = w.now + c.kind.Timeout
	}
	c.sent = w.now
	c.tried, c.running, c.mayHaveRun, c.over = nil, nil, false, false
	c.instance = w.instances[c.rng.IntN(len(w.instances))]
	choice, ok := c.instance.choose(c)
	if !ok {
		c.refused(comeBackSoon)
		return
	}
	if ok, wait := placement.Admit(choice, placement.Request{Remaining: c.deadline - w.now}, 1, c.instance.rng.Float64()); !ok {
		c.instance.placer.RecordOutcome(w.services[c.service].name, false, w.now)
		c.refused(wait)
		return
	}
	if ok, wait := c.instance.usage.Take(uint32(c.workspace), w.now); !ok {
		w.tally.overRate(c)
		c.refused(wait + time.Duration(c.instance.rng.Float64()*float64(comeBackSoon)))
		return
	}
	sent := c.sent
	w.after(c.deadline-w.now, func() { c.timeout(sent) })
	c.begin(choice)
	c.watch(sent)
}

// watch hedges the request when its answer is late.
func (c *caller) watch(sent time.Duration) {
	c.world.after(retry.LateThreshold(c.instance.workOf(c.kind)), func() {
		if c.over || c.sent != sent || len(c.running) != 1 {
			return
		}
		c.instance.late(c.running[0])
		if c.instance.mayHedge(c) {
			if choice, ok := c.instance.choose(c); ok {
				c.begin(choice)
			}
		}
	})
}

func (c *caller) begin(choice placement.Choice) {
	w := c.world
	var v *server
	for _, s := range w.services[c.service].servers {
		if s.entry.ID == choice.Server.ID {
			v = s
		}
	}
	a := &attempt{choice: choice, server: v, start: w.now}
	a.job = &job{kind: c.kind, work: c.work, deadline: c.deadline}
	sent := c.sent
	a.job.done = func(r health.Result) { c.ended(a, r, sent) }
	c.tried = append(c.tried, choice.Server.ID)
	c.running = append(c.running, a)
	c.instance.started(c, v, len(c.tried))
	if c.instance.cut[v.hash] && w.deployment.Partition.holds(w.now) {
		v.finish(a.job, connectFor, health.ConnectFailed)
		return
	}
	v.arrive(a.job)
}

func (c *caller) state(r health.Result, running int) retry.Attempt {
	return retry.Attempt{
		Result: r, Idempotent: c.kind.Idempotent, AttemptCount: len(c.tried), MayHaveRun: c.mayHaveRun, InFlight: running,
		Deadline: c.deadline, Untried: maxAttempts - len(c.tried), UntriedHasSlot: true,
	}
}

// ended decides what follows an attempt's end.
func (c *caller) ended(a *attempt, r health.Result, sent time.Duration) {
	if c.over || c.sent != sent {
		return
	}
	for i, x := range c.running {
		if x == a {
			c.running = append(c.running[:i], c.running[i+1:]...)
			break
		}
	}
	if r == health.OK {
		c.instance.ended(c, a, r, evidence.RequestServed)
		c.settle()
		c.world.tally.served(c)
		return
	}
	mayHaveRun := c.mayHaveRun
	c.mayHaveRun = c.mayHaveRun || !r.ProvedNotRun()
	c.ownError = r == health.ServerError && !a.server.ill(c.world.now)
	state := c.state(r, len(c.running))
	state.MayHaveRun = mayHaveRun
	state.HadFreeSlot = !a.choice.MustQueue()
	d := retry.Decide(c.world.now, state, c.instance.repeats[c.service].Budget(bound, c.world.now))
	switch d.Action {
	case retry.Wait:
		c.instance.ended(c, a, r, evidence.RequestPending)
		return
	case retry.Retry:
		c.instance.ended(c, a, r, evidence.RequestPending)
		if choice, ok := c.instance.choose(c); ok {
			c.begin(choice)
			return
		}
	case retry.Deliver, retry.GiveUp, retry.Hedge:
		c.instance.ended(c, a, r, evidence.RequestUnserved)
	}
	if c.mayHaveRun {
		c.over = true
		c.world.tally.failed(c)
		return
	}
	c.refused(d.RetryAfter)
}

// timeout ends the request at its deadline.
func (c *caller) timeout(sent time.Duration) {
	if c.over || c.sent != sent {
		return
	}
	for _, a := range c.running {
		c.instance.ended(c, a, health.Timeout, evidence.RequestPending)
		a.server.cancel(a.job)
	}
	c.running = nil
	c.over = true
	c.world.tally.failed(c)
}

// settle cancels the attempts that nobody waits for any more.
func (c *caller) settle() {
	c.over = true
	for _, a := range c.running {
		c.instance.ended(c, a, health.Cancelled, evidence.RequestPending)
		a.server.cancel(a.job)
	}
	c.running = nil
}

// refused has the caller come back when it was told to, at most after a third
// of the time that it has left. Some come back at once.
func (c *caller) refused(after time.Duration) {
	c.over = true
	left := c.deadline - c.world.now
	if c.returns >= mostReturns || left <= 0 {
		c.world.tally.refused(c)
		return
	}
	c.returns++
	wait := min(after, left/3)
	if !c.honest {
		wait = quick
	}
	c.world.after(wait, c.ask)
}
