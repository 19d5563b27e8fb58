package health

import (
	"time"

	"foxtailspoke/config"
)

// Probe is a request to an ejected server on which no caller waits.
type Probe struct {
	Service string
	Server  string
}

// probeState tracks the ejection, the probes and the readmission of one server.
type probeState struct {
	ejected   bool
	ejectedAt time.Duration
	// probeDelay is the time from the ejection to the first probe. It doubles
	// for flapping servers.
	probeDelay time.Duration
	nextProbe  time.Duration
	successes  int
	// readmittedAt is the time of the last readmission.
	readmitted   bool
	readmittedAt time.Duration
}

// DueProbes returns the probes that are due, given the service's permits row. The
// row lists all ejected servers, whichever instance proposed the ejection.
func (c *Collector) DueProbes(now time.Duration, service string, row config.Permits) []Probe {
	p := c.pool(service)
	c.syncEjections(now, p, row)
	var due []Probe
	for _, e := range row.Ejected {
		s := &p.server(e.Server).probing
		if now-s.ejectedAt < s.probeDelay || now < s.nextProbe {
			continue
		}
		s.nextProbe = now + c.settings.ProbeInterval
		due = append(due, Probe{Service: service, Server: e.Server})
	}
	return due
}

// RecordProbe records the result of a probe.
func (c *Collector) RecordProbe(now time.Duration, pr Probe, r Result, latency time.Duration) {
	s := &c.pool(pr.Service).server(pr.Server).probing
	if r != OK || latency >= c.settings.SlowProbe {
		s.successes = 0
		return
	}
	s.successes++
}

// syncEjections updates which servers are ejected. The evidence on a readmitted
// server is dropped.
func (c *Collector) syncEjections(now time.Duration, p *pool, row config.Permits) {
	ejected := map[string]bool{}
	for _, e := range row.Ejected {
		ejected[e.Server] = true
		p.server(e.Server).probing.eject(now, c.settings)
	}
	for id, s := range p.servers {
		if s.probing.ejected && !ejected[id] {
			s.probing.readmit(now)
			p.failed.removeServer(id)
			p.late.removeServer(id)
			s.relieved = false
		}
	}
}

// eject starts the wait before the first probe. Without the doubling, a flapping
// server would be readmitted every few seconds and fail some requests each time.
func (s *probeState) eject(now time.Duration, settings Settings) {
	if s.ejected {
		return
	}
	if s.onProbation(now, settings) {
		s.probeDelay = min(2*s.probeDelay, settings.MaxProbeWait)
	} else {
		s.probeDelay = settings.ProbeWait
	}
	s.ejected = true
	s.ejectedAt = now
	s.successes = 0
}

func (s *probeState) readmit(now time.Duration) {
	s.ejected = false
	s.readmitted = true
	s.readmittedAt = now
	s.successes = 0
}

func (s *probeState) passedProbes(settings Settings) bool {
	return s.ejected && s.successes >= settings.ProbesToReturn
}

// onProbation reports whether the server was readmitted recently. The longer its
// wait before probing was, the longer the probation.
func (s *probeState) onProbation(now time.Duration, settings Settings) bool {
	return s.readmitted && now-s.readmittedAt < max(settings.Probation, 2*s.probeDelay)
}
