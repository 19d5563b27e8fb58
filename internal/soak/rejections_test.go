package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtailspoke/internal/standin"
)

const (
	// backoffGracePeriod is how long after a rejection requests are not counted, and
	// backoffSlack how many an instance may send between that and the end of the
	// Retry-After time.
	backoffGracePeriod = 500 * time.Millisecond
	backoffSlack       = 2
)

// rejections is the state of a backend server that rejects all requests with
// Retry-After until busyUntil. It is guarded by cluster.mu.
type rejections struct {
	busyUntil  time.Time
	retryAfter time.Duration
	// periods has the rejections that each instance received.
	periods map[string][]backoffPeriod
}

// backoffPeriod is the time in which an instance should send nothing, and the number of
// requests that it sent.
type backoffPeriod struct {
	start, end time.Time
	arrivals   int
}

// injectServerNotices has backend servers reject requests with Retry-After, or leave
// without writing that they drain, each for some seconds, in random order for d.
func (c *cluster) injectServerNotices(backends []*backend, seed uint64, d time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	randomDuration := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
	}
	for deadline := time.Now().Add(d); ; {
		time.Sleep(randomDuration(300*time.Millisecond, 1500*time.Millisecond))
		if time.Now().After(deadline) {
			return
		}
		b := backends[rng.IntN(len(backends))]
		if rng.IntN(3) == 0 {
			b.leaveSilently(randomDuration(3*time.Second, 6*time.Second))
			continue
		}
		c.mu.Lock()
		b.rejections.busyUntil = time.Now().Add(randomDuration(time.Second, 4*time.Second))
		b.rejections.retryAfter = randomDuration(time.Second, 4*time.Second)
		c.mu.Unlock()
	}
}

// checkBackoff checks a request that reached a backend server against the Retry-After
// times that its instance, and the one that sent it, received. It returns the Retry-After
// of the rejection, or 0 if the request is not rejected.
func (b *backend) checkBackoff(id, sender string) time.Duration {
	c, r, now := b.cluster, &b.rejections, time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	req, known := c.requests[id]
	if !known {
		return 0
	}
	for _, instance := range req.instancesOf(sender) {
		for i := range r.periods[instance] {
			p := &r.periods[instance][i]
			counted := now.After(p.start.Add(backoffGracePeriod)) && now.Before(p.end)
			if !counted || c.instanceFaults[instance].After(p.start) || c.linkFaults[b.link].After(p.start) {
				continue
			}
			if p.arrivals++; p.arrivals > backoffSlack {
				c.violations = append(c.violations, fmt.Sprintf("backend server %s asked %s to send nothing for %v and received %d requests",
					b.id, instance, p.end.Sub(p.start), p.arrivals))
			}
		}
	}
	if !now.Before(r.busyUntil) {
		return 0
	}
	c.rejectionCount++
	if r.periods == nil {
		r.periods = make(map[string][]backoffPeriod)
	}
	for _, instance := range req.instancesOf(sender) {
		if c.instanceFaults[instance].After(req.sentAt) {
			// The process that handled the request has ended, so that it doesn't receive the
			// response.
			continue
		}
		r.periods[instance] = append(r.periods[instance], backoffPeriod{start: now, end: now.Add(r.retryAfter)})
	}
	return r.retryAfter
}

// recordInstanceFault records that a process starts, stops or is paused.
func (c *cluster) recordInstanceFault(p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := c.instanceAddress(p.index, 0)
	c.instanceFaults[address] = time.Now()
	c.faultTimes[address] = append(c.faultTimes[address], time.Now())
}

// recordLinkFault records that the state of a link changes.
func (c *cluster) recordLinkFault(l *standin.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.linkFaults[l] = time.Now()
	for n, callers := range c.callerLinks {
		if callers == l {
			address := c.instanceAddress(n, 0)
			c.faultTimes[address] = append(c.faultTimes[address], time.Now())
		}
	}
}
