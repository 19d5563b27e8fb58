package discovery

import (
	"maps"
	"slices"

	"foxtailspoke/replica"
)

// Evacuations is the set of data centres whose backend servers must get no new
// requests until the operators end the evacuation. The zero value is empty.
//
// Every response of the store and every notice carries the whole set with the
// version of its table, so that the next message makes up for a lost one. The
// known set stays in force while the store is unavailable.
type Evacuations struct {
	position    replica.Position
	dataCentres map[string]bool
}

// Replace applies the whole set as of a version of the table and returns the
// differences. A set older than the known one is ignored.
func (e *Evacuations) Replace(at replica.Position, dataCentres []string) (started, ended []string) {
	if at.Before(e.position) {
		return nil, nil
	}
	e.position = at
	current := make(map[string]bool, len(dataCentres))
	for _, dc := range dataCentres {
		current[dc] = true
		if !e.dataCentres[dc] {
			started = append(started, dc)
		}
	}
	for dc := range e.dataCentres {
		if !current[dc] {
			ended = append(ended, dc)
		}
	}
	e.dataCentres = current
	slices.Sort(started)
	slices.Sort(ended)
	return started, ended
}

// Has reports whether a data centre is evacuated.
func (e *Evacuations) Has(dataCentre string) bool { return e.dataCentres[dataCentre] }

// List returns the evacuated data centres in sorted order.
func (e *Evacuations) List() []string { return slices.Sorted(maps.Keys(e.dataCentres)) }
