package config

import (
	"maps"
	"slices"
	"strings"
)

// routeIndex finds the route with the longest prefix of a path. Route prefixes
// end with a slash, so only the prefixes of the path that end with one are
// looked up: the cost depends on the depth of the path, not on the number of
// routes.
type routeIndex struct {
	byPrefix map[string]routeEntry
	// maxSlashes is the greatest number of slashes in a prefix. It bounds the
	// number of lookups for malicious paths with many slashes.
	maxSlashes int
}

type routeEntry struct {
	Route
	service string
}

// newRouteIndex indexes the routes of all services. Validation of the lists
// rejects duplicate prefixes; if there is one nevertheless, the service whose
// name sorts first gets it, so that all instances agree. Prefixes without a
// trailing slash are rejected by validation too, and are ignored here.
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

// longestPrefix returns the entry with the longest prefix of path, if any.
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

// equal reports whether two routes are the same. Idempotent is compared by value.
func (r Route) equal(o Route) bool {
	if r.Prefix != o.Prefix || (r.Idempotent == nil) != (o.Idempotent == nil) {
		return false
	}
	return r.Idempotent == nil || *r.Idempotent == *o.Idempotent
}
