package replica

import "sort"

// RecentChanges gathers the rows that changed in the last few answers about a table,
// to be told together. A receiver that missed a message is then brought up to
// date by the next one, without a call of the store.
type RecentChanges struct {
	spans []span
}

type span struct {
	since, version uint64
	rows           []Row
}

// ChangeBatch is a run of changes: the newest state of each row that changed after
// version Since and up to Version.
type ChangeBatch struct {
	Since, Version uint64
	Rows           []Row
}

// recentSpans is how many answers are told together: with two answers a
// second, a receiver may miss three messages in a row.
const recentSpans = 4

// Add takes in the rows that changed after one version and up to another,
// whether the store or another instance told them. If something before that is
// missing, what was gathered is dropped: told together, the two sides of a hole
// would pass for all changes, and receivers would never learn those in between.
func (r *RecentChanges) Add(since, version uint64, rows []Row) {
	if n := len(r.spans); n > 0 && r.spans[n-1].version < since {
		r.spans = nil
	}
	r.spans = append(r.spans, span{since, version, rows})
	if len(r.spans) > recentSpans {
		r.spans = r.spans[1:]
	}
}

// Reset forgets everything: the changes before the next answer aren't known.
func (r *RecentChanges) Reset() { r.spans = nil }

// Batches returns what changed up to a version, in runs that follow each other,
// each of at most so many bytes of keys and values. All rows of one version
// stay together: a receiver that has a part has all of its versions.
func (r *RecentChanges) Batches(version uint64, most int) []ChangeBatch {
	rows, since := r.rows()
	parts := []ChangeBatch{{Since: since, Version: version}}
	size := 0
	for i, row := range rows {
		last := &parts[len(parts)-1]
		bytes := len(row.Key) + len(row.Value)
		if len(last.Rows) > 0 && size+bytes > most && row.Version > rows[i-1].Version {
			last.Version = rows[i-1].Version
			parts = append(parts, ChangeBatch{Since: last.Version, Version: version})
			last, size = &parts[len(parts)-1], 0
		}
		last.Rows = append(last.Rows, row)
		size += bytes
	}
	return parts
}

// rows returns the newest state of each row that has changed, in the order of
// their versions, and the version since which that is complete.
func (r *RecentChanges) rows() (rows []Row, since uint64) {
	if len(r.spans) == 0 {
		return nil, 0
	}
	newest := make(map[string]Row)
	for _, s := range r.spans {
		for _, row := range s.rows {
			newest[row.Key] = row
		}
	}
	for _, row := range newest {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool {
		a, b := rows[i], rows[j]
		return a.Version < b.Version || (a.Version == b.Version && a.Key < b.Key)
	})
	return rows, r.spans[0].since
}
