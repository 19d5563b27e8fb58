// Package routing holds the accepted configuration in the form in which
// requests ask for it: which route a request takes, which services stand
// behind it, which workspace its key belongs to.
//
// A Table never changes once it is built. A newer configuration is a new
// Table that replaces the old one as a whole, so that no request sees half of
// a change.
package routing

import (
	"crypto/sha256"
	"strings"
	"time"
)

// RouteKind says what may be repeated.
type RouteKind int

const (
	// NonIdempotent requests run at most once. It is the zero value, so that a
	// route whose kind isn't understood is treated with the most care.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload is a non-idempotent request with a large body.
	Upload
)

// Repeatable reports whether a request that may have run may be sent again.
func (k RouteKind) Repeatable() bool { return k == Idempotent }

// WeightedService is one service of a route and its weight among the others.
type WeightedService struct {
	Service string
	// Weight is a positive number without unit.
	Weight float64
}

// Route is one entry of the configuration.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is in time.
	LatencyTarget time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Regions are the only ones that may handle its requests; none means any.
	Regions []string
	// Services has at least one entry.
	Services []WeightedService
}

// Service is a group of backend servers that run the same program.
type Service struct {
	Name string
	// HealthPath is the path of the servers' own health report.
	HealthPath string
	// MaxConnections is what one server accepts from all callers together.
	MaxConnections int
	// WarmUp is how long a server stays cold after its start, and WarmUpRate how
	// many requests a second it bears until then; 0 means that there is no limit.
	WarmUp     time.Duration
	WarmUpRate float64
}

// Workspace is a customer: its keys, its rank and its rate.
type Workspace struct {
	Name string
	// Priority replaces that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate in requests per second over all instances; 0 is no limit.
	Rate float64
	// Burst in requests beyond the rate.
	Burst float64
	// Regions are the only ones that may handle its requests; none means any.
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

// Key is the hash of a caller's key; keys themselves aren't kept.
type Key [sha256.Size]byte

// HashKey returns the form in which a Table knows a key.
func HashKey(key string) Key { return sha256.Sum256([]byte(key)) }

// Config is the input of NewTable.
type Config struct {
	// Version is the operators' number of the configuration. It increases, in
	// uneven steps.
	Version    uint32
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
	// Keys maps a key's hash to an index of Workspaces.
	Keys map[Key]int
	// RequireKey says that requests need a key, but for public routes.
	RequireKey bool
}

// Table answers what requests ask of the configuration.
type Table struct {
	Version    uint32
	Limits     Limits
	RequireKey bool
	Services   map[string]Service

	routes     map[routeID]*Route
	workspaces []Workspace
	keys       map[Key]int
	// regions of each host with restricted routes.
	regions map[string][]string
}

type routeID struct{ host, prefix string }

// NewTable builds the table of a configuration.
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
	for _, s := range c.Services {
		t.Services[s.Name] = s
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[routeID{r.Host, r.Prefix}] = r
	}
	return t
}

// Route returns the route with the longest prefix that begins the path, or
// nil. The path is taken as the caller sent it.
func (t *Table) Route(host, path string) *Route {
	host = hostName(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := t.routes[routeID{host, path[:end+1]}]; ok {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the holder of a key, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace {
	i, ok := t.keys[HashKey(key)]
	if !ok {
		return nil
	}
	return &t.workspaces[i]
}

// Workspaces returns all workspaces; the caller must not change them.
func (t *Table) Workspaces() []Workspace { return t.workspaces }

// Priority returns the priority of a request: the workspace's own, if it has one,
// else the route's.
func Priority(r *Route, w *Workspace) int {
	if w != nil && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}
