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
	// File is the name that faults carry.
	File string
	Data []byte
}

// ServerCounts is the number of live backend servers of each service, from the
// platform's list. Nil means that it isn't known; then floors are checked
// against nothing but their own bounds.
type ServerCounts map[string]int

// Check reads both lists and returns everything that is wrong with them. If
// there are faults, the lists returned are incomplete and not to be used.
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
	faults := append(slices.Clone(plansDoc.Diagnostics()), customersDoc.Diagnostics()...)
	faults.Sort()
	return r.lists, faults
}

// checkReferences finds names of plans and services that don't exist.
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

// checkFloors compares the floors with the capacity as far as it is known. A
// service that the platform doesn't list yet has the capacity 0.
func (r *reader) checkFloors(capacity ServerCounts) {
	if capacity == nil {
		return
	}
	for _, s := range r.floors {
		if live := capacity[s.service]; s.floor > live {
			s.value.Report(fmt.Sprintf("the floor %d", s.floor),
				fmt.Sprintf("at most %d, by the live backend servers that the platform lists for %s", live, quoteTruncated(s.service)))
		}
	}
}

// maxListedNames bounds how many names a fault offers.
const maxListedNames = 12

func describeChoices(kind string, names []string) string {
	if len(names) == 0 {
		return "one of the " + kind + " of the list, which has none"
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

// validPrefix accepts plain path segments only. Escapes are left out because
// a path must have one spelling: two would make two routes of one.
func validPrefix(s string) bool {
	if len(s) > MaxPrefixBytes || !prefixPattern.MatchString(s) {
		return false
	}
	return !strings.Contains(s, "/./") && !strings.Contains(s, "/../")
}

// validProbe accepts what validPrefix does, with or without a last slash, but
// nothing under /-/: there backend servers report their own health, which
// they do well while they fail real requests.
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
