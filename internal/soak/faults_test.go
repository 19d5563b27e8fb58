package soak_test

import (
	"fmt"
	"syscall"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
	"foxtailspoke/internal/standin/rowstore"
)

// injectFaults injects random, possibly overlapping faults for d and then ends them.
func (c *cluster) injectFaults(d time.Duration) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		c.injectFault()
		time.Sleep(c.randomDuration(100*time.Millisecond, 900*time.Millisecond))
	}
	c.store.SetFault(nil)
	c.store.SetDelay(0)
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
	}
	for _, l := range c.allLinks() {
		c.setLinkState(l, standin.LinkState{})
	}
	for _, b := range c.backends {
		b.failFor(0)
		b.register("ready")
	}
}

func (c *cluster) randomDuration(shortest, longest time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return shortest + time.Duration(c.rng.Int64N(int64(longest-shortest)))
}

func (c *cluster) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *cluster) injectFault() {
	p := c.processes[c.randomInt(len(c.processes))]
	b := c.backends[c.randomInt(len(c.backends))]
	switch c.randomInt(18) {
	case 0:
		c.recordDisturbance()
		c.restart(p, syscall.SIGKILL, c.randomDuration(0, time.Second))
	case 1:
		c.restart(p, syscall.SIGTERM, 0)
	case 2:
		c.recordDisturbance()
		c.pause(p, c.randomDuration(200*time.Millisecond, 4*time.Second))
	case 3:
		c.recordDisturbance()
		for _, p := range c.processes {
			c.restart(p, syscall.SIGKILL, c.randomDuration(0, 500*time.Millisecond))
		}
	case 4:
		c.recordDisturbance()
		c.failStore(c.randomDuration(300*time.Millisecond, 5*time.Second))
	case 5:
		c.recordDisturbance()
		c.store.SetDelay(c.randomDuration(100*time.Millisecond, 600*time.Millisecond))
		time.AfterFunc(2*time.Second, func() { c.store.SetDelay(0) })
	case 6:
		c.store.TruncateHistory()
	case 7:
		c.publishConfig()
	case 8:
		b.register("draining")
		time.AfterFunc(4*time.Second, func() { b.register("ready") })
	case 9, 10:
		c.recordDisturbance()
		c.disruptLink(c.allLinks()[c.randomInt(len(c.allLinks()))])
	case 11:
		c.allLinks()[c.randomInt(len(c.allLinks()))].ResetConnections()
	case 12:
		c.evacuate("dc-1", c.randomDuration(time.Second, 6*time.Second))
	case 13:
		id := fmt.Sprintf("i-%d", len(c.backends))
		c.backends = append(c.backends, newBackend(c, id, "dc-0", warmupDuration))
	default:
		b.failFor(c.randomDuration(time.Second, 5*time.Second))
	}
}

// recordDisturbance records the beginning or end of a fault that may delay instances in
// learning of changes. See settlePeriod.
func (c *cluster) recordDisturbance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastDisturbance = time.Now()
}

// restart ends a process with s and starts it again once it has exited and the delay
// after has passed. It does nothing for a process that is already being restarted.
func (c *cluster) restart(p *process, s syscall.Signal, after time.Duration) {
	p.mu.Lock()
	restarting, done := p.restarting, p.done
	p.restarting = true
	p.mu.Unlock()
	if restarting {
		return
	}
	c.recordInstanceFault(p)
	p.signal(s)
	c.wg.Go(func() {
		<-done
		time.Sleep(after)
		select {
		case <-c.stop:
			return
		default:
		}
		c.launch(p)
		p.mu.Lock()
		p.restarting = false
		p.mu.Unlock()
	})
}

func (c *cluster) pause(p *process, d time.Duration) {
	c.recordInstanceFault(p)
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		c.recordDisturbance()
		c.recordInstanceFault(p)
		p.signal(syscall.SIGCONT)
	})
}

// failStore makes all calls to the store, or about one in two, fail for d.
func (c *cluster) failStore(d time.Duration) {
	faults := []rowstore.Fault{rowstore.Unavailable, rowstore.TooManyRequests, rowstore.ConnectionReset, rowstore.NoResponse, rowstore.ResponseLost}
	fault := faults[c.randomInt(len(faults))]
	intermittent := c.randomInt(2) == 0
	c.store.SetFault(func(string) rowstore.Fault {
		if intermittent && c.randomInt(2) == 0 {
			return rowstore.NoFault
		}
		return fault
	})
	time.AfterFunc(d, func() {
		c.recordDisturbance()
		c.store.SetFault(nil)
	})
}

// disruptLink cuts a link in one or both directions, or delays one direction, for a
// random time.
func (c *cluster) disruptLink(l *standin.Link) {
	states := []standin.LinkState{
		{Forward: standin.FlowCut},
		{Backward: standin.FlowCut},
		{Forward: standin.FlowCut, Backward: standin.FlowCut},
		{ForwardDelay: config.Duration(c.randomDuration(20*time.Millisecond, 400*time.Millisecond))},
		{BackwardDelay: config.Duration(c.randomDuration(20*time.Millisecond, 400*time.Millisecond))},
	}
	c.setLinkState(l, states[c.randomInt(len(states))])
	time.AfterFunc(c.randomDuration(300*time.Millisecond, 4*time.Second), func() {
		c.recordDisturbance()
		c.setLinkState(l, standin.LinkState{})
	})
}

func (c *cluster) setLinkState(l *standin.Link, s standin.LinkState) {
	c.recordLinkFault(l)
	if err := l.SetState(s); err != nil {
		c.t.Error(err)
	}
}
