package soak_test

import (
	"fmt"
	"strings"
	"time"
)

// leavingSeal begins the seal of responses of a server that leaves; its ID follows.
const leavingSeal = "leaving/"

// isLeaving reports whether the server leaves. b.mu must be held.
func (b *backend) isLeaving() bool { return b.leavesSilently || !b.drainingSince.IsZero() }

// leaveSilently makes the server leave without writing that it drains, and restart
// after d.
func (b *backend) leaveSilently(d time.Duration) {
	b.mu.Lock()
	b.leavesSilently = true
	b.mu.Unlock()
	time.AfterFunc(d, func() { b.register("ready") })
}

// recordLeaving records that an instance returned a response whose server announces its
// stop. c.mu must be held.
func (c *cluster) recordLeaving(r *request, seal string) {
	server, leaving := strings.CutPrefix(seal, leavingSeal)
	if !leaving {
		return
	}
	if c.leaving[server] == nil {
		c.leaving[server] = make(map[string]time.Time)
	}
	if since, known := c.leaving[server][r.instance]; known && !c.instanceFaults[r.instance].After(since) {
		return
	}
	c.leaving[server][r.instance] = time.Now()
	c.leavingCount++
}

// recordServerRestart records that a server starts again. Nothing that it asked for
// before applies to the new run.
func (c *cluster) recordServerRestart(b *backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leaving, b.id)
	b.rejections = rejections{}
}

// checkLeaving checks that a request is not to a server whose leaving its instance has
// passed on. Faults of the store and of links excuse nothing. c.mu must be held.
func (c *cluster) checkLeaving(b *backend, id string) {
	req, known := c.requests[id]
	if !known {
		return
	}
	since, leaving := c.leaving[b.id][req.instance]
	if !leaving || c.instanceFaults[req.instance].After(since) || !req.sentAt.After(since.Add(drainBound)) {
		return
	}
	c.violations = append(c.violations, fmt.Sprintf("request %s reached backend server %s from %s, sent %v after the instance had passed on that the server leaves",
		id, b.id, req.instance, req.sentAt.Sub(since)))
}
