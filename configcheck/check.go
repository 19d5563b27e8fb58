package configcheck

import (
	"fmt"
	"strings"
	"time"

	"foxtailspoke/routing"
)

// Check returns the findings on a configuration that instances accept, ordered by
// line.
func Check(d Document, b Bounds) []Finding {
	c := &checker{doc: d, config: d.Config}
	c.checkRouteIDs()
	c.checkRouteNames()
	for i, r := range c.config.Routes {
		c.checkReachable(i, r)
		c.checkTimes(i, r)
		c.checkAttempts(i, r, b.Attempts)
	}
	c.checkServices()
	c.checkWorkspaces()
	c.checkKeys()
	c.checkLimits(b)
	Sort(c.findings)
	return c.findings
}

type checker struct {
	doc      Document
	config   routing.Config
	findings []Finding
}

func (c *checker) add(s Severity, code Code, f Field, format string, args ...any) {
	p := c.doc.Locate(f)
	c.findings = append(c.findings, Finding{
		Severity: s, Code: code, Line: p.Line, Field: p.Path, Text: fmt.Sprintf(format, args...),
	})
}

// entryLine returns the line of an entry of a section.
func (c *checker) entryLine(s Section, index int) int {
	return c.doc.Locate(Field{s, index, Entry, 0}).Line
}

// checkRouteIDs finds routes of which instances use only the last one.
func (c *checker) checkRouteIDs() {
	type id struct{ host, prefix string }
	last := make(map[id]int)
	for i, r := range c.config.Routes {
		last[id{r.Host, r.Prefix}] = i
	}
	for i, r := range c.config.Routes {
		used := last[id{r.Host, r.Prefix}]
		if used == i {
			continue
		}
		c.add(Error, RouteDuplicate, Field{Routes, i, Prefix, 0},
			"%s never matches: %s, on line %d, has the same host %q and prefix %q and replaces it",
			routeLabel(r), routeLabel(c.config.Routes[used]), c.entryLine(Routes, used), r.Host, r.Prefix)
	}
}

// checkRouteNames finds routes that share measured times and the turns of a split,
// which instances keep by name.
func (c *checker) checkRouteNames() {
	first := make(map[string]int)
	for i, r := range c.config.Routes {
		if r.Name == "" {
			continue
		}
		if j, seen := first[r.Name]; seen {
			c.add(Warning, RouteNameDuplicate, Field{Routes, i, Name, 0},
				"the route on line %d is also named %q: they share measured times and the turns of a split",
				c.entryLine(Routes, j), r.Name)
			continue
		}
		first[r.Name] = i
	}
}

// checkReachable finds routes that no request can match, as instances compare the
// host without its port and the path without its query.
func (c *checker) checkReachable(i int, r routing.Route) {
	switch {
	case r.Host == "":
		c.add(Error, RouteUnreachable, Field{Routes, i, Host, 0}, "%s never matches: it has no host",
			routeLabel(r))
	case strings.ContainsAny(r.Host, ": /"):
		c.add(Error, RouteUnreachable, Field{Routes, i, Host, 0},
			"%s never matches: hosts are compared without port, scheme and path, and %q isn't such a host",
			routeLabel(r), r.Host)
	}
	if strings.ContainsAny(r.Prefix, "? ") {
		c.add(Error, RouteUnreachable, Field{Routes, i, Prefix, 0},
			"%s never matches: no path has a question mark or a space as %q has", routeLabel(r), r.Prefix)
	}
}

func (c *checker) checkTimes(i int, r routing.Route) {
	checkNotNegative(c, Field{Routes, i, Timeout, 0}, r.Timeout, "no limit")
	checkNotNegative(c, Field{Routes, i, LatencyTarget, 0}, r.LatencyTarget, "a target that is always missed")
	if r.Timeout > 0 && r.Timeout < r.LatencyTarget {
		c.add(Warning, TimeoutBelowTarget, Field{Routes, i, Timeout, 0},
			"%s ends its requests after %s, before the latency target of %s", routeLabel(r), r.Timeout,
			r.LatencyTarget)
	}
}

func (c *checker) checkAttempts(i int, r routing.Route, most int) {
	if r.MaxAttempts <= most {
		return
	}
	text := fmt.Sprintf("%s names %d attempts; instances make at most %d", routeLabel(r), r.MaxAttempts, most)
	if !r.Kind.Repeatable() {
		text += ", and repeat its requests only if it is proved that no server ran them"
	}
	c.add(Warning, AttemptsUnused, Field{Routes, i, MaxAttempts, 0}, "%s", text)
}

func (c *checker) checkServices() {
	listed := make(map[string]int)
	for i, s := range c.config.Services {
		if j, seen := listed[s.Name]; seen {
			c.add(Error, ServiceDuplicate, Field{Services, j, Name, 0},
				"service %q has another entry on line %d, which replaces this one",
				s.Name, c.entryLine(Services, i))
		}
		listed[s.Name] = i
		checkNotNegative(c, Field{Services, i, WarmUp, 0}, s.WarmUp, "no warm-up")
		checkNotNegative(c, Field{Services, i, WarmUpRate, 0}, s.WarmUpRate, "no limit")
	}
	used := make(map[string]bool)
	for i, r := range c.config.Routes {
		for j, s := range r.Services {
			used[s.Service] = true
			if _, ok := listed[s.Service]; !ok {
				c.add(Error, ServiceUnlisted, Field{Routes, i, RouteServices, j},
					"%s leads to the service %q, which the configuration doesn't list", routeLabel(r),
					s.Service)
			}
		}
	}
	for i, s := range c.config.Services {
		if !used[s.Name] {
			c.add(Warning, ServiceUnused, Field{Services, i, Name, 0}, "no route leads to the service %q",
				s.Name)
		}
	}
}

func (c *checker) checkWorkspaces() {
	hasKey := make(map[int]bool)
	for _, k := range c.doc.Keys {
		hasKey[k.Workspace] = true
	}
	first := make(map[string]int)
	for i, w := range c.config.Workspaces {
		if j, seen := first[w.Name]; seen {
			c.add(Error, WorkspaceDuplicate, Field{Workspaces, i, Name, 0},
				"workspace %q has another entry on line %d: they share one rate, the one of the last entry",
				w.Name, c.entryLine(Workspaces, j))
		} else {
			first[w.Name] = i
		}
		if !hasKey[i] {
			c.add(Warning, WorkspaceWithoutKey, Field{Workspaces, i, Keys, WholeList},
				"workspace %q has no key, so that no request is its own", w.Name)
		}
		c.checkRate(i, w)
	}
}

func (c *checker) checkRate(i int, w routing.Workspace) {
	checkNotNegative(c, Field{Workspaces, i, Rate, 0}, w.Rate, "no limit")
	checkNotNegative(c, Field{Workspaces, i, Burst, 0}, w.Burst, "a burst of 1")
	switch {
	case w.Rate > 0 && w.Burst >= 0 && w.Burst < 1:
		c.add(Error, BurstBelowOne, Field{Workspaces, i, Burst, 0},
			"workspace %q has a rate of %g/s and a burst of %g; a request takes 1, and instances use 1",
			w.Name, w.Rate, w.Burst)
	case w.Rate == 0 && w.Burst > 0:
		c.add(Warning, BurstWithoutRate, Field{Workspaces, i, Burst, 0},
			"workspace %q has a burst of %g and no rate, so that nothing limits it", w.Name, w.Burst)
	}
}

func (c *checker) checkKeys() {
	first := make(map[routing.Key]Key)
	for _, k := range c.doc.Keys {
		field := Field{Workspaces, k.Workspace, Keys, k.Index}
		w := c.config.Workspaces[k.Workspace].Name
		switch k.State {
		case Usable:
		case Empty:
			c.add(Error, KeyEmpty, field,
				"workspace %q has an empty key: requests without a key would be its own", w)
			continue
		case Unusable:
			c.add(Error, KeyUnusable, field,
				"a key of workspace %q never matches: no header has such control characters or white space",
				w)
		case Redacted:
			c.add(Error, KeyRedacted, field,
				"workspace %q has a hash, as instances show it, in the place of a key: callers lose that key",
				w)
		}
		other, seen := first[k.Hash]
		switch {
		case !seen:
			first[k.Hash] = k
		case other.Workspace == k.Workspace:
			c.add(Warning, KeyRepeated, field, "workspace %q has this key twice, first on line %d", w,
				c.keyLine(other))
		default:
			c.add(Error, KeyShared, field,
				"this key of workspace %q is also one of %q, on line %d: requests count for the last",
				w, c.config.Workspaces[other.Workspace].Name, c.keyLine(other))
		}
	}
}

func (c *checker) keyLine(k Key) int {
	return c.doc.Locate(Field{Workspaces, k.Workspace, Keys, k.Index}).Line
}

func (c *checker) checkLimits(b Bounds) {
	l := c.config.Limits
	header, body := Field{Limits, 0, MaxHeaderBytes, 0}, Field{Limits, 0, MaxBodyBytes, 0}
	checkNotNegative(c, header, l.MaxHeaderBytes, "the instances' own limit")
	checkNotNegative(c, body, l.MaxBodyBytes, "the instances' own limit")
	checkNotNegative(c, Field{Limits, 0, HeaderTimeout, 0}, l.HeaderTimeout, "the instances' own limit")
	checkNotNegative(c, Field{Limits, 0, IdleTimeout, 0}, l.IdleTimeout, "the limit that was in force before")
	if l.MaxHeaderBytes > b.HeaderBytes {
		c.add(Warning, HeaderLimitTooLarge, header,
			"headers of up to %d bytes are allowed; instances have memory for %d and reject longer ones",
			l.MaxHeaderBytes, b.HeaderBytes)
	}
	if l.MaxBodyBytes > b.HeldBytes {
		c.add(Warning, BodyLimitTooLarge, body,
			"a body of up to %d bytes is allowed; instances have %d for the long bodies of all requests",
			l.MaxBodyBytes, b.HeldBytes)
	}
}

// checkNotNegative warns of a negative limit. Instances don't reject it; effect says
// what they use instead.
func checkNotNegative[T int | int64 | float64 | time.Duration](c *checker, f Field, value T, effect string) {
	if value < 0 {
		c.add(Warning, LimitNegative, f, "%v is negative; instances take it as %s", value, effect)
	}
}

// routeLabel names a route in texts.
func routeLabel(r routing.Route) string {
	if r.Name == "" {
		return fmt.Sprintf("the route of %q and %q", r.Host, r.Prefix)
	}
	return fmt.Sprintf("route %q", r.Name)
}
