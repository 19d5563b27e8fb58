package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"foxtailspoke/mechanism"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
	"foxtailspoke/quarantine"
	"foxtailspoke/routing"
)

// Rule identifies why a request got its response.
type Rule string

const (
	RuleServed            Rule = "served"
	RuleNoConfig          Rule = "no-configuration"
	RuleNoRoute           Rule = "no-route"
	RuleUnknownKey        Rule = "unknown-key"
	RuleConfigTooOld      Rule = "configuration-too-old"
	RuleUnverified        Rule = "unverified"
	RuleBodyTooLarge      Rule = "body-too-large"
	RuleBodyUnreadable    Rule = "body-unreadable"
	RuleOverRate          Rule = "over-rate"
	RuleNoServer          Rule = "no-server"
	RuleNoServerInRegions Rule = "no-server-in-allowed-regions"
	RuleServersEvacuated  Rule = "servers-evacuated"
	RuleServersCold       Rule = "servers-cold"
	RuleServersBackingOff Rule = "servers-backing-off"
	RuleServersAtLimit    Rule = "servers-at-their-limit"
	RuleNoRoom            Rule = "no-room"
	RuleServerFailed      Rule = "server-failed"
	RuleNotRun            Rule = "not-run"
	RuleTimeout           Rule = "timeout"
	RuleCallerLeft        Rule = "caller-left"
	RuleFatalRequest      Rule = "fatal-request"
	RuleServiceFull       Rule = "service-full"
	RuleNoMemory          Rule = "no-memory"
	RuleStopping          Rule = "stopping"
)

const (
	// responseMargin is subtracted from the time that a caller waits, for the
	// transfer of the response.
	responseMargin = 30 * time.Millisecond
	// defaultDeadline applies to callers that send no deadline.
	defaultDeadline = 30 * time.Second
	// retryAfterShort is the Retry-After for causes that pass within moments.
	retryAfterShort = 500 * time.Millisecond
	// initialWorkShare is the part of the latency target that a request is assumed
	// to need before one of its route was measured.
	initialWorkShare = 0.3
	// maxBodyBytes bounds the body of a request if the configuration doesn't.
	maxBodyBytes = 16 << 20
	// initialSizeKB is the assumed size of request and response before one of the
	// route was measured.
	initialSizeKB = 5.0
)

// call is a request of a caller in progress.
type call struct {
	id     string
	method string
	target string
	host   string
	header http.Header
	body   []byte
	// bodyHeld is what the body counts in the account of bytes held.
	bodyHeld  int
	start     time.Duration
	deadline  time.Duration
	route     *routing.Route
	workspace *routing.Workspace
	service   string
	version   uint32
	configAge time.Duration
	copies    copyState
	// charged is set once the request was counted against the workspace's rate.
	charged bool
	// reserved is the number of tokens that more urgent requests of the workspace were left when the
	// request was refused for its rate.
	reserved float64
	// rank is the priority, known once a server is chosen. notAdmitted is set if the request
	// was rejected as the servers of its service are full, rejectedByFull while its last
	// attempt is one that a full server rejected.
	rank                        int
	notAdmitted, rejectedByFull bool
	// abandoned is set if the caller left while an attempt was in progress.
	abandoned bool
	// lifetime ends when the caller was answered or has left.
	lifetime context.Context
	// identity is the fingerprint of the request, 0 until it is needed.
	identity quarantine.Fingerprint
}

// fingerprint returns the fingerprint of the request. Edge.mu must be held.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.identity == 0 {
		c.identity = quarantine.FingerprintOf(c.method, c.host, c.target, c.body)
	}
	return c.identity
}

// refusal is the response to a request that no backend server has served.
type refusal struct {
	status     int
	rule       Rule
	retryAfter time.Duration
}

// newCall resolves the route, deadline, workspace and service of a request. It
// returns a refusal if the request is not allowed.
func (e *Edge) newCall(r *http.Request) (*call, *refusal) {
	c := &call{
		id:     r.Header.Get(platform.HeaderAttempt),
		method: r.Method,
		target: requestTarget(r),
		host:   r.Host,
		start:  e.now(),

		lifetime: r.Context(),
	}
	path, _, _ := strings.Cut(c.target, "?")
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.state
	if s.table == nil {
		return c, &refusal{http.StatusServiceUnavailable, RuleNoConfig, retryAfterShort}
	}
	if v := e.awaitProof(r.Context()); v != nil {
		return c, v
	}
	c.version = s.table.Version
	c.configAge = e.configAge(e.now())
	c.copies = e.copyState(e.now())
	e.metrics.observeCopies(c.configAge, c.copies)
	c.route = s.table.Route(r.Host, path)
	if c.route == nil {
		return c, &refusal{status: http.StatusNotFound, rule: RuleNoRoute}
	}
	c.deadline = c.start + remainingTime(r.Header, c.route)
	if v := e.authenticate(c, r.Header); v != nil {
		return c, v
	}
	if limit := s.table.Limits.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		return c, &refusal{status: http.StatusRequestEntityTooLarge, rule: RuleBodyTooLarge}
	}
	c.service = s.splitter.Pick(c.route)
	return c, nil
}

// requestTarget returns the path and query exactly as the caller sent them. The
// request line may hold an absolute URL.
func requestTarget(r *http.Request) string {
	t := r.RequestURI
	if strings.HasPrefix(t, "/") {
		return t
	}
	if _, rest, ok := strings.Cut(t, "://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			return rest[i:]
		}
	}
	return "/"
}

func remainingTime(h http.Header, r *routing.Route) time.Duration {
	left := platform.Deadline(h)
	if left == 0 {
		left = defaultDeadline
	}
	left -= responseMargin
	if r.Timeout > 0 {
		left = min(left, r.Timeout)
	}
	return left
}

// authenticate finds the workspace of the request's key. A revoked key must stop
// working within its bound, so requests that need a key are refused while the age
// of the configuration is not proved to be within it. Such a request has not been
// executed.
func (e *Edge) authenticate(c *call, h http.Header) *refusal {
	s := &e.state
	if !s.table.RequireKey || c.route.Public {
		return nil
	}
	if c.configAge > s.bounds.MaxKeyAge {
		return &refusal{http.StatusServiceUnavailable, RuleConfigTooOld, retryAfterShort}
	}
	c.workspace = s.table.WorkspaceByKey(platform.APIKey(h.Get(platform.HeaderAuthorization)))
	if c.workspace == nil {
		return &refusal{status: http.StatusUnauthorized, rule: RuleUnknownKey}
	}
	return nil
}

// readBody buffers the whole body. It can then be sent to a second server if the
// first did not execute the request, and a slow sender does not occupy a slot of a
// server.
func (e *Edge) readBody(c *call, w http.ResponseWriter, r *http.Request) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	e.mu.Lock()
	limit := cmp.Or(max(e.state.table.Limits.MaxBodyBytes, 0), maxBodyBytes)
	e.mu.Unlock()
	return e.readAccountedBody(c, w, r, limit)
}

// chooseServer chooses the backend server for the next attempt. The workspace's
// rate is charged last, so that only requests that are sent count against it.
func (e *Edge) chooseServer(c *call, tried []string) (placement.Choice, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.state
	now := e.now()
	// The grace period of a server may have ended since the last heartbeat. Without
	// this it would get requests for up to 200 ms more.
	e.expireServers(now)
	if v := e.withhold(c, now); v != nil {
		return placement.Choice{}, v
	}
	r := e.placementRequest(c, tried, now)
	e.planCrossing(&r)
	full, v := e.excludeFullServers(c, &r, now)
	if v != nil {
		return placement.Choice{}, v
	}
	choice, ok := s.placer.Choose(r, now, rand.Float64)
	if !ok && full {
		return choice, e.noMemoryRefusal(retryAfterNoMemory)
	}
	if !ok {
		return choice, e.noServerRefusal(r, now)
	}
	c.rank = routing.Priority(c.route, c.workspace)
	if !e.mechanisms.Enabled(mechanism.Priorities) {
		c.rank = 0
	}
	if ok, wait := placement.Admit(choice, r, c.rank, rand.Float64()); !ok {
		return choice, &refusal{http.StatusServiceUnavailable, RuleNoRoom, wait}
	}
	if v := e.admitRequest(c, choice, tried, now); v != nil {
		return choice, v
	}
	if v := e.chargeRate(c, now); v != nil {
		return choice, v
	}
	s.placer.RecordSent(choice.Server.ID, r, now)
	return choice, nil
}

// noServerRefusal returns the refusal of a request for which no server is
// available.
func (e *Edge) noServerRefusal(r placement.Request, now time.Duration) *refusal {
	v := &refusal{http.StatusServiceUnavailable, RuleNoServer, retryAfterShort}
	obstacle, wait := e.state.placer.ExclusionReason(r, now)
	switch obstacle {
	case placement.RegionNotAllowed:
		v.rule = RuleNoServerInRegions
	case placement.Evacuated:
		v.rule = RuleServersEvacuated
	case placement.BackingOff:
		v.rule, v.retryAfter = RuleServersBackingOff, shareRetryAfter(wait)
	case placement.RateLimited:
		v.rule, v.retryAfter = RuleServersAtLimit, shareRetryAfter(wait)
	case placement.Cold:
		v.rule, v.retryAfter = RuleServersCold, shareRetryAfter(wait)
	case placement.NotExcluded, placement.DrainingOrTried, placement.AddressReused:
	}
	return v
}

// shareRetryAfter returns the Retry-After for a server of which this instance has
// used up its share, or which asked this instance to back off. Another instance may
// use it at once, so the wait is bounded.
func shareRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, retryAfterElsewhere), retryAfterShort)
}

func (e *Edge) placementRequest(c *call, tried []string, now time.Duration) placement.Request {
	stats := e.routeStatsFor(c.route)
	repeatable := c.route.Kind.Repeatable()
	allowed, _ := e.topology.AllowedDataCentres(c.route, c.workspace)
	return placement.Request{
		Service:            c.service,
		Retryable:          repeatable,
		RetryBudgetAmple:   repeatable && c.route.MaxAttempts > 1 && e.hasRetryBudget(c.service),
		LatencyTarget:      c.route.LatencyTarget - (now - c.start),
		Remaining:          c.deadline - now,
		ServiceTime:        stats.work,
		SizeKB:             stats.kb,
		DataCentre:         e.settings.DataCentre,
		TriedServers:       tried,
		AllowedDataCentres: allowed,
	}
}

func (e *Edge) chargeRate(c *call, now time.Duration) *refusal {
	if c.workspace == nil || c.charged {
		return nil
	}
	e.state.usage.Silence = e.contact(now).MeanSilence
	if ok, wait := e.takeToken(c, now); !ok {
		return &refusal{http.StatusTooManyRequests, RuleOverRate, wait}
	}
	c.charged = true
	return nil
}

func (e *Edge) routeStatsFor(r *routing.Route) *routeStats {
	st, ok := e.state.routes[r.Name]
	if !ok {
		st = &routeStats{work: time.Duration(initialWorkShare * float64(r.LatencyTarget)), kb: initialSizeKB}
		e.state.routes[r.Name] = st
	}
	return st
}

// updateRouteStats updates the time and size statistics of the route with a
// completed request. took is 0 for a request that waited for a slot, as its time
// says nothing about the work.
func (e *Edge) updateRouteStats(c *call, took time.Duration, bytes int) {
	st := e.routeStatsFor(c.route)
	if took > 0 {
		st.work += time.Duration(routeSmoothing * float64(took-st.work))
	}
	st.kb += routeSmoothing * (float64(bytes)/1024 - st.kb)
}

// routeSmoothing is the weight of a new sample in the moving averages of a route.
const routeSmoothing = 0.08

func workspaceHash(name string) uint32 { return placement.Hash(name) }
