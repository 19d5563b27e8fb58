// Package replica keeps in-memory replicas of tables of the platform's store.
//
// A replica is complete up to a version. It advances by the changes since that
// version, regardless of which instance read them, or by a full read. A
// response older than the replica is ignored.
//
// A store restored from a backup assigns versions again, in a new era. Of two
// responses, the one with the later era is newer, whatever their versions; a
// replica advances to a new era only by a full read.
package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Store. Any other error means a call without a useful response.
var (
	// ErrHistoryCompacted means that the changes since a version are no longer
	// available; a full read is needed.
	ErrHistoryCompacted = errors.New("the store no longer has the changes since that version")
	// ErrRefused means that the store rejected the call without executing it.
	ErrRefused = errors.New("the store refused the call")
)

// Row is a row of a table, or the removal of one if Gone is set.
type Row struct {
	Key   string
	Value []byte
	Gone  bool
	// Version of the row; 0 if unknown.
	Version uint64
}

// Position is a position in the history of the store.
type Position struct {
	// Era counts how often the store was restored from a backup.
	Era     uint64
	Version uint64
}

// Before reports whether p is earlier than o.
func (p Position) Before(o Position) bool {
	return p.Era < o.Era || (p.Era == o.Era && p.Version < o.Version)
}

// ReadResult is the result of a read of a table.
type ReadResult struct {
	Rows []Row
	// Version is the newest version of Era at the time of the read.
	Version uint64
	Era     uint64
	// StoreTime is the time of the read on the store's monotonic clock.
	StoreTime time.Duration
	// Full means that Rows holds the whole table, not only changes.
	Full bool
	// Source is the instance that forwarded the result; empty for the store.
	Source string
}

// Position returns the position of the read.
func (res ReadResult) Position() Position { return Position{res.Era, res.Version} }

// Store reads and writes tables.
type Store interface {
	// Read returns a whole table.
	Read(ctx context.Context, table string) (ReadResult, error)
	// Changes returns the changes of a table since a version.
	Changes(ctx context.Context, table string, since uint64) (ReadResult, error)
	// Write writes the rows, or deletes those with Gone set, in one
	// transaction.
	Write(ctx context.Context, table string, rows ...Row) error
}

// Table is the replica of one table. It is not safe for concurrent use.
type Table struct {
	position Position
	loaded   bool
	rows     map[string]Row
}

// NewTable returns an empty replica without a position.
func NewTable() *Table { return &Table{rows: make(map[string]Row)} }

// Version returns the version up to which the replica is complete, and whether
// the table has been loaded.
func (t *Table) Version() (uint64, bool) { return t.position.Version, t.loaded }

// Position returns the position up to which the replica is complete, and
// whether the table has been loaded.
func (t *Table) Position() (Position, bool) { return t.position, t.loaded }

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

// Apply applies a read whose changes begin at version since of its era, and
// returns the rows that differ from the previous state. It reports false, and
// applies nothing, if the replica lacks changes from before since.
func (t *Table) Apply(res ReadResult, since uint64) ([]Row, bool) {
	if t.loaded && res.Position().Before(t.position) {
		return nil, true
	}
	if res.Full {
		return t.replace(res), true
	}
	if !t.loaded || res.Era != t.position.Era || since > t.position.Version {
		return nil, false
	}
	var changed []Row
	for _, r := range res.Rows {
		// Reads may overlap, so that one includes rows that were replaced since.
		applied := r.Version > 0 && r.Version <= t.position.Version
		if !applied && t.put(r) {
			changed = append(changed, r)
		}
	}
	t.position = res.Position()
	return changed, true
}

// ApplyOwnWrite applies a row that was just written, before it is returned by a
// read.
func (t *Table) ApplyOwnWrite(r Row) { t.put(r) }

func (t *Table) replace(res ReadResult) []Row {
	var changed []Row
	listed := make(map[string]bool, len(res.Rows))
	for _, r := range res.Rows {
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
	t.position = res.Position()
	t.loaded = true
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
