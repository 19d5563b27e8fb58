package routing

import (
	"slices"
	"strings"
)

// Topology maps each data centre to its region.
type Topology map[string]string

// AllowedDataCentres returns the data centres that may handle a request and
// true, or false if neither the route nor the workspace restricts regions. If
// both do, a data centre must satisfy both. The workspace may be nil.
func (t Topology) AllowedDataCentres(r *Route, w *Workspace) (map[string]bool, bool) {
	var workspaceRegions []string
	if w != nil {
		workspaceRegions = w.Regions
	}
	if len(r.Regions) == 0 && len(workspaceRegions) == 0 {
		return nil, false
	}
	allowed := make(map[string]bool)
	for dataCentre, region := range t {
		if matchesRegion(r.Regions, region) && matchesRegion(workspaceRegions, region) {
			allowed[dataCentre] = true
		}
	}
	return allowed, true
}

// RestrictsRegions reports whether any route or workspace may use the servers of some regions only.
func (t *Table) RestrictsRegions() bool { return t != nil && t.restrictsRegions }

// matchesRegion reports whether regions contains region. An empty list matches
// every region.
func matchesRegion(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Regions returns the regions common to all region-restricted routes of a host,
// and false if none of its routes is restricted.
func (t *Table) Regions(host string) ([]string, bool) {
	regions, restricted := t.regions[hostName(host)]
	return regions, restricted
}

// regionsByHost intersects the regions of the restricted routes of each host.
func regionsByHost(routes []Route) map[string][]string {
	byHost := make(map[string][]string)
	for _, r := range routes {
		if len(r.Regions) == 0 {
			continue
		}
		common, known := byHost[r.Host]
		if !known {
			byHost[r.Host] = slices.Clone(r.Regions)
			continue
		}
		byHost[r.Host] = slices.DeleteFunc(common, func(region string) bool { return !slices.Contains(r.Regions, region) })
	}
	return byHost
}

// hostName normalises a host to the form used in routes: lower case, without a
// port.
func hostName(host string) string {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return host
}
