package lab

import (
	"math/rand/v2"
	"time"

	"foxtailspoke/evidence"
	"foxtailspoke/health"
	"foxtailspoke/placement"
	"foxtailspoke/retry"
)

// maxAttempts is the number of servers that a request may be sent to.
const maxAttempts = 3

// maxResubmissions is how often a caller submits a refused request again.
const maxResubmissions = 3

// caller is one request of a caller, including its resubmissions.
type caller struct {
	sim       *simulation
	service   int
	kind      RequestKind
	workspace int
	// serviceTime and obeysRetryAfter are drawn in advance, the same for every policy.
	serviceTime     time.Duration
	obeysRetryAfter bool
	rng             *rand.Rand

	// first is when the request was first submitted, sent when it was last
	// submitted.
	first, sent   time.Duration
	deadline      time.Duration
	resubmissions int

	instance       *instance
	tried          []string
	running        []*attempt
	mayHaveRun     bool
	unrelatedError bool
	finished       bool
}

// attempt is one attempt at one server.
type attempt struct {
	choice placement.Choice
	server *server
	start  time.Duration
	job    *job
}

func newCaller(w *simulation, service int, k RequestKind, rng *rand.Rand, number uint64) *caller {
	c := &caller{sim: w, service: service, kind: k, rng: rand.New(rand.NewPCG(w.seed, 1_000_000+number)), first: -1}
	c.serviceTime = logNormal(rng, k.ServiceTime, k.Spread)
	c.obeysRetryAfter = rng.Float64() < w.deployment.RetryAfterCompliance
	x := rng.Float64()
	for i, ws := range w.deployment.Workspaces {
		c.workspace = i
		if x -= ws.Share; x < 0 {
			break
		}
	}
	return c
}

// submit sends the request to a random instance, for the first time or again.
func (c *caller) submit() {
	w := c.sim
	if c.first < 0 {
		c.first = w.now
		c.deadline = w.now + c.kind.Timeout
	}
	c.sent = w.now
	c.tried, c.running, c.mayHaveRun, c.finished = nil, nil, false, false
	c.instance = w.instances[c.rng.IntN(len(w.instances))]
	choice, ok := c.instance.choose(c)
	if !ok {
		c.refused(minRetryAfter)
		return
	}
	if ok, wait := placement.Admit(choice, placement.Request{Remaining: c.deadline - w.now}, 1, c.instance.rng.Float64()); !ok {
		c.instance.placer.RecordOutcome(w.services[c.service].name, false, w.now)
		c.refused(wait)
		return
	}
	if ok, wait := c.instance.usage.Take(uint32(c.workspace), 0, w.now); !ok {
		w.tally.overRate(c)
		c.refused(wait + time.Duration(c.instance.rng.Float64()*float64(minRetryAfter)))
		return
	}
	sent := c.sent
	w.schedule(c.deadline-w.now, func() { c.timeout(sent) })
	c.startAttempt(choice)
	c.scheduleHedge(sent)
}

// scheduleHedge reports the attempt as late, and hedges the request if allowed,
// when the answer is late.
func (c *caller) scheduleHedge(sent time.Duration) {
	c.sim.schedule(retry.LateThreshold(c.instance.serviceTime(c.kind)), func() {
		if c.finished || c.sent != sent || len(c.running) != 1 {
			return
		}
		c.instance.attemptLate(c.running[0])
		if c.instance.mayHedge(c) {
			if choice, ok := c.instance.choose(c); ok {
				c.startAttempt(choice)
			}
		}
	})
}

func (c *caller) startAttempt(choice placement.Choice) {
	w := c.sim
	var v *server
	for _, s := range w.services[c.service].servers {
		if s.entry.ID == choice.Server.ID {
			v = s
		}
	}
	a := &attempt{choice: choice, server: v, start: w.now}
	a.job = &job{kind: c.kind, serviceTime: c.serviceTime, deadline: c.deadline}
	sent := c.sent
	a.job.done = func(r health.Result) { c.attemptEnded(a, r, sent) }
	c.tried = append(c.tried, choice.Server.ID)
	c.running = append(c.running, a)
	c.instance.attemptStarted(c, v, len(c.tried))
	if c.instance.partitioned[v.hash] && w.deployment.Partition.contains(w.now) {
		v.finish(a.job, connectTimeout, health.ConnectFailed)
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

// attemptEnded handles the result of an attempt: it delivers the answer, retries or
// fails the request.
func (c *caller) attemptEnded(a *attempt, r health.Result, sent time.Duration) {
	if c.finished || c.sent != sent {
		return
	}
	for i, x := range c.running {
		if x == a {
			c.running = append(c.running[:i], c.running[i+1:]...)
			break
		}
	}
	if r == health.OK {
		c.instance.attemptEnded(c, a, r, evidence.RequestServed)
		c.cancelAttempts()
		c.sim.tally.served(c)
		return
	}
	mayHaveRun := c.mayHaveRun
	c.mayHaveRun = c.mayHaveRun || !r.ProvedNotRun()
	c.unrelatedError = r == health.ServerError && !a.server.faulty(c.sim.now)
	state := c.state(r, len(c.running))
	state.MayHaveRun = mayHaveRun
	state.HadFreeSlot = !a.choice.MustQueue()
	d := retry.Decide(c.sim.now, state, c.instance.retryBudgets[c.service].Budget(retryLimit, c.sim.now))
	switch d.Action {
	case retry.Wait:
		c.instance.attemptEnded(c, a, r, evidence.RequestPending)
		return
	case retry.Retry:
		c.instance.attemptEnded(c, a, r, evidence.RequestPending)
		if choice, ok := c.instance.choose(c); ok {
			c.startAttempt(choice)
			return
		}
	case retry.Deliver, retry.GiveUp, retry.Hedge:
		c.instance.attemptEnded(c, a, r, evidence.RequestUnserved)
	}
	if c.mayHaveRun {
		c.finished = true
		c.sim.tally.failed(c)
		return
	}
	c.refused(d.RetryAfter)
}

// timeout fails the request at its deadline.
func (c *caller) timeout(sent time.Duration) {
	if c.finished || c.sent != sent {
		return
	}
	for _, a := range c.running {
		c.instance.attemptEnded(c, a, health.Timeout, evidence.RequestPending)
		a.server.cancel(a.job)
	}
	c.running = nil
	c.finished = true
	c.sim.tally.failed(c)
}

// cancelAttempts finishes the request and cancels its remaining attempts.
func (c *caller) cancelAttempts() {
	c.finished = true
	for _, a := range c.running {
		c.instance.attemptEnded(c, a, health.Cancelled, evidence.RequestPending)
		a.server.cancel(a.job)
	}
	c.running = nil
}

// refused schedules the resubmission of a refused request: after the time that the
// caller was told, but at most a third of the time left until its deadline. Callers
// that ignore Retry-After resubmit at once.
func (c *caller) refused(after time.Duration) {
	c.finished = true
	left := c.deadline - c.sim.now
	if c.resubmissions >= maxResubmissions || left <= 0 {
		c.sim.tally.refused(c)
		return
	}
	c.resubmissions++
	wait := min(after, left/3)
	if !c.obeysRetryAfter {
		wait = immediateLatency
	}
	c.sim.schedule(wait, c.submit)
}
