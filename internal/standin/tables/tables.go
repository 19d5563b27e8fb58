// Package tables is an in-memory transactional table store. It provides the
// guarantees of the platform's table store and no others.
//
// Transactions are atomic. They are not deduplicated by attempt ID: a
// transaction that is sent twice is evaluated twice. A platform may or may not
// deduplicate, so this package does not, and clients that rely on it fail in
// tests. A client makes a transaction safe to resend by a condition on a row
// that the transaction itself changes.
package tables

import (
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"foxtailspoke/storage"
)

// ErrMalformed reports a request that is invalid in every state of the tables.
var ErrMalformed = errors.New("malformed transaction")

// Store holds all tables of package storage. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	tables map[storage.TableName]*table
}

type table struct {
	revision storage.Revision
	rows     map[string]storage.Row
	// changeLog has one entry per put, in ascending order of revision. An entry
	// is obsolete once its row has a later revision.
	changeLog []change
}

type change struct {
	revision storage.Revision
	key      string
}

// New returns a store with empty tables.
func New() *Store {
	s := &Store{tables: map[storage.TableName]*table{}}
	for _, name := range []storage.TableName{storage.Control, storage.Audit, storage.Claims} {
		s.tables[name] = &table{rows: map[string]storage.Row{}}
	}
	return s
}

// Read returns the rows that changed after r.Since. A full read omits deleted
// rows.
func (s *Store) Read(r storage.ReadRequest) (storage.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tables[r.Table]
	if !ok {
		return storage.Changes{}, errors.Wrapf(ErrMalformed, "no table %q", r.Table)
	}
	c := storage.Changes{Revision: t.revision, Full: r.Since == 0}
	for _, entry := range t.changeLog[t.indexAfter(r.Since):] {
		row := t.rows[entry.key]
		if row.Revision != entry.revision || !strings.HasPrefix(row.Key, r.Prefix) {
			continue
		}
		if c.Full && row.Deleted {
			continue
		}
		c.Rows = append(c.Rows, row)
	}
	return c, nil
}

// Write commits the transaction if all its conditions hold, and otherwise
// returns a conflict with the current rows of the failed conditions.
func (s *Store) Write(txn storage.Txn) (storage.WriteResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.validate(txn); err != nil {
		return storage.WriteResult{}, err
	}
	if current, ok := s.checkConditions(txn.Conditions); !ok {
		return storage.WriteResult{Outcome: storage.Conflict, Current: current}, nil
	}
	result := storage.WriteResult{
		Outcome:   storage.Committed,
		Revisions: map[storage.TableName]storage.Revision{},
	}
	for _, p := range txn.Puts {
		if _, ok := result.Revisions[p.Table]; !ok {
			s.tables[p.Table].revision++
			result.Revisions[p.Table] = s.tables[p.Table].revision
		}
		s.tables[p.Table].put(p, txn.Attempt)
	}
	return result, nil
}

// Clone returns an independent copy of the store.
func (s *Store) Clone() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := New()
	for name, t := range s.tables {
		out.tables[name] = t.clone()
	}
	return out
}

// Revisions returns the current revision of each table.
func (s *Store) Revisions() map[storage.TableName]storage.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[storage.TableName]storage.Revision{}
	for name, t := range s.tables {
		out[name] = t.revision
	}
	return out
}

func (s *Store) validate(txn storage.Txn) error {
	if txn.Attempt == "" {
		return errors.Wrap(ErrMalformed, "no attempt id")
	}
	if len(txn.Puts) == 0 {
		return errors.Wrap(ErrMalformed, "no puts")
	}
	for _, c := range txn.Conditions {
		if s.tables[c.Table] == nil {
			return errors.Wrapf(ErrMalformed, "no table %q", c.Table)
		}
	}
	type rowID struct {
		table storage.TableName
		key   string
	}
	seen := map[rowID]bool{}
	for _, p := range txn.Puts {
		id := rowID{p.Table, p.Key}
		if s.tables[p.Table] == nil || p.Key == "" || seen[id] {
			return errors.Wrapf(ErrMalformed, "put of %q in table %q", p.Key, p.Table)
		}
		seen[id] = true
	}
	return nil
}

// checkConditions reports whether all conditions hold, and returns the existing
// rows of those that do not.
func (s *Store) checkConditions(conditions []storage.Condition) ([]storage.Row, bool) {
	var current []storage.Row
	ok := true
	for _, c := range conditions {
		row, exists := s.tables[c.Table].liveRow(c.Key)
		if row.Revision == c.Revision {
			continue
		}
		ok = false
		if exists {
			current = append(current, row)
		}
	}
	return current, ok
}

// liveRow returns a row, or false if it does not exist or is deleted.
func (t *table) liveRow(key string) (storage.Row, bool) {
	row, ok := t.rows[key]
	if !ok || row.Deleted {
		return storage.Row{}, false
	}
	return row, true
}

func (t *table) put(p storage.Put, attempt string) {
	row := storage.Row{Key: p.Key, Revision: t.revision, Attempt: attempt, Deleted: p.Delete}
	if !p.Delete {
		row.Value = slices.Clone(p.Value)
	}
	t.rows[p.Key] = row
	t.changeLog = append(t.changeLog, change{t.revision, p.Key})
	// Compact when more than half of the entries are obsolete, so that the
	// amortised cost per put is constant, and small tables rarely.
	if len(t.changeLog) > 2*len(t.rows)+64 {
		t.compact()
	}
}

// indexAfter returns the index of the first change log entry after a revision.
func (t *table) indexAfter(since storage.Revision) int {
	i, _ := slices.BinarySearchFunc(t.changeLog, since, func(entry change, since storage.Revision) int {
		if entry.revision <= since {
			return -1
		}
		return 1
	})
	return i
}

// compact removes obsolete entries from the change log.
func (t *table) compact() {
	t.changeLog = slices.DeleteFunc(t.changeLog, func(entry change) bool {
		return t.rows[entry.key].Revision != entry.revision
	})
}

func (t *table) clone() *table {
	out := &table{revision: t.revision, rows: map[string]storage.Row{}, changeLog: slices.Clone(t.changeLog)}
	for key, row := range t.rows {
		out.rows[key] = row
	}
	return out
}
