package lists

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"foxtailspoke/config/jsonc"
)

// Source is a list as an operator wrote it.
type Source struct {
	// File is the file name used in diagnostics.
	File string
	Data []byte
}

// ServerCounts is the number of live backend servers of each service, as listed
// by the platform. If it is nil, the numbers are unknown, and floors are checked
// against their fixed bounds only.
type ServerCounts map[string]int

// Check parses and validates both lists and returns all errors found. If there
// are any, the returned lists are incomplete and must not be used.
func Check(customers, plans Source, servers ServerCounts) (Lists, jsonc.Diagnostics) {
	r := &reader{lists: Empty(), prefixes: map[string]prefixOrigin{}}
	plansDoc, plansRoot := jsonc.Parse(plans.File, plans.Data)
	customersDoc, customersRoot := jsonc.Parse(customers.File, customers.Data)
	r.readPlansFile(plansRoot)
	r.readCustomersFile(customersRoot)
	if plansDoc.Parsed() {
		r.checkReferences()
		r.checkFloors(servers)
	}
	diagnostics := append(slices.Clone(plansDoc.Diagnostics()), customersDoc.Diagnostics()...)
	diagnostics.Sort()
	return r.lists, diagnostics
}

// checkReferences reports references to plans and services that don't exist.
func (r *reader) checkReferences() {
	services := slices.Sorted(maps.Keys(r.lists.Services))
	for _, ref := range r.serviceRefs {
		if _, ok := r.lists.Services[ref.name]; !ok {
			ref.value.Report("the unknown service "+quoteTruncated(ref.name), describeChoices("services", services))
		}
	}
	plans := slices.Sorted(maps.Keys(r.lists.Plans))
	for _, ref := range r.planRefs {
		if _, ok := r.lists.Plans[ref.name]; !ok {
			ref.value.Report("the unknown plan "+quoteTruncated(ref.name), describeChoices("plans", plans))
		}
	}
}

// checkFloors reports floors above the number of live backend servers, if the
// numbers are known. A service that the platform doesn't list yet has none.
func (r *reader) checkFloors(servers ServerCounts) {
	if servers == nil {
		return
	}
	for _, s := range r.floors {
		if live := servers[s.service]; s.floor > live {
			s.value.Report(fmt.Sprintf("the floor %d", s.floor),
				fmt.Sprintf("at most %d, the number of live backend servers that the platform lists for %s", live, quoteTruncated(s.service)))
		}
	}
}

// maxListedNames bounds how many accepted names a diagnostic lists.
const maxListedNames = 12

func describeChoices(kind string, names []string) string {
	if len(names) == 0 {
		return "one of the " + kind + " of the list, which defines none"
	}
	shown := names[:min(len(names), maxListedNames)]
	text := "one of the " + kind + " " + strings.Join(shown, ", ")
	if len(shown) < len(names) {
		text += fmt.Sprintf(" and %d more", len(names)-len(shown))
	}
	return text
}

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	prefixPattern = regexp.MustCompile(`^/([A-Za-z0-9_.~-]+/)*$`)
)

func validName(s string) bool {
	return len(s) <= MaxNameBytes && namePattern.MatchString(s)
}

// validPrefix accepts unescaped path segments only. Percent-encoding is rejected
// because equivalent spellings of a path would count as different routes.
func validPrefix(s string) bool {
	if len(s) > MaxPrefixBytes || !prefixPattern.MatchString(s) {
		return false
	}
	return !strings.Contains(s, "/./") && !strings.Contains(s, "/../")
}

// validProbe accepts what validPrefix does, with or without a trailing slash,
// except paths under /-/: backend servers report their own health there, and may
// report that they are healthy while they fail real requests.
func validProbe(s string) bool {
	return validPrefix(strings.TrimSuffix(s, "/")+"/") && !strings.HasPrefix(s, "/-/") && s != "/-"
}

func quoteTruncated(s string) string {
	const maxBytes = 80
	if len(s) > maxBytes {
		s = strings.ToValidUTF8(s[:maxBytes], "") + "…"
	}
	return strconv.Quote(s)
}
