package config

import (
	"maps"
	"slices"
	"strings"
)

// routeIndex finds the longest prefix of a path. Prefixes end with a slash,
// so only the path's own prefixes that do have to be looked up: the time
// depends on the path's depth and not on the number of routes.
type routeIndex struct {
	byPrefix map[string]routeEntry
	// maxSlashes is the greatest number of slashes in a prefix. It bounds the
	// work that a hostile path of many slashes can cause.
	maxSlashes int
}

type routeEntry struct {
	Route
	service string
}

// newRouteIndex indexes the routes of all services. Lists with a prefix
// twice aren't accepted; should there be one, the service whose name is first
// gets it at every instance alike. A prefix that doesn't end with a slash
// isn't accepted either, and routes nothing.
func newRouteIndex(services map[string]Service) routeIndex {
	index := routeIndex{byPrefix: map[string]routeEntry{}}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		for _, route := range services[name].Routes {
			index.add(name, route)
		}
	}
	return index
}

func (x *routeIndex) add(service string, route Route) {
	if _, taken := x.byPrefix[route.Prefix]; taken || !strings.HasSuffix(route.Prefix, "/") {
		return
	}
	x.byPrefix[route.Prefix] = routeEntry{Route: route, service: service}
	x.maxSlashes = max(x.maxSlashes, strings.Count(route.Prefix, "/"))
}

// longestPrefix returns the entry with the longest prefix of path.
func (x *routeIndex) longestPrefix(path string) (routeEntry, bool) {
	var best routeEntry
	found := false
	end := 0
	for range x.maxSlashes {
		next := strings.IndexByte(path[end:], '/')
		if next < 0 {
			break
		}
		end += next + 1
		if e, ok := x.byPrefix[path[:end]]; ok {
			best, found = e, true
		}
	}
	return best, found
}

// equal compares what two routes say.
func (r Route) equal(o Route) bool {
	if r.Prefix != o.Prefix || (r.Idempotent == nil) != (o.Idempotent == nil) {
		return false
	}
	return r.Idempotent == nil || *r.Idempotent == *o.Idempotent
}
