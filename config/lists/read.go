package lists

import (
	"fmt"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/config/jsonc"
)

// Bounds of the values in the lists.
const (
	// MaxNameBytes bounds the names of workspaces, plans and services, in bytes.
	MaxNameBytes = 63
	// MaxPrefixBytes bounds a route's prefix, in bytes.
	MaxPrefixBytes = 256
	// MaxFloor bounds a service's floor, in backend servers.
	MaxFloor = 100_000
	// MinRate bounds a rate from below, in requests per second. It is about one
	// request in three hours.
	MinRate = 0.0001
	// MaxRate bounds a rate from above, in requests per second.
	MaxRate = 1_000_000
	// MaxBurst bounds a burst, in requests.
	MaxBurst = 10_000_000
	// MinTimeout and MaxTimeout bound a service's timeout.
	MinTimeout = time.Millisecond
	MaxTimeout = time.Hour
)

// reader fills the lists from both files. It records references and floors with
// their positions, because they can be checked only after both files are read.
type reader struct {
	lists       Lists
	planRefs    []reference
	serviceRefs []reference
	floors      []floorReference
	// prefixes holds the service and line of the first route with each prefix.
	prefixes map[string]prefixOrigin
}

type reference struct {
	value jsonc.Value
	name  string
}

type floorReference struct {
	value   jsonc.Value
	service string
	floor   int
}

type prefixOrigin struct {
	service string
	line    int
}

func (r *reader) readCustomersFile(root jsonc.Value) {
	root.Object(jsonc.Field{Name: "workspaces", Required: true, Read: func(v jsonc.Value) {
		v.Members(r.readWorkspace)
	}})
}

func (r *reader) readWorkspace(name, v jsonc.Value) {
	w := config.Workspace{Name: readName(name)}
	v.Object(jsonc.Field{Name: "plan", Required: true, Read: func(v jsonc.Value) {
		plan, ok := v.Text()
		if ok {
			w.Plan = plan
			r.planRefs = append(r.planRefs, reference{value: v, name: plan})
		}
	}})
	r.lists.Workspaces[w.Name] = w
}

func (r *reader) readPlansFile(root jsonc.Value) {
	root.Object(
		jsonc.Field{Name: "services", Required: true, Read: func(v jsonc.Value) { v.Members(r.readService) }},
		jsonc.Field{Name: "plans", Required: true, Read: func(v jsonc.Value) { v.Members(r.readPlan) }},
	)
}

func (r *reader) readService(name, v jsonc.Value) {
	s := config.Service{Name: readName(name)}
	v.Object(
		jsonc.Field{Name: "floor", Required: true, Read: func(v jsonc.Value) {
			floor, ok := v.Int(1, MaxFloor)
			if ok {
				s.Floor = floor
				r.floors = append(r.floors, floorReference{value: v, service: s.Name, floor: floor})
			}
		}},
		jsonc.Field{Name: "timeout", Required: true, Read: func(v jsonc.Value) {
			d, _ := v.Duration(MinTimeout, MaxTimeout)
			s.Timeout = config.Duration(d)
		}},
		jsonc.Field{Name: "routes", Required: true, Read: func(v jsonc.Value) {
			s.Routes = r.readRoutes(s.Name, v)
		}},
		jsonc.Field{Name: "probe", Read: func(v jsonc.Value) { s.Probe = readProbe(v) }},
	)
	r.lists.Services[s.Name] = s
}

func (r *reader) readRoutes(service string, v jsonc.Value) []config.Route {
	var routes []config.Route
	ok := v.Elements(func(e jsonc.Value) {
		routes = append(routes, r.readRoute(service, e))
	})
	if ok && len(routes) == 0 {
		v.Report("no route", "at least one route, otherwise the service can't be reached")
	}
	return routes
}

func (r *reader) readRoute(service string, v jsonc.Value) config.Route {
	var route config.Route
	v.Object(
		jsonc.Field{Name: "prefix", Required: true, Read: func(v jsonc.Value) {
			route.Prefix = r.readPrefix(service, v)
		}},
		jsonc.Field{Name: "idempotent", Read: func(v jsonc.Value) {
			if b, ok := v.Bool(); ok {
				route.Idempotent = &b
			}
		}},
	)
	return route
}

func (r *reader) readPrefix(service string, v jsonc.Value) string {
	prefix, ok := v.Text()
	if !ok {
		return ""
	}
	if !validPrefix(prefix) {
		v.Report(quoteTruncated(prefix), fmt.Sprintf(
			`a path that begins and ends with a slash, such as "/catalogue/", of at most %d letters, digits, "-", "_", ".", "~" and slashes, without "//", "." and ".." between slashes`, MaxPrefixBytes))
		return prefix
	}
	if first, taken := r.prefixes[prefix]; taken {
		v.Report(fmt.Sprintf("the prefix %s, which the service %s has on line %d", quoteTruncated(prefix), quoteTruncated(first.service), first.line),
			"each prefix once in all services")
		return prefix
	}
	r.prefixes[prefix] = prefixOrigin{service: service, line: v.Line()}
	return prefix
}

func readProbe(v jsonc.Value) string {
	path, ok := v.Text()
	if ok && !validProbe(path) {
		v.Report(quoteTruncated(path), fmt.Sprintf(
			`a path such as "/catalogue/glue", of at most %d letters, digits, "-", "_", ".", "~" and slashes, without "//", "." and ".." between slashes, and not under /-/`, MaxPrefixBytes))
	}
	return path
}

func (r *reader) readPlan(name, v jsonc.Value) {
	p := config.Plan{Name: readName(name), Services: map[string]config.Limit{}}
	v.Object(jsonc.Field{Name: "services", Required: true, Read: func(v jsonc.Value) {
		ok := v.Members(func(name, v jsonc.Value) {
			service, _ := name.Text()
			r.serviceRefs = append(r.serviceRefs, reference{value: name, name: service})
			p.Services[service] = readLimit(v)
		})
		if ok && len(p.Services) == 0 {
			v.Report("a plan without a service", "at least one service, otherwise the plan allows no requests")
		}
	}})
	r.lists.Plans[p.Name] = p
}

func readLimit(v jsonc.Value) config.Limit {
	var l config.Limit
	v.Object(
		jsonc.Field{Name: "rate", Required: true, Read: func(v jsonc.Value) { l.Rate, _ = v.Float(MinRate, MaxRate) }},
		jsonc.Field{Name: "burst", Required: true, Read: func(v jsonc.Value) { l.Burst, _ = v.Float(1, MaxBurst) }},
	)
	return l
}

func readName(name jsonc.Value) string {
	s, ok := name.Text()
	if ok && !validName(s) {
		name.Report("the name "+quoteTruncated(s), fmt.Sprintf(
			`1 to %d lower-case letters, digits, "-" and ".", beginning and ending with a letter or digit`, MaxNameBytes))
	}
	return s
}
