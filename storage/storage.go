// Package storage defines the interfaces of the platform services that
// foxtailspoke depends on: a transactional table store, an object store and an
// eventually consistent instance registry. All shared and durable state is kept
// in them.
//
// The interfaces are small so that tests can substitute fakes. Package
// storage/client implements them over HTTP.
package storage

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Revision counts the committed transactions of one table. It starts at 0
// for an empty table and rises by one with every transaction that modifies
// the table.
type Revision uint64

// TableName selects one of the tables. Each table has its own Revision.
type TableName string

const (
	// Control holds lists, keys, shards, permits and witnesses. Every entry
	// instance replicates it.
	Control TableName = "control"
	// Audit holds one row per accepted change. Entry instances do not read it.
	Audit TableName = "audit"
	// Claims holds the idempotency claims of requests whose idempotency key was
	// supplied by the caller.
	Claims TableName = "claims"
)

// ErrUnavailable reports that the platform did not respond. A write that fails
// with it may or may not have taken effect.
var ErrUnavailable = errors.New("platform: unavailable")

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Revision is the table revision at which the row was last changed.
	Revision Revision
	// Attempt is the ID of the transaction that last changed the row. A writer
	// that lost the response uses it to recognise its own write.
	Attempt string
	// Deleted marks a tombstone: the row was deleted at Revision.
	Deleted bool
}

// ReadRequest selects the rows of one table that changed after Since.
type ReadRequest struct {
	Table TableName
	// Since excludes rows at or below this revision; 0 reads everything.
	Since Revision
	// Prefix restricts the result to keys that start with it; empty reads all.
	Prefix string
}

// Changes is the difference between the requested revision of a table and its
// latest state. Reads are never served from a stale copy.
type Changes struct {
	// Revision is the table's latest revision at the time of the read.
	Revision Revision
	// Rows are the rows changed after Since, in ascending order of revision.
	Rows []Row
	// Full means that Rows is the whole table and replaces all rows that the
	// reader holds.
	Full bool
}

// Condition makes a transaction depend on the revision of one row.
type Condition struct {
	Table TableName
	Key   string
	// Revision that the row must have; 0 requires that the row does not exist.
	Revision Revision
}

// Put writes or deletes one row.
type Put struct {
	Table  TableName
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction: if all conditions hold, all puts are applied atomically.
type Txn struct {
	// Attempt is the globally unique ID of the transaction.
	Attempt    string
	Conditions []Condition
	Puts       []Put
}

// WriteOutcome is the outcome of a transaction as known to its writer.
type WriteOutcome int

const (
	// Unknown means that no valid response was received: the transaction may
	// have been applied, may have failed or may still be applied later.
	Unknown WriteOutcome = iota
	// Committed means that all puts took effect.
	Committed
	// Conflict means that a condition did not hold and nothing was applied.
	Conflict
)

// String returns the outcome's name for logs.
func (o WriteOutcome) String() string {
	switch o {
	case Committed:
		return "committed"
	case Conflict:
		return "conflict"
	default:
		return "unknown"
	}
}

// WriteResult is the result of a transaction.
type WriteResult struct {
	Outcome WriteOutcome
	// Revisions holds the new revision of each modified table, after Committed.
	Revisions map[TableName]Revision
	// Current holds the current row of each failed condition, after Conflict.
	// Rows that do not exist are omitted.
	Current []Row
}

// Table is the transactional table store.
type Table interface {
	// Read returns the table's latest state. It fails with ErrUnavailable if
	// the platform does not respond.
	Read(ctx context.Context, r ReadRequest) (Changes, error)
	// Write applies the transaction atomically. A lost response is reported as
	// outcome Unknown, not as an error; an error means that the transaction
	// was malformed and had no effect.
	Write(ctx context.Context, t Txn) (WriteResult, error)
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with prefix, in ascending order.
	List(ctx context.Context, prefix string) ([]string, error)
}
