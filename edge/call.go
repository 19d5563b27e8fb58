package edge

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"foxtailspoke/mechanism"
	"foxtailspoke/placement"
	"foxtailspoke/platform"
	"foxtailspoke/routing"
)

// Rule is the reason for which a request was answered as it was.
type Rule string

// The rules.
const (
	RuleServed            Rule = "served"
	RuleNoConfig          Rule = "no-configuration"
	RuleNoRoute           Rule = "no-route"
	RuleUnknownKey        Rule = "unknown-key"
	RuleConfigTooOld      Rule = "configuration-too-old"
	RuleBodyTooLarge      Rule = "body-too-large"
	RuleBodyUnreadable    Rule = "body-unreadable"
	RuleOverRate          Rule = "over-rate"
	RuleNoServer          Rule = "no-server"
	RuleNoServerInRegions Rule = "no-server-in-allowed-regions"
	RuleServersEvacuated  Rule = "servers-evacuated"
	RuleServersCold       Rule = "servers-cold"
	RuleServersAtLimit    Rule = "servers-at-their-limit"
	RuleNoRoom            Rule = "no-room"
	RuleServerFailed      Rule = "server-failed"
	RuleNotRun            Rule = "not-run"
	RuleTimeout           Rule = "timeout"
	RuleCallerLeft        Rule = "caller-left"
	RuleStopping          Rule = "stopping"
)

const (
	// responseMargin is kept back of the time that a caller will wait, for the
	// answer's way to it.
	responseMargin = 30 * time.Millisecond
	// defaultDeadline holds for callers that don't say how long they wait.
	defaultDeadline = 30 * time.Second
	// retryAfterShort is told where the cause passes within moments.
	retryAfterShort = 500 * time.Millisecond
	// initialWorkShare is the share of the aim that a request is taken to need
	// before any was measured.
	initialWorkShare = 0.3
	// initialSizeKB is the size of request and answer taken before any was measured.
	initialSizeKB = 5.0
)

// call is a caller's request in progress.
type call struct {
	id        string
	method    string
	target    string
	host      string
	header    http.Header
	body      []byte
	start     time.Duration
	deadline  time.Duration
	route     *routing.Route
	workspace *routing.Workspace
	service   string
	version   uint32
	configAge time.Duration
	// charged says that the workspace's rate has paid for it.
	charged bool
}

// refusal is a refusal before any backend server was asked.
type refusal struct {
	status     int
	rule       Rule
	retryAfter time.Duration
}

// newCall reads what a request asks for and whether it may.
func (e *Edge) newCall(r *http.Request) (*call, *refusal) {
	c := &call{
		id:     r.Header.Get(platform.HeaderAttempt),
		method: r.Method,
		target: requestTarget(r),
		host:   r.Host,
		start:  e.now(),
	}
	path, _, _ := strings.Cut(c.target, "?")
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.state
	if s.table == nil {
		return c, &refusal{http.StatusServiceUnavailable, RuleNoConfig, retryAfterShort}
	}
	c.version = s.table.Version
	c.configAge = e.configAge(c.start)
	c.route = s.table.Route(r.Host, path)
	if c.route == nil {
		return c, &refusal{status: http.StatusNotFound, rule: RuleNoRoute}
	}
	c.deadline = c.start + remainingTime(r.Header, c.route)
	if v := e.authenticate(c, r.Header); v != nil {
		return c, v
	}
	if limit := s.table.Limits.BodyBytes; limit > 0 && r.ContentLength > limit {
		return c, &refusal{status: http.StatusRequestEntityTooLarge, rule: RuleBodyTooLarge}
	}
	c.service = s.splitter.Pick(c.route)
	return c, nil
}

// requestTarget is the path and query as the caller sent them. A caller may send the
// whole URL.
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

// authenticate finds the workspace. A key that was taken away must not work any
// longer than its bound, so that nothing with a key is admitted on a
// configuration whose age isn't proved; nothing of it has run then.
func (e *Edge) authenticate(c *call, h http.Header) *refusal {
	s := &e.state
	if !s.table.Keyed || c.route.Public {
		return nil
	}
	if c.configAge > s.bounds.Keys {
		return &refusal{http.StatusServiceUnavailable, RuleConfigTooOld, retryAfterShort}
	}
	c.workspace = s.table.Workspace(platform.Key(h.Get(platform.HeaderKey)))
	if c.workspace == nil {
		return &refusal{status: http.StatusUnauthorized, rule: RuleUnknownKey}
	}
	return nil
}

// readBody holds the whole body, so that it can go to a second server if the
// first didn't run it, and a slow sender holds no server's slot.
func (e *Edge) readBody(c *call, w http.ResponseWriter, r *http.Request) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	body := r.Body
	e.mu.Lock()
	if limit := e.state.table.Limits.BodyBytes; limit > 0 {
		body = http.MaxBytesReader(w, body, limit)
	}
	e.mu.Unlock()
	b, err := io.ReadAll(body)
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge { //nolint:errorlint // the reader returns it bare
		return &refusal{status: http.StatusRequestEntityTooLarge, rule: RuleBodyTooLarge}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, rule: RuleBodyUnreadable}
	}
	c.body = b
	return nil
}

// chooseServer chooses a server for the next attempt. Charging the workspace comes
// last: only a request that is going to be sent uses up its rate.
func (e *Edge) chooseServer(c *call, tried []string) (placement.Choice, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.state
	now := e.now()
	// Between two beats of the heart a server may have run out of its grace;
	// it would still get requests for up to a fifth of a second.
	e.expireServers(now)
	r := e.placementRequest(c, tried, now)
	choice, ok := s.placer.Choose(r, now, rand.Float64)
	if !ok {
		return choice, e.noServerRefusal(r, now)
	}
	rank := routing.Rank(c.route, c.workspace)
	if !e.mechanisms.On(mechanism.Rank) {
		rank = 0
	}
	if ok, wait := placement.Admit(choice, r, rank, rand.Float64()); !ok {
		return choice, &refusal{http.StatusServiceUnavailable, RuleNoRoom, wait}
	}
	if v := e.chargeRate(c, now); v != nil {
		return choice, v
	}
	s.placer.Sent(choice.Server.ID, r, now)
	return choice, nil
}

// noServerRefusal is the refusal of a request that no server may get.
func (e *Edge) noServerRefusal(r placement.Request, now time.Duration) *refusal {
	v := &refusal{http.StatusServiceUnavailable, RuleNoServer, retryAfterShort}
	obstacle, wait := e.state.placer.Obstacle(r, now)
	switch obstacle {
	case placement.Outside:
		v.rule = RuleNoServerInRegions
	case placement.Evacuated:
		v.rule = RuleServersEvacuated
	case placement.Limited:
		v.rule, v.retryAfter = RuleServersAtLimit, shareRetryAfter(wait)
	case placement.Cold:
		v.rule, v.retryAfter = RuleServersCold, shareRetryAfter(wait)
	case placement.NoObstacle, placement.Draining:
	}
	return v
}

// shareRetryAfter is when to come back after this instance's share of a server was used
// up: another instance may hold one that is free at once.
func shareRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, retryAfterElsewhere), retryAfterShort)
}

func (e *Edge) placementRequest(c *call, tried []string, now time.Duration) placement.Request {
	stats := e.routeStatsFor(c.route)
	repeatable := c.route.Kind.Repeatable()
	allowed, _ := e.topology.Allowed(c.route, c.workspace)
	return placement.Request{
		Service:      c.service,
		Repeatable:   repeatable,
		RoomToRepeat: repeatable && c.route.MaxAttempts > 1 && e.hasRetryBudget(c.service),
		Aim:          c.route.Aim - (now - c.start),
		Left:         c.deadline - now,
		Work:         stats.work,
		KB:           stats.kb,
		DataCentre:   e.settings.DataCentre,
		Tried:        tried,
		Allowed:      allowed,
	}
}

func (e *Edge) chargeRate(c *call, now time.Duration) *refusal {
	if c.workspace == nil || c.charged {
		return nil
	}
	ok, wait := e.state.usage.Take(workspaceHash(c.workspace.Name), now)
	if !ok {
		// Spread, so that callers refused together don't return together.
		wait += time.Duration(rand.Float64() * float64(retryAfterShort))
		return &refusal{http.StatusTooManyRequests, RuleOverRate, wait}
	}
	c.charged = true
	return nil
}

func (e *Edge) routeStatsFor(r *routing.Route) *routeStats {
	st, ok := e.state.routes[r.Name]
	if !ok {
		st = &routeStats{work: time.Duration(initialWorkShare * float64(r.Aim)), kb: initialSizeKB}
		e.state.routes[r.Name] = st
	}
	return st
}

// updateRouteStats takes in the time and size of an answered request. A request that
// had to wait for a slot tells nothing of its work.
func (e *Edge) updateRouteStats(c *call, took time.Duration, bytes int) {
	st := e.routeStatsFor(c.route)
	if took > 0 {
		st.work += time.Duration(routeSmoothing * float64(took-st.work))
	}
	st.kb += routeSmoothing * (float64(bytes)/1024 - st.kb)
}

// routeSmoothing is the weight of one request among those of its route.
const routeSmoothing = 0.08

func workspaceHash(name string) uint32 { return placement.Hash(name) }
