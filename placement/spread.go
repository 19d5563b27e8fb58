package placement

import (
	"time"

	"foxtailspoke/mechanism"
)

// shouldSpread reports whether a request should be used to bring idle servers into use.
func (p *Placer) shouldSpread(g *service, retryable bool, now time.Duration) bool {
	if !p.off.Enabled(mechanism.Spread) {
		return false
	}
	if now-g.firstServerAt < startupSpreadPeriod || now < p.instanceLossUntil {
		return p.shareInUse(g, anyHealth, now) < spreadCoverageAtStart
	}
	if g.outcomes.unservedShare(now) <= spreadUnservedShare {
		return false
	}
	if retryable {
		return p.shareInUse(g, anyHealth, now) < spreadCoverageRetryable
	}
	// Servers that were tried and failed are in use. Where most servers fail, they alone
	// exceed the coverage, so that the idle ones among the others need a count of their own.
	mayBeHealthy := func(s *server) bool {
		return now-s.lastFailure > spreadFailureHoldoff && s.risk(p.off, now) <= spreadRiskLimit
	}
	return p.shareInUse(g, anyHealth, now) < spreadCoverage || p.shareInUse(g, mayBeHealthy, now) < spreadCoverage
}

func anyHealth(*server) bool { return true }

// shareInUse returns the share of servers that received a request within idleAfter, among
// those that may receive requests without limit and meet the condition.
func (p *Placer) shareInUse(g *service, condition func(*server) bool, now time.Duration) float64 {
	used, all := 0, 0
	for _, s := range g.servers {
		if !p.unlimited(g, s, now) || !condition(s) {
			continue
		}
		all++
		if s.used && now-s.lastUse <= idleAfter {
			used++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(used) / float64(all)
}

// unlimited reports whether this instance may send any number of requests to a server.
func (p *Placer) unlimited(g *service, s *server, now time.Duration) bool {
	return !s.entry.Draining && !s.addressReused(now) && !p.evacuated[s.entry.DataCentre] && p.backoffRemaining(s, now) <= 0 &&
		!g.warmUp.limitsServer(s, now) && !p.rateLimited(s)
}
