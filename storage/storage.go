// Package storage describes the services that the platform offers to
// foxtailspoke: a transactional table, an object store and a lagging list of
// instances. Everything that has to be agreed on or kept goes through them.
//
// The interfaces are small so that tests can replace them by fakes. The
// client in storage/client implements them over HTTP.
package storage

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Revision counts the committed transactions of one table. It starts at 0
// for an empty table and rises by one with every transaction that touches
// the table.
type Revision uint64

// TableName selects one of the tables. Each table has its own Revision.
type TableName string

const (
	// Control holds lists, keys, shards, permits and witnesses. Every entry
	// instance keeps a replica of it.
	Control TableName = "control"
	// Audit holds one row per accepted change. Entry instances don't read it.
	Audit TableName = "audit"
	// Claims holds the idempotency claims of requests with caller-made keys.
	Claims TableName = "claims"
)

// ErrUnavailable reports that the platform gave no answer. After a write
// nobody knows whether it took effect.
var ErrUnavailable = errors.New("platform: unavailable")

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Revision is the table's revision that last changed the row.
	Revision Revision
	// Attempt is the id of the transaction that last changed the row. A
	// writer that lost the answer recognises its own write by it.
	Attempt string
	// Deleted marks a tombstone: the row is gone since Revision.
	Deleted bool
}

// ReadRequest asks for the rows of one table that changed after Since.
type ReadRequest struct {
	Table TableName
	// Since excludes rows at or below this revision; 0 reads everything.
	Since Revision
	// Prefix restricts the answer to keys that start with it; empty reads all.
	Prefix string
}

// Changes is the newest state of a table, as far as it differs from the
// requested revision. A read is never served from an old copy.
type Changes struct {
	// Revision is the table's newest revision at the time of the read.
	Revision Revision
	// Rows are the rows changed after Since, by ascending revision.
	Rows []Row
	// Full means that Rows is the whole table: the reader drops what it has.
	Full bool
}

// Condition makes a transaction depend on the revision of one row.
type Condition struct {
	Table TableName
	Key   string
	// Revision the row must have; 0 demands that the row is absent.
	Revision Revision
}

// Put writes or deletes one row.
type Put struct {
	Table  TableName
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction: if all conditions hold, all puts take effect at once.
type Txn struct {
	// Attempt identifies this transaction among all others ever sent.
	Attempt    string
	Conditions []Condition
	Puts       []Put
}

// WriteOutcome is what the writer knows about a transaction.
type WriteOutcome int

const (
	// Unknown means that no answer came: it took effect, or it didn't, or
	// it still may.
	Unknown WriteOutcome = iota
	// Committed means that all puts took effect.
	Committed
	// Conflict means that a condition didn't hold and nothing took effect.
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

// WriteResult is the answer to a transaction.
type WriteResult struct {
	Outcome WriteOutcome
	// Revisions has the new revision of each table touched, after Committed.
	Revisions map[TableName]Revision
	// Current has the present row for each failed condition, after Conflict.
	// A row that doesn't exist is left out.
	Current []Row
}

// Table is the transactional table service.
type Table interface {
	// Read returns the table's newest state. It fails with ErrUnavailable.
	Read(ctx context.Context, r ReadRequest) (Changes, error)
	// Write commits the transaction or not at all. A lost answer is the
	// outcome Unknown, not an error; an error means that the transaction
	// was malformed and took no effect.
	Write(ctx context.Context, t Txn) (WriteResult, error)
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with prefix, ascending.
	List(ctx context.Context, prefix string) ([]string, error)
}
