// Package routing holds the accepted configuration indexed for request lookup:
// the route of a request, the services behind the route and the workspace of an
// API key.
//
// A Table is immutable. A newer configuration replaces the whole table, so that
// no request sees a partial update.
package routing

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// RouteKind says whether the requests of a route may be retried after they may
// have run.
type RouteKind int

const (
	// NonIdempotent requests run at most once. It is the zero value, so that a
	// route of an unknown kind is handled conservatively.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload is a non-idempotent request with a large body.
	Upload
)

// Repeatable reports whether a request that may have run may be sent again.
func (k RouteKind) Repeatable() bool { return k == Idempotent }

// WeightedService is a service of a route and its share of the route's traffic.
type WeightedService struct {
	Service string
	// Weight is positive and relative to the other services of the route.
	Weight float64
}

// Route is a route of the configuration.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time until the final response.
	Timeout time.Duration
	// LatencyTarget is the latency above which a response counts as late.
	LatencyTarget time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts bounds how many backend servers a request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Regions lists the regions that may handle the requests; empty means any.
	Regions []string
	// Services has at least one entry.
	Services []WeightedService
}

// Service is a group of backend servers that run the same program.
type Service struct {
	Name string
	// HealthPath is the path of the servers' health endpoint.
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from
	// all callers together.
	MaxConnections int
	// WarmUp is how long a server stays cold after its start, and WarmUpRate
	// how many requests per second it can handle until then; 0 means no limit.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Workspace holds the priority, rate limit and regions of a customer.
type Workspace struct {
	Name string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in requests per second over all instances; 0 means no limit.
	Rate float64
	// Burst is in requests beyond the rate.
	Burst float64
	// Regions lists the regions that may handle the requests; empty means any.
	Regions []string
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the reading of a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Key is the hash of an API key; the keys themselves are not stored.
type Key [sha256.Size]byte

// HashKey returns the hash under which a Table stores an API key.
func HashKey(key string) Key { return sha256.Sum256([]byte(key)) }

// Config is the input of NewTable.
type Config struct {
	// Version is the configuration version set by the operators. It increases,
	// but not in even steps.
	Version    uint32
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
	// Keys maps the hash of a key to an index of Workspaces.
	Keys map[Key]int
	// RequireKey means that requests need a key, except on public routes.
	RequireKey bool
}

// Table is an immutable lookup table built from a configuration.
type Table struct {
	Version    uint32
	Limits     Limits
	RequireKey bool
	Services   map[string]Service

	routes     map[routeID]*Route
	workspaces []Workspace
	keys       map[Key]int
	// regions holds the common regions of each host with restricted routes.
	regions map[string][]string
	// restrictsRegions is set if any route or workspace is restricted to some regions.
	restrictsRegions bool
}

type routeID struct{ host, prefix string }

// NewTable builds the lookup table of a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Version:    c.Version,
		Limits:     c.Limits,
		RequireKey: c.RequireKey,
		Services:   make(map[string]Service, len(c.Services)),
		routes:     make(map[routeID]*Route, len(c.Routes)),
		workspaces: c.Workspaces,
		keys:       c.Keys,
		regions:    regionsByHost(c.Routes),
	}
	t.restrictsRegions = len(t.regions) > 0 ||
		slices.ContainsFunc(c.Workspaces, func(w Workspace) bool { return len(w.Regions) > 0 })
	for _, s := range c.Services {
		t.Services[s.Name] = s
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[routeID{r.Host, r.Prefix}] = r
	}
	return t
}

// Route returns the route with the longest matching path prefix, or nil. The
// path is matched as the caller sent it, without normalisation.
func (t *Table) Route(host, path string) *Route {
	host = hostName(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := t.routes[routeID{host, path[:end+1]}]; ok {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace of an API key, or nil. An empty key is that of a request
// without one and belongs to no workspace, whatever the configuration says.
func (t *Table) WorkspaceByKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	i, ok := t.keys[HashKey(key)]
	if !ok {
		return nil
	}
	return &t.workspaces[i]
}

// Workspaces returns all workspaces; the caller must not modify them.
func (t *Table) Workspaces() []Workspace { return t.workspaces }

// Priority returns the priority of a request: that of the workspace if it has
// one, else that of the route.
func Priority(r *Route, w *Workspace) int {
	if w != nil && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}
