package placement

import (
	"math"
	"time"
)

// healthBelief holds the probabilities that a server is degraded (a part of its
// requests fails) or failing (most requests fail); otherwise it is healthy. Servers
// change between these states by themselves, at roughly known rates, and every result
// makes some states more likely.
//
// The degraded state is needed because a server that loses a third of its responses
// gives two good ones between two failures. With two states only, these would restore
// full trust each time.
type healthBelief struct {
	degraded, failing float64
	at                time.Duration
}

const (
	// priorDegraded and priorFailing are the shares of servers in these states,
	// assumed when nothing is known about a server.
	priorDegraded = 0.03
	priorFailing  = 0.28
	// degradedFailureRate, failingFailureRate and baseFailureRate are the shares of
	// requests that fail at degraded, failing and healthy servers.
	degradedFailureRate = 0.35
	failingFailureRate  = 0.8
	baseFailureRate     = 0.012
)

// priorHealthBelief returns the belief about a server that nothing is known about.
func priorHealthBelief(t time.Duration) healthBelief {
	return healthBelief{priorDegraded, priorFailing, t}
}

// unhealthy returns the probability that the server is degraded or failing.
func (c healthBelief) unhealthy() float64 { return c.degraded + c.failing }

// decayedTo returns the belief at the given time, decayed towards the prior.
func (c healthBelief) decayedTo(t time.Duration) healthBelief {
	elapsed := t - c.at
	if elapsed <= 0 {
		return c
	}
	factor := decayFactor(c.unhealthy() > priorDegraded+priorFailing, elapsed)
	return healthBelief{
		degraded: priorDegraded + (c.degraded-priorDegraded)*factor,
		failing:  priorFailing + (c.failing-priorFailing)*factor,
		at:       t,
	}
}

const (
	// healthyDecayTime and unhealthyDecayTime are the time constants of the decay
	// after good and bad results. Trust in an unused server must outlast the intervals
	// between requests, or all load stays on few servers. Distrust must outlast most
	// of a failing period, since each early attempt is probably lost.
	healthyDecayTime   = 9 * time.Second
	unhealthyDecayTime = 6 * time.Second
	// minProbability and maxProbability keep a belief from becoming a certainty that
	// no result can change.
	minProbability = 0.002
	maxProbability = 0.995
)

// decayFactor returns the share of a deviation from the prior that remains after the
// elapsed time.
func decayFactor(suspected bool, elapsed time.Duration) float64 {
	decayTime := healthyDecayTime
	if suspected {
		decayTime = unhealthyDecayTime
	}
	return math.Exp(-max(float64(elapsed), 0) / float64(decayTime))
}

// likelihoods of a result in the three states, up to a common factor.
type likelihoods struct{ healthy, degraded, failing float64 }

// update applies Bayes' rule for a result with the given likelihoods.
func (c *healthBelief) update(t time.Duration, l likelihoods) {
	n := c.decayedTo(t)
	healthy, degraded, failing := (1-n.unhealthy())*l.healthy, n.degraded*l.degraded, n.failing*l.failing
	sum := healthy + degraded + failing
	c.degraded = math.Max(degraded/sum, minProbability/2)
	c.failing = math.Max(failing/sum, minProbability/2)
	if unhealthy := c.unhealthy(); unhealthy > maxProbability {
		c.degraded *= maxProbability / unhealthy
		c.failing *= maxProbability / unhealthy
	}
	c.at = t
}

// failureProbability returns the probability that a request sent now fails.
func (c healthBelief) failureProbability() float64 {
	return (1-c.unhealthy())*baseFailureRate + c.degraded*degradedFailureRate + c.failing*failingFailureRate
}

var (
	// successLikelihoods apply to a successful response.
	successLikelihoods = likelihoods{1 - baseFailureRate, 1 - degradedFailureRate, 1 - failingFailureRate}
	// connectFailedLikelihoods apply to a failed connection attempt, which says more
	// about the network path than about the server.
	connectFailedLikelihoods = likelihoods{healthy: 0.06, degraded: 0.1, failing: 0.3}
)
