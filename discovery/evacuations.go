package discovery

import (
	"maps"
	"slices"

	"foxtailspoke/replica"
)

// Evacuations are the data centres whose backend servers must get nothing new
// until the operators take the evacuation back. The zero value holds none.
//
// Every answer of the store and every notice carries the whole set with the
// version of its table, so that a lost message is made good by the next. What
// is known stays in force while the store is away.
type Evacuations struct {
	at          replica.Position
	dataCentres map[string]bool
}

// Replace takes in the whole set as of a version of the table and returns what
// it changes. A set that is older than the known one is ignored.
func (e *Evacuations) Replace(at replica.Position, dataCentres []string) (begun, ended []string) {
	if at.Before(e.at) {
		return nil, nil
	}
	e.at = at
	current := make(map[string]bool, len(dataCentres))
	for _, dc := range dataCentres {
		current[dc] = true
		if !e.dataCentres[dc] {
			begun = append(begun, dc)
		}
	}
	for dc := range e.dataCentres {
		if !current[dc] {
			ended = append(ended, dc)
		}
	}
	e.dataCentres = current
	slices.Sort(begun)
	slices.Sort(ended)
	return begun, ended
}

// Has reports whether a data centre is evacuated.
func (e *Evacuations) Has(dataCentre string) bool { return e.dataCentres[dataCentre] }

// List returns the evacuated data centres in order.
func (e *Evacuations) List() []string { return slices.Sorted(maps.Keys(e.dataCentres)) }
