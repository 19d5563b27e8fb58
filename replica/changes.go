package replica

import "sort"

// RecentChanges collects the rows changed in the last few responses about a
// table, to be sent together. A receiver that missed a message then catches up
// with the next one, without a call to the store.
type RecentChanges struct {
	spans []span
}

type span struct {
	since, version uint64
	rows           []Row
}

// ChangeBatch holds the newest state of each row that changed after version
// Since and up to Version.
type ChangeBatch struct {
	Since, Version uint64
	Rows           []Row
}

// maxSpans is the number of responses sent together: at two responses per
// second, a receiver may miss three messages in a row.
const maxSpans = 4

// Add records the rows that changed after version since and up to version,
// whether the store or another instance sent them. If there is a gap before
// since, the earlier changes are dropped: sent together, they would pass for
// all changes in the range, and receivers would never learn of those in the
// gap.
func (r *RecentChanges) Add(since, version uint64, rows []Row) {
	if n := len(r.spans); n > 0 && r.spans[n-1].version < since {
		r.spans = nil
	}
	r.spans = append(r.spans, span{since, version, rows})
	if len(r.spans) > maxSpans {
		r.spans = r.spans[1:]
	}
}

// Reset drops all changes, when those before the next response are unknown.
func (r *RecentChanges) Reset() { r.spans = nil }

// Batches returns the changes up to a version in consecutive batches, each with
// at most maxBytes bytes of keys and values. All rows of a version are in the
// same batch, so that a receiver of a batch has all of its versions.
func (r *RecentChanges) Batches(version uint64, maxBytes int) []ChangeBatch {
	rows, since := r.rows()
	parts := []ChangeBatch{{Since: since, Version: version}}
	size := 0
	for i, row := range rows {
		last := &parts[len(parts)-1]
		bytes := len(row.Key) + len(row.Value)
		if len(last.Rows) > 0 && size+bytes > maxBytes && row.Version > rows[i-1].Version {
			last.Version = rows[i-1].Version
			parts = append(parts, ChangeBatch{Since: last.Version, Version: version})
			last, size = &parts[len(parts)-1], 0
		}
		last.Rows = append(last.Rows, row)
		size += bytes
	}
	return parts
}

// rows returns the newest state of each changed row, ordered by version, and
// the version since which the changes are complete.
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
