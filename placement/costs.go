package placement

import "time"

// Costs weigh the parts of a choice against each other, in units of a lost
// request that can't be repeated.
const (
	// riskRepeatable is the cost of failing for a request that can be sent
	// again. It then has to wait all the same, has lost time, and has taken from
	// a scarce budget; so it is hardly less than for one that can't.
	riskRepeatable = 0.8
	// timeCost is the cost of an expected time as long as the aim.
	timeCost = 0.3
	// mostLate is the expected time, in aims, above which waiting longer costs
	// no more: with short aims it would outweigh any risk.
	mostLate = 1.5
	// lateCost is added in full at one and a half times the aim: a late
	// answer earns its caller little.
	lateCost = 0.35
	// waiting is the cost of each round of requests that a slot works off first.
	// The time alone costs so little against the risk of an unknown server that
	// load would pile up at few known ones, and answers would be late.
	waiting = 0.2
	// crossing is the cost of leaving the data centre for a few bytes, and
	// crossingPerKB for each kilobyte of request and answer, at most
	// crossingMost: a caller's answer is worth more than any link.
	crossing      = 0.02
	crossingPerKB = 0.008
	crossingMost  = 0.2
	// jitter spreads instances that decide at the same moment over servers
	// that are as good as each other.
	jitter = 0.03
	// newcomer draws an early request to a server that never got one.
	newcomer = 0.3
	// spread draws requests to servers out of use while many go unserved.
	spread = 0.8
	// keep draws requests to servers that are probably well, so that all of
	// them stay in use.
	keep = 0.3
	// probe draws requests that can be repeated to servers that failed the last
	// ones, though not by silence.
	probe = 0.8
)

const (
	// newcomerAfter leaves a server's entry time to reach all instances.
	newcomerAfter = 500 * time.Millisecond
	// widenAbove is the share of unserved requests from which a service's
	// requests are spread over more of its servers, and coverage the share of
	// servers that is then in use. It lies below the share at which idle healthy
	// servers are held against the fleet, so that there is time to act. A much
	// lower one keeps itself alive: what is lost at servers in spells for trying
	// them counts as unserved. Servers that are likelier to be well come first.
	widenAbove = 0.07
	coverage   = 0.72
	// coverageRepeatable is the same for requests that can be repeated, which
	// cost less. The servers out of use may all be among the few that are well
	// and undisturbed, so that a share of all servers says little of these.
	coverageRepeatable = 0.95
	// coverageAtStart is higher: right after a fleet-wide start most servers may
	// not count as healthy yet, and of the few that do as many must be in use.
	coverageAtStart = 0.95
	// justStarted is the time after the start of an instance during which it
	// takes as given that many went unserved: the whole fleet may have been
	// down, and nobody remembers. The first servers to answer would get all.
	justStarted = 5 * time.Second
	// outOfUse is the time without a request after which spread applies, and
	// justFailed the time after a failure during which it doesn't. Both leave
	// some of the two seconds that count to find a request.
	outOfUse   = 1700 * time.Millisecond
	justFailed = 1700 * time.Millisecond
	// keepAfter is the time without a request after which keep applies, and
	// keepRisk the risk up to which it does: what a server has five seconds
	// after its last failure. A fleet may lose all its instances at any moment,
	// and most healthy servers must be in use then.
	keepAfter = 800 * time.Millisecond
	keepRisk  = 0.5
	// keepRiskPause is how many times keepAfter is added for a certain failure.
	keepRiskPause = 10
	// keepRiskOrders replaces keepRisk for requests that can't be repeated where
	// at least enoughRepeatable of the service's requests can be.
	keepRiskOrders   = 0.06
	enoughRepeatable = 0.05
	// repeatableSmoothing is the weight of a request in that share.
	repeatableSmoothing = 0.03
	// probeAfter is the time without a request after which probe applies. A
	// reset comes within milliseconds and the request is then served elsewhere,
	// so that it costs its caller little and finds out what would cost others
	// an order.
	probeAfter = time.Second
	// dueWithin is the time after which a request that is due is sent at the
	// next chance: a second one rarely comes before the first is heard of.
	dueWithin = 700 * time.Millisecond
	// stale is the age at which another instance's count of outstanding work
	// is no longer believed: its end may have been told in a lost message.
	stale = 6 * time.Second
	// coldSlowness is how much slower than usual a server is while warming.
	coldSlowness = 2.0
	// smoothing is the weight of a new measurement of a server's speed.
	smoothing = 0.25
	// workSmoothing is the weight of a request in its service's usual time.
	workSmoothing = 0.05
	// slowest bounds a server's slowness against the mean of its service.
	slowest = 12.0
)
