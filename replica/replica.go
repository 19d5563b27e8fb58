// Package replica keeps copies of tables of the platform's store in memory.
//
// A copy has the version up to which it is complete. It moves on by the
// changes since that version, whoever read them, or by a whole read. An answer that
// is older than the copy is ignored.
//
// A store that comes back from a copy of its own gives versions out again, in a new
// era. Of two answers, the one of the later era is newer, whatever their versions; a
// copy moves on to an era by a whole read only.
package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. Anything else is a call without a useful answer.
var (
	// ErrHistoryCompacted means that the changes since a version aren't to be had
	// any more; only a whole read helps.
	ErrHistoryCompacted = errors.New("the store no longer has the changes since that version")
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

// Position is a moment in the history of the store.
type Position struct {
	// Era counts how often the store came back from a copy.
	Era     uint64
	Version uint64
}

// Before reports whether p is earlier than o.
func (p Position) Before(o Position) bool {
	return p.Era < o.Era || (p.Era == o.Era && p.Version < o.Version)
}

// ReadResult is what the store said about a table at one moment.
type ReadResult struct {
	Rows []Row
	// Version is the newest version of Era at that moment.
	Version uint64
	Era     uint64
	// StoreTime is that moment on the store's steady clock.
	StoreTime time.Duration
	// Full says that Rows is the whole table, not the changes.
	Full bool
}

// Position is the moment of the answer.
func (a ReadResult) Position() Position { return Position{a.Era, a.Version} }

// Store is where tables are read and written.
type Store interface {
	// Read returns a whole table.
	Read(ctx context.Context, table string) (ReadResult, error)
	// Changes returns what has changed in a table since a version.
	Changes(ctx context.Context, table string, since uint64) (ReadResult, error)
	// Write puts the rows, or removes those that are gone, in one transaction.
	Write(ctx context.Context, table string, rows ...Row) error
}

// Table is the copy of one table. It isn't safe for concurrent use.
type Table struct {
	at    Position
	known bool
	rows  map[string]Row
}

// NewTable returns a copy that knows nothing yet.
func NewTable() *Table { return &Table{rows: make(map[string]Row)} }

// Version up to which the copy is complete, and whether it ever was.
func (t *Table) Version() (uint64, bool) { return t.at.Version, t.known }

// Position up to which the copy is complete, and whether it ever was.
func (t *Table) Position() (Position, bool) { return t.at, t.known }

// Row returns the row of a key.
func (t *Table) Row(key string) (Row, bool) {
	r, ok := t.rows[key]
	return r, ok
}

// Rows returns all rows.
func (t *Table) Rows() []Row {
	rows := make([]Row, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows
}

// Apply takes in an answer whose changes begin at version since of its era, and
// returns the rows that differ from what the copy held. It reports false if the
// copy lacks something from before since; nothing is taken in then.
func (t *Table) Apply(a ReadResult, since uint64) ([]Row, bool) {
	if t.known && a.Position().Before(t.at) {
		return nil, true
	}
	if a.Full {
		return t.replace(a), true
	}
	if !t.known || a.Era != t.at.Era || since > t.at.Version {
		return nil, false
	}
	var changed []Row
	for _, r := range a.Rows {
		if t.put(r) {
			changed = append(changed, r)
		}
	}
	t.at = a.Position()
	return changed, true
}

// ApplyOwnWrite takes in a row that was just written, before any answer tells of it.
func (t *Table) ApplyOwnWrite(r Row) { t.put(r) }

func (t *Table) replace(a ReadResult) []Row {
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
	t.at = a.Position()
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
