package config

import (
	"slices"
	"sort"
	"strings"

	"foxtailspoke/storage"
)

const (
	// maxTombstones bounds the number of tombstones. When it is exceeded, only
	// the newest half of this number is kept.
	maxTombstones = 4096
	// minSuperseded is the number of superseded records that the log may hold
	// regardless of the number of rows before it is compacted.
	minSuperseded = 64
)

// record is one row. Its key, value and revision are immutable once it is in
// the store; only its marks change.
type record struct {
	// data is the packed row key followed by the row's value.
	data string
	// refOrAttempt is the decoded plan name of a workspace, the decoded
	// workspace name of an API key, or otherwise the attempt that wrote the row.
	refOrAttempt string
	revision     storage.Revision
	keyLen       uint32
	deleted      bool
	// hasRef reports that refOrAttempt holds a decoded reference.
	hasRef bool
	// superseded records stay in the log until it is compacted, but not in byKey.
	superseded bool
	// inSnapshot marks the records found in the snapshot that is being applied.
	inSnapshot bool
}

func (r *record) key() string   { return r.data[:r.keyLen] }
func (r *record) value() string { return r.data[r.keyLen:] }

func (r *record) row() storage.Row {
	row := storage.Row{Key: unpackKey(r.key()), Revision: r.revision, Deleted: r.deleted}
	if !r.hasRef {
		row.Attempt = r.refOrAttempt
	}
	if !r.deleted {
		row.Value = []byte(r.value())
	}
	return row
}

// rowStore indexes the rows by key and by revision.
type rowStore struct {
	byKey map[string]*record
	// log has the records by ascending revision, so that changes after a
	// revision are found without a scan of all rows.
	log        []*record
	superseded int
	tombstones int
	// historyStart is the revision from which on the store has every change,
	// including deletions. Tombstones of earlier deletions may be missing.
	historyStart storage.Revision
}

func newRowStore() *rowStore {
	return &rowStore{byKey: map[string]*record{}}
}

// get returns the record for a packed key, which may be a tombstone, or nil.
func (s *rowStore) get(packed string) *record { return s.byKey[packed] }

// present returns the record for a packed key unless it is a tombstone, or nil.
func (s *rowStore) present(packed string) *record {
	if rec := s.byKey[packed]; rec != nil && !rec.deleted {
		return rec
	}
	return nil
}

// put adds a record and supersedes the previous one of the same row.
func (s *rowStore) put(rec *record) {
	if old := s.byKey[rec.key()]; old != nil {
		old.superseded = true
		s.superseded++
		if old.deleted {
			s.tombstones--
		}
		// The key is a substring of the record's data. Without this, the map
		// would keep the old key string and thereby the old data in memory.
		delete(s.byKey, old.key())
	}
	s.byKey[rec.key()] = rec
	if rec.deleted {
		s.tombstones++
	}
	s.insert(rec)
	if s.superseded > len(s.byKey)/4+minSuperseded {
		s.compact()
	}
}

// insert adds a record to the log in order of revision. Changes usually arrive
// by ascending revision, so the record is nearly always appended.
func (s *rowStore) insert(rec *record) {
	at := len(s.log)
	if at > 0 && s.log[at-1].revision > rec.revision {
		at = s.indexAfter(rec.revision)
	}
	s.log = slices.Insert(s.log, at, rec)
}

// indexAfter returns the log index of the first record above a revision.
func (s *rowStore) indexAfter(r storage.Revision) int {
	return sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > r })
}

func (s *rowStore) compact() {
	s.log = slices.Clip(slices.DeleteFunc(s.log, func(rec *record) bool { return rec.superseded }))
	s.superseded = 0
}

// since returns the rows that changed after a revision, by ascending revision.
// Tombstones are included only if requested.
func (s *rowStore) since(r storage.Revision, tombstones bool) []storage.Row {
	var rows []storage.Row
	for _, rec := range s.log[s.indexAfter(r):] {
		if rec.superseded || (rec.deleted && !tombstones) {
			continue
		}
		rows = append(rows, rec.row())
	}
	return rows
}

// takeAbsentFromSnapshot returns the present records that aren't marked as
// being in the snapshot, and clears all marks.
func (s *rowStore) takeAbsentFromSnapshot() []*record {
	var unmarked []*record
	for _, rec := range s.log {
		if !rec.superseded && !rec.deleted && !rec.inSnapshot {
			unmarked = append(unmarked, rec)
		}
		rec.inSnapshot = false
	}
	return unmarked
}

// pruneTombstones removes all but the newest tombstones. A replica that asks for
// changes since a revision before a removed one gets the whole table instead, so
// that it can't retain a row that was deleted in between.
func (s *rowStore) pruneTombstones(keep int) {
	for _, rec := range s.log {
		if s.tombstones <= keep {
			break
		}
		if rec.superseded || !rec.deleted {
			continue
		}
		delete(s.byKey, rec.key())
		rec.superseded = true
		s.superseded++
		s.tombstones--
		s.historyStart = max(s.historyStart, rec.revision)
	}
	s.compact()
}

// keys returns the keys of the present rows that start with prefix, sorted.
func (s *rowStore) keys(prefix string) []string {
	var keys []string
	for packed, rec := range s.byKey {
		if rec.deleted {
			continue
		}
		if key := unpackKey(packed); strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
