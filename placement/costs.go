package placement

import "time"

// Weights of the cost function, in units of one lost non-retryable request.
const (
	// retryableFailureCost is the cost of a failure of a retryable request. It is
	// hardly lower than that of a non-retryable one: the retry also has to wait, time
	// has been lost, and the retry budget is scarce.
	retryableFailureCost = 0.8
	// latencyWeight is the cost of an expected latency equal to the latency target.
	latencyWeight = 0.3
	// maxLatencyRatio is the ratio of expected latency to latency target above which
	// the latency cost no longer grows: with short targets it would outweigh any risk.
	maxLatencyRatio = 1.5
	// lateAnswerCost is added in full at 1.5 times the latency target, as a late answer
	// is of little use to its caller.
	lateAnswerCost = 0.35
	// queueRoundCost is the cost of each round of requests that a slot serves before
	// this one. The latency alone costs so little compared with the risk of an unknown
	// server that load would pile up at a few known ones and answers would be late.
	queueRoundCost = 0.2
	// fullOccupancyCost is the cost of a server whose slots are all taken, and in proportion
	// below. Servers slow down as they fill, and instances that choose at the same moment exceed
	// the slots of a server that has one left. If only full servers cost more, requests pile up
	// at those that answered last while others are empty.
	fullOccupancyCost = 0.08
	// minOccupancySlots is the number of slots from which a server's occupancy costs anything.
	// The step from one slot to the next must stay below costJitter, or all instances that
	// choose at the same moment would send to the emptiest server.
	minOccupancySlots = 3
	// crossDCCost is the cost of leaving the data centre for a few bytes, and
	// crossDCCostPerKB that of each kilobyte of request and answer. maxCrossDCCost
	// bounds the sum, as an answer is worth more than the bandwidth it takes.
	crossDCCost      = 0.02
	crossDCCostPerKB = 0.008
	maxCrossDCCost   = 0.2
	// plannedLeavingCost is the cost of leaving the data centre for a few bytes if the
	// request is planned to stay: a fifth of it would send away requests for which the local
	// servers suffice.
	plannedLeavingCost = 0.12
	// costJitter distributes instances that decide at the same moment over servers of
	// equal cost.
	costJitter = 0.03
	// unusedServerBonus attracts an early request to a server that never received one.
	unusedServerBonus = 0.3
	// spreadBonus attracts requests to idle servers while many requests go unserved.
	spreadBonus = 0.8
	// keepInUseBonus attracts requests to servers that are probably healthy, so that
	// all of them stay in use.
	keepInUseBonus = 0.3
	// fewInUseBonus is added to keepInUseBonus while few healthy servers are in use. It
	// outweighs a risk up to keepInUseRiskLimit.
	fewInUseBonus = 0.5
	// probeBonus attracts retryable requests to servers whose last requests failed, but
	// not to servers that didn't answer at all.
	probeBonus = 0.8
)

const (
	// unusedServerDelay leaves the registration of a server time to reach all
	// instances.
	unusedServerDelay = 500 * time.Millisecond
	// spreadUnservedShare is the share of unserved requests above which the requests to
	// a service are spread over more of its servers, and spreadCoverage the share of
	// servers to be in use then. The former is below the share at which idle healthy
	// servers count as a violation of the fleet's objectives, which leaves time to
	// react. With a much lower value spreading would sustain itself: the requests lost
	// by trying failing servers count as unserved. Servers that are more likely to be
	// healthy are tried first.
	spreadUnservedShare = 0.07
	spreadCoverage      = 0.72
	// spreadRiskLimit is the risk up to which a server may be healthy: that of one that
	// failed all its requests until 2.6 seconds ago.
	spreadRiskLimit = 0.6
	// spreadCoverageRetryable applies to retryable requests, whose failures cost less.
	// The idle servers may all be among the few that are healthy and undisturbed, so a
	// share of all servers says little about these.
	spreadCoverageRetryable = 0.95
	// spreadCoverageAtStart is higher than spreadCoverage: right after a fleet-wide
	// start, few servers may count as healthy yet, and most of these must be in use.
	spreadCoverageAtStart = 0.95
	// startupSpreadPeriod is the time after the start of an instance during which it
	// assumes that many requests went unserved. The whole fleet may have been down, and
	// no record of that remains; the first servers to answer would otherwise receive
	// all requests.
	startupSpreadPeriod = 5 * time.Second
	// idleAfter is the time without a request after which spreadBonus applies, and
	// spreadFailureHoldoff the time after a failure during which it doesn't. Both leave
	// some time to send a request before a healthy server counts as idle after 2 s.
	idleAfter            = 1700 * time.Millisecond
	spreadFailureHoldoff = 1700 * time.Millisecond
	// keepInUseAfter is the time without a request after which keepInUseBonus applies,
	// and keepInUseRiskLimit the risk up to which it does: the risk of a server five
	// seconds after its last failure. The fleet may lose all its instances at any
	// moment, and most healthy servers must be in use then.
	keepInUseAfter     = 800 * time.Millisecond
	keepInUseRiskLimit = 0.5
	// keepInUseRiskFactor is the multiple of keepInUseAfter that is added to it at a
	// risk of 1.
	keepInUseRiskFactor = 10
	// keepInUseRiskLimitNonRetryable replaces keepInUseRiskLimit for non-retryable
	// requests if at least minRetryableShare of the requests to the service are
	// retryable.
	keepInUseRiskLimitNonRetryable = 0.06
	minRetryableShare              = 0.05
	// retryableShareSmoothing is the weight of a request in the moving average of the
	// retryable share.
	retryableShareSmoothing = 0.03
	// probeAfter is the time without a request after which probeBonus applies. A
	// connection reset arrives within milliseconds and the request is then served by
	// another server, so the probe costs its caller little and may save a non-retryable
	// request.
	probeAfter = time.Second
	// dueRampTime is the time over which the probability that a due request is sent
	// rises to 1. A second instance then rarely sends one before it learns of the first.
	dueRampTime = 700 * time.Millisecond
	// outstandingExpiry is the age at which another instance's count of outstanding
	// requests is dropped: the message that reported their end may have been lost.
	outstandingExpiry = 6 * time.Second
	// coldSlowness is the minimum slowness assumed for a server that is warming up.
	coldSlowness = 2.0
	// slownessSmoothing is the weight of a new measurement in a server's slowness.
	slownessSmoothing = 0.25
	// slownessDecayTime is the time constant of the decay of a server's slowness without
	// requests.
	slownessDecayTime = 3 * time.Second
	// serviceTimeSmoothing is the weight of a request in the service's mean service
	// time.
	serviceTimeSmoothing = 0.05
	// maxSlowness bounds the measured slowness of a request relative to the mean of
	// its service.
	maxSlowness = 12.0
)
