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
	// callerMargin is kept back of the time that a caller will wait, for the
	// answer's way to it.
	callerMargin = 30 * time.Millisecond
	// deadlineDefault holds for callers that don't say how long they wait.
	deadlineDefault = 30 * time.Second
	// comeBackSoon is told where the cause passes within moments.
	comeBackSoon = 500 * time.Millisecond
	// firstWork is the share of the aim that a request is taken to need
	// before any was measured.
	firstWork = 0.3
	// firstKB is the size of request and answer taken before any was measured.
	firstKB = 5.0
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
	keyAge    time.Duration
	// charged says that the workspace's rate has paid for it.
	charged bool
}

// verdict is a refusal before any backend server was asked.
type verdict struct {
	status     int
	rule       Rule
	retryAfter time.Duration
}

// open reads what a request asks for and whether it may.
func (e *Edge) open(r *http.Request) (*call, *verdict) {
	c := &call{
		id:     r.Header.Get(platform.HeaderAttempt),
		method: r.Method,
		target: target(r),
		host:   r.Host,
		start:  e.now(),
	}
	path, _, _ := strings.Cut(c.target, "?")
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.state
	if s.table == nil {
		return c, &verdict{http.StatusServiceUnavailable, RuleNoConfig, comeBackSoon}
	}
	c.version = s.table.Version
	c.keyAge = e.configAge(c.start)
	c.route = s.table.Route(r.Host, path)
	if c.route == nil {
		return c, &verdict{status: http.StatusNotFound, rule: RuleNoRoute}
	}
	c.deadline = c.start + timeLeft(r.Header, c.route)
	if v := e.checkKey(c, r.Header); v != nil {
		return c, v
	}
	if limit := s.table.Limits.MaxBodyBytes; limit > 0 && r.ContentLength > limit {
		return c, &verdict{status: http.StatusRequestEntityTooLarge, rule: RuleBodyTooLarge}
	}
	c.service = s.split.Pick(c.route)
	return c, nil
}

// target is the path and query as the caller sent them. A caller may send the
// whole URL.
func target(r *http.Request) string {
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

func timeLeft(h http.Header, r *routing.Route) time.Duration {
	left := platform.Deadline(h)
	if left == 0 {
		left = deadlineDefault
	}
	left -= callerMargin
	if r.Timeout > 0 {
		left = min(left, r.Timeout)
	}
	return left
}

// checkKey finds the workspace. A key that was taken away must not work any
// longer than its bound, so that nothing with a key is admitted on a
// configuration whose age isn't proved; nothing of it has run then.
func (e *Edge) checkKey(c *call, h http.Header) *verdict {
	s := &e.state
	if !s.table.RequireKey || c.route.Public {
		return nil
	}
	if c.keyAge > s.bounds.MaxKeyAge {
		return &verdict{http.StatusServiceUnavailable, RuleConfigTooOld, comeBackSoon}
	}
	c.workspace = s.table.WorkspaceByKey(platform.Key(h.Get(platform.HeaderKey)))
	if c.workspace == nil {
		return &verdict{status: http.StatusUnauthorized, rule: RuleUnknownKey}
	}
	return nil
}

// readBody holds the whole body, so that it can go to a second server if the
// first didn't run it, and a slow sender holds no server's slot.
func (e *Edge) readBody(c *call, w http.ResponseWriter, r *http.Request) *verdict {
	if r.ContentLength == 0 {
		return nil
	}
	body := r.Body
	e.mu.Lock()
	if limit := e.state.table.Limits.MaxBodyBytes; limit > 0 {
		body = http.MaxBytesReader(w, body, limit)
	}
	e.mu.Unlock()
	b, err := io.ReadAll(body)
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge { //nolint:errorlint // the reader returns it bare
		return &verdict{status: http.StatusRequestEntityTooLarge, rule: RuleBodyTooLarge}
	}
	if err != nil {
		return &verdict{status: http.StatusBadRequest, rule: RuleBodyUnreadable}
	}
	c.body = b
	return nil
}

// place chooses a server for the next attempt. Charging the workspace comes
// last: only a request that is going to be sent uses up its rate.
func (e *Edge) place(c *call, tried []string) (placement.Choice, *verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.state
	now := e.now()
	// Between two beats of the heart a server may have run out of its grace;
	// it would still get requests for up to a fifth of a second.
	e.expireServers(now)
	r := e.wanted(c, tried, now)
	choice, ok := s.placer.Choose(r, now, rand.Float64)
	if !ok {
		return choice, e.unplaceable(r, now)
	}
	rank := routing.Priority(c.route, c.workspace)
	if !e.mechanisms.On(mechanism.Rank) {
		rank = 0
	}
	if ok, wait := placement.Admit(choice, r, rank, rand.Float64()); !ok {
		return choice, &verdict{http.StatusServiceUnavailable, RuleNoRoom, wait}
	}
	if v := e.charge(c, now); v != nil {
		return choice, v
	}
	s.placer.RecordSent(choice.Server.ID, r, now)
	return choice, nil
}

// unplaceable is the refusal of a request that no server may get.
func (e *Edge) unplaceable(r placement.Request, now time.Duration) *verdict {
	v := &verdict{http.StatusServiceUnavailable, RuleNoServer, comeBackSoon}
	obstacle, wait := e.state.placer.ExclusionReason(r, now)
	switch obstacle {
	case placement.RegionNotAllowed:
		v.rule = RuleNoServerInRegions
	case placement.Evacuated:
		v.rule = RuleServersEvacuated
	case placement.RateLimited:
		v.rule, v.retryAfter = RuleServersAtLimit, untilShare(wait)
	case placement.Cold:
		v.rule, v.retryAfter = RuleServersCold, untilShare(wait)
	case placement.NotExcluded, placement.DrainingOrTried:
	}
	return v
}

// untilShare is when to come back after this instance's share of a server was used
// up: another instance may hold one that is free at once.
func untilShare(wait time.Duration) time.Duration {
	return min(max(wait, comeBackElsewhere), comeBackSoon)
}

func (e *Edge) wanted(c *call, tried []string, now time.Duration) placement.Request {
	stats := e.routeStatsFor(c.route)
	repeatable := c.route.Kind.Repeatable()
	allowed, _ := e.topology.AllowedDataCentres(c.route, c.workspace)
	return placement.Request{
		Service:            c.service,
		Retryable:          repeatable,
		RetryBudgetAmple:   repeatable && c.route.MaxAttempts > 1 && e.roomToRepeat(c.service),
		LatencyTarget:      c.route.LatencyTarget - (now - c.start),
		Remaining:          c.deadline - now,
		ServiceTime:        stats.work,
		SizeKB:             stats.kb,
		DataCentre:         e.settings.DataCentre,
		TriedServers:       tried,
		AllowedDataCentres: allowed,
	}
}

func (e *Edge) charge(c *call, now time.Duration) *verdict {
	if c.workspace == nil || c.charged {
		return nil
	}
	ok, wait := e.state.usage.Take(workspaceHash(c.workspace.Name), now)
	if !ok {
		// Spread, so that callers refused together don't return together.
		wait += time.Duration(rand.Float64() * float64(comeBackSoon))
		return &verdict{http.StatusTooManyRequests, RuleOverRate, wait}
	}
	c.charged = true
	return nil
}

func (e *Edge) routeStatsFor(r *routing.Route) *routeStats {
	st, ok := e.state.routes[r.Name]
	if !ok {
		st = &routeStats{work: time.Duration(firstWork * float64(r.LatencyTarget)), kb: firstKB}
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
