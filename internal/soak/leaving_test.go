package soak_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// leavingSeal begins the seal of responses of a server that leaves; its ID and the start
// time of its run follow.
const leavingSeal = "leaving/"

// sealOfLeaving returns the seal of responses of a server that leaves. b.mu must be held.
func (b *backend) sealOfLeaving() string {
	return fmt.Sprintf("%s%s/%d", leavingSeal, b.id, b.startTimeMS)
}

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
// stop, and that the one which had sent the request passed it on. c.mu must be held.
func (c *cluster) recordLeaving(r *request, seal string) {
	run, leaving := strings.CutPrefix(seal, leavingSeal)
	if !leaving {
		return
	}
	server, startTimeMS, _ := strings.Cut(run, "/")
	if startTimeMS != c.latestRun(server) {
		// The response was on its way while the server restarted.
		c.lateLeavingCount++
		return
	}
	if c.leaving[server] == nil {
		c.leaving[server] = make(map[string]time.Time)
	}
	for _, instance := range r.instancesOf(r.senders[server]) {
		if since, known := c.leaving[server][instance]; known && !c.instanceFaults[instance].After(since) {
			continue
		}
		c.leaving[server][instance] = time.Now()
		c.leavingCount++
	}
}

// latestRun returns the start time of a server's latest run, as its seals have it. c.mu
// must be held.
func (c *cluster) latestRun(server string) string {
	if run, restarted := c.serverRuns[server]; restarted {
		return run
	}
	return strconv.Itoa(firstStartTimeMS)
}

// recordServerRestart records that a server starts again. Nothing that it asked for
// before applies to the new run. b.mu must be held.
func (c *cluster) recordServerRestart(b *backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverRuns[b.id] = strconv.FormatInt(b.startTimeMS, 10)
	delete(c.leaving, b.id)
	b.rejections = rejections{}
}

// checkLeaving checks that a request is not to a server whose leaving its instance, or the one
// that sent it, has passed on. Faults of the store and of links excuse nothing. c.mu must be
// held.
func (c *cluster) checkLeaving(b *backend, id, sender string) {
	req, known := c.requests[id]
	if !known {
		return
	}
	for _, instance := range req.instancesOf(sender) {
		since, leaving := c.leaving[b.id][instance]
		if !leaving || c.instanceFaults[instance].After(since) || !req.sentAt.After(since.Add(drainBound)) {
			continue
		}
		c.violations = append(c.violations, fmt.Sprintf("request %s reached backend server %s from %s, sent %v after the instance had passed on that the server leaves",
			id, b.id, instance, req.sentAt.Sub(since)))
	}
}

// Guards against a check that takes the late response of an earlier run for an announcement
// of the present one.
func TestLateAnnouncementOfAnEarlierRunIsIgnored(t *testing.T) {
	c := &cluster{
		leaving: make(map[string]map[string]time.Time), serverRuns: make(map[string]string),
		instanceFaults: make(map[string]time.Time), requests: make(map[string]*request),
	}
	b := &backend{cluster: c, id: "i-0", startTimeMS: firstStartTimeMS}
	old := b.sealOfLeaving()
	b.startTimeMS++
	c.recordServerRestart(b)
	c.recordLeaving(&request{instance: "a"}, old)
	c.requests["r"] = &request{instance: "a", sentAt: time.Now().Add(drainBound + time.Second)}
	c.checkLeaving(b, "r", "a")
	must.SliceEmpty(t, c.violations)

	c.recordLeaving(&request{instance: "a"}, b.sealOfLeaving())
	c.checkLeaving(b, "r", "a")
	must.SliceNotEmpty(t, c.violations)
}
