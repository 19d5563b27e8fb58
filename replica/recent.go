package replica

// Recent gathers the rows that changed in the last few answers about a table,
// to be told together. A receiver that missed a message is then brought up to
// date by the next one, without a call of the store.
type Recent struct {
	spans []span
}

type span struct {
	since uint64
	rows  []Row
}

// recentSpans is how many answers are told together: with two answers a
// second, a receiver may miss three messages in a row.
const recentSpans = 4

// Add takes in the changed rows of an answer about the changes since a version.
func (r *Recent) Add(since uint64, rows []Row) {
	r.spans = append(r.spans, span{since, rows})
	if len(r.spans) > recentSpans {
		r.spans = r.spans[1:]
	}
}

// Reset forgets everything: the changes before the next answer aren't known.
func (r *Recent) Reset() { r.spans = nil }

// Rows returns the newest state of each row that has changed, and the version
// since which that is complete.
func (r *Recent) Rows() (rows []Row, since uint64) {
	if len(r.spans) == 0 {
		return nil, 0
	}
	at := make(map[string]int)
	for _, s := range r.spans {
		for _, row := range s.rows {
			if i, ok := at[row.Key]; ok {
				rows[i] = row
				continue
			}
			at[row.Key] = len(rows)
			rows = append(rows, row)
		}
	}
	return rows, r.spans[0].since
}
