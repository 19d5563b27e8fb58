// Package replica keeps copies of tables of the platform's store in memory.
//
// A copy has the version up to which it is complete. It moves on by the
// changes since that version, whoever read them, or by a whole read.
// Versions never go back: an answer that is older than the copy is ignored,
// so that an instance never returns to a configuration it has left.
package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. Anything else is a call without a useful answer.
var (
	// ErrHistoryGone means that the changes since a version aren't to be had
	// any more; only a whole read helps.
	ErrHistoryGone = errors.New("the store no longer has the changes since that version")
	// ErrRefused means that the store turned the call away undone.
	ErrRefused = errors.New("the store refused the call")
)

// Row is one row, or the news that it is gone.
type Row struct {
	Key   string
	Value []byte
	Gone  bool
	// Version of the row; 0 if it isn't known.
	Version uint64
}

// Answer is what the store said about a table at one moment.
type Answer struct {
	Rows []Row
	// Version is the newest version at that moment.
	Version uint64
	// Stamp is that moment on the store's steady clock.
	Stamp time.Duration
	// Whole says that Rows is the whole table, not the changes.
	Whole bool
}

// Store is where tables are read and written.
type Store interface {
	// Read returns a whole table.
	Read(ctx context.Context, table string) (Answer, error)
	// Changes returns what has changed in a table since a version.
	Changes(ctx context.Context, table string, since uint64) (Answer, error)
	// Write puts the rows, or removes those that are gone, in one transaction.
	Write(ctx context.Context, table string, rows ...Row) error
}

// Table is the copy of one table. It isn't safe for concurrent use.
type Table struct {
	version uint64
	known   bool
	rows    map[string]Row
}

// NewTable returns a copy that knows nothing yet.
func NewTable() *Table { return &Table{rows: make(map[string]Row)} }

// Version up to which the copy is complete, and whether it ever was.
func (t *Table) Version() (uint64, bool) { return t.version, t.known }

// Rows returns all rows.
func (t *Table) Rows() []Row {
	rows := make([]Row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows
}

// Apply takes in an answer whose changes begin at version since, and returns
// the rows that differ from what the copy held. It reports false if the copy
// lacks something from before since; nothing is taken in then.
func (t *Table) Apply(a Answer, since uint64) ([]Row, bool) {
	if t.known && a.Version < t.version {
		return nil, true
	}
	if a.Whole {
		return t.replace(a), true
	}
	if !t.known || since > t.version {
		return nil, false
	}
	var changed []Row
	for _, r := range a.Rows {
		if t.put(r) {
			changed = append(changed, r)
		}
	}
	t.version = a.Version
	return changed, true
}

// Note takes in a row that was just written, before any answer tells of it.
func (t *Table) Note(r Row) { t.put(r) }

func (t *Table) replace(a Answer) []Row {
	var changed []Row
	listed := make(map[string]bool, len(a.Rows))
	for _, r := range a.Rows {
		listed[r.Key] = true
		if t.put(r) {
			changed = append(changed, r)
		}
	}
	for k := range t.rows {
		if !listed[k] {
			delete(t.rows, k)
			changed = append(changed, Row{Key: k, Gone: true})
		}
	}
	t.version = a.Version
	t.known = true
	return changed
}

func (t *Table) put(r Row) bool {
	old, had := t.rows[r.Key]
	if r.Gone {
		delete(t.rows, r.Key)
		return had
	}
	t.rows[r.Key] = r
	return !had || string(old.Value) != string(r.Value)
}
